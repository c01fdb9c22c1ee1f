//! Machines that come and go: rentals, refusals, lists, and what silence and age say.
//!
//! Owns a machine's life and its index, and which kinds refuse. It decides when a machine is given up; what ran there is
//! told on as facts. It rents nothing by itself: the planner says how many.

use crate::cloud::{CloudClient, CloudEvent, MachinePool};
use crate::constants::{
    BOOT_OVERDUE, BOOT_OVERDUE_MORE, BOOT_PATIENCE, BOOT_PATIENCE_MORE, CAPACITY_GROWTH,
    CAPACITY_PROBE, CAPACITY_REST, HIRE_MAX, HIRE_SETTLE, LATE_TOGETHER,
};
use crate::ids::MachineId;
use crate::scheduler::Scheduler;
use crate::scheduler::fleet::FleetSummary;
use crate::store::Cache;
use crate::wire::MachineType;
use crate::workers::machine::{Machine, MachineState};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::time::Duration;
use tokio::time::Instant;
/// What bounds how many machines are rented.
#[derive(Debug)]
pub(super) struct Autoscaler {
    /// Pools that refused a rental.
    pub(super) capacity_backoff: HashMap<MachinePool, CapacityBackoff>,
    /// Machines that are kept empty as warm room.
    pub(super) reserved_machines: HashSet<MachineId>,
    /// How many machines controllers can serve.
    pub(super) max_machines: u32,
}

impl Default for Autoscaler {
    fn default() -> Autoscaler {
        Autoscaler {
            capacity_backoff: HashMap::new(),
            reserved_machines: HashSet::new(),
            max_machines: u32::MAX,
        }
    }
}

/// How a pool is asked after it refused a rental.
#[derive(Debug)]
pub(super) struct CapacityBackoff {
    /// The pool is not asked before this time.
    pub(super) not_before: Instant,
    /// The most machines that are asked for at once.
    pub(super) max_request: u32,
}

impl Scheduler {
    pub fn on_cloud(&mut self, event: CloudEvent, cache: &Cache, now: Instant) {
        self.planning_clock.pass_requested = true;
        self.direct_calls.all_dirty = true;
        match event {
            CloudEvent::MachineTypes(found) => {
                crate::wire::merge(&mut self.fleet.machine_types, found);
                // What counts as heavy follows from the largest type.
                self.fleet.machines.values_mut().for_each(Machine::entries_changed);
            }
            CloudEvent::Hired(kind, machines) => {
                self.fair_share.cloud_told();
                if let Some(backoff) = self.autoscaler.capacity_backoff.get_mut(&kind) {
                    backoff.max_request *= CAPACITY_GROWTH;
                    if backoff.max_request > HIRE_MAX {
                        self.autoscaler.capacity_backoff.remove(&kind);
                    }
                }
                for id in &machines {
                    self.fleet.add_machine(id, kind, now);
                }
                let zone = &self.settings.platform.params.zones[kind.zone];
                tracing::info!(count = machines.len(), %zone, spot = kind.spot, "rented");
            }
            CloudEvent::Refused(kind) => {
                self.fair_share.cloud_told();
                let zone = &self.settings.platform.params.zones[kind.zone];
                tracing::info!(%zone, spot = kind.spot, "rental refused");
                let backoff = CapacityBackoff {
                    not_before: now + CAPACITY_REST,
                    max_request: CAPACITY_PROBE,
                };
                self.autoscaler.capacity_backoff.insert(kind, backoff);
            }
            CloudEvent::Deleted(machines) => {
                for id in machines {
                    self.fleet.terminated.insert(id.clone());
                    self.gone(&id, "returned", cache, now);
                }
            }
            CloudEvent::ListedMachine(listed, asked) => self.on_list(listed, asked, cache, now),
        }
    }

