//! What follows from the end of a task that a heartbeat reports.

use crate::constants::{RETRY_FIRST, RETRY_MOST};
use crate::ids::{Attempt, MachineId, TaskId};
use crate::jobs::LiveJob;
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::RetryBackoff;
use crate::scheduler::preemption::{MOVED, PREEMPTED};
use crate::scheduler::runtime_prediction::ObservedRun;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::store::Cache;
use crate::wire::{JobKind, Priority};
use std::time::Duration;
use tokio::time::Instant;

/// A worker's word for a task that ended well.
const DONE: &str = "done";
/// A worker's word for a task that was stopped on command.
const STOPPED: &str = "halted";
/// A worker's word for a task that failed by itself.
const FAILED: &str = "error";
/// A worker's words for a task that it could not start.
const NOT_STARTED: [&str; 2] = ["no_room", "in_use"];

/// The longest exponent of the growing pause between retries.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The end of an attempt, as its worker reports it.
#[derive(Debug)]
pub(super) struct TaskExit {
    /// The machine on which it ran.
    pub(super) machine: MachineId,
    /// The task.
    pub(super) task: TaskId,
    /// The attempt.
    pub(super) attempt: Attempt,
    /// The worker's word for how it ended.
    pub(super) why: String,
    /// Whether it saved its progress.
    pub(super) saved: bool,
}

impl TaskExit {
    fn key(&self) -> TaskAttempt {
        (self.task.clone(), self.attempt)
    }

    fn was_stopped(&self) -> bool {
        self.why == STOPPED
    }

    /// The pause before the next attempt, after so many failures before this one.
    fn retry_pause(&self, failures: u32) -> Duration {
        if self.was_stopped() {
            Duration::ZERO
        } else if NOT_STARTED.contains(&self.why.as_str()) {
            RETRY_FIRST
        } else {
            RETRY_MOST.min(RETRY_FIRST * 2u32.pow(failures.min(MAX_BACKOFF_DOUBLINGS)))
        }
    }

    fn log(&self) {
        let TaskExit { machine, task, attempt, why, saved } = self;
        if self.was_stopped() || why == DONE {
            tracing::debug!(%machine, %task, %attempt, why, saved, "task ended");
        } else {
            tracing::info!(%machine, %task, %attempt, why, saved, "task ended");
        }
    }
}

impl Scheduler {
    /// Takes in the end of a task: it is completed, or it is to be started again.
    pub(super) fn on_exit(&mut self, exit: &TaskExit, cache: &Cache, now: Instant) {
        self.note_vacated(exit, now);
        let live = self.live(cache, &exit.task.job);
        let done = exit.why == DONE && live.is_some_and(|l| l.spec.kind != JobKind::Service);
        let first_report = live.is_some_and(|live| !self.is_completing(&exit.task, live));
        if (done && first_report) || exit.was_stopped() {
            let run = self.observed_run(exit, done, now);
            self.record_task_run(&exit.task, &exit.machine, live, &run);
        }
        if done && live.is_some_and(|live| !live.is_completed(exit.task.index)) {
            // The machine keeps the exit until the completion is committed.
            self.await_completion(exit, now);
            return;
        }
        exit.log();
        if !self.fleet.machines.contains_key(&exit.machine) {
            return;
        }
        let preempted = self.settle_exit(exit, now);
        if live.is_some() && !done {
            self.back_off(exit, preempted, now);
        }
        self.release(&exit.task, exit.attempt, now);
    }

    /// Room that more urgent work left is kept from low-priority tasks for a while.
    fn note_vacated(&mut self, exit: &TaskExit, now: Instant) {
        if let Some(machine) = self.fleet.machines.get_mut(&exit.machine)
            && let Some(entry) = machine.attempts.get(&exit.key())
            && entry.urgency < Priority::Low
        {
            machine.vacated_at = Some(now);
        }
    }

    fn observed_run(&self, exit: &TaskExit, done: bool, now: Instant) -> ObservedRun {
        let machine = self.fleet.machines.get(&exit.machine);
        let entry = machine.and_then(|machine| machine.attempts.get(&exit.key()));
        let began = entry.and_then(|entry| entry.observed_start);
        let duration = began.map(|at| now.saturating_duration_since(at));
        ObservedRun { duration, done, saved: exit.saved }
    }

    fn await_completion(&mut self, exit: &TaskExit, now: Instant) {
        let job = &exit.task.job;
        let progress = self.jobs.progress.entry(job.clone()).or_default();
        progress.completing.insert(exit.task.index);
        self.jobs.completing.insert(job.clone());
        self.record_success(job, now);
    }

    /// Marks the exit as handled; whether the task was stopped for more urgent work.
    fn settle_exit(&mut self, exit: &TaskExit, now: Instant) -> bool {
        let machine = self.fleet.machines.get_mut(&exit.machine);
        let entry = machine.and_then(|machine| machine.attempts.get_mut(&exit.key()));
        let Some(entry) = entry else { return false };
        entry.exit_handled = true;
        let preempted = entry.stopped_for(PREEMPTED);
        if preempted || entry.stopped_for(MOVED) {
            // Somebody waits: a service for its replica, or urgent work for this room.
            self.planning_clock.next_pass = now;
        }
        preempted
    }

    /// Notes a pause before the task is tried again, and whom a failure is attributed to.
    fn back_off(&mut self, exit: &TaskExit, preempted: bool, now: Instant) {
        let progress = self.jobs.progress.entry(exit.task.job.clone()).or_default();
        progress.preemptions += u32::from(preempted);
        let before = progress.retries.get(&exit.task.index).map_or(0, |retry| retry.failures);
        let failures = before + u32::from(!exit.was_stopped());
        let not_before = now + exit.retry_pause(before);
        progress.retries.insert(exit.task.index, RetryBackoff { not_before, failures });
        if exit.why == FAILED {
            self.attribute_failure(exit, now);
        }
    }

    fn attribute_failure(&mut self, exit: &TaskExit, now: Instant) {
        let job = &exit.task.job;
        if let Some(machine) = self.fleet.machines.get_mut(&exit.machine) {
            machine.failed_jobs.insert(job.clone());
        }
        let Some(progress) = self.jobs.progress.get_mut(job) else { return };
        let was_faulty = progress.failures.is_job_faulty();
        progress.failures.record_failure(&exit.machine, now);
        if progress.failures.is_job_faulty() && !was_faulty {
            let machines = progress.failures.failed_machines().len();
            tracing::info!(%job, machines, "job suspected: fails on every machine, retried with backoff");
        }
    }

    /// Whether the completion of the task is committed or was reported before.
    fn is_completing(&self, task: &TaskId, live: &LiveJob) -> bool {
        let progress = self.jobs.progress.get(&task.job);
        live.is_completed(task.index)
            || progress.is_some_and(|progress| progress.completing.contains(&task.index))
    }
}
