//! The cloud's list of machines, and the removal of terminated machines.

use crate::cloud::MachineListing;
use crate::ids::MachineId;
use crate::scheduler::Scheduler;
use crate::store::Cache;
use crate::wire::{ListedMachine, ListedMachineState};
use crate::workers::machine::{Machine, MachineState};
use foldhash::{HashSet, HashSetExt};
use std::time::Duration;
use tokio::time::Instant;

/// Factor on the list lag that the cloud states. A list is presumed to be outdated by at most the
/// product plus [`LIST_LAG_MARGIN_S`].
const LIST_LAG_FACTOR: f64 = 2.0;
/// Time added to the lag given by [`LIST_LAG_FACTOR`], in seconds.
const LIST_LAG_MARGIN_S: f64 = 1.0;
/// Maximum machine age in seconds; greater listed ages are clamped to it.
const MAX_AGE_S: f64 = 1e7;

impl Scheduler {
    /// Processes the cloud's list of machines.
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
                self.terminate_failed_machine(&row, cache, now);
            } else {
                self.record_listed_machine(&row, now);
            }
        }
        self.terminate_unlisted(&present, requested_at);
    }

    /// Reports the tasks of a failed machine as lost and marks it for deletion. The cloud lists it
    /// until it is deleted.
    fn terminate_failed_machine(&mut self, row: &ListedMachine, cache: &Cache, now: Instant) {
        self.remove_machine(&row.machine, "failed", cache, now);
        self.autoscaler.reserved_machines.remove(&row.machine);
        if let Some(pool) = self.fleet.pool(&row.machine_type, &row.zone, row.spot) {
            let machine = self.fleet.add_machine(&row.machine, pool, now);
            machine.state = MachineState::Terminating;
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
        // A new leader learns from the listed age how long a machine has been paid for.
        let age = Duration::from_secs_f64(row.age_s.clamp(0.0, MAX_AGE_S));
        let rented = now.checked_sub(age).unwrap_or(machine.rented_at);
        machine.rented_at = machine.rented_at.min(rented);
        if machine.address.is_none() {
            machine.address = row.address.as_deref().and_then(|address| address.parse().ok());
        }
    }

    /// Terminates machines that are silent and not listed. A machine once listed stays listed until
    /// it is terminated, but a list may be older than the one before, so a missing machine is only
    /// suspected to be terminated. Only its deletion proves that it is.
    fn terminate_unlisted(&mut self, present: &HashSet<MachineId>, requested_at: Instant) {
        let list_lag_s = self.settings.platform.params.cloud.list_lag_s;
        let list_lag = Duration::from_secs_f64(list_lag_s * LIST_LAG_FACTOR + LIST_LAG_MARGIN_S);
        let silence_limit = self.settings.heartbeat_interval() * 2;
        let is_missing = |machine: &Machine| {
            !present.contains(&machine.id)
                && machine.state != MachineState::Terminating
                && machine.time_since_heartbeat(requested_at) > silence_limit
                && requested_at.saturating_duration_since(machine.rented_at) > list_lag
        };
        for machine in self.fleet.machines.values_mut().filter(|machine| is_missing(machine)) {
            tracing::info!(machine = %machine.id, "machine unreachable and not listed, terminating");
            machine.state = MachineState::Terminating;
        }
    }

    /// Removes a terminated machine, and reports its tasks as lost.
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
        tracing::info!(machine = %id, reason, tasks, "machine removed");
        for event in machine.terminate_attempts() {
            self.on_task_event(id, event, cache, now);
        }
    }
}
