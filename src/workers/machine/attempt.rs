//! Attempts on a machine, and the events that heartbeats report about them.

use crate::ids::{Amount, Attempt, TaskId};
use crate::wire::{Priority, TaskState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Reason for stopping a task whose job has finished.
pub const JOB_FINISHED: &str = "job finished";

/// Request to stop an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct StopRequest {
    /// Seconds that the attempt has to save its progress.
    pub grace_s: f64,
    /// Reason, as shown in the log.
    pub reason: &'static str,
}

/// Properties of an attempt that are known when it is placed.
#[derive(Debug, Clone)]
pub struct AttemptSpec {
    /// Resource request of the task.
    pub request: Amount,
    /// Index of its team; `usize::MAX` while the team is unknown.
    pub team: usize,
    /// Priority, including what its job inherits from dependent jobs.
    pub priority: Priority,
    /// Container image that it runs.
    pub image: Arc<str>,
}

/// An attempt that is placed on a machine.
#[derive(Debug, Clone)]
pub struct PlacedAttempt {
    /// Resource request of the task.
    pub request: Amount,
    /// Index of its team; `usize::MAX` while the team is unknown.
    pub team: usize,
    /// Priority, including what its job inherits from dependent jobs.
    pub priority: Priority,
    /// Container image that it runs.
    pub image: Arc<str>,
    /// True if a heartbeat has listed it.
    pub is_reported: bool,
    /// State as last reported by a heartbeat.
    pub state: TaskState,
    /// Number of direct calls with its start that have not been answered.
    pub starts_in_flight: u32,
    /// True if its start was sent in a direct call under the current or an earlier token of this leader, so that a copy
    /// may be executed at any time.
    pub sent_directly: bool,
    /// Stop request, once one was made.
    pub stop: Option<StopRequest>,
    /// Time at which it was placed.
    pub placed_at: Instant,
    /// Time at which a heartbeat first listed it as running.
    pub running_since: Option<Instant>,
    /// Time at which it began to run, if this leader observed the start.
    pub observed_start: Option<Instant>,
    /// Time at which a heartbeat last listed it as running. On a silent machine it may have ended at any time since.
    pub last_seen_running: Option<Instant>,
    /// True if its exit was processed; it is then forgotten as soon as that is safe.
    pub exit_handled: bool,
}

impl PlacedAttempt {
    /// Creates an attempt that is placed now and not reported yet.
    pub fn new(spec: AttemptSpec, now: Instant) -> PlacedAttempt {
        PlacedAttempt {
            request: spec.request,
            team: spec.team,
            priority: spec.priority,
            image: spec.image,
            is_reported: false,
            state: TaskState::Fetching,
            starts_in_flight: 0,
            sent_directly: false,
            stop: None,
            placed_at: now,
            running_since: None,
            observed_start: None,
            last_seen_running: None,
            exit_handled: false,
        }
    }

    /// Returns whether it began to run at least `time` ago, whether it still runs or not.
    pub fn has_run_for(&self, time: Duration, now: Instant) -> bool {
        self.running_since.is_some_and(|at| now >= at + time)
    }

    /// Returns whether it is running and has been for at least `time`.
    pub fn is_running_for(&self, time: Duration, now: Instant) -> bool {
        self.state == TaskState::Running && self.has_run_for(time, now)
    }

    /// Returns the time for which it was observed to run, if its start was observed.
    pub(super) fn observed_run_time(&self) -> Option<Duration> {
        Some(self.last_seen_running?.saturating_duration_since(self.observed_start?))
    }

    /// Returns whether its stop was requested for this reason.
    pub fn stopped_for(&self, reason: &str) -> bool {
        self.stop.as_ref().is_some_and(|stop| stop.reason == reason)
    }
}

/// Change of an attempt that follows from a heartbeat, or from the end of an agent epoch or of a machine's lease.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskEvent {
    /// The attempt has begun to run.
    Running(TaskId, Attempt),
    /// The attempt has ended.
    Exited {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Exit cause as given by the worker.
        exit_cause: String,
        /// True if the attempt saved its progress.
        saved: bool,
    },
    /// The attempt is certainly not on the machine any more, and its exit cause is unknown. The duration is the minimum
    /// time that it ran, if its start was observed.
    Vanished(TaskId, Attempt, Option<Duration>),
    /// A heartbeat lists an attempt that was placed by an earlier leader.
    Found(TaskId, Attempt),
}
