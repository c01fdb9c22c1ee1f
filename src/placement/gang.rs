//! Placement of gangs and of requests whose tasks must all run in one zone.

use super::basket::Basket;
use super::model::{Bin, BinIndex, PlacementRequest, RequestIndex, ZoneLimits, max_copies};
use super::packing::Packer;
use crate::ids::{Amount, ZoneId};

/// Copy of the state that placing a gang changes, taken before its first task.
struct Snapshot {
    bins: Vec<Bin>,
    team_headroom: Vec<Amount>,
    starts: usize,
    zone_limits: ZoneLimits,
    zone: Option<ZoneId>,
    last_resort_bins: Vec<BinIndex>,
}

impl Packer {
    /// Places a gang and returns the number of tasks that remain. Unless all of its tasks fit on
    /// machines that are up, none starts. The capacity booked for the gang on booting machines and
    /// the machines rented for it are kept even then.
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
            last_resort_bins: self.last_resort_bins.clone(),
        };
        let remaining = self.place_tasks(index, request, heavy_limit);
        let started = self.plan.starts.len() - before.starts;
        if started as u32 == request.count {
            return remaining;
        }
        self.roll_back(index, request, before);
        request.count
    }

    /// Restores the state before the gang, except that of booting machines and of those to be rented.
    fn roll_back(&mut self, index: RequestIndex, request: &mut PlacementRequest, before: Snapshot) {
        self.plan.starts.truncate(before.starts);
        self.plan.booked.retain(|booked| booked.request != index);
        request.zone_limits = before.zone_limits;
        request.zone = before.zone;
        self.team_headroom = before.team_headroom;
        self.last_resort_bins = before.last_resort_bins;
        for (i, previous) in before.bins.into_iter().enumerate() {
            let bin = &mut self.bins[i];
            if bin.ready && (bin.free, bin.basket) != (previous.free, previous.basket) {
                *bin = previous;
                self.capacity_index.update(i, &self.bins[i]);
            }
        }
        let is_heavy = |bin: &&Bin| bin.basket == Some(Basket::Heavy);
        self.heavy_machines = self.bins.iter().filter(is_heavy).count();
    }

    /// Returns the zone in which the most of the request's tasks fit on machines that are up; among
    /// equal zones, the one in which the most fit as a last resort, and then the first.
    pub(super) fn best_single_zone(&self, request: &PlacementRequest) -> Option<ZoneId> {
        let task_count = u64::from(request.count);
        let fitting_tasks = |zone: &ZoneId, is_last_resort: bool| -> u64 {
            let per_machine = self
                .bins
                .iter()
                .filter(|bin| bin.ready && bin.zone == *zone)
                .filter(|bin| request.allows(bin.zone, bin.machine_type, bin.spot))
                .filter(|bin| bin.basket.is_none_or(|basket| basket == request.basket))
                .filter(|bin| !request.excluded_machines.contains(&bin.index))
                .filter(|bin| {
                    is_last_resort
                        == (bin.last_resort || request.last_resort_machines.contains(&bin.index))
                })
                .map(|bin| max_copies(&bin.free, &request.resources).min(task_count));
            per_machine.sum::<u64>().min(task_count)
        };
        // `max_by_key` returns the last of equal zones, so the reversed order selects the first.
        let rank = |zone: &ZoneId| (fitting_tasks(zone, false), fitting_tasks(zone, true));
        request.zone_limits.zones().rev().max_by_key(rank)
    }
}
