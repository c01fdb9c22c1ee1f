//! Selection of machines to rent for tasks that fit on no existing machine.

use super::model::{Bin, MachineTypeOffer, PlacementRequest, ScaleOutPolicy, max_copies};
use crate::ids::ZoneId;
use std::cmp::Ordering;

/// Ratio of the fleet size to the remaining rentals. Above this ratio, the fleet is near its machine
/// limit, and the planner prefers large machines to cheap ones.
pub(super) const FLEET_PER_RENTAL_NEAR_LIMIT: usize = 8;

/// Offers of machines, and the machines that the current planning pass rents.
pub(super) struct ScaleOut {
    offers: Vec<MachineTypeOffer>,
    remaining: u32,
    rented: Vec<u32>,
}

impl ScaleOut {
    pub(super) fn new(offers: Vec<MachineTypeOffer>, limit: u32) -> ScaleOut {
        let rented = vec![0; offers.len()];
        ScaleOut { offers, remaining: limit, rented }
    }

    /// Returns the number of machines to rent of each offer.
    pub(super) fn into_counts(self) -> Vec<u32> {
        self.rented
    }

    /// Returns the number of a request's tasks that fit on machines that can be rented in a zone.
    pub(super) fn rentable_tasks(&self, request: &PlacementRequest, zone: ZoneId) -> u64 {
        let offers = self.offers.iter().filter(|offer| offer.zone == zone);
        let tasks = offers.filter(|offer| is_usable(offer, request)).map(|offer| {
            let machines = u64::from(offer.available.min(self.remaining));
            machines.saturating_mul(max_copies(&offer.capacity, &request.resources))
        });
        tasks.fold(0, u64::saturating_add)
    }

    /// Rents a machine of the usable offer with the lowest price per task; among equals, in the zone
    /// with the fewest machines. Near the machine limit (see [`FLEET_PER_RENTAL_NEAR_LIMIT`]), offers
    /// are compared by the number of tasks that fit on a machine first.
    pub(super) fn rent(&mut self, request: &PlacementRequest, fleet_size: usize) -> Option<Bin> {
        if self.remaining == 0 {
            return None;
        }
        let near_limit = (self.remaining as usize) < fleet_size / FLEET_PER_RENTAL_NEAR_LIMIT;
        let choice = (0..self.offers.len())
            .filter(|&i| is_usable(&self.offers[i], request))
            .min_by(|&a, &b| compare(&self.offers[a], &self.offers[b], request, near_limit))?;
        let offer = &mut self.offers[choice];
        offer.available -= 1;
        offer.machines_in_zone += 1;
        self.remaining -= 1;
        self.rented[choice] += 1;
        Some(Bin::booting(offer.zone, offer.machine_type, offer.spot, offer.capacity))
    }
}

fn is_usable(offer: &MachineTypeOffer, request: &PlacementRequest) -> bool {
    let permitted = match request.scale_out {
        ScaleOutPolicy::Any => true,
        ScaleOutPolicy::Spot => offer.spot,
        ScaleOutPolicy::Nothing => false,
    };
    permitted
        && offer.available > 0
        && request.allows(offer.zone, offer.machine_type, offer.spot)
        && request.zone_limits.is_open(offer.zone)
        && request.resources.fits(&offer.capacity)
}

fn compare(
    a: &MachineTypeOffer,
    b: &MachineTypeOffer,
    request: &PlacementRequest,
    near_limit: bool,
) -> Ordering {
    let copies = |offer: &MachineTypeOffer| max_copies(&offer.capacity, &request.resources);
    let price_per_task = |offer: &MachineTypeOffer| offer.price / copies(offer).max(1) as f64;
    let largest_first = if near_limit { copies(b).cmp(&copies(a)) } else { Ordering::Equal };
    largest_first
        .then(price_per_task(a).total_cmp(&price_per_task(b)))
        .then(a.machines_in_zone.cmp(&b.machines_in_zone))
        .then(a.zone.cmp(&b.zone))
}
