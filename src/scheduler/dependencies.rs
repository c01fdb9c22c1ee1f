//! Jobs that others wait for: what they inherit, and how much time is left for them.

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

/// What each stage of a pipeline takes besides its run time and its image: a heartbeat, a commit, a
/// plan and a start, with room for a lost packet.
pub(super) const STAGE_OVERHEAD: Duration = Duration::from_secs(3);
/// What live jobs inherit from those that depend on them.
#[derive(Debug)]
pub(super) struct InheritedPriorities {
    /// By job; what a job has of its own is counted in.
    pub(super) inherited: HashMap<JobId, InheritedPriority>,
    /// Whether jobs changed since this was worked out.
    pub(super) stale: bool,
}

impl Default for InheritedPriorities {
    fn default() -> InheritedPriorities {
        InheritedPriorities { inherited: HashMap::new(), stale: true }
    }
}

impl Scheduler {
    /// The urgency by which a job is ordered, stops others and is spared: the highest of its own and
    /// of all that need it.
    pub(super) fn urgency(&self, id: &JobId, job: &LiveJob) -> Priority {
        self.dependencies.inherited.get(id).map_or(job.spec.priority, |carried| carried.urgency)
    }

    /// Whether anybody looks at when it starts or ends.
    pub(super) fn has_objective(&self, id: &JobId, job: &LiveJob) -> bool {
        self.settings.has_objective(&job.spec.class)
            || self.dependencies.inherited.get(id).is_some_and(|carried| carried.due_ms.is_some())
    }

    /// What a job takes once it may run: its run time as its owner estimates it or, where that is known and
    /// switched on, as it was learned; the fetch of its image and the time between reports and plans.
    fn length(&self, id: &JobId, job: &LiveJob, learned: bool) -> Duration {
        let rates =
            self.fleet.machine_types.iter().map(|f| f.fetch_gb_per_s).filter(|rate| *rate > 0.0);
        let fetch_s = rates.reduce(f64::min).map_or(0.0, |rate| job.spec.image_gb / rate);
        let run_s = self.run_s(id, job, learned);
        Duration::from_secs_f64((run_s + fetch_s).clamp(0.0, 1e7)) + STAGE_OVERHEAD
    }

    /// Finds out what jobs inherit, if any that counts has changed.
    pub(super) fn inherit_priorities(&mut self, live: &[(&JobId, &LiveJob)]) {
        if !std::mem::take(&mut self.dependencies.stale) {
            return;
        }
        let alone = |job: &LiveJob| {
            // Other due times are their owners' guesses at what nobody waits for.
            let counts =
                !job.depends_on().is_empty() || self.settings.has_deadline(&job.spec.class);
            let due = job.spec.due_s.filter(|_| counts);
            let due_ms = due.map(|due_s| job.accepted_ms.saturating_add((due_s * 1000.0) as u64));
            InheritedPriority { urgency: job.spec.priority, due_ms }
        };
        let jobs = live.iter().copied().collect();
        let learned = self.settings.operator.estimates.due;
        let length_ms =
            |id: &JobId, job: &LiveJob| self.length(id, job, learned).as_millis() as u64;
        let carried = dag::inherit_priorities(&jobs, alone, length_ms);
        let before = std::mem::replace(&mut self.dependencies.inherited, carried);
        for (id, job) in live {
            let old = before.get(*id).map_or(job.spec.priority, |carried| carried.urgency);
            let urgency = self.urgency(id, job);
            let Some(work) = self.jobs.progress.get(*id).filter(|_| urgency != old) else {
                continue;
            };
            for (index, placed) in &work.placed {
                let key = (TaskId { job: (*id).clone(), index: *index }, placed.attempt);
                let Some(machine) = self.fleet.machines.get_mut(&placed.machine) else { continue };
                if let Some(entry) = machine.attempts.get_mut(&key) {
                    entry.urgency = urgency;
                    machine.invalidate_usage();
                }
            }
        }
    }

    /// Seconds until a job has to start so that whatever needs it is done in time; less than
    /// nothing if it is too late.
    pub(super) fn due_left(&self, id: &JobId, job: &LiveJob, now: Instant) -> Option<f64> {
        let due_ms = self.dependencies.inherited.get(id)?.due_ms?;
        let left = due_ms as f64 - self.wall_clock.ms(now) as f64;
        let learned = self.settings.operator.estimates.due;
        Some(left / 1000.0 - self.length(id, job, learned).as_secs_f64())
    }

    /// How many aims a due time stands for, and how many of them are missed.
    pub(super) fn due_objectives(&self, id: &JobId, job: &LiveJob, now: Instant) -> (usize, usize) {
        match self.due_left(id, job, now) {
            Some(left) => (1, usize::from(left < 0.0)),
            None => (0, 0),
        }
    }

    /// Jobs that wait for others and will be ready by the time that a machine rented now is up, the
    /// soonest first.
    pub(super) fn coming(&self, live: &[(&JobId, &LiveJob)], now: Instant) -> Vec<JobId> {
        let mut waiting: Vec<_> = live.iter().filter(|(_, job)| !job.is_ready()).collect();
        if waiting.is_empty() {
            return Vec::new();
        }
        let horizon = self.typical_boot_s();
        let jobs: HashMap<&JobId, &LiveJob> = live.iter().copied().collect();
        // By age, since a job only needs those that were accepted before it.
        waiting.sort_by_key(|(id, job)| (job.accepted_ms, *id));
        let mut ends: HashMap<&JobId, f64> = HashMap::new();
        let mut found = Vec::new();
        for (id, job) in waiting {
            let mut ready_s = 0.0f64;
            for need in job.depends_on() {
                let Some((need, needed)) = jobs.get_key_value(need) else { continue };
                let rest = || self.remaining_s(need, needed, now);
                // What is not known to be ready yet may be of the same millisecond.
                ready_s = ready_s.max(match ends.get(*need) {
                    Some(end) => *end,
                    None if needed.is_ready() => rest(),
                    None => horizon + 1.0,
                });
            }
            let learned = self.settings.operator.estimates.ahead;
            ends.insert(*id, ready_s + self.length(id, job, learned).as_secs_f64());
            if ready_s <= horizon {
                found.push((ready_s, *id));
            }
        }
        found.sort_by(|a, b| a.0.total_cmp(&b.0));
        found.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Seconds that a ready job still takes, by its owner's estimate: from when the last of its tasks
    /// began, or all of it while any waits.
    fn remaining_s(&self, id: &JobId, job: &LiveJob, now: Instant) -> f64 {
        let length = self.length(id, job, self.settings.operator.estimates.ahead);
        let Some(work) = self.jobs.progress.get(id).filter(|work| work.waiting(job) == 0) else {
            return length.as_secs_f64();
        };
        let began = work.placed.iter().filter_map(|(index, placed)| {
            let task = TaskId { job: id.clone(), index: *index };
            let machine = self.fleet.machines.get(&placed.machine)?;
            Some(machine.attempts.get(&(task, placed.attempt))?.placed)
        });
        let ran = began.max().map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        length.saturating_sub(ran).as_secs_f64()
    }

    /// Adds requests for room for jobs that will be ready soon.
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
