//! The leader's view of each live job's tasks, beyond the job's record in the store.

use super::fair_share::DemandGroup;
use super::job_machines::JobMachines;
use super::orphaned_tasks::OrphanedCapacity;
use crate::ids::{Attempt, JobId, MachineId};
use crate::jobs::LiveJob;
use crate::workers::failure_attribution::FailureAttribution;
use foldhash::HashSet;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// All live jobs of this term with their progress.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    /// Progress by job. Ordered, so that the same events always have the same effects.
    pub(super) progress: BTreeMap<JobId, JobProgress>,
    /// Index of the machines on which each job may have tasks.
    pub(super) machines: JobMachines,
    /// Jobs with uncommitted completions. Jobs without any left are removed when completions are next stored.
    pub(super) completing: BTreeSet<JobId>,
    /// Jobs whose cancellation this or another controller acknowledged to a user while the cache still has them as
    /// live. None of their tasks is started any more.
    pub(super) cancelling: HashSet<JobId>,
    /// Capacity that tasks of finished jobs may still use.
    pub(super) orphaned_capacity: OrphanedCapacity,
}

/// The machine on which a task runs or will run, and the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Placement {
    /// The machine that the start command was or will be sent to.
    pub(super) machine: MachineId,
    /// The attempt that was or will be started on that machine.
    pub(super) attempt: Attempt,
}

/// An attempt at a task that a stale heartbeat showed beside the placed one.
#[derive(Debug)]
pub(super) struct DuplicateAttempt {
    /// The index of the task within its job.
    pub(super) task: u32,
    /// The machine whose heartbeat showed the attempt, and the attempt itself.
    pub(super) placement: Placement,
}

/// The backoff of a task that failed or was stopped.
#[derive(Debug)]
pub(super) struct RetryBackoff {
    /// Earliest time of the next attempt.
    pub(super) not_before: Instant,
    /// Number of failures of the task so far; stops on command are not counted.
    pub(super) failures: u32,
}

/// The end of a task's backoff. Ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BackoffExpiry {
    /// Time from which the task may be started again.
    pub(super) at: Instant,
    /// The index of the task within its job.
    pub(super) task: u32,
}

/// The state of a live job's tasks that is not in the store's record.
#[derive(Debug, Default)]
pub(super) struct JobProgress {
    /// True if the job was ready before this term began, so that a previous leader may have started its tasks.
    pub(super) predates_term: bool,
    /// Time at which this leader first saw the job ready to run.
    pub(super) first_seen: Option<Instant>,
    /// Placements of the tasks that run or will run, by task index.
    pub(super) placed: BTreeMap<u32, Placement>,
    /// Attempts that stale heartbeats showed beside the placed ones. A task is free only once none of them is left.
    pub(super) duplicate_attempts: Vec<DuplicateAttempt>,
    /// Completed tasks that are not committed yet.
    pub(super) completing: BTreeSet<u32>,
    /// Backoffs of tasks that failed or were stopped, by task index.
    pub(super) retries: BTreeMap<u32, RetryBackoff>,
    /// Tasks below the cursor that may be started again at once.
    pub(super) requeued: BTreeSet<u32>,
    /// Tasks below the cursor that may be started again after a backoff.
    pub(super) backing_off: BTreeSet<BackoffExpiry>,
    /// Evidence of whether failures are caused by the job or by machines.
    pub(super) failures: FailureAttribution,
    /// Number of preemptions of its tasks by jobs of higher priority.
    pub(super) preemptions: u32,
    /// True if its tasks were already counted as arrived demand.
    pub(super) counted_as_demand: bool,
    /// Demand group that the job belongs to.
    pub(super) demand_group: Option<DemandGroup>,
    /// Index of the first task that `next_task` has not examined. Waiting tasks below it are in `requeued` or
    /// `backing_off`.
    cursor: u32,
}

impl JobProgress {
    /// Creates the progress of a job that was live before this term began.
    pub(super) fn of_predecessor(may_have_started: bool) -> JobProgress {
        JobProgress { predates_term: may_have_started, ..JobProgress::default() }
    }

