//! Counts capacity that tasks of finished jobs may still use after a failover.
//!
//! Tasks of a cancelled job run until they are stopped; on an unreachable machine they run until its lease expires.
//! They belong to no live job, so a new leader would let their team use that capacity a second time. Their requests
//! therefore count against the team until every machine is confirmed.

use crate::constants::DELEGATED_LEASE_TTL;
use crate::ids::{Amount, JobId, TaskId};
use crate::jobs::OrphanedTasks;
use crate::jobs::{Job, JobBody, LiveJob};
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::{JobProgress, Placement};
use crate::store::Cache;
use crate::wire::TaskState;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a new leader counts an orphaned task against its team beyond the longest time for which it can run.
/// It exceeds both the clock skew between two controllers and the time for which a transaction is queued.
const ORPHANED_TASK_SLACK: Duration = Duration::from_secs(10);

/// Capacity that orphaned tasks may still use, by team index.
#[derive(Debug, Default)]
pub(super) struct OrphanedCapacity {
    teams: BTreeMap<usize, Amount>,
}

impl OrphanedCapacity {
    fn add(&mut self, team: usize, amount: Amount) {
        let sum = self.teams.entry(team).or_default();
        *sum = sum.plus(&amount);
    }

    /// Returns the capacity that orphaned tasks of a team may still use.
    pub(super) fn of(&self, team: usize) -> Amount {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Resets all amounts, once every machine is confirmed.
    pub(super) fn clear(&mut self) {
        self.teams.clear();
    }
}

/// Returns the capacity that a job's orphaned tasks use, except for the `placed` ones, which are counted elsewhere. The
/// result is unlimited if the number of orphaned tasks was not stored.
fn orphaned_amount(orphaned: &OrphanedTasks, placed: u64) -> Amount {
    orphaned.request.times(orphaned.tasks.map_or(u64::MAX, |tasks| tasks.saturating_sub(placed)))
}

impl Scheduler {
    /// Counts the tasks of recently finished jobs that may still run, at the start of a term. Records of older
    /// versions don't contain the finish time. Such a job counts as recent if its revision is higher than the highest
    /// revision of the jobs that are known not to have finished recently.
    pub(super) fn find_orphaned_tasks(&mut self, cache: &Cache, now: Instant) {
        let workers = &self.settings.platform.params.workers;
        let max_remaining_run = Duration::from_secs_f64(workers.cancel_s + workers.lease_s)
            + DELEGATED_LEASE_TTL
            + ORPHANED_TASK_SLACK;
        let now_ms = self.wall_clock.ms(now);
        let is_recent = |finished_ms: u64| {
            now_ms < finished_ms.saturating_add(max_remaining_run.as_millis() as u64)
        };
        let jobs = cache.jobs.all.values();
        let finished_long_ago =
            jobs.clone().filter(|job| job.finished_ms().is_some_and(|ms| !is_recent(ms)));
        let last_old_revision = finished_long_ago.map(|job| job.rev).max().unwrap_or_default();
        for job in jobs {
            let JobBody::Finished { orphaned_tasks: Some(orphaned), .. } = &job.body else {
                continue;
            };
            if orphaned.finished_ms.map_or(job.rev > last_old_revision, is_recent) {
                let team = self.team_of(&orphaned.team);
                self.jobs.orphaned_capacity.add(team, orphaned_amount(orphaned, 0));
            }
        }
    }

    /// Counts the tasks of a finished or cancelled job that a previous leader may have started but no heartbeat has
    /// shown to this one.
    pub(super) fn count_orphaned_tasks(&mut self, progress: &JobProgress, job: &Job) {
        let placed = progress.placed.len() as u64;
        let (team, amount) = match &job.body {
            _ if !progress.predates_term => return,
            JobBody::Live(live) => (&live.spec.team, live.request.times(progress.waiting(live))),
            JobBody::Finished { orphaned_tasks: Some(orphaned), .. } => {
                (&orphaned.team, orphaned_amount(orphaned, placed))
            }
            JobBody::Finished { .. } => return,
        };
        let team = self.team_of(team);
        self.jobs.orphaned_capacity.add(team, amount);
    }

    /// Returns the maximum number of tasks of a job that may still be on machines although all are completed: a task
    /// whose completion came from a stale heartbeat may run a second time.
    pub(super) fn max_duplicate_runs(
        &self,
        id: &JobId,
        progress: &JobProgress,
        live: &LiveJob,
    ) -> u64 {
        let not_exited = |(index, placed): (&u32, &Placement)| {
            let task = TaskId { job: id.clone(), index: *index };
            let machine = self.fleet.machines.get(&placed.machine)?;
            let entry = machine.attempts.get(&(task, placed.attempt))?;
            (entry.state != TaskState::Exited).then_some(())
        };
        let known = progress.placed.iter().filter_map(not_exited).count()
            + progress.duplicate_attempts.len();
        let may_be_hidden = progress.predates_term
            && self.fleet.machines.values().any(|machine| !machine.confirmed);
        known as u64 + if may_be_hidden { live.spec.tasks } else { 0 }
    }
}
