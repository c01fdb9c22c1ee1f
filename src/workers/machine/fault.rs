//! Suspicion that a machine is faulty, and the task that may refute it.

use super::{Machine, PlacedAttempt};
use crate::wire::TaskState;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the last failure on a faulty machine during which no task is placed on it.
pub const FAULTY_MACHINE_AVOIDANCE: Duration = Duration::from_secs(45);

impl Machine {
    /// Returns whether one task may be placed on a faulty machine to show whether the machine still fails: the last
    /// failure was long enough ago, and no other such task is still to show that.
    pub fn may_be_tried(&self, now: Instant) -> bool {
        let mut trials = self.attempts.values().filter(|attempt| self.is_trial(attempt));
        let is_due = self.last_failure.is_none_or(|at| now >= at + FAULTY_MACHINE_AVOIDANCE);
        is_due && trials.all(|attempt| attempt.state == TaskState::Exited)
    }

    /// Returns whether an attempt was placed so long after the last failure that its success refutes the suspicion.
    pub fn is_trial(&self, attempt: &PlacedAttempt) -> bool {
        self.last_failure.is_some_and(|at| attempt.placed_at >= at + FAULTY_MACHINE_AVOIDANCE)
    }

    /// Returns whether such an attempt has been running for `long_enough`.
    pub fn has_trial_run_for(&self, long_enough: Duration, now: Instant) -> bool {
        let mut attempts = self.attempts.values();
        attempts.any(|attempt| self.is_trial(attempt) && attempt.is_running_for(long_enough, now))
    }

    /// Forgets all failures, because a task that was placed long enough after the last one succeeded.
    pub fn clear_faults(&mut self) {
        self.failed_jobs.clear();
        self.last_failure = None;
        self.faulty = false;
    }
}
