//! Heartbeats and commands as they are sent between controllers.
//!
//! They are encoded with postcard: the order of variants and fields is part of the encoding, their names are not.

use crate::ids::{Attempt, FencingToken, MachineId, TaskId};
use crate::wire::{CommandBatch, Heartbeat, TaskState, TaskStatus, WorkerCommand};
use serde::{Deserialize, Serialize};

/// Maximum encoded size of a heartbeat without its tasks, in bytes.
pub(super) const HEARTBEAT_BYTES: usize = 200;
/// Maximum encoded size of one task of a heartbeat, in bytes.
const TASK_BYTES: usize = 80;

/// Returns the maximum encoded size of a heartbeat, in bytes.
pub(super) fn encoded_size(heartbeat: &Heartbeat) -> usize {
    HEARTBEAT_BYTES + heartbeat.tasks.len() * TASK_BYTES
}

/// Complete heartbeat, with the same content as [`Heartbeat`].
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
    /// Returns the maximum encoded size, in bytes.
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
    exit_cause: Option<String>,
    saved: Option<bool>,
}

impl From<TaskStatus> for RelayedTaskStatus {
    fn from(status: TaskStatus) -> RelayedTaskStatus {
        let TaskStatus { task, attempt, state, exit_cause, saved } = status;
        RelayedTaskStatus { task, attempt, state, exit_cause, saved }
    }
}

impl From<RelayedTaskStatus> for TaskStatus {
    fn from(status: RelayedTaskStatus) -> TaskStatus {
        let RelayedTaskStatus { task, attempt, state, exit_cause, saved } = status;
        TaskStatus { task, attempt, state, exit_cause, saved }
    }
}

/// Heartbeat with the same content as an earlier one of the same agent epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnchangedHeartbeat {
    /// Machine that the worker runs on.
    pub machine: MachineId,
    /// Agent epoch of the worker, in which both heartbeats were sent.
    pub agent_epoch: u64,
    /// Sequence number of the earlier heartbeat.
    pub previous_seq: u64,
    /// Sequence number of this heartbeat.
    pub seq: u64,
}

/// Heartbeat in a batch sent to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayedHeartbeat {
    /// Complete heartbeat.
    Full(FullHeartbeat),
    /// Reference to an earlier heartbeat with the same content.
    Unchanged(UnchangedHeartbeat),
}

/// Command for a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayedCommand {
    /// Starts an attempt.
    Start(TaskId, Attempt),
    /// Stops an attempt; the last field is the grace period in seconds.
    Stop(TaskId, Attempt, f64),
    /// Removes the record of a finished attempt.
    Forget(TaskId, Attempt),
    /// Sets the fencing token of the commands, in place of the one that follows from the frame. Sent only if all
    /// controllers know it.
    UseToken(FencingToken),
}

impl RelayedCommand {
    /// Returns the commands of a batch as they are sent to a controller that would by itself use `default_token`.
    pub fn from_batch(batch: CommandBatch, default_token: FencingToken) -> Vec<RelayedCommand> {
        let token = (batch.token != default_token).then_some(RelayedCommand::UseToken(batch.token));
        token.into_iter().chain(batch.commands.into_iter().map(RelayedCommand::from)).collect()
    }

    /// Returns the batch for the worker.
    pub fn into_batch(
        commands: Vec<RelayedCommand>,
        default_token: FencingToken,
        agent_epoch: Option<u64>,
    ) -> CommandBatch {
        let token = RelayedCommand::token_of(&commands).unwrap_or(default_token);
        let commands = commands.into_iter().filter_map(RelayedCommand::into_worker_command);
        CommandBatch { token, agent_epoch, commands: commands.collect() }
    }

    /// Returns the fencing token that the commands name; `None` if it follows from the frame.
    pub fn token_of(commands: &[RelayedCommand]) -> Option<FencingToken> {
        commands.iter().find_map(|command| match command {
            RelayedCommand::UseToken(token) => Some(*token),
            _ => None,
        })
    }

    fn into_worker_command(self) -> Option<WorkerCommand> {
        Some(match self {
            RelayedCommand::Start(task, attempt) => WorkerCommand::Start { task, attempt },
            RelayedCommand::Stop(task, attempt, grace_s) => {
                WorkerCommand::Stop { task, attempt, grace_s }
            }
            RelayedCommand::Forget(task, attempt) => WorkerCommand::Forget { task, attempt },
            RelayedCommand::UseToken(_) => return None,
        })
    }
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

/// The leader's result for a heartbeat in a batch. A heartbeat without a result is accepted without commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HeartbeatResult {
    /// The leader renews the worker's lease and sends it these commands.
    Accepted(Vec<RelayedCommand>),
    /// The leader does not know the earlier heartbeat and needs the complete one.
    ResendInFull,
}

impl HeartbeatResult {
    /// Returns whether this is the result of a heartbeat without one, which the leader does not send.
    pub fn is_default(&self) -> bool {
        matches!(self, HeartbeatResult::Accepted(commands) if commands.is_empty())
    }
}
