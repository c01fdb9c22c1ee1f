//! Placement of gangs.

use super::basket::Basket;
use super::model::{Bin, BinIndex, PlacementRequest, RequestIndex, ZoneLimits};
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
}
