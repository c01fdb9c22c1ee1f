//! State of the simulated workers, tasks and users' jobs.

use crate::extra_requests::{ExtraRequest, ReportedStatus};
use std::collections::BTreeMap;
use troutspindle::ids::{Attempt, FencingToken, MachineId, TaskId};
use troutspindle::wire::{JobSpec, TaskState};

/// A task on a worker.
pub struct RunningTask {
    pub attempt: Attempt,
    pub state: TaskState,
    /// Exit cause once the task has exited.
    pub exit_cause: Option<String>,
    /// Time in milliseconds at which the image has been fetched.
    pub ready_at: u64,
    /// Time in milliseconds at which the task completes by itself; `None` for tasks that keep running.
    pub ends_at: Option<u64>,
}

/// A rented machine and the worker on it.
pub struct Worker {
    /// Index into [`ZONES`](crate::ZONES).
    pub zone: usize,
    pub spot: bool,
    /// Time in milliseconds at which the machine has booted.
    pub booted_at: u64,
    /// Whether the machine was terminated, reclaimed or killed.
    pub terminated: bool,
    pub agent_epoch: u64,
    pub seq: u64,
    pub token: FencingToken,
    /// Time in milliseconds from which the current lease counts.
    pub lease_renewed_at: u64,
    /// Controller that receives the next heartbeat.
    pub target: usize,
    /// Sequence number, agent epoch and send time of the heartbeat that awaits its response.
    pub pending_heartbeat: Option<(u64, u64, u64)>,
    /// Time in milliseconds of the next regular heartbeat.
    pub next_heartbeat_at: u64,
    /// Whether a task changed its state since the last heartbeat, so that the next one is sent at once.
    pub changed: bool,
    /// Images in the machine's cache.
    pub images: Vec<String>,
    pub tasks: BTreeMap<TaskId, RunningTask>,
    /// Whether no task was running when the machine was terminated.
    pub terminated_idle: bool,
}

/// A job with the view that its user has of it.
pub struct UserJob {
    pub spec: JobSpec,
    /// Whether the user received a response that acknowledges the job.
    pub accepted: bool,
    /// Time in milliseconds from which the user asks to cancel the job.
    pub cancel_at: Option<u64>,
    /// Whether the user has sent a cancellation.
    pub cancel_requested: bool,
    pub cancellation_confirmed_ms: Option<u64>,
    /// Number of cancellations that were answered with 503.
    pub cancellations_postponed: u32,
    /// Whether the user received a response that reports the job as completed.
    pub completion_confirmed: bool,
    /// Whether every task of the job fails on every machine.
    pub always_fails: bool,
    /// Whether the first attempt of every task of the job fails.
    pub first_attempts_fail: bool,
    /// Number of tasks on machines when the cancellation was confirmed.
    pub tasks_when_confirmed: usize,
    /// Send time and kind of the pending regular request: 0 submit, 1 poll, 2 cancel.
    pub pending_request: Option<(u64, u8)>,
    /// Each reported status with the event in which it was first received.
    pub received: Vec<(u64, ReportedStatus)>,
    /// Event in which the last regular request was sent.
    pub sent_event: u64,
    /// Time in milliseconds of the last response other than 503 or a failed connection.
    pub last_response_ms: u64,
}

/// Origin of a request that a controller has not answered yet.
pub enum Ticket {
    /// Machine and sequence number of the heartbeat.
    Heartbeat(MachineId, u64),
    /// Job and send time of a regular request.
    User(u64, u64),
    ExtraRequest(ExtraRequest),
}
