//! What a new leader can't see of jobs that are over.
//!
//! Tasks of a job that was cancelled run on until they are stopped, and on a machine out of reach until its lease
//! ends. No live job asks for them any more, so whoever leads next would let their team use the room once more. What
//! they may take up counts against their team as long as any machine has not confirmed what runs on it.

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

/// How much longer than it may a task of a job that is over counts against its team under a new leader: two
/// controllers' times of day differ by less, and a transaction waits less for its turn.
const ORPHANED_TASK_SLACK: Duration = Duration::from_secs(10);

/// By team.
#[derive(Debug, Default)]
pub(super) struct OrphanedCapacity {
    teams: BTreeMap<usize, Amount>,
}

impl OrphanedCapacity {
    fn add(&mut self, team: usize, amount: Amount) {
        let sum = self.teams.entry(team).or_default();
        *sum = sum.plus(&amount);
    }

    /// What orphaned tasks of a team may still use.
    pub(super) fn of(&self, team: usize) -> Amount {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// All machines have told what runs on them.
    pub(super) fn clear(&mut self) {
        self.teams.clear();
    }
}

/// What so many tasks take up; all there is if their number was not told.
fn room(rest: &OrphanedTasks, placed: u64) -> Amount {
    rest.need.times(rest.tasks.map_or(u64::MAX, |tasks| tasks.saturating_sub(placed)))
}

impl Scheduler {
    /// At the failover: jobs that ended so lately that something of them may run. Versions before this one don't
    /// say when; of theirs those count that ended after any that surely ended long ago.
    pub(super) fn find_orphaned_tasks(&mut self, cache: &Cache, now: Instant) {
        let workers = &self.settings.platform.params.workers;
        let within = Duration::from_secs_f64(workers.cancel_s + workers.lease_s)
            + DELEGATED_LEASE_TTL
            + ORPHANED_TASK_SLACK;
        let now_ms = self.wall_clock.ms(now);
        let lately = |ended_ms: u64| now_ms < ended_ms.saturating_add(within.as_millis() as u64);
        let jobs = cache.jobs.all.values();
        let long_over = jobs.clone().filter(|job| job.ended_ms().is_some_and(|ms| !lately(ms)));
        let long_over = long_over.map(|job| job.rev).max().unwrap_or_default();
        for job in jobs {
            let JobBody::Finished { orphaned_tasks: Some(rest), .. } = &job.body else { continue };
            if rest.ended_ms.map_or(job.rev > long_over, lately) {
                let team = self.team_of(&rest.team);
                self.jobs.orphaned_capacity.add(team, room(rest, 0));
            }
        }
    }

    /// A job is over, or about to be, of which a predecessor may have started what no heartbeat has shown.
    pub(super) fn count_orphaned_tasks(&mut self, work: &JobProgress, job: &Job) {
        let placed = work.placed.len() as u64;
        let (team, amount) = match &job.body {
            _ if !work.predates_leadership => return,
            JobBody::Live(live) => (&live.spec.team, live.need.times(work.waiting(live))),
            JobBody::Finished { orphaned_tasks: Some(rest), .. } => {
                (&rest.team, room(rest, placed))
            }
            JobBody::Finished { .. } => return,
        };
        let team = self.team_of(team);
        self.jobs.orphaned_capacity.add(team, amount);
    }

    /// How many tasks of a job may be on machines though all are done: one that was reported done by an old
    /// report may run a second time.
    pub(super) fn duplicate_runs(&self, id: &JobId, work: &JobProgress, live: &LiveJob) -> u64 {
        let runs = |(index, placed): (&u32, &Placement)| {
            let task = TaskId { job: id.clone(), index: *index };
            let machine = self.fleet.machines.get(&placed.machine)?;
            let entry = machine.attempts.get(&(task, placed.attempt))?;
            (entry.state != TaskState::Exited).then_some(())
        };
        let known = work.placed.iter().filter_map(runs).count() + work.duplicate_attempts.len();
        let unsure = work.predates_leadership
            && self.fleet.machines.values().any(|machine| !machine.confirmed);
        known as u64 + if unsure { live.spec.tasks } else { 0 }
    }
}
