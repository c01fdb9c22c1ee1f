//! Attempts at tasks, as a machine holds them.

use crate::ids::{Amount, Attempt, TaskId};
use crate::wire::{Priority, TaskState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Why a task is stopped whose job has finished.
pub const JOB_FINISHED: &str = "its job is over";

/// A command to stop an attempt, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct StopRequest {
    /// Seconds that it has to save its progress.
    pub grace_s: f64,
    /// For the log.
    pub reason: &'static str,
}

/// What is known of an attempt when it is placed.
#[derive(Debug, Clone)]
pub struct AttemptSpec {
    /// Resources that it takes.
    pub need: Amount,
    /// Index of its team; `usize::MAX` while that is unknown.
    pub team: usize,
    /// Its priority.
    pub urgency: Priority,
    /// Image that it runs.
    pub image: Arc<str>,
}

/// One attempt on a machine.
#[derive(Debug, Clone)]
pub struct PlacedAttempt {
    /// Resources that it takes.
    pub need: Amount,
    /// Index of its team; `usize::MAX` while that is unknown.
    pub team: usize,
    /// Its priority.
    pub urgency: Priority,
    /// Image that it runs.
    pub image: Arc<str>,
    /// A heartbeat has shown it.
    pub is_reported: bool,
    /// Its state as last reported.
    pub state: TaskState,
    /// Direct calls with its start that have no answer.
    pub starts_in_flight: u32,
    /// The command to stop it, once it was given.
    pub stop: Option<StopRequest>,
    /// When it was placed.
    pub placed: Instant,
    /// When a heartbeat first showed it running.
    pub running_since: Option<Instant>,
    /// The same, but only if this leader saw it begin.
    pub observed_start: Option<Instant>,
    /// When a heartbeat last showed it running: on a silent machine it may have ended at any time since.
    pub last_seen_running: Option<Instant>,
    /// Its exit was processed: it is forgotten as soon as that is safe.
    pub exit_handled: bool,
}

impl PlacedAttempt {
    /// An attempt that is placed now and not reported yet.
    pub fn new(spec: AttemptSpec, now: Instant) -> PlacedAttempt {
        PlacedAttempt {
            need: spec.need,
            team: spec.team,
            urgency: spec.urgency,
            image: spec.image,
            is_reported: false,
            state: TaskState::Fetching,
            starts_in_flight: 0,
            stop: None,
            placed: now,
            running_since: None,
            observed_start: None,
            last_seen_running: None,
            exit_handled: false,
        }
    }

    /// How long it was seen to run, if its start was.
    pub(super) fn observed_run_time(&self) -> Option<Duration> {
        Some(self.last_seen_running?.saturating_duration_since(self.observed_start?))
    }

    /// Whether it was told to stop for this reason.
    pub fn stopped_for(&self, reason: &str) -> bool {
        self.stop.as_ref().is_some_and(|stop| stop.reason == reason)
    }
}

/// What a heartbeat tells about an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskEvent {
    /// It runs now.
    Running(TaskId, Attempt),
    /// It ended.
    Exited {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The worker's word for how it ended.
        why: String,
        /// It saved its progress.
        saved: bool,
    },
    /// It is surely not on the machine any more, and nothing is known of its end. With how long it was seen to run at
    /// least, if its start was seen.
    Vanished(TaskId, Attempt, Option<Duration>),
    /// A heartbeat shows it, and it was placed by an earlier leader.
    Found(TaskId, Attempt),
}
