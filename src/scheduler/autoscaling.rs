//! Scaling out and in: responses of the cloud, and offers of machines that can be rented.
//!
//! Owns [`Autoscaler`], and changes machines' states together with the fleet. It rents nothing by
//! itself: the planner decides how many machines to rent.

mod machine_list;
mod machine_watch;

#[cfg(test)]
pub(super) use machine_watch::{BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MARGIN};

use crate::cloud::{CloudEvent, MachinePool};
use crate::constants::MAX_MACHINES_PER_RENTAL;
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

/// Time after a refused rental during which no request is made to that pool.
const REFUSED_POOL_BACKOFF: Duration = Duration::from_secs(6);
/// Maximum number of machines in the first request to a pool after it refused a rental. It is
/// small, because tasks reserved on machines that the cloud doesn't have wait in vain, while other
/// pools may have machines.
pub(super) const PROBE_REQUEST: u32 = 2;
/// Factor by which the maximum request to such a pool grows with each granted request.
const PROBE_GROWTH: u32 = 4;
/// Delay before a new leader rents machines, so that its first machine list can show what previous
/// leaders rented.
pub(super) const RENTAL_SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Limits on rentals.
#[derive(Debug)]
pub(super) struct Autoscaler {
    /// Pools that refused a rental, with the limits on further requests to them.
    pub(super) capacity_backoff: HashMap<MachinePool, CapacityBackoff>,
    /// Machines that are kept empty as warm capacity.
    pub(super) reserved_machines: HashSet<MachineId>,
    /// Maximum number of machines that the controllers can serve.
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

/// Limits on requests to a pool that refused a rental.
#[derive(Debug)]
pub(super) struct CapacityBackoff {
    /// Earliest time of the next request.
    pub(super) not_before: Instant,
    /// Maximum number of machines per request.
    pub(super) max_request: u32,
}

/// A pool with the machines that can be rented from it.
pub(super) struct PoolOffer {
    /// Machine type, zone and pricing (spot or on demand) of the machines.
    pub(super) pool: MachinePool,
    /// Price, capacity and number of available machines, as placement needs them.
    pub(super) offer: MachineTypeOffer,
}

/// Number of machines that the fleet has in a zone.
#[derive(Clone, Copy, Default)]
struct MachineCount {
    on_demand: u32,
    spot: u32,
}

impl MachineCount {
    fn by_pricing(&mut self, spot: bool) -> &mut u32 {
        if spot { &mut self.spot } else { &mut self.on_demand }
    }
}

impl Scheduler {
    /// Processes a response of the cloud.
    pub fn on_cloud(&mut self, event: CloudEvent, cache: &Cache, now: Instant) {
        self.planning_clock.pass_requested = true;
        self.direct_calls.all_dirty = true;
        match event {
            CloudEvent::MachineTypes(found) => {
                crate::wire::merge_machine_types(&mut self.fleet.machine_types, found);
                // The classification of tasks as heavy depends on the largest machine type.
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
            if backoff.max_request > MAX_MACHINES_PER_RENTAL {
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

    /// Returns the machines that can be rented now. A pool that refused a rental is skipped for
    /// [`REFUSED_POOL_BACKOFF`]; after that, small requests are made to it, one at a time.
    pub(super) fn offers(&self, fleet: &FleetView, now: Instant) -> Vec<PoolOffer> {
        let mut machine_counts = vec![MachineCount::default(); self.fleet.zone_count()];
        for machine in self.fleet.machines.values() {
            *machine_counts[machine.zone].by_pricing(machine.spot) += 1;
        }
        let mut offers = Vec::new();
        for (index, machine_type) in self.fleet.machine_types.iter().enumerate() {
            let zones = machine_type.zones.iter().filter_map(|name| self.fleet.zone(name));
            for zone in zones.filter(|zone| !fleet.closed_zones[*zone]) {
                for spot in [true, false] {
                    let pool = MachinePool { machine_type: index, zone, spot };
                    let Some(available) = self.available(&pool, fleet, now) else { continue };
                    let machines_in_zone = *machine_counts[zone].by_pricing(spot);
                    let offer = offer(&pool, machine_type, fleet, available, machines_in_zone);
                    offers.push(PoolOffer { pool, offer });
                }
            }
        }
        offers
    }

    /// Returns how many machines may be requested from a pool; `None` for a pool in backoff, or
    /// for one with a pending request after a refusal.
    fn available(&self, pool: &MachinePool, fleet: &FleetView, now: Instant) -> Option<u32> {
        let Some(backoff) = self.autoscaler.capacity_backoff.get(pool) else {
            return Some(MAX_MACHINES_PER_RENTAL);
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
    machines_in_zone: u32,
) -> MachineTypeOffer {
    MachineTypeOffer {
        machine_type: MachineTypeId::new(pool.machine_type),
        zone: ZoneId::new(pool.zone),
        spot: pool.spot,
        price: if pool.spot { machine_type.spot_price } else { machine_type.price },
        capacity: fleet.capacities[pool.machine_type],
        available,
        machines_in_zone,
    }
}
