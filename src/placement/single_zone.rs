//! Choice of the zone for a request whose tasks must all run in one zone.

use super::model::{Bin, PlacementRequest, max_copies};
use super::packing::Packer;
use crate::ids::ZoneId;

/// Number of a request's tasks that a zone has room for, by the machines that have it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneRoom {
    /// Machines that are up.
    up: u64,
    /// Machines that are up and a last resort.
    last_resort: u64,
    /// Machines that are booting.
    booting: u64,
    /// Machines that can be rented.
    rentable: u64,
}

impl ZoneRoom {
    fn total(&self) -> u64 {
        let existing = self.up.saturating_add(self.last_resort).saturating_add(self.booting);
        existing.saturating_add(self.rentable)
    }
}

impl Packer {
    /// Returns the zone in which the most of the request's tasks fit on machines that are up; among
    /// equal zones, the first. If there is none, the zone in which the most fit on machines that are a
    /// last resort, booting or rentable, in this order, so that a zone without room and without
    /// machines to rent is not chosen for ever. A gang, which needs room for all of its tasks, prefers
    /// zones in which all of them fit with what can be rented.
    pub(super) fn best_single_zone(&self, request: &PlacementRequest) -> Option<ZoneId> {
        let rank = |zone: &ZoneId| {
            let room = self.zone_room(request, *zone);
            let fits_whole_gang = request.gang && room.total() >= u64::from(request.count);
            (fits_whole_gang, room)
        };
        // `max_by_key` returns the last of equal zones, so the reversed order selects the first.
        request.zone_limits.zones().rev().max_by_key(rank)
    }

    fn zone_room(&self, request: &PlacementRequest, zone: ZoneId) -> ZoneRoom {
        let needed = u64::from(request.count);
        let mut room = ZoneRoom::default();
        let usable = self.bins.iter().filter(|bin| bin.zone == zone && is_usable(bin, request));
        for bin in usable {
            let tasks = max_copies(&bin.free, &request.resources).min(needed);
            match (bin.ready, request.is_last_resort(bin)) {
                (true, false) => room.up += tasks,
                (true, true) => room.last_resort += tasks,
                (false, _) => room.booting += tasks,
            }
        }
        if room.up > 0 && !request.gang {
            return ZoneRoom { up: room.up.min(needed), ..ZoneRoom::default() };
        }
        ZoneRoom {
            up: room.up.min(needed),
            last_resort: room.last_resort.min(needed),
            booting: room.booting.min(needed),
            rentable: self.scale_out.rentable_tasks(request, zone).min(needed),
        }
    }
}

fn is_usable(bin: &Bin, request: &PlacementRequest) -> bool {
    request.allows(bin.zone, bin.machine_type, bin.spot)
        && request.allows_basket(bin.basket)
        && !request.excluded_machines.contains(&bin.index)
}
