//! Scaling out and in: answers of the cloud, and what can be rented.
//!
//! Owns [`Autoscaler`], and a machine's life together with the fleet. It rents nothing by itself:
//! the planner decides how many machines.

mod machine_list;
mod machine_watch;

#[cfg(test)]
pub(super) use machine_watch::{BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MARGIN};

use crate::cloud::{CloudEvent, MachinePool};
use crate::constants::HIRE_MAX;
use crate::ids::{MachineId, MachineTypeId, ZoneId};
use crate::placement::MachineTypeOffer;
use crate::scheduler::Scheduler;
use crate::scheduler::planning::FleetView;
use crate::store::Cache;
use crate::wire::MachineType;
use crate::workers::machine::Machine;
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::time::Duration;
use tokio::time::Instant;

/// How long a pool that refused a rental is left alone.
const REFUSED_POOL_BACKOFF: Duration = Duration::from_secs(6);
/// Machines requested at first of a pool that refused: what is booked on machines that the cloud
/// doesn't have waits in vain while other pools have some.
pub(super) const PROBE_REQUEST: u32 = 2;
/// Factor by which that number grows with each request that is granted.
const PROBE_GROWTH: u32 = 4;
/// A new leader waits this long before it rents, so that its first list can show what its
/// predecessor rented.
pub(super) const RENTAL_SETTLE_TIME: Duration = Duration::from_millis(1500);

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

/// A pool with what can be rented of it.
pub(super) struct PoolOffer {
    /// The pool.
    pub(super) pool: MachinePool,
    /// The offer.
    pub(super) offer: MachineTypeOffer,
}

/// How many machines are held in a zone.
#[derive(Clone, Copy, Default)]
struct MachineCount {
    on_demand: u32,
    spot: u32,
}

impl MachineCount {
    fn of_kind(&mut self, spot: bool) -> &mut u32 {
        if spot { &mut self.spot } else { &mut self.on_demand }
    }
}

impl Scheduler {
    /// Takes in what the cloud answered.
    pub fn on_cloud(&mut self, event: CloudEvent, cache: &Cache, now: Instant) {
        self.planning_clock.pass_requested = true;
        self.direct_calls.all_dirty = true;
        match event {
            CloudEvent::MachineTypes(found) => {
                crate::wire::merge_machine_types(&mut self.fleet.machine_types, found);
                // What counts as heavy follows from the largest type.
                self.fleet.machines.values_mut().for_each(Machine::invalidate_usage);
            }
            CloudEvent::MachinesRented(pool, machines) => self.on_rented(pool, &machines, now),
            CloudEvent::CapacityExhausted(pool) => self.on_refused(pool, now),
            CloudEvent::MachinesReturned(machines) => {
                for id in machines {
                    self.fleet.terminated.insert(id.clone());
                    self.remove_machine(&id, "returned", cache, now);
                }
            }
            CloudEvent::Listed(listing) => self.on_machine_list(listing, cache, now),
        }
    }

    fn on_rented(&mut self, pool: MachinePool, machines: &[MachineId], now: Instant) {
        self.fair_share.record_cloud_response();
        if let Some(backoff) = self.autoscaler.capacity_backoff.get_mut(&pool) {
            backoff.max_request *= PROBE_GROWTH;
            if backoff.max_request > HIRE_MAX {
                self.autoscaler.capacity_backoff.remove(&pool);
            }
        }
        for id in machines {
            self.fleet.add_machine(id, pool, now);
        }
        let zone = self.fleet.zone_name(pool.zone);
        tracing::info!(count = machines.len(), %zone, spot = pool.spot, "machines rented");
    }

    fn on_refused(&mut self, pool: MachinePool, now: Instant) {
        self.fair_share.record_cloud_response();
        let zone = self.fleet.zone_name(pool.zone);
        tracing::info!(%zone, spot = pool.spot, "scale-out refused");
        let backoff =
            CapacityBackoff { not_before: now + REFUSED_POOL_BACKOFF, max_request: PROBE_REQUEST };
        self.autoscaler.capacity_backoff.insert(pool, backoff);
    }

    /// What can be rented now: pools that refused are left alone for a while, and asked for few
    /// machines then, one request at a time.
    pub(super) fn offers(&self, fleet: &FleetView, now: Instant) -> Vec<PoolOffer> {
        let mut held = vec![MachineCount::default(); self.fleet.zone_count()];
        for machine in self.fleet.machines.values() {
            *held[machine.zone].of_kind(machine.spot) += 1;
        }
        let mut offers = Vec::new();
        for (flavor, machine_type) in self.fleet.machine_types.iter().enumerate() {
            let zones = machine_type.zones.iter().filter_map(|name| self.fleet.zone(name));
            for zone in zones.filter(|zone| !fleet.closed_zones[*zone]) {
                for spot in [true, false] {
                    let pool = MachinePool { flavor, zone, spot };
                    let Some(available) = self.available(&pool, fleet, now) else { continue };
                    let held = *held[zone].of_kind(spot);
                    let offer = offer(&pool, machine_type, fleet, available, held);
                    offers.push(PoolOffer { pool, offer });
                }
            }
        }
        offers
    }

    /// How many machines may be requested of a pool; none while it is left alone.
    fn available(&self, pool: &MachinePool, fleet: &FleetView, now: Instant) -> Option<u32> {
        let Some(backoff) = self.autoscaler.capacity_backoff.get(pool) else {
            return Some(HIRE_MAX);
        };
        let is_pending = fleet.rental.pending.iter().any(|rental| rental.pool == *pool);
        (backoff.not_before <= now && !is_pending).then_some(backoff.max_request)
    }
}

fn offer(
    pool: &MachinePool,
    machine_type: &MachineType,
    fleet: &FleetView,
    available: u32,
    held: u32,
) -> MachineTypeOffer {
    MachineTypeOffer {
        machine_type: MachineTypeId::new(pool.flavor),
        zone: ZoneId::new(pool.zone),
        spot: pool.spot,
        price: if pool.spot { machine_type.spot_price } else { machine_type.price },
        capacity: fleet.capacities[pool.flavor],
        available,
        held,
    }
}
