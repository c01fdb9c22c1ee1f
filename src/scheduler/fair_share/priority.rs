//! Placement requests of groups below their floors go first.

use super::{DemandGroup, WaitingCause, largest_capacity, room};
use crate::ids::{Amount, JobId};
use crate::jobs::LiveJob;
use crate::placement::{PlacementPlan, PlacementRequest, RequestTasks};
use crate::scheduler::Scheduler;
use crate::scheduler::planning::{JobRequest, WaitingTasks, waiting_cause};
use crate::wire::JobKind;
use ordered_float::OrderedFloat;
use std::collections::BTreeMap;
use troutspindle_fair_share::Capacity;

/// How a request is ranked while capacity is scarce.
#[derive(Debug, Clone, Copy)]
pub(in crate::scheduler) struct FairShareWeight {
    group: DemandGroup,
    /// Machine-seconds that the job still takes. Arrays with least left go first, so that many are
    /// finished rather than all half finished.
    remaining_work: u64,
    /// It must not be divided: what its zones may still hold is counted in it.
    indivisible: bool,
}

/// What a group below its floor is owed.
struct Debt {
    owed: Capacity,
    /// How much of its floor the group has.
    reached: OrderedFloat<f64>,
}

impl Scheduler {
    /// How a request is ranked, if capacity is scarce.
    pub(in crate::scheduler) fn fair_share_weight(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        request: &PlacementRequest,
    ) -> Option<FairShareWeight> {
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
        Some(FairShareWeight {
            group,
            remaining_work: remaining_work as u64,
            indivisible: spec.spread || spec.one_zone || request.gang,
        })
    }

    /// Moves what is owed to groups below their floors to the front, the groups with the smallest
    /// part of their floor first. A request of which only a part is owed is divided.
    pub(in crate::scheduler) fn prioritize_owed(
        &self,
        requests: &mut Vec<JobRequest>,
        capacities: &[Amount],
    ) {
        if !self.fair_share.is_scarce() {
            return;
        }
        let largest = largest_capacity(capacities);
        let mut debts: BTreeMap<DemandGroup, Debt> = BTreeMap::new();
        for (group, group_share) in self.fair_share.scarcity.group_shares() {
            debts.insert(
                *group,
                Debt { owed: group_share.deficit, reached: group_share.floor_fraction() },
            );
        }
        let mut first: Vec<JobRequest> = Vec::new();
        for n in owed_order(requests, &debts) {
            let JobRequest { request, weight: Some(weight), .. } = &requests[n] else { continue };
            let Some(debt) = debts.get_mut(&weight.group).filter(|debt| debt.owed > 0) else {
                continue;
            };
            let each = room(&request.resources, &largest).max(1);
            let owed_tasks = u32::try_from(debt.owed.div_ceil(each)).unwrap_or(u32::MAX);
            let count =
                if weight.indivisible { request.count } else { owed_tasks.min(request.count) };
            debt.owed = debt.owed.saturating_sub(each * u64::from(count));
            first.push(requests[n].take(count));
        }
        requests.retain(|request| request.request.count > 0);
        requests.splice(0..0, first);
    }

    /// Notes for operators why tasks wait.
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
            (waiting_cause::NO_ROOM, &plan.unplaceable),
        ];
        for (cause, remaining) in causes {
            for RequestTasks { request, tasks: count } in remaining {
                let Some(weight) = tasks.get(request.0).and_then(|tasks| tasks.weight) else {
                    continue;
                };
                let key = WaitingCause { group: weight.group, cause };
                *waiting.entry(key).or_default() += u64::from(*count);
            }
        }
    }
}

/// The positions of requests whose groups are owed anything, in the order in which they are served.
fn owed_order(requests: &[JobRequest], debts: &BTreeMap<DemandGroup, Debt>) -> Vec<usize> {
    let debt_of = |n: usize| {
        let weight = requests[n].weight?;
        Some((weight, debts.get(&weight.group).filter(|debt| debt.owed > 0)?))
    };
    let mut order: Vec<usize> = (0..requests.len()).filter(|n| debt_of(*n).is_some()).collect();
    order.sort_by_key(|n| {
        debt_of(*n).map(|(weight, debt)| (debt.reached, weight.remaining_work, *n))
    });
    order
}
