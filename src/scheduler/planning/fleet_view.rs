//! A planning pass's view of the fleet: its machines, each team's unused limit, and the limits on
//! rentals.
//!
//! Reads the fleet, the drains and the cloud's pending rentals; updates the machines' baskets.

use super::JobsView;
use crate::cloud::{CloudClient, MachinePool, PendingRental};
use crate::ids::{Amount, MachineId, MachineTypeId, ZoneId};
use crate::placement::{Basket, Bin, PlacementRequest};
use crate::scheduler::Scheduler;
use crate::scheduler::autoscaling::RENTAL_SETTLE_TIME;
use crate::scheduler::consolidation::CONSOLIDATION_INTERVAL;
use crate::scheduler::fleet::FleetSummary;
use crate::scheduler::interner::Interner;
use crate::workers::machine::{Machine, MachineState};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time that a new leader waits for the cloud's first machine list, as a multiple of
/// [`RENTAL_SETTLE_TIME`].
const LIST_WAIT_SETTLE_TIMES: u32 = 4;

/// The fleet as a pass sees it.
pub(in crate::scheduler) struct FleetView {
    /// Capacity of one machine, indexed by machine type.
    pub(in crate::scheduler) capacities: Vec<Amount>,
    /// Machines that may run tasks unknown to this leader, since they have sent it no heartbeat
    /// yet.
    pub(in crate::scheduler) unconfirmed: UnconfirmedMachines,
    /// Unused part of each team's limit, indexed by team. The last entry is unlimited: it is for
    /// reservations, which belong to no team.
    pub(in crate::scheduler) team_headroom: Vec<Amount>,
    /// Summary of the state of all machines.
    pub(in crate::scheduler) summary: FleetSummary,
    /// True if a zone is closed to reservations and rentals, because it is unreachable or drained;
    /// indexed by zone.
    pub(in crate::scheduler) closed_zones: Vec<bool>,
    /// Machines that placement may use.
    pub(in crate::scheduler) machines: MachineBins,
    /// Limits on rentals.
    pub(in crate::scheduler) rental: RentalState,
}

/// Machines that have a record from a previous leader but have not sent a heartbeat to this one.
pub(in crate::scheduler) struct UnconfirmedMachines {
    /// Pool of each unconfirmed machine, one entry per machine.
    pub(in crate::scheduler) pools: Vec<MachinePool>,
    /// Total free capacity on them, as far as this leader knows.
    pub(in crate::scheduler) free: Amount,
}

impl UnconfirmedMachines {
    /// Returns whether all machines are confirmed.
    pub(in crate::scheduler) fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}

/// Machines as bins for placement, with their identifiers.
pub(in crate::scheduler) struct MachineBins {
    /// Free capacity and constraints of each machine.
    pub(in crate::scheduler) bins: Vec<Bin>,
    /// Machine of each bin; `None` for a machine of a pending rental.
    pub(in crate::scheduler) ids: Vec<Option<MachineId>>,
}

/// Limits on rentals in a pass.
pub(in crate::scheduler) struct RentalState {
    /// Rentals that the cloud has not answered yet.
    pub(in crate::scheduler) pending: Vec<PendingRental>,
    /// True if this leader knows enough of previous leaders' rentals to rent machines itself.
    pub(in crate::scheduler) allowed: bool,
    /// Number of additional machines that the controllers can serve.
    pub(in crate::scheduler) remaining: u32,
}

impl FleetView {
    /// Returns whether there is a machine, full or not, up or to come, on which tasks of the request
    /// may run.
    pub(in crate::scheduler) fn has_machine_for(&self, request: &PlacementRequest) -> bool {
        let is_suitable = |zone, machine_type: MachineTypeId, spot| {
            request.allows(zone, machine_type, spot)
                && request.resources.fits(&self.capacities[machine_type.index()])
        };
        let mut bins = self.machines.bins.iter();
        bins.any(|bin| is_suitable(bin.zone, bin.machine_type, bin.spot))
            || self.rental.pending.iter().any(|rental| {
                let pool = rental.pool;
                let machine_type = MachineTypeId::new(pool.machine_type);
                is_suitable(ZoneId::new(pool.zone), machine_type, pool.spot)
            })
    }

    /// Adds one bin for each machine of a pending rental.
    pub(super) fn add_pending_rentals(&mut self) {
        for PendingRental { pool, count } in &self.rental.pending {
            for _ in 0..*count {
                self.machines.bins.push(Bin::booting(
                    ZoneId::new(pool.zone),
                    MachineTypeId::new(pool.machine_type),
                    pool.spot,
                    self.capacities[pool.machine_type],
                ));
                self.machines.ids.push(None);
            }
        }
    }
}

impl Scheduler {
    /// Collects the machines that no heartbeat to this leader has confirmed yet.
    pub(super) fn unconfirmed_machines(&self) -> UnconfirmedMachines {
        let mut unconfirmed = UnconfirmedMachines { pools: Vec::new(), free: Amount::default() };
        for machine in self.fleet.machines.values().filter(|machine| !machine.confirmed) {
            let (machine_type, zone, spot) = (machine.machine_type, machine.zone, machine.spot);
            unconfirmed.pools.push(MachinePool { machine_type, zone, spot });
            let free = self.fleet.capacity(machine_type).minus(&machine.used());
            unconfirmed.free = unconfirmed.free.plus(&free);
        }
        unconfirmed
    }

