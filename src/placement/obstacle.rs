//! Explains why tasks were not started although a machine that is up has room for them.

use super::basket::Basket;
use super::model::{
    Bin, BinIndex, HeldBack, Obstacle, PlacementRequest, RequestTasks, ScaleOutPolicy,
};
use super::packing::Packer;

/// Maximum number of requests that are explained in a pass, first in order of service, because each
/// takes a look at all machines.
const MAX_EXPLAINED_REQUESTS: usize = 16;

impl Packer {
    /// Records the obstacle of each request whose tasks remain beside a machine that is up and has
    /// room for one of them.
    pub(super) fn explain_waiting(&mut self, requests: &[PlacementRequest]) {
        let (unplaceable, booked) = (self.plan.unplaceable.iter(), self.plan.booked.iter());
        let waiting = unplaceable.map(|tasks| (tasks, false));
        let waiting = waiting.chain(booked.map(|tasks| (tasks, true)));
        let mut held_back = Vec::new();
        for (RequestTasks { request: index, tasks }, booked) in waiting.take(MAX_EXPLAINED_REQUESTS)
        {
            let request = &requests[index.0];
            if !request.resources.fits(&self.team_headroom[request.team.index()]) {
                continue;
            }
            let found = self.bins.iter().enumerate().find(|(_, bin)| has_room(bin, request));
            let Some((position, bin)) = found else { continue };
            held_back.push(HeldBack {
                request: *index,
                tasks: *tasks,
                bin: BinIndex(position),
                obstacle: obstacle(bin, request),
                booked,
            });
        }
        self.plan.held_back = held_back;
    }
}

/// Returns whether a machine is up, satisfies the constraints of a request and has room for a task.
fn has_room(bin: &Bin, request: &PlacementRequest) -> bool {
    bin.ready
        && request.allows(bin.zone, bin.machine_type, bin.spot)
        && request.zone_limits.is_open(bin.zone)
        && request.resources.fits(&bin.free)
}

fn obstacle(bin: &Bin, request: &PlacementRequest) -> Obstacle {
    if request.gang {
        Obstacle::IncompleteGang
    } else if request.excluded_machines.contains(&bin.index)
        || request.last_resort_machines.contains(&bin.index)
    {
        Obstacle::JobFailedThere
    } else if bin.last_resort {
        Obstacle::FaultyMachine
    } else if bin.recently_vacated && request.scale_out == ScaleOutPolicy::Spot {
        Obstacle::RecentlyVacated
    } else if !request.allows_basket(bin.basket) {
        Obstacle::OtherBasket
    } else if bin.basket.is_none() && request.basket == Basket::Heavy {
        Obstacle::HeavyLimit
    } else {
        Obstacle::Unknown
    }
}
