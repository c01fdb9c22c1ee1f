//! Log entries of the commands that are sent to workers.

use crate::ids::MachineId;
use crate::wire::{CommandBatch, WorkerCommand};
use std::fmt;

/// Way by which commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the leader's answer to a heartbeat, which another controller may relay.
    Heartbeat,
    /// In the answer of another controller on behalf of the leader.
    Delegated,
    /// In a direct call by the leader.
    Direct,
    /// In a direct call by another controller on behalf of the leader.
    Forwarded,
}

impl fmt::Display for CommandRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandRoute::Heartbeat => "heartbeat",
            CommandRoute::Delegated => "delegated",
            CommandRoute::Direct => "direct",
            CommandRoute::Forwarded => "forwarded",
        })
    }
}

/// Logs each command of a batch that is sent to a worker in this agent epoch.
pub fn log_commands(
    machine: &MachineId,
    agent_epoch: u64,
    batch: &CommandBatch,
    route: CommandRoute,
) {
    for command in &batch.commands {
        let (command, task, attempt) = match command {
            WorkerCommand::Start { task, attempt } => ("start", task, attempt),
            WorkerCommand::Stop { task, attempt, .. } => ("stop", task, attempt),
            WorkerCommand::Forget { task, attempt } => ("forget", task, attempt),
        };
        let fencing_token = batch.token;
        tracing::debug!(
            command, %machine, %task, %attempt, %fencing_token, agent_epoch, %route, "command sent"
        );
    }
}