    pub(super) fn on_list(
        &mut self,
        listed: Vec<crate::wire::ListedMachine>,
        asked: Instant,
        cache: &Cache,
        now: Instant,
    ) {
        self.fleet.listed_once = true;
        let mut present = HashSet::new();
        for row in listed {
            if self.fleet.terminated.contains(&row.machine) {
                continue;
            }
            present.insert(row.machine.clone());
            if row.status == crate::wire::ListedMachineState::Failed {
                self.gone(&row.machine, "failed", cache, now);
                // It stays in the list until it is deleted.
                self.autoscaler.reserved_machines.remove(&row.machine);
                if let Some(kind) = self.fleet.pool(&row.flavor, &row.zone, row.spot) {
                    let machine = self.fleet.add_machine(&row.machine, kind, now);
                    machine.life = MachineState::Returning;
                }
                continue;
            }
            if !self.fleet.machines.contains_key(&row.machine) {
                let Some(kind) = self.fleet.pool(&row.flavor, &row.zone, row.spot) else {
                    continue;
                };
                self.fleet.add_machine(&row.machine, kind, now);
            }
            if let Some(machine) = self.fleet.machines.get_mut(&row.machine) {
                // A new leader knows from here how long a machine has been paid for.
                let age = Duration::from_secs_f64(row.age_s.clamp(0.0, 1e7));
                let rented = now.checked_sub(age).unwrap_or(machine.rented);
                machine.rented = machine.rented.min(rented);
                if machine.address.is_none() {
                    machine.address = row.address.as_deref().and_then(|a| a.parse().ok());
                }
            }
        }
        // A machine once listed stays listed until it is gone, but a list may be older than the
        // one before. So a missing machine is only suspected; its deletion gives the proof.
        let lag =
            Duration::from_secs_f64(self.settings.platform.params.cloud.list_lag_s * 2.0 + 1.0);
        let quiet = self.settings.report_every() * 2;
        for machine in self.fleet.machines.values_mut() {
            if !present.contains(&machine.id)
                && machine.life != MachineState::Returning
                && machine.silent_for(asked) > quiet
                && asked.saturating_duration_since(machine.rented) > lag
            {
                tracing::info!(machine = %machine.id, "silent and not listed");
                machine.life = MachineState::Returning;
            }
        }
    }

    pub(super) fn gone(&mut self, id: &MachineId, how: &'static str, cache: &Cache, now: Instant) {
        let Some(mut machine) = self.fleet.remove_machine(id) else { return };
        self.direct_calls.in_flight -= usize::from(machine.direct_in_flight);
        tracing::info!(machine = %id, how, tasks = machine.entries.len(), "machine is gone");
        for fact in machine.lose_all() {
            self.on_fact(id, fact, cache, now);
        }
    }

    /// From what age on work is not booked on a machine any more that is still booting. Where several
    /// at once are overdue and none that was rented later is up, all come late, and renting as many
    /// again would pay twice for the same wait.
    pub(super) fn overdue(
        &self,
        survey: &FleetSummary,
        now: Instant,
    ) -> impl Fn(&Machine, &MachineType) -> bool + use<> {
        let usual = |flavor: &MachineType| {
            Duration::from_secs_f64(flavor.boot_s * BOOT_OVERDUE) + BOOT_OVERDUE_MORE
        };
        let overtaken = survey.overtaken();
        let aged = move |machine: &Machine, flavor: &MachineType| {
            now.saturating_duration_since(machine.rented) >= usual(flavor)
        };
        let late = self.fleet.machines.values().filter(|machine| {
            machine.life == MachineState::Booting
                && aged(machine, &self.fleet.machine_types[machine.flavor])
                && !overtaken(machine)
        });
        let all_late = survey.booting && late.count() >= LATE_TOGETHER;
        move |machine, flavor| aged(machine, flavor) && (!all_late || overtaken(machine))
    }