    /// Returns the number of the job's tasks that are neither completed nor placed. Until the commit of a completion
    /// is applied, a task may be both; it then counts twice and the result is too low.
    pub(super) fn waiting(&self, job: &LiveJob) -> u64 {
        job.spec
            .tasks
            .saturating_sub(job.completed_count())
            .saturating_sub(self.placed.len() as u64)
    }

    /// Returns the time since this leader first saw the job ready to run.
    pub(super) fn waited(&self, now: Instant) -> Duration {
        self.first_seen.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the end of a task's backoff, if it has not expired.
    fn backoff_of(&self, task: u32, now: Instant) -> Option<Instant> {
        self.retries.get(&task).map(|retry| retry.not_before).filter(|at| *at > now)
    }

    /// Queues a task that is no longer placed and not completed.
    pub(super) fn requeue(&mut self, task: u32, now: Instant) {
        if task >= self.cursor {
            return;
        }
        match self.backoff_of(task, now) {
            Some(at) => drop(self.backing_off.insert(BackoffExpiry { at, task })),
            None => drop(self.requeued.insert(task)),
        }
    }

    /// Requeues tasks whose backoffs have expired.
    pub(super) fn expire_backoffs(&mut self, now: Instant) {
        while let Some(expiry) = self.backing_off.first().copied()
            && expiry.at <= now
        {
            self.backing_off.pop_first();
            self.requeued.insert(expiry.task);
        }
    }

    /// Ends the backoffs of all tasks.
    pub(super) fn reset_backoffs(&mut self, now: Instant) {
        for retry in self.retries.values_mut() {
            retry.not_before = retry.not_before.min(now);
        }
        let backing_off = std::mem::take(&mut self.backing_off);
        self.requeued.extend(backing_off.into_iter().map(|expiry| expiry.task));
    }

    /// Takes the next waiting task to start on a machine. On trial, that is the task that failed least often: a task
    /// that always fails must not be the only one that is ever tried.
    pub(super) fn next_task_on(
        &mut self,
        machine: &MachineId,
        job: &LiveJob,
        now: Instant,
    ) -> Option<u32> {
        let is_trial = self.failures.is_job_faulty() || self.failures.suspects(machine);
        if !is_trial {
            return self.next_task(job, now);
        }
        let mut requeued = std::mem::take(&mut self.requeued);
        requeued.retain(|task| self.is_unplaced(job, *task));
        let failed_least =
            requeued.iter().copied().min_by_key(|task| (self.failure_count(*task), *task));
        let next = match failed_least {
            Some(task) if self.failure_count(task) == 0 => Some(task),
            _ => self.next_task(job, now).or(failed_least),
        };
        self.requeued.extend(requeued.into_iter().filter(|task| Some(*task) != next));
        next
    }

    /// Returns the number of failures of a task so far; stops on command are not counted.
    pub(super) fn failure_count(&self, task: u32) -> u32 {
        self.retries.get(&task).map_or(0, |retry| retry.failures)
    }

    /// Takes the next waiting task that may be started. Each task is examined once, plus once for each time it is
    /// requeued, regardless of the size of the job.
    pub(super) fn next_task(&mut self, job: &LiveJob, now: Instant) -> Option<u32> {
        while let Some(task) = self.requeued.pop_first() {
            if self.is_unplaced(job, task) {
                return Some(task);
            }
        }
        while self.cursor < job.tasks() {
            let task = self.cursor;
            self.cursor += 1;
            if !self.is_unplaced(job, task) {
                continue;
            }
            match self.backoff_of(task, now) {
                Some(at) => drop(self.backing_off.insert(BackoffExpiry { at, task })),
                None => return Some(task),
            }
        }
        None
    }

    fn is_unplaced(&self, job: &LiveJob, task: u32) -> bool {
        !self.placed.contains_key(&task) && !job.is_completed(task)
    }
}
