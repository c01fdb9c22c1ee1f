//! Preemption: stopping tasks of lower priority for tasks that find no room.
//!
//! Reads the fleet, the jobs, run times and fair shares; changes machines' entries by stops, and
//! lets preempted elastic jobs rest before they grow again.

mod budget;
mod candidates;

#[cfg(test)]
pub(super) use candidates::MISSING_IMAGE_COST_S;

use crate::ids::{Amount, JobId, MachineId};
use crate::jobs::Job;
use crate::placement::{PlacementRequest, max_copies};
use crate::scheduler::Scheduler;
use crate::scheduler::task_attempt::TaskAttempt;
use crate::store::Cache;
use crate::wire::{Priority, TaskState};
use crate::workers::machine::StopRequest;
use budget::PreemptionBudget;
use candidates::{PreemptionOption, VictimMachine};
use ordered_float::OrderedFloat;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Share of the tightest objective for a start that may go by while a victim saves its progress.
const SAVE_SHARE_OF_SLO: f64 = 0.25;
/// A fetch of an image that takes more than this share of the tightest objective for a start is
/// worth preempting tasks for, where a machine has the image.
const FETCH_SHARE_OF_SLO: f64 = 0.8;

/// The reason of a stop that makes room for a task of higher priority.
pub(super) const PREEMPTED: &str = "preempted";
/// The reason of a stop that moves a task elsewhere.
pub(super) const MOVED: &str = "moved";

/// Tasks that found no room.
pub(super) struct UnplacedTasks {
    /// How many.
    pub(super) count: u32,
    /// What they request.
    pub(super) request: PlacementRequest,
}

/// What can be preempted, collected once for many requests and only if anything is to be stopped:
/// machines hold dozens of small tasks each.
#[derive(Default)]
pub(super) struct VictimCache {
    machines: Option<Vec<VictimMachine>>,
    /// What may be preempted of each group, while capacity is scarce.
    budget: PreemptionBudget,
    /// Requests for which nothing could be preempted. What can be preempted only shrinks within a
    /// pass, so that an equivalent request needs no search.
    exhausted: Vec<PlacementRequest>,
}

/// How many tasks of a request to make room for.
struct RoomNeeded<'a> {
    request: &'a PlacementRequest,
    count: u64,
    /// Only on machines that have the image.
    with_image_only: bool,
    /// Seconds for which the task can wait while victims save their progress.
    patience_s: f64,
}

/// A task to be stopped.
struct VictimStop {
    attempt: TaskAttempt,
    grace_s: f64,
}

/// Tasks to be stopped on a machine.
struct Preemption {
    machine: MachineId,
    stops: Vec<VictimStop>,
}

/// Whether a search that was in vain for one request is in vain for the other.
fn is_equivalent(a: &PlacementRequest, b: &PlacementRequest) -> bool {
    (a.priority, a.resources, a.zone, a.allows_spot)
        == (b.priority, b.resources, b.zone, b.allows_spot)
        && a.machine_types == b.machine_types
        && a.excluded_machines == b.excluded_machines
        && a.zone_limits.same_open_zones(&b.zone_limits)
}

impl Scheduler {
    /// Stops tasks of lower priority where that makes room for tasks that found none: on a machine
    /// that has the image if there is one, and those that lose least.
    pub(super) fn preempt(
        &mut self,
        unplaced: Vec<UnplacedTasks>,
        team_headroom: &[Amount],
        cache: &Cache,
        now: Instant,
    ) {
        if unplaced.iter().all(|tasks| tasks.count == 0 || tasks.request.gang) {
            return;
        }
        let mut freeing = self.resources_being_freed();
        // Collected anew: the starts of this pass have taken room.
        let mut victims = VictimCache::default();
        for UnplacedTasks { count, request } in unplaced {
            if request.gang {
                continue;
            }
            let headroom = &team_headroom[request.team.index()];
            let count = u64::from(count).min(max_copies(headroom, &request.resources));
            let served = count.min(max_copies(&freeing, &request.resources));
            freeing = freeing.minus(&request.resources.times(served));
            self.make_room(&request, count - served, false, &mut victims, cache, now);
        }
    }

    /// What earlier preemptions are about to free. Its size counts, not the number of tasks:
    /// sixteen small ones may make room for one.
    fn resources_being_freed(&self) -> Amount {
        self.fleet
            .machines
            .values()
            .flat_map(|machine| machine.attempts.values())
            .filter(|entry| entry.state != TaskState::Exited)
            .filter(|entry| entry.stopped_for(PREEMPTED))
            .fold(Amount::default(), |sum, entry| sum.plus(&entry.need))
    }

