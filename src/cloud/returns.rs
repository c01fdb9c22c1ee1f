//! Machines that are to be returned, until the cloud confirms it.

use crate::constants::RETRY_PAUSE;
use crate::ids::MachineId;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Count. Machines in one request at the most, as the cloud's interface has it.
const MAX_MACHINES_PER_REQUEST: usize = 100;

/// Machines that are to be returned. One request is in flight at a time.
#[derive(Default)]
pub(super) struct ReturnQueue {
    /// Each is not sent before its time.
    machines: BTreeMap<MachineId, Instant>,
    in_flight: bool,
}

impl ReturnQueue {
    /// Drops all machines; a request in flight stays.
    pub(super) fn clear(&mut self) {
        self.machines.clear();
    }

    pub(super) fn push(&mut self, machine: &MachineId, now: Instant) {
        self.machines.entry(machine.clone()).or_insert(now);
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Machines for the request that is sent now, if any are due.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<Vec<MachineId>> {
        let due = self.machines.iter().filter(|(_, not_before)| **not_before <= now);
        let due: Vec<MachineId> =
            due.map(|(machine, _)| machine.clone()).take(MAX_MACHINES_PER_REQUEST).collect();
        self.in_flight = !due.is_empty();
        self.in_flight.then_some(due)
    }

    /// The cloud confirmed a request.
    pub(super) fn confirm(&mut self, machines: &[MachineId]) {
        self.in_flight = false;
        for machine in machines {
            self.machines.remove(machine);
        }
    }

    /// A request failed, or may have.
    pub(super) fn retry(&mut self, machines: &[MachineId], now: Instant) {
        self.in_flight = false;
        for machine in machines {
            if let Some(not_before) = self.machines.get_mut(machine) {
                *not_before = now + RETRY_PAUSE * 2;
            }
        }
    }
}
