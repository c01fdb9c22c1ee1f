//! Elastic jobs: how many more tasks of them run than they are served anyway.

use crate::constants::LEAST_WIDTH_S;
use crate::ids::JobId;
use crate::jobs::LiveJob;
use crate::scheduler::Scheduler;
use crate::wire::JobKind;
use crate::workers::machine::Machine;
use std::collections::BTreeMap;
use tokio::time::Instant;
use troutspindle_elastic_width::Grower;

impl Scheduler {
    /// By how many tasks each elastic job may grow in this pass.
    pub(super) fn growth(
        &mut self,
        live: &[(&JobId, &LiveJob)],
        now: Instant,
    ) -> BTreeMap<JobId, u64> {
        if self.settings.operator.elastic.is_empty() {
            return BTreeMap::new();
        }
        let usable = |m: &&Machine| {
            self.takes_work(m, now) && !self.autoscaler.reserved_machines.contains(&m.id)
        };
        let machines = self.fleet.machines.values().filter(usable);
        let free = machines.map(|m| self.fleet.capacity(m.flavor).minus(&m.used()).cpu).sum();
        let grower = |(id, job): &(&JobId, &LiveJob)| {
            let elastic = self.settings.elastic(&job.spec.class)?;
            let work = self.jobs.progress.get(*id).filter(|_| job.spec.shape == JobKind::Array)?;
            let width = work.placed.len() as u64;
            let (most, waiting) = (elastic.most, work.waiting(job));
            let grower = Grower { need: job.need.cpu, width, most, waiting };
            (width >= elastic.least).then(|| ((*id).clone(), grower))
        };
        let growers: Vec<(JobId, Grower)> = live.iter().filter_map(grower).collect();
        let now = self.term.elapsed(now);
        self.elastic_widths.grow(&growers, free, now)
    }

    /// Bounds how many tasks of an elastic job may start now; true if they are beyond what it is served
    /// anyway.
    pub(super) fn limit_width(
        &self,
        id: &JobId,
        job: &LiveJob,
        growth: &BTreeMap<JobId, u64>,
        most: &mut u64,
    ) -> bool {
        let Some(elastic) = self.settings.elastic(&job.spec.class) else { return false };
        if job.spec.shape != JobKind::Array {
            return false;
        }
        let width = self.jobs.progress.get(id).map_or(0, |work| work.placed.len() as u64);
        if width < elastic.least {
            *most = (*most).min(elastic.least - width);
            return false;
        }
        *most = (*most).min(growth.get(id).copied().unwrap_or(0));
        true
    }

    /// Seconds that a task is spared beside others because its job would be narrower than its least.
    pub(super) fn least_width_s(&self, id: &JobId, job: &LiveJob) -> f64 {
        let Some(elastic) = self.settings.elastic(&job.spec.class) else { return 0.0 };
        let width = self.jobs.progress.get(id).map_or(0, |work| work.placed.len() as u64);
        if width <= elastic.least { LEAST_WIDTH_S } else { 0.0 }
    }

    /// Tasks made way for more urgent work: their jobs rest before they grow again.
    pub(super) fn made_way(&mut self, jobs: &[JobId], now: Instant) {
        if self.settings.operator.elastic.is_empty() {
            return;
        }
        let now = self.term.elapsed(now);
        jobs.iter().for_each(|job| self.elastic_widths.made_way(job, now));
    }
}
