//! Counters for logs and for the parts of the process that monitor the leader.

use std::collections::BTreeMap;
use tokio::time::Instant;

/// Counters of this term.
#[derive(Debug)]
pub(super) struct Statistics {
    /// Time of the last heartbeat of any worker, or the start of the term if there was none.
    pub(super) last_heartbeat: Instant,
    /// Number of heartbeats received, including relayed ones.
    pub(super) heartbeats: u64,
    /// Number of task starts.
    pub(super) starts: u64,
    /// Number of stop commands.
    pub(super) stops: u64,
    /// Number of tasks that the last planning pass left waiting, by cause.
    pub(super) waiting_by_cause: BTreeMap<&'static str, u64>,
}

impl Statistics {
    pub(super) fn new(now: Instant) -> Statistics {
        Statistics {
            last_heartbeat: now,
            heartbeats: 0,
            starts: 0,
            stops: 0,
            waiting_by_cause: BTreeMap::new(),
        }
    }

    /// Adds tasks that wait for this cause.
    pub(super) fn add_waiting(&mut self, cause: &'static str, tasks: u64) {
        *self.waiting_by_cause.entry(cause).or_default() += tasks;
    }
}
