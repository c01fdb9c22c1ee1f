//! The leader's term for which a scheduler is created.

use crate::constants::FORMAT_RAISED_TOKENS;
use crate::ids::{Attempt, FencingToken, Revision};
use crate::store::LEADER_KEY;
use crate::wire::Precondition;
use crate::workers::machine::LeaderTokens;
use std::time::Duration;
use tokio::time::Instant;

/// One uninterrupted term of a leader: its fencing token and the numbers of the attempts created under it.
#[derive(Debug)]
pub(super) struct LeaderTerm {
    /// Fencing token of this term; workers reject commands that carry a lower one than they have seen.
    pub(super) token: FencingToken,
    /// Revision of the leader key under which this term was won.
    leader_revision: Revision,
    /// Start of the term.
    pub(super) started_at: Instant,
    /// True if every controller accepts raised tokens in answers to workers.
    may_raise_tokens: bool,
    /// Number of attempts that were created in this term.
    attempts_created: u64,
}

impl LeaderTerm {
    pub(super) fn new(token: FencingToken, leader_revision: Revision, now: Instant) -> LeaderTerm {
        LeaderTerm {
            token,
            leader_revision,
            started_at: now,
            may_raise_tokens: false,
            attempts_created: 0,
        }
    }

    /// Records the format that all controllers read.
    pub(super) fn set_format(&mut self, format: u32) {
        self.may_raise_tokens = format >= FORMAT_RAISED_TOKENS;
    }

    /// Returns the tokens that commands to workers may carry.
    pub(super) fn tokens(&self) -> LeaderTokens {
        LeaderTokens { leader: self.token, may_raise: self.may_raise_tokens }
    }

    pub(super) fn leader_revision(&self) -> Revision {
        self.leader_revision
    }

    /// Returns the precondition of every write of this leader: no other controller has become the leader since.
    pub(super) fn precondition(&self) -> Precondition {
        Precondition { key: LEADER_KEY.into(), rev: self.leader_revision }
    }

    pub(super) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Creates an attempt that is higher than all earlier ones.
    pub(super) fn create_attempt(&mut self) -> Attempt {
        self.attempts_created += 1;
        self.latest_attempt()
    }

    /// Returns the highest attempt that was created in this term.
    pub(super) fn latest_attempt(&self) -> Attempt {
        Attempt::new(self.token, self.attempts_created)
    }
}
