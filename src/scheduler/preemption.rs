//! Preemption: stopping tasks of lower priority for tasks that fit on no machine.
//!
//! Reads the fleet, the jobs, run times and fair shares. Marks attempts on machines to be stopped,
//! and pauses the growth of elastic jobs whose tasks are preempted.

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

/// Share of the tightest start objective that a victim may spend on saving its progress.
const SAVE_SHARE_OF_SLO: f64 = 0.25;
/// Share of the tightest start objective. A production task whose image takes longer than this to
/// fetch preempts tasks on a machine that has the image.
const FETCH_SHARE_OF_SLO: f64 = 0.8;

/// Stop reason for a task preempted in favor of one of higher priority.
pub(super) const PREEMPTED: &str = "preempted";
/// Stop reason for a task that is moved to another machine.
pub(super) const MOVED: &str = "moved";

/// Tasks of a request for which no machine had enough free capacity.
pub(super) struct UnplacedTasks {
    /// Number of tasks.
    pub(super) count: u32,
    /// Resources and constraints of each task.
    pub(super) request: PlacementRequest,
}

/// Victims on all machines. Machines run dozens of small tasks each, so victims are collected only
/// when something is to be preempted, and once for many requests.
#[derive(Default)]
pub(super) struct VictimCache {
    machines: Option<Vec<VictimMachine>>,
    /// Amount that may be preempted from each group while capacity is scarce.
    budget: PreemptionBudget,
    /// Requests for which too few tasks could be preempted. The set of victims only shrinks
    /// within a pass, so an equivalent request needs no search.
    exhausted: Vec<PlacementRequest>,
}

/// Capacity to free by preemption, enough for `count` tasks of a request.
struct CapacityNeeded<'a> {
    request: &'a PlacementRequest,
    count: u64,
    /// True if only machines that have the image are searched.
    requires_image: bool,
    /// Maximum time that victims may take to save their progress, in seconds.
    max_save_s: f64,
}

/// An attempt that is to be stopped.
struct VictimStop {
    attempt: TaskAttempt,
    grace_s: f64,
}

/// The attempts that are to be stopped on one machine so that one task fits.
struct Preemption {
    machine: MachineId,
    stops: Vec<VictimStop>,
}

/// Returns whether a failed search for one request implies that it fails for the other.
fn is_equivalent(a: &PlacementRequest, b: &PlacementRequest) -> bool {
    (a.priority, a.resources, a.zone, a.allows_spot)
        == (b.priority, b.resources, b.zone, b.allows_spot)
        && a.machine_types == b.machine_types
        && a.excluded_machines == b.excluded_machines
        && a.zone_limits.has_same_open_zones(&b.zone_limits)
}

impl Scheduler {
    /// Stops tasks of lower priority where that frees enough capacity for unplaced tasks. Prefers
    /// machines that have the image, and victims that lose the least work.
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
        let mut being_freed = self.resources_being_freed();
        // Victims collected before the starts of this pass are outdated: the starts have used free
        // capacity.
        let mut victims = VictimCache::default();
        for UnplacedTasks { count, request } in unplaced {
            if request.gang {
                continue;
            }
            let headroom = &team_headroom[request.team.index()];
            let count = u64::from(count).min(max_copies(headroom, &request.resources));
            let served = count.min(max_copies(&being_freed, &request.resources));
            being_freed = being_freed.minus(&request.resources.times(served));
            self.preempt_for(&request, count - served, false, &mut victims, cache, now);
        }
    }

    /// Returns the resources that earlier preemptions are about to free. The result is an amount
    /// and not a number of tasks: one task may need the capacity of sixteen small ones.
    fn resources_being_freed(&self) -> Amount {
        self.fleet
            .machines
            .values()
            .flat_map(|machine| machine.attempts.values())
            .filter(|entry| entry.state != TaskState::Exited)
            .filter(|entry| entry.stopped_for(PREEMPTED))
            .fold(Amount::default(), |sum, entry| sum.plus(&entry.request))
    }

    /// Returns whether a production job's image takes longer to fetch on this machine than
    /// [`FETCH_SHARE_OF_SLO`] of the tightest start objective of the job's class.
    pub(super) fn fetch_is_late(&self, job: &JobId, machine: &MachineId, cache: &Cache) -> bool {
        let Some(live) = cache.jobs.get(job).and_then(Job::live) else { return false };
        let Some(machine) = self.fleet.machines.get(machine) else { return false };
        let Some(within_s) = self.settings.tightest_start_objective(&live.spec.class) else {
            return false;
        };
        let gb_per_s = self.fleet.machine_types[machine.machine_type].fetch_gb_per_s;
        live.spec.priority == Priority::Production
            && gb_per_s > 0.0
            && live.spec.image_gb / gb_per_s > within_s * FETCH_SHARE_OF_SLO
    }

    /// Preempts tasks for one task on a machine that has its image. Returns false if there is no
    /// such machine with suitable victims.
    pub(super) fn preempt_for_image(
        &mut self,
        request: &PlacementRequest,
        victims: &mut VictimCache,
        cache: &Cache,
        now: Instant,
    ) -> bool {
        self.preempt_for(request, 1, true, victims, cache, now) > 0
    }

    /// Preempts tasks for up to `count` tasks of a request, cheapest first. Returns the number of
    /// tasks for which enough capacity is being freed.
    fn preempt_for(
        &mut self,
        request: &PlacementRequest,
        count: u64,
        requires_image: bool,
        victims: &mut VictimCache,
        cache: &Cache,
        now: Instant,
    ) -> u64 {
        let is_exhausted = || victims.exhausted.iter().any(|other| is_equivalent(request, other));
        if count == 0 || (!requires_image && is_exhausted()) {
            return 0;
        }
        if victims.machines.is_none() {
            victims.budget = PreemptionBudget::new(self.fair_share.surplus());
            victims.machines = Some(self.victim_machines(&victims.budget, cache, now));
        }
        let VictimCache { machines: Some(machines), budget, .. } = victims else { return 0 };
        let max_save_s = request.start_slo_s.unwrap_or(f64::INFINITY) * SAVE_SHARE_OF_SLO;
        let needed = CapacityNeeded { request, count, requires_image, max_save_s };
        let preemptions = needed.choose(machines, budget);
        let preempted_for = preemptions.len() as u64;
        if preempted_for < count && !requires_image {
            victims.exhausted.push(request.clone());
        }
        self.carry_out(preemptions, now);
        preempted_for
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

/// Order in which options are chosen: by cost, then by the machine's position.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OptionRank {
    cost_s: OrderedFloat<f64>,
    machine: usize,
}

impl CapacityNeeded<'_> {
    /// Chooses the tasks to stop. A preemption changes the costs on its own machine only, so each
    /// machine is searched once at first, and again after each preemption on it.
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
                // Earlier choices have exhausted the budget of a victim's group.
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
