//! The cloud's list of machines, and machines that are gone.

use crate::cloud::MachineListing;
use crate::ids::MachineId;
use crate::scheduler::Scheduler;
use crate::store::Cache;
use crate::wire::{ListedMachine, ListedMachineState};
use crate::workers::machine::{Machine, MachineState};
use foldhash::{HashSet, HashSetExt};
use std::time::Duration;
use tokio::time::Instant;

/// Seconds. A list may lag behind by so many times what the cloud states, and a second.
const LIST_LAG_FACTOR: f64 = 2.0;
/// Seconds added to the above.
const LIST_LAG_MARGIN_S: f64 = 1.0;
/// Seconds. Ages beyond this are taken for this.
const MAX_AGE_S: f64 = 1e7;

impl Scheduler {
    /// Takes in the cloud's list of machines.
    pub(super) fn on_machine_list(&mut self, listing: MachineListing, cache: &Cache, now: Instant) {
        let MachineListing { machines, requested_at } = listing;
        self.fleet.listed_once = true;
        let mut present = HashSet::new();
        for row in machines {
            if self.fleet.terminated.contains(&row.machine) {
                continue;
            }
            present.insert(row.machine.clone());
            if row.status == ListedMachineState::Failed {
                self.return_failed_machine(&row, cache, now);
            } else {
                self.record_listed_machine(&row, now);
            }
        }
        self.suspect_unlisted(&present, requested_at);
    }

    /// A failed machine stays in the list until it is deleted.
    fn return_failed_machine(&mut self, row: &ListedMachine, cache: &Cache, now: Instant) {
        self.remove_machine(&row.machine, "failed", cache, now);
        self.autoscaler.reserved_machines.remove(&row.machine);
        if let Some(pool) = self.fleet.pool(&row.machine_type, &row.zone, row.spot) {
            let machine = self.fleet.add_machine(&row.machine, pool, now);
            machine.state = MachineState::Returning;
        }
    }

    fn record_listed_machine(&mut self, row: &ListedMachine, now: Instant) {
        if !self.fleet.machines.contains_key(&row.machine) {
            let Some(pool) = self.fleet.pool(&row.machine_type, &row.zone, row.spot) else {
                return;
            };
            self.fleet.add_machine(&row.machine, pool, now);
        }
        let Some(machine) = self.fleet.machines.get_mut(&row.machine) else { return };
        // A new leader knows from here how long a machine has been paid for.
        let age = Duration::from_secs_f64(row.age_s.clamp(0.0, MAX_AGE_S));
        let rented = now.checked_sub(age).unwrap_or(machine.rented);
        machine.rented = machine.rented.min(rented);
        if machine.address.is_none() {
            machine.address = row.address.as_deref().and_then(|address| address.parse().ok());
        }
    }

    /// Returns machines that are silent and not listed. A machine once listed stays listed until
    /// it is gone, but a list may be older than the one before, so a missing machine is only
    /// suspected: its deletion gives the proof.
    fn suspect_unlisted(&mut self, present: &HashSet<MachineId>, requested_at: Instant) {
        let list_lag_s = self.settings.platform.params.cloud.list_lag_s;
        let lag = Duration::from_secs_f64(list_lag_s * LIST_LAG_FACTOR + LIST_LAG_MARGIN_S);
        let quiet = self.settings.heartbeat_interval() * 2;
        let is_missing = |machine: &Machine| {
            !present.contains(&machine.id)
                && machine.state != MachineState::Returning
                && machine.time_since_heartbeat(requested_at) > quiet
                && requested_at.saturating_duration_since(machine.rented) > lag
        };
        for machine in self.fleet.machines.values_mut().filter(|machine| is_missing(machine)) {
            tracing::info!(machine = %machine.id, "machine unreachable and not listed, terminating");
            machine.state = MachineState::Returning;
        }
    }

    /// Removes a machine that is gone, with the tasks that it had.
    pub(super) fn remove_machine(
        &mut self,
        id: &MachineId,
        reason: &'static str,
        cache: &Cache,
        now: Instant,
    ) {
        let Some(mut machine) = self.fleet.remove_machine(id) else { return };
        self.direct_calls.in_flight -= usize::from(machine.direct_in_flight);
        let tasks = machine.attempts.len();
        tracing::info!(machine = %id, reason, tasks, "machine is gone");
        for event in machine.terminate_attempts() {
            self.on_task_event(id, event, cache, now);
        }
    }
}
