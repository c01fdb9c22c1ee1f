//! Order of placement requests while capacity is scarce: groups below their floors come first.

use super::{DemandGroup, WaitingCause, largest_capacity, machine_share};
use crate::ids::{Amount, JobId};
use crate::jobs::LiveJob;
use crate::placement::{PlacementPlan, PlacementRequest, RequestTasks};
use crate::scheduler::Scheduler;
use crate::scheduler::planning::{JobRequest, WaitingTasks, waiting_cause};
use crate::wire::JobKind;
use ordered_float::OrderedFloat;
use std::collections::BTreeMap;
use troutspindle_fair_share::Capacity;

/// Rank of a request while capacity is scarce.
#[derive(Debug, Clone, Copy)]
pub(in crate::scheduler) struct FairShareRank {
    group: DemandGroup,
    /// Estimated work left in the job, as CPU amount times seconds; 0 for a service. Arrays with
    /// the least work left come first, so that many finish instead of all being half finished.
    remaining_work: u64,
    /// True if the request must not be split: its limits per zone count all of its tasks, and a
    /// gang starts as a whole.
    indivisible: bool,
}

/// Shortfall of a group below its floor.
struct FloorDeficit {
    /// Capacity that the group is below its floor, less what the requests moved to the front so far cover.
    deficit: Capacity,
    /// Fraction of its floor that the group holds.
    floor_fraction: OrderedFloat<f64>,
}

impl Scheduler {
    /// Returns a request's rank; `None` while capacity is not scarce.
    pub(in crate::scheduler) fn fair_share_rank(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        request: &PlacementRequest,
    ) -> Option<FairShareRank> {
        if !self.fair_share.is_scarce() {
            return None;
        }
        let group = self.demand_group(job);
        let spec = &job.spec;
        let tasks = spec.tasks.saturating_sub(job.completed_count()) as f64;
        let remaining_work = if spec.kind == JobKind::Service {
            0.0
        } else {
            tasks * self.task_occupancy_s(id, job) * request.resources.cpu as f64
        };
        Some(FairShareRank {
            group,
            remaining_work: remaining_work as u64,
            indivisible: spec.spread || spec.one_zone || request.gang,
        })
    }

    /// Moves requests of groups below their floors to the front, starting with the group that holds
    /// the smallest fraction of its floor. A request is split if the floor covers only some of its
    /// tasks.
    pub(in crate::scheduler) fn prioritize_below_floor(
        &self,
        requests: &mut Vec<JobRequest>,
        capacities: &[Amount],
    ) {
        if !self.fair_share.is_scarce() {
            return;
        }
        let largest = largest_capacity(capacities);
        let mut deficits: BTreeMap<DemandGroup, FloorDeficit> = BTreeMap::new();
        for (group, group_share) in self.fair_share.scarcity.group_shares() {
            deficits.insert(
                *group,
                FloorDeficit {
                    deficit: group_share.deficit,
                    floor_fraction: group_share.floor_fraction(),
                },
            );
        }
        let mut prioritized: Vec<JobRequest> = Vec::new();
        for n in deficit_order(requests, &deficits) {
            let JobRequest { request, rank: Some(rank), .. } = &requests[n] else { continue };
            let Some(shortfall) =
                deficits.get_mut(&rank.group).filter(|shortfall| shortfall.deficit > 0)
            else {
                continue;
            };
            let task_capacity = machine_share(&request.resources, &largest).max(1);
            let missing_tasks =
                u32::try_from(shortfall.deficit.div_ceil(task_capacity)).unwrap_or(u32::MAX);
            let count =
                if rank.indivisible { request.count } else { missing_tasks.min(request.count) };
            shortfall.deficit = shortfall.deficit.saturating_sub(task_capacity * u64::from(count));
            prioritized.push(requests[n].take(count));
        }
        requests.retain(|request| request.request.count > 0);
        requests.splice(0..0, prioritized);
    }

    /// Records why tasks of each group wait, for operators.
    pub(in crate::scheduler) fn record_group_waiting(
        &mut self,
        tasks: &[WaitingTasks],
        plan: &PlacementPlan,
    ) {
        if !self.fair_share.is_scarce() {
            return;
        }
        let waiting = &mut self.fair_share.waiting;
        waiting.clear();
        let causes = [
            (waiting_cause::MACHINE_BOOTING, &plan.booked),
            (waiting_cause::NO_FREE_CAPACITY, &plan.unplaceable),
        ];
        for (cause, remaining) in causes {
            for RequestTasks { request, tasks: count } in remaining {
                let Some(rank) = tasks.get(request.0).and_then(|tasks| tasks.rank) else {
                    continue;
                };
                let key = WaitingCause { group: rank.group, cause };
                *waiting.entry(key).or_default() += u64::from(*count);
            }
        }
    }
}

/// Returns the positions of requests whose groups are below their floors, in order of service.
fn deficit_order(
    requests: &[JobRequest],
    deficits: &BTreeMap<DemandGroup, FloorDeficit>,
) -> Vec<usize> {
    let deficit_of = |n: usize| {
        let rank = requests[n].rank?;
        Some((rank, deficits.get(&rank.group).filter(|shortfall| shortfall.deficit > 0)?))
    };
    let mut order: Vec<usize> = (0..requests.len()).filter(|n| deficit_of(*n).is_some()).collect();
    order.sort_by_key(|n| {
        deficit_of(*n).map(|(rank, shortfall)| (shortfall.floor_fraction, rank.remaining_work, *n))
    });
    order
}