    /// Whether a start on a machine without the image misses the tightest objective of its class.
    pub(super) fn fetch_is_late(&self, job: &JobId, machine: &MachineId, cache: &Cache) -> bool {
        let Some(live) = cache.jobs.get(job).and_then(Job::live) else { return false };
        let Some(machine) = self.fleet.machines.get(machine) else { return false };
        let Some(within_s) = self.settings.tightest_start_objective(&live.spec.class) else {
            return false;
        };
        let gb_per_s = self.fleet.machine_types[machine.flavor].fetch_gb_per_s;
        live.spec.priority == Priority::Production
            && gb_per_s > 0.0
            && live.spec.image_gb / gb_per_s > within_s * FETCH_SHARE_OF_SLO
    }

    /// Makes room for one task on a machine that has its image; whether it found any.
    pub(super) fn preempt_for_image(
        &mut self,
        request: &PlacementRequest,
        victims: &mut VictimCache,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        self.make_room(request, 1, true, victims, cache, now) > 0
    }

    /// Makes room for up to `count` tasks, where it costs least first, and returns for how many.
    fn make_room(
        &mut self,
        request: &PlacementRequest,
        count: u64,
        with_image_only: bool,
        victims: &mut VictimCache,
        cache: &Cache,
        now: Instant,
    ) -> u64 {
        let searched_in_vain =
            || victims.exhausted.iter().any(|other| is_equivalent(request, other));
        if count == 0 || (!with_image_only && searched_in_vain()) {
            return 0;
        }
        if victims.machines.is_none() {
            victims.budget = PreemptionBudget::new(self.fair_share.surplus());
            victims.machines = Some(self.victim_machines(&victims.budget, cache, now));
        }
        let VictimCache { machines: Some(machines), budget, .. } = victims else { return 0 };
        let patience_s = request.start_slo_s.unwrap_or(f64::INFINITY) * SAVE_SHARE_OF_SLO;
        let needed = RoomNeeded { request, count, with_image_only, patience_s };
        let preemptions = needed.choose(machines, budget);
        let made = preemptions.len() as u64;
        if made < count && !with_image_only {
            victims.exhausted.push(request.clone());
        }
        self.carry_out(preemptions, now);
        made
    }

    fn carry_out(&mut self, preemptions: Vec<Preemption>, now: Instant) {
        let stops = preemptions.iter().flat_map(|preemption| &preemption.stops);
        let jobs: Vec<JobId> = stops.map(|stop| stop.attempt.0.job.clone()).collect();
        self.pause_elastic_growth(&jobs, now);
        for Preemption { machine, stops } in preemptions {
            let Some(machine) = self.fleet.machines.get_mut(&machine) else { continue };
            for VictimStop { attempt, grace_s } in stops {
                machine.request_stop(&attempt, StopRequest { grace_s, reason: PREEMPTED });
                self.statistics.stops += 1;
            }
        }
    }
}

/// The order in which options are taken: by cost, then by the machine's position.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OptionRank {
    cost_s: OrderedFloat<f64>,
    machine: usize,
}

impl RoomNeeded<'_> {
    /// Chooses what to stop. Room that is made on one machine changes the costs there alone, so
    /// each machine is searched once, and once more after each choice of it.
    fn choose(
        &self,
        machines: &mut [VictimMachine],
        budget: &mut PreemptionBudget,
    ) -> Vec<Preemption> {
        let mut options: BTreeMap<OptionRank, PreemptionOption> = BTreeMap::new();
        for (position, machine) in machines.iter().enumerate() {
            if let Some(option) = machine.option(self) {
                options.insert(OptionRank { cost_s: option.cost_s, machine: position }, option);
            }
        }
        let mut chosen = Vec::new();
        while (chosen.len() as u64) < self.count
            && let Some((rank, option)) = options.pop_first()
        {
            let machine = &mut machines[rank.machine];
            let shares = option.victims.iter().filter_map(|n| machine.victims[*n].share);
            let next = if budget.spend(shares) {
                chosen.push(machine.preempt(&option, self));
                machine.option(self)
            } else {
                // Others were preempted down to that floor.
                machine.victims.retain(|v| v.share.is_none_or(|share| budget.covers(share)));
                machine.option(self).filter(|next| next.victims != option.victims)
            };
            if let Some(next) = next {
                options.insert(OptionRank { cost_s: next.cost_s, machine: rank.machine }, next);
            }
        }
        chosen
    }
}
