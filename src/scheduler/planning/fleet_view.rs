//! What a planning pass knows of the fleet: its machines, what teams may still use, and what may
//! be rented.
//!
//! Reads the fleet, the drains and the cloud's pending rentals; updates the machines' baskets.

use super::JobsView;
use crate::cloud::{CloudClient, MachinePool, PendingRental};
use crate::ids::{Amount, MachineId, MachineTypeId, ZoneId};
use crate::placement::{Basket, Bin};
use crate::scheduler::Scheduler;
use crate::scheduler::autoscaling::RENTAL_SETTLE_TIME;
use crate::scheduler::consolidation::CONSOLIDATION_INTERVAL;
use crate::scheduler::fleet::FleetSummary;
use crate::scheduler::interner::Interner;
use crate::workers::machine::{Machine, MachineState};
use std::time::Duration;
use tokio::time::Instant;

/// How long best-effort tasks keep off a machine that tasks of higher priority left: the next of
/// those would stop them again.
const VACATED_HOLD: Duration = Duration::from_secs(5);
/// How many settling times a new leader waits at most for the cloud's first list of machines.
const LIST_PATIENCE: u32 = 4;

/// The fleet as a pass sees it.
pub(in crate::scheduler) struct FleetView {
    /// By machine type: what one machine holds.
    pub(in crate::scheduler) capacities: Vec<Amount>,
    /// Machines on which tasks may run that no heartbeat has shown yet.
    pub(in crate::scheduler) unconfirmed: UnconfirmedMachines,
    /// By team: what it may use beyond what its tasks use. The last entry is unlimited: it is for
    /// reservations, which belong to no team.
    pub(in crate::scheduler) team_headroom: Vec<Amount>,
    /// What all machines together show.
    pub(in crate::scheduler) summary: FleetSummary,
    /// By zone: whether nothing is reserved or rented there, because it is unreachable or drained.
    pub(in crate::scheduler) closed_zones: Vec<bool>,
    /// The machines that placement may use.
    pub(in crate::scheduler) machines: MachineBins,
    /// What may be rented.
    pub(in crate::scheduler) rental: RentalState,
}

/// Machines that a predecessor used and that have sent no heartbeat to this leader.
pub(in crate::scheduler) struct UnconfirmedMachines {
    /// The pools that they belong to, one entry a machine.
    pub(in crate::scheduler) pools: Vec<MachinePool>,
    /// What is free on them as far as this leader knows, in total.
    pub(in crate::scheduler) free: Amount,
}

impl UnconfirmedMachines {
    /// Whether there are none.
    pub(in crate::scheduler) fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}

/// Machines as bins, each with its identifier: none for one that is still to be rented.
pub(in crate::scheduler) struct MachineBins {
    /// The bins.
    pub(in crate::scheduler) bins: Vec<Bin>,
    /// By bin: the machine.
    pub(in crate::scheduler) ids: Vec<Option<MachineId>>,
}

/// What bounds rentals.
pub(in crate::scheduler) struct RentalState {
    /// Rentals that the cloud has not answered yet.
    pub(in crate::scheduler) pending: Vec<PendingRental>,
    /// Whether this leader knows enough of its predecessor's rentals to rent.
    pub(in crate::scheduler) allowed: bool,
    /// How many more machines controllers can serve.
    pub(in crate::scheduler) remaining: u32,
}

impl FleetView {
    /// Adds the machines of pending rentals to the bins.
    pub(super) fn add_pending_rentals(&mut self) {
        for PendingRental { pool, count } in &self.rental.pending {
            for _ in 0..*count {
                self.machines.bins.push(Bin::booting(
                    ZoneId::new(pool.zone),
                    MachineTypeId::new(pool.flavor),
                    pool.spot,
                    self.capacities[pool.flavor],
                ));
                self.machines.ids.push(None);
            }
        }
    }
}

impl Scheduler {
    /// The machines that no heartbeat has confirmed yet.
    pub(super) fn unconfirmed_machines(&self) -> UnconfirmedMachines {
        let mut unconfirmed = UnconfirmedMachines { pools: Vec::new(), free: Amount::default() };
        for machine in self.fleet.machines.values().filter(|machine| !machine.confirmed) {
            let (flavor, zone, spot) = (machine.flavor, machine.zone, machine.spot);
            unconfirmed.pools.push(MachinePool { flavor, zone, spot });
            let free = self.fleet.capacity(flavor).minus(&machine.used());
            unconfirmed.free = unconfirmed.free.plus(&free);
        }
        unconfirmed
    }

    /// Collects the machines that the pass may use.
    pub(super) fn observe_fleet(
        &mut self,
        unconfirmed: UnconfirmedMachines,
        jobs: &JobsView<'_>,
        cloud: &CloudClient,
        now: Instant,
    ) -> FleetView {
        if unconfirmed.is_empty() {
            self.jobs.orphaned_capacity.clear();
        }
        let types = 0..self.fleet.machine_types.len();
        let capacities: Vec<Amount> = types.map(|index| self.fleet.capacity(index)).collect();
        let team_headroom = self.team_headroom(&capacities, &unconfirmed, &jobs.maybe_used);
        let summary = self.fleet_summary(now);
        let mut closed_zones = self.unreachable_zones(&summary, now);
        closed_zones.iter_mut().zip(self.drained_zones()).for_each(|(closed, drained)| {
            *closed |= drained;
        });
        let machines = self.collect_bins(&capacities, &summary, now);
        let rental = self.rental_state(cloud, now);
        FleetView {
            capacities,
            unconfirmed,
            team_headroom,
            summary,
            closed_zones,
            machines,
            rental,
        }
    }

