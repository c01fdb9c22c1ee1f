//! Machines to terminate, until the cloud confirms their termination.

use crate::constants::RETRY_PAUSE;
use crate::ids::MachineId;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Maximum number of machines in one request, set by the cloud's API.
const MAX_MACHINES_PER_REQUEST: usize = 100;

/// Queue of the machines to return to the cloud, which terminates them. At most one request is in flight.
#[derive(Default)]
pub(super) struct ReturnQueue {
    /// Machines to terminate, each with the earliest time of its next request.
    machines: BTreeMap<MachineId, Instant>,
    in_flight: bool,
}

impl ReturnQueue {
    /// Removes all machines. A request in flight is not cancelled.
    pub(super) fn clear(&mut self) {
        self.machines.clear();
    }

    pub(super) fn push(&mut self, machine: &MachineId, now: Instant) {
        self.machines.entry(machine.clone()).or_insert(now);
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Returns the machines for the next request and marks it as in flight, or `None` if no machine is due.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<Vec<MachineId>> {
        let due = self.machines.iter().filter(|(_, not_before)| **not_before <= now);
        let due: Vec<MachineId> =
            due.map(|(machine, _)| machine.clone()).take(MAX_MACHINES_PER_REQUEST).collect();
        self.in_flight = !due.is_empty();
        self.in_flight.then_some(due)
    }

    /// Removes the machines of a request that the cloud confirmed.
    pub(super) fn confirm(&mut self, machines: &[MachineId]) {
        self.in_flight = false;
        for machine in machines {
            self.machines.remove(machine);
        }
    }

    /// Schedules a retry for the machines of a request that failed or may have failed.
    pub(super) fn retry(&mut self, machines: &[MachineId], now: Instant) {
        self.in_flight = false;
        for machine in machines {
            if let Some(not_before) = self.machines.get_mut(machine) {
                *not_before = now + RETRY_PAUSE * 2;
            }
        }
    }
}
