//! Commands for a machine's worker.

use super::{Machine, PlacedAttempt, StopRequest};
use crate::ids::{Attempt, TaskId};
use crate::wire::{TaskState, WorkerCommand};

/// Count. Commands in one answer to a worker, which keeps it far below 64 KiB.
pub const MAX_COMMANDS_PER_ANSWER: usize = 300;

impl Machine {
    /// Commands for the answer to its heartbeat. Attempts are forgotten only here: answers to heartbeats arrive in
    /// order and never late, so no start can overtake a `forget`.
    pub fn commands_for_answer(&mut self) -> Vec<WorkerCommand> {
        let ended: Vec<(TaskId, Attempt)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| may_be_forgotten(attempt))
            .map(|(key, _)| key.clone())
            .take(MAX_COMMANDS_PER_ANSWER)
            .collect();
        let mut commands = Vec::new();
        for key in ended {
            self.attempts.remove(&key);
            commands.push(WorkerCommand::Forget { task: key.0, attempt: key.1 });
        }
        commands.extend(self.direct_commands());
        commands.truncate(MAX_COMMANDS_PER_ANSWER);
        commands
    }

    /// Starts and stops, which may also be sent straight to the worker.
    pub fn direct_commands(&mut self) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        for ((task, attempt), placed) in &self.attempts {
            if placed.state == TaskState::Exited || commands.len() >= MAX_COMMANDS_PER_ANSWER - 1 {
                continue;
            }
            let (task, attempt) = (task.clone(), *attempt);
            match &placed.stop {
                // A start that may still be on its way is sent again and then stopped, so that the late one finds its
                // attempt known.
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

    /// Has an attempt stopped: the command goes out with the next answer or before.
    pub fn request_stop(&mut self, key: &(TaskId, Attempt), stop: StopRequest) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.stop = Some(stop);
            self.commands_due = true;
        }
    }

    /// Counts the starts among commands that are sent straight to the worker (`change` is 1) or were answered (-1).
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

fn may_be_forgotten(attempt: &PlacedAttempt) -> bool {
    attempt.exit_handled && attempt.state == TaskState::Exited && attempt.starts_in_flight == 0
}
