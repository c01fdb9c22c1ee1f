//! Priorities and deadlines that jobs inherit from their dependents, and jobs that will be ready soon.

use crate::ids::{Amount, JobId, TaskId};
use crate::jobs::dag::InheritedPriority;
use crate::jobs::{Job, LiveJob, dag};
use crate::placement::PlacementRequest;
use crate::scheduler::Scheduler;
use crate::store::Cache;
use crate::wire::Priority;
use foldhash::{HashMap, HashMapExt};
use std::time::Duration;
use tokio::time::Instant;

/// Time that each stage of a pipeline takes in addition to its run time and image fetch: a heartbeat, a commit, a
/// planning pass and a start, with a margin for a lost packet.
pub(super) const STAGE_OVERHEAD: Duration = Duration::from_secs(3);
/// Priorities and deadlines of live jobs that have dependencies or dependents.
#[derive(Debug)]
pub(super) struct InheritedPriorities {
    /// Inherited values by job, combined with the job's own.
    pub(super) inherited: HashMap<JobId, InheritedPriority>,
    /// True if jobs changed since the values were computed.
    pub(super) stale: bool,
}

impl Default for InheritedPriorities {
    fn default() -> InheritedPriorities {
        InheritedPriorities { inherited: HashMap::new(), stale: true }
    }
}

impl Scheduler {
    /// Returns the priority by which a job is ordered, preempts others and is preempted: the highest of its own and
    /// those of all its dependents.
    pub(super) fn effective_priority(&self, id: &JobId, job: &LiveJob) -> Priority {
        self.dependencies
            .inherited
            .get(id)
            .map_or(job.spec.priority, |inherited| inherited.priority)
    }

    /// Returns whether a job has an objective for its start or end: one of its class, or a deadline of its own or of a
    /// dependent.
    pub(super) fn has_objective(&self, id: &JobId, job: &LiveJob) -> bool {
        self.settings.has_objective(&job.spec.class)
            || self
                .dependencies
                .inherited
                .get(id)
                .is_some_and(|inherited| inherited.due_ms.is_some())
    }

    /// Returns the time that a job takes once it is ready: its run time, the fetch of its image on the slowest machine
    /// type and the stage overhead. The run time is the learned one if `use_learned` is set and one is known,
    /// otherwise the estimate of the job's owner.
    fn stage_duration(&self, id: &JobId, job: &LiveJob, use_learned: bool) -> Duration {
        let rates = self
            .fleet
            .machine_types
            .iter()
            .map(|known| known.fetch_gb_per_s)
            .filter(|rate| *rate > 0.0);
        let fetch_s = rates.reduce(f64::min).map_or(0.0, |rate| job.spec.image_gb / rate);
        let run_s = self.run_s(id, job, use_learned);
        Duration::from_secs_f64((run_s + fetch_s).clamp(0.0, 1e7)) + STAGE_OVERHEAD
    }

    /// Recomputes inherited priorities and deadlines if they are stale, and applies changed priorities to placed tasks.
    pub(super) fn inherit_priorities(&mut self, live: &[(&JobId, &LiveJob)]) {
        if !std::mem::take(&mut self.dependencies.stale) {
            return;
        }
        let own_priority = |job: &LiveJob| {
            // A due time is a deadline if the job has dependencies or its class has deadlines. Any other due time is
            // only its owner's estimate, and nobody waits for the job to finish by then.
            let has_deadline =
                !job.depends_on().is_empty() || self.settings.has_deadline(&job.spec.class);
            let due = job.spec.due_s.filter(|_| has_deadline);
            let due_ms = due.map(|due_s| job.accepted_ms.saturating_add((due_s * 1000.0) as u64));
            InheritedPriority { priority: job.spec.priority, due_ms }
        };
        let jobs = live.iter().copied().collect();
        let use_learned = self.settings.operator.estimates.due;
        let duration_ms = |id: &JobId, job: &LiveJob| {
            self.stage_duration(id, job, use_learned).as_millis() as u64
        };
        let inherited = dag::inherit_priorities(&jobs, own_priority, duration_ms);
        let previous = std::mem::replace(&mut self.dependencies.inherited, inherited);
        for (id, job) in live {
            let previous_priority =
                previous.get(*id).map_or(job.spec.priority, |inherited| inherited.priority);
            let priority = self.effective_priority(id, job);
            let progress = self.jobs.progress.get(*id);
            let Some(progress) = progress.filter(|_| priority != previous_priority) else {
                continue;
            };
            for (index, placed) in &progress.placed {
                let key = (TaskId { job: (*id).clone(), index: *index }, placed.attempt);
                let Some(machine) = self.fleet.machines.get_mut(&placed.machine) else { continue };
                if let Some(entry) = machine.attempts.get_mut(&key) {
                    entry.priority = priority;
                    machine.invalidate_usage();
                }
            }
        }
    }

