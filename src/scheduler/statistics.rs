//! Counters for logs and for the parts of the process that monitor the leader.

use crate::ids::{JobId, MachineId};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Tasks of a job that wait although a machine that is up has room for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HeldBackTasks {
    /// The job that the tasks belong to.
    pub(super) job: JobId,
    /// Number of these tasks.
    pub(super) tasks: u32,
    /// A machine that has room.
    pub(super) machine: MachineId,
    /// Why they don't start there.
    pub(super) cause: &'static str,
}

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
    /// The first of the jobs that wait beside a machine with room, as of the last planning pass.
    pub(super) held_back: Vec<HeldBackTasks>,
}

impl Statistics {
    pub(super) fn new(now: Instant) -> Statistics {
        Statistics {
            last_heartbeat: now,
            heartbeats: 0,
            starts: 0,
            stops: 0,
            waiting_by_cause: BTreeMap::new(),
            held_back: Vec::new(),
        }
    }

    /// Adds tasks that wait for this cause.
    pub(super) fn add_waiting(&mut self, cause: &'static str, tasks: u64) {
        *self.waiting_by_cause.entry(cause).or_default() += tasks;
    }
}
