//! Gang scheduling and requests that must stay in one zone.

use super::basket::Basket;
use super::model::{Bin, PlacementRequest, RequestIndex, ZoneLimits, max_copies};
use super::packing::Packer;
use crate::ids::{Amount, ZoneId};

/// The state that a gang's placement changes, from before its first task.
struct Snapshot {
    bins: Vec<Bin>,
    team_headroom: Vec<Amount>,
    starts: usize,
    zone_limits: ZoneLimits,
    zone: Option<ZoneId>,
}

impl Packer {
    /// Places a gang and returns how many of its tasks remain. A gang whose tasks don't all find
    /// room on machines that are up starts none of them, though what it would need is booked and
    /// rented all the same.
    pub(super) fn place_gang(
        &mut self,
        index: RequestIndex,
        request: &mut PlacementRequest,
        heavy_limit: usize,
    ) -> u32 {
        let before = Snapshot {
            bins: self.bins.clone(),
            team_headroom: self.team_headroom.clone(),
            starts: self.plan.starts.len(),
            zone_limits: request.zone_limits.clone(),
            zone: request.zone,
        };
        let remaining = self.place_tasks(index, request, heavy_limit);
        let started = self.plan.starts.len() - before.starts;
        if started as u32 == request.count {
            return remaining;
        }
        self.roll_back(index, request, before);
        request.count
    }

    fn roll_back(&mut self, index: RequestIndex, request: &mut PlacementRequest, before: Snapshot) {
        self.plan.starts.truncate(before.starts);
        self.plan.booked.retain(|booked| booked.request != index);
        request.zone_limits = before.zone_limits;
        request.zone = before.zone;
        self.team_headroom = before.team_headroom;
        for (i, old) in before.bins.into_iter().enumerate() {
            let bin = &mut self.bins[i];
            if bin.ready && (bin.free, bin.basket) != (old.free, old.basket) {
                *bin = old;
                self.capacity_index.update(i, &self.bins[i]);
            }
        }
        let is_heavy = |bin: &&Bin| bin.basket == Some(Basket::Heavy);
        self.heavy_machines = self.bins.iter().filter(is_heavy).count();
    }

    /// The zone in which most of the tasks find room on machines that are up, and of several such
    /// the first.
    pub(super) fn best_single_zone(&self, request: &PlacementRequest) -> Option<ZoneId> {
        let wanted = u64::from(request.count);
        let room_for = |zone: &ZoneId| -> u64 {
            let room = self
                .bins
                .iter()
                .filter(|bin| bin.ready && bin.zone == *zone)
                .filter(|bin| request.allows(bin.zone, bin.machine_type, bin.spot))
                .filter(|bin| bin.basket.is_none_or(|basket| basket == request.basket))
                .map(|bin| max_copies(&bin.free, &request.resources).min(wanted));
            room.sum::<u64>().min(wanted)
        };
        // Of equal zones `max_by_key` takes the last.
        request.zone_limits.zones().rev().max_by_key(room_for)
    }
}
