//! Suspicion that a machine is faulty, and the task that may refute it.

use super::{Machine, PlacedAttempt};
use crate::wire::TaskState;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the last failure on a faulty machine during which no task is placed on it.
pub const FAULTY_MACHINE_AVOIDANCE: Duration = Duration::from_secs(45);

impl Machine {
    /// Returns whether one task may be placed on a faulty machine to show whether the machine still fails: the last
    /// failure was long enough ago, and no other task that was placed since is still to show that.
    pub fn may_be_tried(&self, now: Instant) -> bool {
        let Some(failed_at) = self.last_failure else { return true };
        now >= failed_at + FAULTY_MACHINE_AVOIDANCE
            && !self.attempts_since(failed_at).any(|attempt| attempt.state != TaskState::Exited)
    }

    /// Returns whether a task that was placed after the last failure has been running for `long_enough`.
    pub fn has_run_since_failure(&self, long_enough: Duration, now: Instant) -> bool {
        let ran = |attempt: &PlacedAttempt| {
            attempt.state == TaskState::Running
                && attempt.running_since.is_some_and(|at| now >= at + long_enough)
        };
        self.last_failure.is_some_and(|failed_at| self.attempts_since(failed_at).any(ran))
    }

    /// Forgets all failures, because a task that was placed after the last one succeeded.
    pub fn clear_faults(&mut self) {
        self.failed_jobs.clear();
        self.last_failure = None;
        self.faulty = false;
    }

    fn attempts_since(&self, time: Instant) -> impl Iterator<Item = &PlacedAttempt> + use<'_> {
        self.attempts.values().filter(move |attempt| attempt.placed_at > time)
    }
}