    /// What each team may use beyond what its tasks use or may use on unconfirmed machines.
    fn team_headroom(
        &mut self,
        capacities: &[Amount],
        unconfirmed: &UnconfirmedMachines,
        maybe_used: &[Amount],
    ) -> Vec<Amount> {
        let used = self.team_usage(capacities);
        let teams = self.settings.platform.params.teams.iter().enumerate();
        let headroom = teams.map(|(index, team)| {
            let hidden = maybe_used[index].plus(&self.jobs.orphaned_capacity.of(index));
            team.limit().minus(&used[index]).minus(&hidden.min(&unconfirmed.free))
        });
        let unlimited = Amount { cpu: u64::MAX, gpu: u64::MAX, ram: u64::MAX };
        headroom.chain([unlimited]).collect()
    }

    /// What each team's tasks may be using.
    fn team_usage(&mut self, capacities: &[Amount]) -> Vec<Amount> {
        let threshold = self.settings.operator.heavy_threshold;
        let mut used = vec![Amount::default(); self.teams.len()];
        for machine in self.fleet.machines.values_mut() {
            let usage = machine.usage(|need| Basket::classify(need, capacities, threshold));
            for of_team in &usage.teams {
                if let Some(sum) = used.get_mut(of_team.team) {
                    *sum = sum.plus(&of_team.used);
                }
            }
        }
        used
    }

    /// The machines that placement may use, up or booting.
    fn collect_bins(
        &mut self,
        capacities: &[Amount],
        summary: &FleetSummary,
        now: Instant,
    ) -> MachineBins {
        let settings = self.settings.clone();
        let threshold = settings.operator.heavy_threshold;
        let hold = Duration::from_secs_f64(settings.operator.hold_s);
        let quiet = settings.heartbeat_interval() * 2 + Duration::from_secs(1);
        let overdue = self.overdue(summary, now);
        let drained = self.drains.drained.clone();
        let count = self.fleet.machines.len();
        let mut machines =
            MachineBins { bins: Vec::with_capacity(count), ids: Vec::with_capacity(count) };
        for machine in self.fleet.machines.values_mut() {
            let zone_name = &settings.platform.params.zones[machine.zone];
            if drained.drain_of_machine(machine.id.as_str(), zone_name).is_some() {
                continue;
            }
            let machine_type = &self.fleet.machine_types[machine.flavor];
            let booting = machine.state == MachineState::Booting && !overdue(machine, machine_type);
            let up = is_usable(machine, quiet, now);
            let unconfirmed = machine.state == MachineState::Up && !machine.confirmed;
            if !(booting || up || unconfirmed) {
                continue;
            }
            intern_images(machine, &mut self.fleet.image_ids);
            let usage = machine.usage(|need| Basket::classify(need, capacities, threshold));
            let (used, basket) = (usage.used, usage.basket);
            let held_in_basket = machine.idle_since.is_some_and(|at| now < at + hold);
            if basket.is_some() || !held_in_basket {
                machine.basket = basket;
            }
            machines.bins.push(Bin {
                index: machine.index,
                zone: ZoneId::new(machine.zone),
                machine_type: MachineTypeId::new(machine.flavor),
                spot: machine.spot,
                free: capacities[machine.flavor].minus(&used),
                basket: machine.basket,
                ready: up && machine.confirmed && machine.recorded,
                images: machine.image_ids.clone(),
                recently_vacated: machine.vacated_at.is_some_and(|at| now < at + VACATED_HOLD),
            });
            machines.ids.push(Some(machine.id.clone()));
        }
        machines
    }

    fn rental_state(&self, cloud: &CloudClient, now: Instant) -> RentalState {
        let pending = cloud.pending_rentals();
        let settled_at = self.term.started_at + RENTAL_SETTLE_TIME;
        let listed = self.fleet.listed_once
            || now >= self.term.started_at + RENTAL_SETTLE_TIME * LIST_PATIENCE;
        let expected: u32 = pending.iter().map(|rental| rental.count).sum();
        let held = u32::try_from(self.fleet.machines.len()).unwrap_or(u32::MAX);
        let remaining = self.autoscaler.max_machines.saturating_sub(held.saturating_add(expected));
        RentalState { pending, allowed: now >= settled_at && listed, remaining }
    }
}

/// Whether tasks may be placed on a machine that is up.
fn is_usable(machine: &Machine, quiet: Duration, now: Instant) -> bool {
    // A machine that is being emptied takes nothing until it is empty.
    let emptying = machine.last_consolidated.is_some_and(|at| now < at + CONSOLIDATION_INTERVAL);
    machine.state == MachineState::Up
        && (!emptying || machine.is_empty())
        && machine.reclaim_at.is_none()
        && !machine.faulty
        && machine.last_heartbeat.is_some()
        && machine.time_since_heartbeat(now) < quiet
}

fn intern_images(machine: &mut Machine, image_ids: &mut Interner) {
    if machine.images.len() > machine.image_ids.len() {
        let images = machine.images.iter();
        machine.image_ids = images.map(|image| image_ids.intern(image)).collect();
    }
}
