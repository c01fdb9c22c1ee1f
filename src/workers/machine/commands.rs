//! Commands that are due for a machine's worker.

use super::{Machine, PlacedAttempt, StopRequest};
use crate::ids::{Attempt, TaskId};
use crate::wire::{TaskState, WorkerCommand};

/// Maximum number of commands in one answer to a worker, which keeps the answer far below 64 KiB.
pub const MAX_COMMANDS_PER_ANSWER: usize = 300;

impl Machine {
    /// Returns the commands for the answer to its heartbeat. Attempts are forgotten only here: answers to heartbeats
    /// arrive in order and never late, so no start can arrive after the `forget` of its attempt.
    pub fn commands_for_answer(&mut self) -> Vec<WorkerCommand> {
        let forgettable: Vec<(TaskId, Attempt)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_forgettable(attempt))
            .map(|(key, _)| key.clone())
            .take(MAX_COMMANDS_PER_ANSWER)
            .collect();
        let mut commands = Vec::new();
        for key in forgettable {
            self.attempts.remove(&key);
            commands.push(WorkerCommand::Forget { task: key.0, attempt: key.1 });
        }
        commands.extend(self.direct_commands());
        commands.truncate(MAX_COMMANDS_PER_ANSWER);
        commands
    }

    /// Returns due starts and stops, which may also be sent in a direct call.
    pub fn direct_commands(&mut self) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        for ((task, attempt), placed) in &self.attempts {
            if placed.state == TaskState::Exited || commands.len() >= MAX_COMMANDS_PER_ANSWER - 1 {
                continue;
            }
            let (task, attempt) = (task.clone(), *attempt);
            match &placed.stop {
                // A start that may still be in flight is sent again and then stopped, so that a late copy finds its
                // attempt already known to the worker.
                Some(stop) => {
                    if !placed.is_reported {
                        commands.push(WorkerCommand::Start { task: task.clone(), attempt });
                    }
                    let is_saving = placed.state == TaskState::Saving && stop.grace_s > 0.0;
                    if !is_saving {
                        let grace_s = stop.grace_s;
                        commands.push(WorkerCommand::Stop { task, attempt, grace_s });
                    }
                }
                None if !placed.is_reported && self.recorded => {
                    commands.push(WorkerCommand::Start { task, attempt });
                }
                None => {}
            }
        }
        commands
    }

    /// Requests the stop of an attempt. The command is sent with the next answer, or earlier in a direct call.
    pub fn request_stop(&mut self, key: &(TaskId, Attempt), stop: StopRequest) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.stop = Some(stop);
            self.commands_due = true;
        }
    }

    /// Adds `change` to `starts_in_flight` for each start command: 1 for a sent direct call, -1 for an answered one.
    pub fn track_starts_in_flight(&mut self, commands: &[WorkerCommand], change: i32) {
        for command in commands {
            if let WorkerCommand::Start { task, attempt } = command
                && let Some(placed) = self.attempts.get_mut(&(task.clone(), *attempt))
            {
                placed.starts_in_flight = placed.starts_in_flight.saturating_add_signed(change);
            }
        }
    }
}

fn is_forgettable(attempt: &PlacedAttempt) -> bool {
    attempt.exit_handled && attempt.state == TaskState::Exited && attempt.starts_in_flight == 0
}