    pub(super) fn watch_machines(&mut self, cache: &Cache, cloud: &mut CloudClient, now: Instant) {
        let lease = self.settings.worker_lease();
        let survey = self.fleet_summary(now);
        let cut_off = self.recently_unreachable_zones(&survey, now);
        self.weigh_failures(&survey, cache, now);
        if survey.status_unanswered {
            self.give_up_lost(&cut_off, cache, now);
        }
        let overtaken = survey.overtaken();
        let idle_return = Duration::from_secs_f64(self.settings.operator.idle_return_s);
        let mut facts = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            // A predecessor's right had ended when ours began, and what others may answer on
            // our behalf is bounded: once the lease has surely run out, the worker has killed
            // what it had.
            let others = self.delegations.answered_until(&machine.id, machine.barred_since);
            let beyond = machine.life == MachineState::Up
                && machine.lease_over(self.delegations.told(&machine.id), lease, now)
                && !cut_off[machine.zone];
            if machine.confirmed && machine.entries.is_empty() {
                // Nothing can be running there.
            } else if machine.lease_over(others, lease, now) {
                tracing::info!(machine = %machine.id, "silent machine's lease is over");
                machine.confirmed = true;
                machine.dead_below = self.term.latest_attempt();
                facts.extend(machine.lose_all().into_iter().map(|fact| (machine.id.clone(), fact)));
            } else if beyond {
                // Another controller might still answer it. Its deletion proves that nothing
                // runs there, unless a whole zone is cut off: that one is waited for.
                tracing::info!(machine = %machine.id, "silent beyond its lease, given back");
                machine.life = MachineState::Returning;
            }
            let flavor = &self.fleet.machine_types[machine.flavor];
            let age = now.saturating_duration_since(machine.rented);
            let mut patience =
                Duration::from_secs_f64(flavor.boot_s * BOOT_PATIENCE) + BOOT_PATIENCE_MORE;
            if !overtaken(machine) {
                // Nor is any up that was rented later: they come late all together, and those
                // that would replace it come no sooner.
                patience *= 2;
            }
            if machine.life == MachineState::Booting && age > patience {
                tracing::info!(machine = %machine.id, "never came up");
                machine.life = MachineState::Returning;
            }
            if machine.life == MachineState::Up && machine.faulty && machine.is_empty() {
                tracing::info!(machine = %machine.id, "faulty, given back");
                machine.life = MachineState::Returning;
            }
            let quiet = machine.silent_for(now) > self.settings.report_every() * 2;
            if machine.life == MachineState::Up
                && beyond
                && quiet
                && machine.silent_for(now) > lease * 2
            {
                tracing::info!(machine = %machine.id, "silent for long, given back");
                machine.life = MachineState::Returning;
            }
            // A silent machine is not idle: after a take-over that finds a zone cut off, its
            // machines would all be given back.
            if machine.life == MachineState::Up
                && !quiet
                && machine.is_empty()
                && machine.recall_at.is_none()
            {
                let since = *machine.idle_since.get_or_insert(now);
                let idle = now.saturating_duration_since(since);
                // A machine costs a minute at the least.
                let paid = age < Duration::from_secs(55);
                // Idle time costs a spot machine that much less, and a boot costs its users the same.
                let cheap = if machine.spot && flavor.spot_price > 0.0 {
                    (flavor.price / flavor.spot_price).max(1.0)
                } else {
                    1.0
                };
                if machine.confirmed
                    && idle > idle_return.mul_f64(cheap)
                    && !paid
                    && !self.autoscaler.reserved_machines.contains(&machine.id)
                    && now > self.term.started_at + HIRE_SETTLE * 4
                {
                    tracing::info!(machine = %machine.id, "idle, given back");
                    machine.life = MachineState::Returning;
                }
            } else {
                machine.idle_since = None;
            }
            if machine.life == MachineState::Returning {
                cloud.delete(&machine.id, now);
            }
        }
        for (id, fact) in facts {
            self.on_fact(&id, fact, cache, now);
        }
    }
}
