//! Workers, tasks and users' jobs as the simulated world has them.

use crate::extra_requests::{ExtraRequest, ReportedStatus};
use std::collections::BTreeMap;
use troutspindle::ids::{Attempt, FencingToken, MachineId, TaskId};
use troutspindle::wire::{JobSpec, TaskState};

pub struct Running {
    pub attempt: Attempt,
    pub state: TaskState,
    pub why: Option<String>,
    pub ready_at: u64,
    pub ends_at: Option<u64>,
}

pub struct Worker {
    pub zone: usize,
    pub spot: bool,
    pub up_at: u64,
    pub gone: bool,
    pub agent_epoch: u64,
    pub seq: u64,
    pub token: FencingToken,
    pub renewed: u64,
    pub target: usize,
    pub asked: Option<(u64, u64, u64)>,
    pub next_report: u64,
    pub changed: bool,
    pub images: Vec<String>,
    pub tasks: BTreeMap<TaskId, Running>,
    /// Nothing ran on it when it was deleted.
    pub tasks_left_empty: bool,
}

pub struct UserJob {
    pub spec: JobSpec,
    pub accepted: bool,
    pub cancel_at: Option<u64>,
    /// When its user asked to cancel it.
    pub asked_abort: bool,
    pub cancellation_confirmed_ms: Option<u64>,
    /// How often its user was told to ask again to cancel it.
    pub put_off: u32,
    pub told_done: bool,
    /// Submitted with a mistake: it fails wherever it runs.
    pub always_fails: bool,
    /// How many of its tasks were on machines when its user was told that it is cancelled.
    pub ran_when_told: usize,
    /// When it asked last, and for what: 0 submit, 1 poll, 2 abort.
    pub asked: Option<(u64, u8)>,
    /// What its user was told first, of each kind, and when that arrived.
    pub told: Vec<(u64, ReportedStatus)>,
    /// The event in which its last usual request was sent.
    pub sent: u64,
    pub last_good: u64,
}

pub enum Ticket {
    Heartbeat(MachineId, u64),
    User(u64, u64),
    ExtraRequest(ExtraRequest),
}
