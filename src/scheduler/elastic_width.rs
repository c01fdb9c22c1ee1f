//! Elastic jobs: the number of their tasks that run beyond the minimum width.
//!
//! Updates `Scheduler::elastic_widths`; reads the jobs, the fleet and the settings.

use crate::ids::JobId;
use crate::jobs::LiveJob;
use crate::scheduler::Scheduler;
use crate::settings::ElasticClass;
use crate::wire::JobKind;
use crate::workers::machine::Machine;
use std::collections::BTreeMap;
use tokio::time::Instant;
use troutspindle_elastic_width::ElasticJob;

/// Cost of preempting a task of a job at its minimum width, in seconds of repeated work. It is
/// added to the work that is actually lost, so that other tasks are preempted first.
const MINIMUM_WIDTH_COST_S: f64 = 600.0;

/// Limit on a job's starts in a pass.
pub(super) struct ElasticLimit {
    /// Maximum number of tasks to start.
    pub(super) max_starts: u64,
    /// True if these starts grow an elastic job beyond its minimum width.
    pub(super) is_growth: bool,
}

impl Scheduler {
    /// Returns by how many tasks each elastic job may grow in this pass.
    pub(super) fn elastic_growth(
        &mut self,
        jobs: &[(&JobId, &LiveJob)],
        now: Instant,
    ) -> BTreeMap<JobId, u64> {
        if self.settings.operator.elastic.is_empty() {
            return BTreeMap::new();
        }
        let is_usable = |machine: &&Machine| {
            self.accepts_tasks(machine, now)
                && !self.autoscaler.reserved_machines.contains(&machine.id)
        };
        let machines = self.fleet.machines.values().filter(is_usable);
        let free_cpu = machines
            .map(|machine| self.fleet.capacity(machine.machine_type).minus(&machine.used()).cpu)
            .sum();
        let elastic_jobs: Vec<(JobId, ElasticJob)> = jobs
            .iter()
            .filter_map(|(id, job)| Some(((*id).clone(), self.elastic_job(id, job)?)))
            .collect();
        self.elastic_widths.grow(&elastic_jobs, free_cpu, self.term.elapsed(now))
    }

    fn elastic_job(&self, id: &JobId, job: &LiveJob) -> Option<ElasticJob> {
        let elastic = self.elastic_class(job)?;
        let progress = self.jobs.progress.get(id)?;
        let width = progress.placed.len() as u64;
        let waiting = progress.waiting(job);
        let elastic_job = ElasticJob {
            task_request: job.request.cpu,
            width,
            max_width: elastic.max_width,
            waiting,
        };
        (width >= elastic.min_width).then_some(elastic_job)
    }

    /// Returns the elastic widths of an array's class, if it has any.
    fn elastic_class(&self, job: &LiveJob) -> Option<&ElasticClass> {
        self.settings.elastic_class(&job.spec.class).filter(|_| job.spec.kind == JobKind::Array)
    }

    fn width(&self, id: &JobId) -> u64 {
        self.jobs.progress.get(id).map_or(0, |progress| progress.placed.len() as u64)
    }

    /// Returns how many tasks of a job may start now. An elastic job below its minimum width may
    /// start tasks up to that width; above that, its growth in this pass is the limit.
    pub(super) fn elastic_limit(
        &self,
        id: &JobId,
        job: &LiveJob,
        growth: &BTreeMap<JobId, u64>,
        limit: u64,
    ) -> ElasticLimit {
        let Some(elastic) = self.elastic_class(job) else {
            return ElasticLimit { max_starts: limit, is_growth: false };
        };
        let width = self.width(id);
        if width < elastic.min_width {
            return ElasticLimit {
                max_starts: limit.min(elastic.min_width - width),
                is_growth: false,
            };
        }
        let growth = growth.get(id).copied().unwrap_or(0);
        ElasticLimit { max_starts: limit.min(growth), is_growth: true }
    }

    /// Returns the additional cost of preempting a task of the job, in seconds: 0 unless the job is
    /// elastic and at or below its minimum width.
    pub(super) fn minimum_width_cost_s(&self, id: &JobId, job: &LiveJob) -> f64 {
        let Some(elastic) = self.settings.elastic_class(&job.spec.class) else { return 0.0 };
        if self.width(id) <= elastic.min_width { MINIMUM_WIDTH_COST_S } else { 0.0 }
    }

    /// Records that tasks of these jobs were preempted, so that the jobs don't grow for a while.
    pub(super) fn pause_elastic_growth(&mut self, jobs: &[JobId], now: Instant) {
        if self.settings.operator.elastic.is_empty() {
            return;
        }
        let elapsed = self.term.elapsed(now);
        jobs.iter().for_each(|job| self.elastic_widths.record_preemption(job, elapsed));
    }
}
