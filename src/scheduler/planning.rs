//! The planning pass: observes jobs and fleet, has `placement` compute a plan, and applies it.
//!
//! A pass has four steps, each in its own file: [`jobs_view`] and [`fleet_view`] collect the
//! inputs, [`demand`] turns waiting tasks into placement requests, [`decision`] asks `placement`
//! for a plan and keeps it as a value, and [`starts`] carries it out. Tasks are started nowhere
//! else. A pass writes nothing to the store.
//!
//! Updates the planning clock, the statistics, the autoscaler's reservations and the machines'
//! entries. The modules that it calls update their own state.

mod decision;
mod demand;
mod fleet_view;
mod jobs_view;
mod starts;

pub(super) use decision::PlanningDecision;
pub(super) use demand::{DemandQueue, JobRequest, WaitingTasks};
pub(super) use fleet_view::{FleetView, MachineBins, UnconfirmedMachines};
pub(super) use jobs_view::JobsView;

use crate::cloud::{CloudClient, PendingRental};
use crate::ids::JobId;
use crate::jobs::Job;
use crate::placement::Obstacle;
use crate::scheduler::Scheduler;
use crate::scheduler::consolidation::CONSOLIDATION_INTERVAL;
use crate::scheduler::job_progress::JobProgress;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::scheduler::preemption::VictimCache;
use crate::scheduler::statistics::HeldBackTasks;
use crate::store::Cache;
use crate::wire::Priority;
use crate::workers::machine::{Machine, MachineState};
use tokio::time::Instant;

/// Causes that operators see for tasks that still wait after a pass.
pub(super) mod waiting_cause {
    /// Tasks of the job failed on the machine that has room.
    pub(in crate::scheduler) const FAILED_THERE: &str = "failed on the machine with room";
    /// The job's attempts fail on every machine.
    pub(in crate::scheduler) const FAILS_EVERYWHERE: &str = "fails everywhere";
    /// The machine that has room may be faulty.
    pub(in crate::scheduler) const FAULTY_MACHINE: &str = "machine suspected to be faulty";
    /// The heavy basket has reached its limit, so that heavy tasks take no machine from the pool.
    pub(in crate::scheduler) const HEAVY_LIMIT: &str = "limit of the heavy basket";
    /// Machines have room for a part of the gang only.
    pub(in crate::scheduler) const INCOMPLETE_GANG: &str = "room for a part of the gang";
    /// The tasks are reserved on machines that are booting or about to be rented.
    pub(in crate::scheduler) const MACHINE_BOOTING: &str = "machine to come";
    /// The controllers cannot serve more machines.
    pub(in crate::scheduler) const MACHINE_LIMIT: &str = "controllers hold no more machines";
    /// No machine has enough free capacity, and no suitable machine can be rented.
    pub(in crate::scheduler) const NO_FREE_CAPACITY: &str = "no room";
    /// The machine that has room belongs to the other basket.
    pub(in crate::scheduler) const OTHER_BASKET: &str = "room in the other basket";
    /// Tasks of higher priority left the machine that has room and may return.
    pub(in crate::scheduler) const RECENTLY_VACATED: &str = "machine left by urgent work";
    /// The tasks failed and are retried after a backoff.
    pub(in crate::scheduler) const RETRY_BACKOFF: &str = "pause after a failure";
    /// The rate limit for starts of low-priority tasks is reached.
    pub(in crate::scheduler) const START_RATE: &str = "pace of starts";
    /// The team has reached its limit.
    pub(in crate::scheduler) const TEAM_LIMIT: &str = "team limit";
    /// A previous leader may have started the tasks on a machine that has not yet sent a heartbeat
    /// to this leader.
    pub(in crate::scheduler) const UNCONFIRMED_MACHINE: &str = "unconfirmed machine";
}

/// Returns the cause that operators see for tasks held back by an obstacle, if it is known.
fn held_back_cause(obstacle: Obstacle) -> Option<&'static str> {
    match obstacle {
        Obstacle::JobFailedThere => Some(waiting_cause::FAILED_THERE),
        Obstacle::FaultyMachine => Some(waiting_cause::FAULTY_MACHINE),
        Obstacle::RecentlyVacated => Some(waiting_cause::RECENTLY_VACATED),
        Obstacle::OtherBasket => Some(waiting_cause::OTHER_BASKET),
        Obstacle::HeavyLimit => Some(waiting_cause::HEAVY_LIMIT),
        Obstacle::IncompleteGang => Some(waiting_cause::INCOMPLETE_GANG),
        Obstacle::Unknown => None,
    }
}

/// Delay before the next pass if time alone may change its outcome, in units of
/// [`MIN_PASS_INTERVAL`].
const RETRY_PASS_INTERVALS: u32 = 4;
/// Shorter delay, in the same unit, for a retry backoff that expires within
/// [`RETRY_PASS_INTERVALS`].
const BACKOFF_PASS_INTERVALS: u32 = 2;

impl Scheduler {
    /// Returns whether tasks may be placed on a machine now and are expected to stay there.
    pub(super) fn accepts_tasks(&self, machine: &Machine, now: Instant) -> bool {
        machine.state == MachineState::Up
            && machine.confirmed
            && machine.recorded
            && machine.reclaim_at.is_none()
            && !machine.faulty
            && machine.time_since_heartbeat(now) < self.settings.heartbeat_interval() * 2
            && !self.is_drained(machine)
    }

