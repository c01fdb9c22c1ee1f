//! The term of leadership for which a scheduler is built.

use crate::ids::{Attempt, FencingToken, Revision};
use crate::store::LEADER_KEY;
use crate::wire::Precondition;
use std::time::Duration;
use tokio::time::Instant;

/// One uninterrupted leadership: its fencing token and what is numbered within it.
#[derive(Debug)]
pub(super) struct LeaderTerm {
    /// The fencing token of this leadership; workers refuse commands that carry a lower one.
    pub(super) token: FencingToken,
    /// The revision of the leader key that this leadership holds.
    leader_revision: Revision,
    /// When this leadership began.
    pub(super) started_at: Instant,
    /// How many attempts this leadership has created.
    attempts_created: u64,
}

impl LeaderTerm {
    /// A term that begins now.
    pub(super) fn new(token: FencingToken, leader_revision: Revision, now: Instant) -> LeaderTerm {
        LeaderTerm { token, leader_revision, started_at: now, attempts_created: 0 }
    }

    /// The revision of the leader key that this leadership holds.
    pub(super) fn leader_revision(&self) -> Revision {
        self.leader_revision
    }

    /// The precondition under which every write of this leader commits: nobody else became the
    /// leader meanwhile.
    pub(super) fn precondition(&self) -> Precondition {
        Precondition { key: LEADER_KEY.into(), rev: self.leader_revision }
    }

    /// For how long this term has lasted.
    pub(super) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// A new attempt, higher than all before it.
    pub(super) fn create_attempt(&mut self) -> Attempt {
        self.attempts_created += 1;
        self.latest_attempt()
    }

    /// The highest attempt that this leadership has created.
    pub(super) fn latest_attempt(&self) -> Attempt {
        Attempt::new(self.token, self.attempts_created)
    }
}