    /// Collects the machines and limits for the pass.
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

    /// Returns each team's limit minus the resources that its tasks use or may use on unconfirmed
    /// machines.
    fn team_headroom(
        &mut self,
        capacities: &[Amount],
        unconfirmed: &UnconfirmedMachines,
        maybe_used: &[Amount],
    ) -> Vec<Amount> {
        let used = self.team_usage(capacities);
        let teams = self.settings.platform.params.teams.iter().enumerate();
        let headroom = teams.map(|(index, team)| {
            let unconfirmed_usage = maybe_used[index].plus(&self.jobs.orphaned_capacity.of(index));
            team.limit().minus(&used[index]).minus(&unconfirmed_usage.min(&unconfirmed.free))
        });
        let unlimited = Amount { cpu: u64::MAX, gpu: u64::MAX, ram: u64::MAX };
        headroom.chain([unlimited]).collect()
    }

    /// Returns the resources that each team's tasks may be using.
    fn team_usage(&mut self, capacities: &[Amount]) -> Vec<Amount> {
        let threshold = self.settings.operator.heavy_threshold;
        let mut used = vec![Amount::default(); self.teams.len()];
        for machine in self.fleet.machines.values_mut() {
            let usage = machine.usage(|request| Basket::classify(request, capacities, threshold));
            for of_team in &usage.teams {
                if let Some(sum) = used.get_mut(of_team.team) {
                    *sum = sum.plus(&of_team.used);
                }
            }
        }
        used
    }

    /// Collects the machines that placement may use, up or booting, and updates their baskets.
    fn collect_bins(
        &mut self,
        capacities: &[Amount],
        summary: &FleetSummary,
        now: Instant,
    ) -> MachineBins {
        let settings = self.settings.clone();
        let threshold = settings.operator.heavy_threshold;
        let basket_retention = Duration::from_secs_f64(settings.operator.hold_s);
        let silence_limit = settings.heartbeat_interval() * 2 + Duration::from_secs(1);
        let boot_overdue = self.boot_overdue(summary, now);
        let drained = self.drains.drained.clone();
        let count = self.fleet.machines.len();
        let mut machines =
            MachineBins { bins: Vec::with_capacity(count), ids: Vec::with_capacity(count) };
        for machine in self.fleet.machines.values_mut() {
            let zone_name = &settings.platform.params.zones[machine.zone];
            if drained.drain_of_machine(machine.id.as_str(), zone_name).is_some() {
                continue;
            }
            let machine_type = &self.fleet.machine_types[machine.machine_type];
            let booting =
                machine.state == MachineState::Booting && !boot_overdue(machine, machine_type);
            let up = is_usable(machine, silence_limit, now);
            let unconfirmed = machine.state == MachineState::Up && !machine.confirmed;
            if !(booting || up || unconfirmed) {
                continue;
            }
            intern_images(machine, &mut self.fleet.image_ids);
            let usage = machine.usage(|request| Basket::classify(request, capacities, threshold));
            let (used, basket) = (usage.used, usage.basket);
            let retains_basket = machine.idle_since.is_some_and(|at| now < at + basket_retention);
            if basket.is_some() || !retains_basket {
                machine.basket = basket;
            }
            machines.bins.push(Bin {
                index: machine.index,
                zone: ZoneId::new(machine.zone),
                machine_type: MachineTypeId::new(machine.machine_type),
                spot: machine.spot,
                free: capacities[machine.machine_type].minus(&used),
                basket: machine.basket,
                ready: up && machine.confirmed && machine.recorded,
                images: machine.image_ids.clone(),
                recently_vacated: machine.is_recently_vacated(now),
                last_resort: machine.faulty,
            });
            machines.ids.push(Some(machine.id.clone()));
        }
        machines
    }

    fn rental_state(&self, cloud: &CloudClient, now: Instant) -> RentalState {
        let pending = cloud.pending_rentals();
        let settled_at = self.term.started_at + RENTAL_SETTLE_TIME;
        let list_wait_over = self.fleet.listed_once
            || now >= self.term.started_at + RENTAL_SETTLE_TIME * LIST_WAIT_SETTLE_TIMES;
        let expected: u32 = pending.iter().map(|rental| rental.count).sum();
        let machine_count = u32::try_from(self.fleet.machines.len()).unwrap_or(u32::MAX);
        let remaining =
            self.autoscaler.max_machines.saturating_sub(machine_count.saturating_add(expected));
        RentalState { pending, allowed: now >= settled_at && list_wait_over, remaining }
    }
}

/// Returns whether a machine is up and tasks may be placed on it.
fn is_usable(machine: &Machine, silence_limit: Duration, now: Instant) -> bool {
    // A machine that is being consolidated takes no tasks until it is empty.
    let emptying = machine.last_consolidated.is_some_and(|at| now < at + CONSOLIDATION_INTERVAL);
    machine.state == MachineState::Up
        && (!emptying || machine.is_empty())
        && machine.reclaim_at.is_none()
        && (!machine.faulty || machine.may_be_tried(now))
        && machine.last_heartbeat.is_some()
        && machine.time_since_heartbeat(now) < silence_limit
}

fn intern_images(machine: &mut Machine, image_ids: &mut Interner) {
    if machine.images.len() > machine.image_ids.len() {
        let images = machine.images.iter();
        machine.image_ids = images.map(|image| image_ids.intern(image)).collect();
    }
}