    /// Returns whether a pass may do more than keep warm capacity and consolidate, which can wait
    /// half a second: tasks are waiting, dependencies have changed, or something is being drained.
    /// Most heartbeats that request a pass only confirm running tasks.
    pub(super) fn has_pending_work(&self, cache: &Cache) -> bool {
        let has_waiting_tasks = |(id, progress): (&JobId, &JobProgress)| {
            let live = cache.jobs.get(id).and_then(Job::live);
            live.is_some_and(|live| progress.waiting(live) > 0)
        };
        self.jobs.progress.iter().any(has_waiting_tasks)
            || self.dependencies.stale
            || !self.drains.drained.is_empty()
    }

    /// Runs one planning pass: observes, decides and applies.
    pub(super) fn plan(&mut self, cache: &Cache, cloud: &mut CloudClient, now: Instant) {
        let unconfirmed = self.unconfirmed_machines();
        let jobs = self.observe_jobs(&unconfirmed, cache, now);
        let mut fleet = self.observe_fleet(unconfirmed, &jobs, cloud, now);
        self.update_scarcity(&jobs.ready, &fleet, cloud, now);
        let demand = self.collect_demand(&jobs, &fleet, cache, now);
        fleet.add_pending_rentals();
        self.move_tasks(&fleet, &demand, cache, now);
        let decision = self.decide(fleet, demand, now);
        self.apply(decision, cache, cloud, now);
    }

    /// Consolidates tasks on fewer machines and moves tasks off drained machines.
    fn move_tasks(&mut self, fleet: &FleetView, demand: &DemandQueue, cache: &Cache, now: Instant) {
        if !fleet.unconfirmed.is_empty() {
            return;
        }
        // Waiting low-priority tasks don't prevent consolidation: they can use the emptied
        // machines, and moved tasks don't take capacity from them, because capacity that fits them
        // isn't free.
        let requests = &demand.requests;
        let only_low_priority = requests.iter().all(|job| job.request.priority == Priority::Low);
        if only_low_priority && now >= self.consolidation.next_round && !self.is_draining() {
            self.consolidation.next_round = now + CONSOLIDATION_INTERVAL;
            self.consolidate(&fleet.machines, cache, now);
        }
        self.evacuate_drained(&fleet.machines.bins, &fleet.machines.ids, cache, now);
    }

    /// Carries out a decision: starts and preempts tasks, rents machines and schedules the next
    /// pass.
    fn apply(
        &mut self,
        mut decision: PlanningDecision,
        cache: &Cache,
        cloud: &mut CloudClient,
        now: Instant,
    ) {
        self.record_group_waiting(&decision.tasks, &decision.placement);
        self.record_waiting(&decision);
        self.record_held_back(&decision);
        let mut victims = VictimCache::default();
        self.start_planned(&mut decision, &mut victims, cache, now);
        let unplaced = self.unplaced_tasks(&mut decision);
        self.preempt(unplaced, &decision.team_headroom, cache, now);
        self.rent(&decision, cloud, now);
        self.schedule_next_pass(&decision, now);
    }

    fn record_waiting(&mut self, decision: &PlanningDecision) {
        for (cause, remaining) in [
            (waiting_cause::MACHINE_BOOTING, &decision.placement.booked),
            (decision.unplaceable_cause, &decision.placement.unplaceable),
        ] {
            let of_jobs = remaining.iter().filter(|tasks| tasks.request.0 < decision.tasks.len());
            let count: u32 = of_jobs.map(|tasks| tasks.tasks).sum();
            if count > 0 {
                self.statistics.waiting_by_cause.insert(cause, u64::from(count));
            }
        }
    }

    /// Records which jobs wait beside a machine that has room, and counts their tasks under the
    /// obstacle instead of missing capacity.
    fn record_held_back(&mut self, decision: &PlanningDecision) {
        self.statistics.held_back.clear();
        let of_jobs = decision
            .placement
            .held_back
            .iter()
            .filter_map(|held| Some((held, decision.tasks.get(held.request.0)?)));
        for (held, tasks) in of_jobs {
            let machine = decision.machine_ids.get(held.bin.0).cloned().flatten();
            let (Some(machine), Some(cause)) = (machine, held_back_cause(held.obstacle)) else {
                continue;
            };
            let counts = &mut self.statistics.waiting_by_cause;
            let general_cause = if held.booked {
                waiting_cause::MACHINE_BOOTING
            } else {
                decision.unplaceable_cause
            };
            if let Some(count) = counts.get_mut(general_cause) {
                *count = count.saturating_sub(u64::from(held.tasks));
            }
            counts.retain(|_, count| *count > 0);
            self.statistics.add_waiting(cause, u64::from(held.tasks));
            let held = HeldBackTasks { job: tasks.job.clone(), tasks: held.tasks, machine, cause };
            self.statistics.held_back.push(held);
        }
    }

    fn rent(&self, decision: &PlanningDecision, cloud: &mut CloudClient, now: Instant) {
        for PendingRental { pool, count } in &decision.rentals {
            let machine_type = &self.fleet.machine_types[pool.machine_type].name;
            cloud.scale_out(*pool, machine_type, self.fleet.zone_name(pool.zone), *count, now);
        }
    }

    fn schedule_next_pass(&mut self, decision: &PlanningDecision, now: Instant) {
        let placement = &decision.placement;
        let retry = decision.next_backoff_expiry;
        if retry.is_none() && placement.unplaceable.is_empty() && placement.booked.is_empty() {
            return;
        }
        // Time alone may change the outcome: backoffs expire and pools can be requested again.
        self.planning_clock.pass_requested = true;
        let expires_soon =
            retry.is_some_and(|at| at < now + MIN_PASS_INTERVAL * RETRY_PASS_INTERVALS);
        let intervals = if expires_soon { BACKOFF_PASS_INTERVALS } else { RETRY_PASS_INTERVALS };
        self.planning_clock.next_pass = now + MIN_PASS_INTERVAL * intervals;
    }
}
