//! Counts for logs and for callers that watch the leader.

use std::collections::BTreeMap;
use tokio::time::Instant;

/// What this leadership has done and seen so far.
#[derive(Debug)]
pub(super) struct Statistics {
    /// When a worker last sent a heartbeat.
    pub(super) last_heartbeat: Instant,
    /// Heartbeats taken in.
    pub(super) heartbeats: u64,
    /// Tasks started.
    pub(super) starts: u64,
    /// Tasks stopped.
    pub(super) stops: u64,
    /// Tasks that the last planning pass left waiting, by cause.
    pub(super) waiting_by_cause: BTreeMap<&'static str, u64>,
}

impl Statistics {
    /// Counts from zero.
    pub(super) fn new(now: Instant) -> Statistics {
        Statistics {
            last_heartbeat: now,
            heartbeats: 0,
            starts: 0,
            stops: 0,
            waiting_by_cause: BTreeMap::new(),
        }
    }
    /// Counts tasks that wait for a reason.
    pub(super) fn add_waiting(&mut self, cause: &'static str, tasks: u64) {
        *self.waiting_by_cause.entry(cause).or_default() += tasks;
    }
}
