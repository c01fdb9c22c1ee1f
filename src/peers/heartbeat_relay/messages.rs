//! Heartbeats and commands in the form that travels between controllers.
//!
//! The wire form is postcard: the order of variants and of fields is part of it, their names are not.

use crate::ids::{Attempt, FencingToken, MachineId, TaskId};
use crate::wire::{Heartbeat, TaskState, TaskStatus, WorkerCommand};
use serde::{Deserialize, Serialize};

/// Bytes. What a heartbeat without its tasks takes in a frame at the most.
pub(super) const HEARTBEAT_BYTES: usize = 200;
/// Bytes. What a task of a heartbeat takes in a frame at the most.
const TASK_BYTES: usize = 80;

/// Bytes that a heartbeat takes in a frame at the most.
pub(super) fn encoded_size(heartbeat: &Heartbeat) -> usize {
    HEARTBEAT_BYTES + heartbeat.tasks.len() * TASK_BYTES
}

/// A complete heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FullHeartbeat {
    machine: MachineId,
    address: String,
    machine_type: String,
    zone: String,
    spot: bool,
    agent_epoch: u64,
    seq: u64,
    token: FencingToken,
    notice_s: Option<f64>,
    tasks: Vec<RelayedTaskStatus>,
}

impl FullHeartbeat {
    /// Bytes that it takes in a frame at the most.
    pub fn encoded_size(&self) -> usize {
        HEARTBEAT_BYTES + self.tasks.len() * TASK_BYTES
    }
}

impl From<Heartbeat> for FullHeartbeat {
    fn from(heartbeat: Heartbeat) -> FullHeartbeat {
        FullHeartbeat {
            machine: heartbeat.machine,
            address: heartbeat.address,
            machine_type: heartbeat.machine_type,
            zone: heartbeat.zone,
            spot: heartbeat.spot,
            agent_epoch: heartbeat.agent_epoch,
            seq: heartbeat.seq,
            token: heartbeat.token,
            notice_s: heartbeat.notice_s,
            tasks: heartbeat.tasks.into_iter().map(RelayedTaskStatus::from).collect(),
        }
    }
}

impl From<FullHeartbeat> for Heartbeat {
    fn from(relayed: FullHeartbeat) -> Heartbeat {
        Heartbeat {
            machine: relayed.machine,
            address: relayed.address,
            machine_type: relayed.machine_type,
            zone: relayed.zone,
            spot: relayed.spot,
            agent_epoch: relayed.agent_epoch,
            seq: relayed.seq,
            token: relayed.token,
            notice_s: relayed.notice_s,
            tasks: relayed.tasks.into_iter().map(TaskStatus::from).collect(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RelayedTaskStatus {
    task: TaskId,
    attempt: Attempt,
    state: TaskState,
    why: Option<String>,
    saved: Option<bool>,
}

impl From<TaskStatus> for RelayedTaskStatus {
    fn from(status: TaskStatus) -> RelayedTaskStatus {
        let TaskStatus { task, attempt, state, exit_cause: why, saved } = status;
        RelayedTaskStatus { task, attempt, state, why, saved }
    }
}

impl From<RelayedTaskStatus> for TaskStatus {
    fn from(status: RelayedTaskStatus) -> TaskStatus {
        let RelayedTaskStatus { task, attempt, state, why, saved } = status;
        TaskStatus { task, attempt, state, exit_cause: why, saved }
    }
}

/// A heartbeat that says what an earlier one of the same agent epoch said.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnchangedHeartbeat {
    /// The worker's machine.
    pub machine: MachineId,
    /// The worker's agent epoch.
    pub agent_epoch: u64,
    /// Number of the earlier heartbeat.
    pub previous_seq: u64,
    /// Number of this one.
    pub seq: u64,
}

/// A heartbeat of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayedHeartbeat {
    /// All of it.
    Full(FullHeartbeat),
    /// Only that nothing has changed.
    Unchanged(UnchangedHeartbeat),
}

/// A command for a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayedCommand {
    /// Start an attempt.
    Start(TaskId, Attempt),
    /// Stop an attempt within so many seconds.
    Stop(TaskId, Attempt, f64),
    /// Drop what is known of an attempt that ended.
    Forget(TaskId, Attempt),
}

impl From<WorkerCommand> for RelayedCommand {
    fn from(command: WorkerCommand) -> RelayedCommand {
        match command {
            WorkerCommand::Start { task, attempt } => RelayedCommand::Start(task, attempt),
            WorkerCommand::Stop { task, attempt, grace_s } => {
                RelayedCommand::Stop(task, attempt, grace_s)
            }
            WorkerCommand::Forget { task, attempt } => RelayedCommand::Forget(task, attempt),
        }
    }
}

impl From<RelayedCommand> for WorkerCommand {
    fn from(command: RelayedCommand) -> WorkerCommand {
        match command {
            RelayedCommand::Start(task, attempt) => WorkerCommand::Start { task, attempt },
            RelayedCommand::Stop(task, attempt, grace_s) => {
                WorkerCommand::Stop { task, attempt, grace_s }
            }
            RelayedCommand::Forget(task, attempt) => WorkerCommand::Forget { task, attempt },
        }
    }
}

/// The leader's result for a heartbeat of a batch. Heartbeats without one are accepted without commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HeartbeatResult {
    /// The worker's lease is renewed, and it gets these commands.
    Accepted(Vec<RelayedCommand>),
    /// The leader does not know the worker's previous heartbeat: it needs the complete one.
    ResendInFull,
}

impl HeartbeatResult {
    /// The result that the leader does not send.
    pub fn is_default(&self) -> bool {
        matches!(self, HeartbeatResult::Accepted(commands) if commands.is_empty())
    }
}
