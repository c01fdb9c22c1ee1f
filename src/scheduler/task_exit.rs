//! Handles task exits that heartbeats report.

use crate::constants::{INITIAL_TASK_BACKOFF, MAX_TASK_BACKOFF};
use crate::ids::{Attempt, MachineId, TaskId};
use crate::jobs::LiveJob;
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::RetryBackoff;
use crate::scheduler::preemption::{MOVED, PREEMPTED};
use crate::scheduler::reconciliation::SUCCESS_AFTER_RUNNING;
use crate::scheduler::runtime_prediction::ObservedRun;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::store::Cache;
use crate::wire::{JobKind, Priority};
use std::time::Duration;
use tokio::time::Instant;

/// Exit cause of a task that completed.
const DONE: &str = "done";
/// Exit cause of a task that was stopped on command.
const STOPPED: &str = "halted";
/// Exit cause of a task that failed by itself.
const FAILED: &str = "error";
/// Exit causes of a task that the worker could not start.
const NOT_STARTED: [&str; 2] = ["no_room", "in_use"];

/// Maximum number of doublings of the backoff between retries.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The exit of an attempt, as its worker reports it.
#[derive(Debug)]
pub(super) struct TaskExit {
    pub(super) machine: MachineId,
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    /// Exit cause as the worker reported it, such as [`DONE`].
    pub(super) exit_cause: String,
    /// True if the task saved its progress.
    pub(super) saved: bool,
}

impl TaskExit {
    fn key(&self) -> TaskAttempt {
        (self.task.clone(), self.attempt)
    }

    fn was_stopped(&self) -> bool {
        self.exit_cause == STOPPED
    }

    /// Returns the backoff before the next attempt, given the number of failures before this exit.
    fn retry_backoff(&self, previous_failures: u32) -> Duration {
        if self.was_stopped() {
            Duration::ZERO
        } else if NOT_STARTED.contains(&self.exit_cause.as_str()) {
            INITIAL_TASK_BACKOFF
        } else {
            MAX_TASK_BACKOFF
                .min(INITIAL_TASK_BACKOFF * 2u32.pow(previous_failures.min(MAX_BACKOFF_DOUBLINGS)))
        }
    }

    fn log(&self) {
        let TaskExit { machine, task, attempt, exit_cause, saved } = self;
        if self.was_stopped() || exit_cause == DONE {
            tracing::debug!(%machine, %task, %attempt, exit_cause, saved, "task exited");
        } else {
            tracing::info!(%machine, %task, %attempt, exit_cause, saved, "task exited");
        }
    }
}

impl Scheduler {
    /// Applies a task exit: the task is completed, or it is requeued to be started again.
    pub(super) fn on_exit(&mut self, exit: &TaskExit, cache: &Cache, now: Instant) {
        self.record_vacated(exit, now);
        let live = self.live(cache, &exit.task.job);
        let completed =
            exit.exit_cause == DONE && live.is_some_and(|live| live.spec.kind != JobKind::Service);
        let first_report = live.is_some_and(|live| !self.is_completing(&exit.task, live));
        if (completed && first_report) || exit.was_stopped() {
            let run = self.observed_run(exit, completed, now);
            self.record_task_run(&exit.task, &exit.machine, live, &run);
        }
        if completed && live.is_some_and(|live| !live.is_completed(exit.task.index)) {
            // The machine keeps the exit until the completion is committed.
            self.await_completion(exit, now);
            return;
        }
        exit.log();
        if !self.fleet.machines.contains_key(&exit.machine) {
            return;
        }
        let preempted = self.mark_exit_handled(exit, now);
        if live.is_some() && !completed {
            self.back_off(exit, preempted, now);
        }
        self.release(&exit.task, exit.attempt, now);
    }

    /// Records that a task above low priority has vacated capacity on its machine. Low-priority tasks don't get that
    /// capacity for a while.
    fn record_vacated(&mut self, exit: &TaskExit, now: Instant) {
        if let Some(machine) = self.fleet.machines.get_mut(&exit.machine)
            && let Some(entry) = machine.attempts.get(&exit.key())
            && entry.priority < Priority::Low
        {
            machine.record_vacated(now);
        }
    }

    fn observed_run(&self, exit: &TaskExit, completed: bool, now: Instant) -> ObservedRun {
        let machine = self.fleet.machines.get(&exit.machine);
        let entry = machine.and_then(|machine| machine.attempts.get(&exit.key()));
        let started_at = entry.and_then(|entry| entry.observed_start);
        let duration = started_at.map(|at| now.saturating_duration_since(at));
        ObservedRun { duration, completed, saved: exit.saved }
    }

    fn await_completion(&mut self, exit: &TaskExit, now: Instant) {
        let job = &exit.task.job;
        let progress = self.jobs.progress.entry(job.clone()).or_default();
        progress.completing.insert(exit.task.index);
        self.jobs.completing.insert(job.clone());
        self.record_success(job, now);
        self.record_success_on(&exit.machine, &exit.key());
    }

    /// Marks the exit as handled and returns whether the task was preempted for a job of higher priority. If the task
    /// was preempted or moved, the next planning pass is due at once.
    fn mark_exit_handled(&mut self, exit: &TaskExit, now: Instant) -> bool {
        let machine = self.fleet.machines.get_mut(&exit.machine);
        let entry = machine.and_then(|machine| machine.attempts.get_mut(&exit.key()));
        let Some(entry) = entry else { return false };
        entry.exit_handled = true;
        let preempted = entry.stopped_for(PREEMPTED);
        if preempted || entry.stopped_for(MOVED) {
            // A service waits for its replica, or a job of higher priority waits for this capacity.
            self.planning_clock.next_pass = now;
        }
        preempted
    }

    /// Records the backoff before the next attempt, and attributes a failure to the job or the machine.
    fn back_off(&mut self, exit: &TaskExit, preempted: bool, now: Instant) {
        let progress = self.jobs.progress.entry(exit.task.job.clone()).or_default();
        progress.preemptions += u32::from(preempted);
        let previous_failures = progress.failure_count(exit.task.index);
        let failures = previous_failures + u32::from(!exit.was_stopped());
        let not_before = now + exit.retry_backoff(previous_failures);
        progress.retries.insert(exit.task.index, RetryBackoff { not_before, failures });
        if exit.exit_cause == FAILED {
            self.attribute_failure(exit, now);
        }
    }

    fn attribute_failure(&mut self, exit: &TaskExit, now: Instant) {
        let job = &exit.task.job;
        let mut ran_long = false;
        if let Some(machine) = self.fleet.machines.get_mut(&exit.machine) {
            machine.failed_jobs.insert(job.clone());
            machine.last_failure = Some(now);
            let entry = machine.attempts.get(&exit.key());
            ran_long = entry.is_some_and(|entry| entry.has_run_for(SUCCESS_AFTER_RUNNING, now));
        }
        let Some(progress) = self.jobs.progress.get_mut(job) else { return };
        let was_faulty = progress.failures.is_job_faulty();
        progress.failures.record_failure(&exit.machine, now);
        if ran_long {
            progress.failures.record_run_before_failure();
        }
        if progress.failures.is_job_faulty() && !was_faulty {
            let machines = progress.failures.machine_failures().len();
            tracing::info!(%job, machines, "job suspected to be faulty: fails on every machine, retrying with backoff");
        }
    }

    /// Returns whether the completion of the task is committed or was reported before.
    fn is_completing(&self, task: &TaskId, live: &LiveJob) -> bool {
        let progress = self.jobs.progress.get(&task.job);
        live.is_completed(task.index)
            || progress.is_some_and(|progress| progress.completing.contains(&task.index))
    }
}
