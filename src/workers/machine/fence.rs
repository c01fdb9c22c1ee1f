//! Fencing tokens of the commands to one worker.
//!
//! A worker rejects a direct call that carries a lower token than the highest one that it has seen. Raising its token
//! therefore ends the effect of all direct calls that were sent to it before, late copies included.

use crate::ids::FencingToken;

/// Tokens that a leader may use in commands to workers.
#[derive(Debug, Clone, Copy)]
pub struct LeaderTokens {
    /// Token under which the leader was elected.
    pub leader: FencingToken,
    /// True if commands may carry higher tokens of the leader: every controller that may answer workers accepts them.
    pub may_raise: bool,
}

/// Tokens that a worker has seen, and the token of the next command to it.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerFence {
    reported: FencingToken,
    current: FencingToken,
}

impl WorkerFence {
    /// Returns the highest token that the worker is known to have seen.
    pub fn reported(&self) -> FencingToken {
        self.reported
    }

    /// Returns the token of the next command. No command with a higher token was sent by this leader.
    pub fn current(&self, tokens: LeaderTokens) -> FencingToken {
        self.current.max(tokens.leader)
    }

    /// Returns how often this leader has raised the worker's token.
    pub fn raises(&self, leader: FencingToken) -> u64 {
        self.current.raises_since_election(leader)
    }

    /// Records the token in a heartbeat.
    pub(super) fn observe(&mut self, token: FencingToken) {
        self.reported = self.reported.max(token);
        self.current = self.current.max(token);
    }

    /// Raises the token of the next command above those of all earlier ones, if it can be raised.
    pub(super) fn raise(&mut self, tokens: LeaderTokens) {
        self.current = self.next(tokens).unwrap_or(self.current);
    }

    /// Returns whether the token can be raised.
    pub(super) fn can_raise(&self, tokens: LeaderTokens) -> bool {
        self.next(tokens).is_some()
    }

    fn next(&self, tokens: LeaderTokens) -> Option<FencingToken> {
        if !tokens.may_raise {
            return None;
        }
        self.current(tokens).raised(tokens.leader)
    }
}