    /// Returns the seconds until a job has to start so that it and all its dependents meet their deadlines; negative if
    /// that time has passed, `None` without a deadline.
    pub(super) fn latest_start_in_s(&self, id: &JobId, job: &LiveJob, now: Instant) -> Option<f64> {
        let due_ms = self.dependencies.inherited.get(id)?.due_ms?;
        let left_ms = due_ms as f64 - self.wall_clock.ms(now) as f64;
        let use_learned = self.settings.operator.estimates.due;
        Some(left_ms / 1000.0 - self.stage_duration(id, job, use_learned).as_secs_f64())
    }

    /// Returns the number of objectives that a job's deadline represents (0 or 1) and how many of them are missed.
    pub(super) fn due_objectives(&self, id: &JobId, job: &LiveJob, now: Instant) -> (usize, usize) {
        match self.latest_start_in_s(id, job, now) {
            Some(left_s) => (1, usize::from(left_s < 0.0)),
            None => (0, 0),
        }
    }

    /// Returns the waiting jobs that will be ready by the time that a machine rented now is up, the soonest first.
    pub(super) fn upcoming_jobs(&self, live: &[(&JobId, &LiveJob)], now: Instant) -> Vec<JobId> {
        let mut waiting: Vec<_> = live.iter().filter(|(_, job)| !job.is_ready()).collect();
        if waiting.is_empty() {
            return Vec::new();
        }
        let horizon_s = self.typical_boot_s();
        let jobs: HashMap<&JobId, &LiveJob> = live.iter().copied().collect();
        // In order of acceptance, since a job only depends on jobs that were accepted before it.
        waiting.sort_by_key(|(id, job)| (job.accepted_ms, *id));
        let mut ends_s: HashMap<&JobId, f64> = HashMap::new();
        let mut upcoming = Vec::new();
        for (id, job) in waiting {
            let mut ready_s = 0.0f64;
            for dependency_id in job.depends_on() {
                let Some((dependency_id, dependency)) = jobs.get_key_value(dependency_id) else {
                    continue;
                };
                let remaining_s = || self.remaining_s(dependency_id, dependency, now);
                // A waiting dependency without a computed end was accepted in the same millisecond and comes later
                // in the order; it counts as beyond the horizon.
                ready_s = ready_s.max(match ends_s.get(*dependency_id) {
                    Some(end_s) => *end_s,
                    None if dependency.is_ready() => remaining_s(),
                    None => horizon_s + 1.0,
                });
            }
            let use_learned = self.settings.operator.estimates.ahead;
            let duration_s = self.stage_duration(id, job, use_learned).as_secs_f64();
            ends_s.insert(*id, ready_s + duration_s);
            if ready_s <= horizon_s {
                upcoming.push((ready_s, *id));
            }
        }
        upcoming.sort_by(|a, b| a.0.total_cmp(&b.0));
        upcoming.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns the seconds that a ready job still takes: its stage duration minus the time since its latest placement,
    /// or the whole duration while any of its tasks waits.
    fn remaining_s(&self, id: &JobId, job: &LiveJob, now: Instant) -> f64 {
        let duration = self.stage_duration(id, job, self.settings.operator.estimates.ahead);
        let progress = self.jobs.progress.get(id);
        let Some(progress) = progress.filter(|progress| progress.waiting(job) == 0) else {
            return duration.as_secs_f64();
        };
        let placed_at = progress.placed.iter().filter_map(|(index, placed)| {
            let task = TaskId { job: id.clone(), index: *index };
            let machine = self.fleet.machines.get(&placed.machine)?;
            Some(machine.attempts.get(&(task, placed.attempt))?.placed_at)
        });
        let elapsed =
            placed_at.max().map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        duration.saturating_sub(elapsed).as_secs_f64()
    }

    /// Adds reservation requests for jobs that will be ready soon.
    pub(super) fn reserve_for_upcoming(
        &mut self,
        reservations: &mut Vec<PlacementRequest>,
        upcoming: &[JobId],
        cache: &Cache,
        capacities: &[Amount],
    ) {
        for id in upcoming {
            let Some(job) = cache.jobs.get(id).and_then(Job::live) else { continue };
            let Some(request) = self.base_request(id, job, capacities) else { continue };
            reservations.push(PlacementRequest { count: job.tasks(), gang: false, ..request });
        }
    }
}
