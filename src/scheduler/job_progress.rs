//! How far each live job has come, beyond what its record at the store says.

use super::fair_share::DemandGroup;
use super::job_machines::JobMachines;
use super::orphaned_tasks::OrphanedCapacity;
use crate::ids::{Attempt, JobId, MachineId};
use crate::jobs::LiveJob;
use crate::workers::failure_attribution::FailureAttribution;
use foldhash::HashSet;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// All live jobs of this leadership with their progress.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    /// Ordered, so that equal events have equal effects.
    pub(super) progress: BTreeMap<JobId, JobProgress>,
    /// On which machines each job may have tasks.
    pub(super) machines: JobMachines,
    /// Jobs with tasks that are reported done and not committed. Those that no longer have any
    /// leave when the set is next gone through.
    pub(super) completing: BTreeSet<JobId>,
    /// Jobs that this controller acknowledged to stop or that others acknowledged to users as
    /// cancelled, while the cache still has them as live: none of their tasks is started any more.
    pub(super) cancelling: HashSet<JobId>,
    /// Capacity that tasks of finished jobs may still use.
    pub(super) orphaned_capacity: OrphanedCapacity,
}

/// Where a task runs or is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Placement {
    /// The machine.
    pub(super) machine: MachineId,
    /// The attempt that was started there.
    pub(super) attempt: Attempt,
}

/// An attempt at a task that a stale heartbeat showed beside the placed one.
#[derive(Debug)]
pub(super) struct DuplicateAttempt {
    /// The index of the task within its job.
    pub(super) task: u32,
    /// Where the attempt runs.
    pub(super) placement: Placement,
}

/// The pause before a failed task is tried again.
#[derive(Debug)]
pub(super) struct RetryBackoff {
    /// The task is not started before this time.
    pub(super) not_before: Instant,
    /// How often the task failed.
    pub(super) failures: u32,
}

/// When the pause of a task ends. Ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BackoffExpiry {
    /// When the pause ends.
    pub(super) at: Instant,
    /// The index of the task within its job.
    pub(super) task: u32,
}

/// What the leader knows of a live job's tasks beyond the store's record.
#[derive(Debug, Default)]
pub(super) struct JobProgress {
    /// Whether the job was there before this leadership began: a predecessor may have started its
    /// tasks.
    pub(super) predates_leadership: bool,
    /// When this leader first saw the job ready to run.
    pub(super) first_seen: Option<Instant>,
    /// Tasks that run or are to run, by their index.
    pub(super) placed: BTreeMap<u32, Placement>,
    /// Attempts that a stale heartbeat showed, or shows still, beside the placed one: such a task
    /// is free only once none is left.
    pub(super) duplicate_attempts: Vec<DuplicateAttempt>,
    /// Tasks that are reported done and not committed yet.
    pub(super) completing: BTreeSet<u32>,
    /// Tasks that failed or were stopped before.
    pub(super) retries: BTreeMap<u32, RetryBackoff>,
    /// Tasks below the cursor that may be started again at once.
    pub(super) requeued: BTreeSet<u32>,
    /// Tasks below the cursor that may be started again after a pause.
    pub(super) backing_off: BTreeSet<BackoffExpiry>,
    /// Whether its failures are its own fault.
    pub(super) failures: FailureAttribution,
    /// How many of its tasks were stopped for more urgent work.
    pub(super) preemptions: u32,
    /// Whether its work was counted as demand when it arrived.
    pub(super) counted_as_demand: bool,
    /// The group of demand that it belongs to.
    pub(super) demand_group: Option<DemandGroup>,
    /// Tasks from here on were not looked at yet; those below that wait are in `requeued` or
    /// `backing_off`.
    cursor: u32,
}

impl JobProgress {
    /// The progress of a job that was there before this leadership began.
    pub(super) fn of_predecessor(may_have_started: bool) -> JobProgress {
        JobProgress { predates_leadership: may_have_started, ..JobProgress::default() }
    }

    /// How many of the job's tasks are neither done nor placed. Some may be both, until the
    /// commit of a completion is known.
    pub(super) fn waiting(&self, job: &LiveJob) -> u64 {
        job.spec
            .tasks
            .saturating_sub(job.completed_count())
            .saturating_sub(self.placed.len() as u64)
    }

    /// When the pause of a task ends, if it has not ended yet.
    fn backoff_of(&self, task: u32, now: Instant) -> Option<Instant> {
        self.retries.get(&task).map(|retry| retry.not_before).filter(|at| *at > now)
    }

    /// Queues a task that is placed no longer and not done.
    pub(super) fn requeue(&mut self, task: u32, now: Instant) {
        if task >= self.cursor {
            return;
        }
        match self.backoff_of(task, now) {
            Some(at) => drop(self.backing_off.insert(BackoffExpiry { at, task })),
            None => drop(self.requeued.insert(task)),
        }
    }

    /// Requeues tasks whose pauses are over.
    pub(super) fn expire_backoffs(&mut self, now: Instant) {
        while let Some(expiry) = self.backing_off.first().copied()
            && expiry.at <= now
        {
            self.backing_off.pop_first();
            self.requeued.insert(expiry.task);
        }
    }

    /// Ends the pauses of all tasks.
    pub(super) fn reset_backoffs(&mut self, now: Instant) {
        for retry in self.retries.values_mut() {
            retry.not_before = retry.not_before.min(now);
        }
        let backing_off = std::mem::take(&mut self.backing_off);
        self.requeued.extend(backing_off.into_iter().map(|expiry| expiry.task));
    }

    /// Takes the next task that may be started out of those that wait. Each task is passed once
    /// and once more for each time it is requeued, however many there are.
    pub(super) fn next_task(&mut self, job: &LiveJob, now: Instant) -> Option<u32> {
        while let Some(task) = self.requeued.pop_first() {
            if self.is_open(job, task) {
                return Some(task);
            }
        }
        while self.cursor < job.tasks() {
            let task = self.cursor;
            self.cursor += 1;
            if !self.is_open(job, task) {
                continue;
            }
            match self.backoff_of(task, now) {
                Some(at) => drop(self.backing_off.insert(BackoffExpiry { at, task })),
                None => return Some(task),
            }
        }
        None
    }

    fn is_open(&self, job: &LiveJob, task: u32) -> bool {
        !self.placed.contains_key(&task) && !job.is_completed(task)
    }
}
