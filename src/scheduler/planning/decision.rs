//! The decision of a planning pass, as a value.
//!
//! Reads the autoscaler's offers; changes no state.

use super::{DemandQueue, FleetView, WaitingTasks, waiting_cause};
use crate::cloud::PendingRental;
use crate::ids::{Amount, MachineId};
use crate::placement::{PlacementInput, PlacementPlan, plan};
use crate::scheduler::Scheduler;
use crate::scheduler::autoscaling::PoolOffer;
use tokio::time::Instant;

/// Decision of a pass, with the data needed to carry it out.
pub(in crate::scheduler) struct PlanningDecision {
    /// Starts, reservations on machines that are not up yet, and tasks that fit nowhere.
    pub(in crate::scheduler) placement: PlacementPlan,
    /// Waiting tasks, indexed by request. Requests with indexes beyond these are reservations.
    pub(in crate::scheduler) tasks: Vec<WaitingTasks>,
    /// Machine of each bin; `None` for a machine of a pending rental.
    pub(in crate::scheduler) machine_ids: Vec<Option<MachineId>>,
    /// Machines to rent, by pool.
    pub(in crate::scheduler) rentals: Vec<PendingRental>,
    /// Unused part of each team's limit before the pass, indexed by team.
    pub(in crate::scheduler) team_headroom: Vec<Amount>,
    /// Cause reported for tasks that fit nowhere.
    pub(in crate::scheduler) unplaceable_cause: &'static str,
    /// Time at which the first retry backoff expires.
    pub(in crate::scheduler) next_backoff_expiry: Option<Instant>,
}

impl Scheduler {
    /// Decides which tasks start and which machines are rented.
    pub(super) fn decide(
        &self,
        fleet: FleetView,
        demand: DemandQueue,
        now: Instant,
    ) -> PlanningDecision {
        let offers = if fleet.rental.allowed { self.offers(&fleet, now) } else { Vec::new() };
        let machines = fleet.machines.bins.len() as f64;
        let heavy_limit = ((machines * self.settings.operator.heavy_cap) as usize).max(1);
        let tasks: Vec<WaitingTasks> = demand.requests.iter().map(WaitingTasks::of).collect();
        let requests = demand.requests.into_iter().map(|job| job.request);
        let placement = plan(PlacementInput {
            bins: fleet.machines.bins,
            requests: requests.chain(demand.reservations).collect(),
            team_headroom: fleet.team_headroom.clone(),
            offers: offers.iter().map(|offer| offer.offer.clone()).collect(),
            heavy_limit,
            rental_limit: fleet.rental.remaining,
        });
        let at_machine_limit = fleet.rental.remaining == 0;
        PlanningDecision {
            rentals: rentals(&offers, &placement),
            placement,
            tasks,
            machine_ids: fleet.machines.ids,
            team_headroom: fleet.team_headroom,
            unplaceable_cause: if at_machine_limit {
                waiting_cause::MACHINE_LIMIT
            } else {
                waiting_cause::NO_FREE_CAPACITY
            },
            next_backoff_expiry: demand.next_backoff_expiry,
        }
    }
}

fn rentals(offers: &[PoolOffer], placement: &PlacementPlan) -> Vec<PendingRental> {
    let counts = offers.iter().zip(&placement.scale_out);
    counts
        .filter(|(_, count)| **count > 0)
        .map(|(offer, count)| PendingRental { pool: offer.pool, count: *count })
        .collect()
}
