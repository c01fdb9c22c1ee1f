//! Commands that are due for a machine's worker.

use super::{LeaderTokens, Machine, PlacedAttempt, StopRequest};
use crate::ids::{Attempt, TaskId};
use crate::wire::{CommandBatch, TaskState, WorkerCommand};

/// Maximum number of commands in one answer to a worker, which keeps the answer far below 64 KiB.
pub const MAX_COMMANDS_PER_ANSWER: usize = 300;
/// Number of exited attempts on a worker that cannot be forgotten from which on tasks start only in answers to its
/// heartbeats, whose attempts can. This bounds the size of its heartbeats.
const MAX_UNFORGETTABLE_ATTEMPTS: usize = 64;

impl Machine {
    /// Returns the answer to its heartbeat. Attempts are forgotten only here: an answer never arrives late, and it
    /// raises the worker's token if a start of a forgotten attempt was sent in a direct call. So no start of an attempt
    /// is executed after the attempt was forgotten.
    pub fn answer(&mut self, tokens: LeaderTokens) -> CommandBatch {
        let mut commands = Vec::new();
        for (task, attempt) in self.take_forgettable(tokens) {
            commands.push(WorkerCommand::Forget { task, attempt });
        }
        commands.extend(self.due_commands());
        commands.truncate(MAX_COMMANDS_PER_ANSWER);
        CommandBatch { token: self.fence.current(tokens), agent_epoch: None, commands }
    }

    /// Returns the due commands for a direct call.
    pub fn direct_call(&self, tokens: LeaderTokens) -> CommandBatch {
        let mut commands = if self.commands_due { self.due_commands() } else { Vec::new() };
        if self.must_start_by_answer(tokens) {
            commands.retain(|command| !self.is_first_direct_start(command));
        }
        let agent_epoch = Some(self.agent_epoch);
        CommandBatch { token: self.fence.current(tokens), agent_epoch, commands }
    }

    /// Removes and returns the attempts that the worker can forget now, and raises its token if that is necessary.
    fn take_forgettable(&mut self, tokens: LeaderTokens) -> Vec<(TaskId, Attempt)> {
        let can_raise = self.fence.can_raise(tokens);
        let is_forgettable = |attempt: &PlacedAttempt| {
            is_processed(attempt) && (can_raise || !attempt.sent_directly)
        };
        let attempts = self.attempts.iter().filter(|(_, attempt)| is_forgettable(attempt));
        let keys: Vec<_> =
            attempts.map(|(key, _)| key.clone()).take(MAX_COMMANDS_PER_ANSWER).collect();
        let mut must_raise = false;
        for key in &keys {
            must_raise |= self.attempts.remove(key).is_some_and(|attempt| attempt.sent_directly);
        }
        if must_raise {
            self.fence.raise(tokens);
        }
        keys
    }

    /// Returns whether too many exited attempts stay on the worker to start further tasks by direct calls.
    fn must_start_by_answer(&self, tokens: LeaderTokens) -> bool {
        let is_unforgettable =
            |attempt: &&PlacedAttempt| is_processed(attempt) && attempt.sent_directly;
        !self.fence.can_raise(tokens)
            && self.attempts.values().filter(is_unforgettable).count() >= MAX_UNFORGETTABLE_ATTEMPTS
    }

    fn is_first_direct_start(&self, command: &WorkerCommand) -> bool {
        let WorkerCommand::Start { task, attempt } = command else { return false };
        let placed = self.attempts.get(&(task.clone(), *attempt));
        placed.is_some_and(|placed| !placed.sent_directly)
    }

    fn due_commands(&self) -> Vec<WorkerCommand> {
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
            let (task, number) = key;
            let reason = stop.reason;
            tracing::debug!(machine = %self.id, %task, attempt = %number, reason, "stop requested");
            attempt.stop = Some(stop);
            self.commands_due = true;
        }
    }

    /// Records a direct call that is sent with these commands.
    pub fn record_direct_call(&mut self, commands: &[WorkerCommand]) {
        self.update_started(commands, |placed| {
            placed.starts_in_flight += 1;
            placed.sent_directly = true;
        });
    }

    /// Records the result of a direct call with these commands that does not leave open whether it is executed.
    pub fn record_direct_result(&mut self, commands: &[WorkerCommand]) {
        self.update_started(commands, |placed| {
            placed.starts_in_flight = placed.starts_in_flight.saturating_sub(1);
        });
    }

    fn update_started(&mut self, commands: &[WorkerCommand], update: impl Fn(&mut PlacedAttempt)) {
        for command in commands {
            if let WorkerCommand::Start { task, attempt } = command
                && let Some(placed) = self.attempts.get_mut(&(task.clone(), *attempt))
            {
                update(placed);
            }
        }
    }
}

/// Returns whether the attempt has exited and its exit needs no further processing.
fn is_processed(attempt: &PlacedAttempt) -> bool {
    attempt.exit_handled && attempt.state == TaskState::Exited
}
