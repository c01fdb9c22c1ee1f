//! The planning pass: observes jobs and fleet, decides by `placement`, and applies the decision.
//!
//! A pass has four steps, each in a file of its own: [`jobs_view`] and [`fleet_view`] collect what
//! the pass decides by, [`demand`] turns waiting tasks into placement requests, [`decision`] asks
//! `placement` for a plan and keeps it as a value, and [`starts`] carries it out. Nothing else
//! starts a task. A pass writes nothing to the store.
//!
//! Changes the planning clock, the statistics, the autoscaler's reservations and the machines'
//! entries; the parts that it calls change what they own.

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
use crate::scheduler::Scheduler;
use crate::scheduler::consolidation::CONSOLIDATION_INTERVAL;
use crate::scheduler::job_progress::JobProgress;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::scheduler::preemption::VictimCache;
use crate::store::Cache;
use crate::wire::Priority;
use crate::workers::machine::{Machine, MachineState};
use tokio::time::Instant;

/// Why tasks wait after a pass, as operators are told.
pub(super) mod waiting_cause {
    /// The job fails on every machine.
    pub(in crate::scheduler) const FAILS_EVERYWHERE: &str = "fails everywhere";
    /// The tasks are booked on machines that are booting or to be rented.
    pub(in crate::scheduler) const MACHINE_BOOTING: &str = "machine to come";
    /// Controllers can serve no more machines.
    pub(in crate::scheduler) const MACHINE_LIMIT: &str = "controllers hold no more machines";
    /// There is neither room nor an offer.
    pub(in crate::scheduler) const NO_ROOM: &str = "no room";
    /// The tasks failed and are retried after a pause.
    pub(in crate::scheduler) const RETRY_BACKOFF: &str = "pause after a failure";
    /// Low-priority tasks are started at a bounded rate.
    pub(in crate::scheduler) const START_RATE: &str = "pace of starts";
    /// The team uses all that it may.
    pub(in crate::scheduler) const TEAM_LIMIT: &str = "team limit";
    /// A predecessor may have started the tasks on a machine that has sent no heartbeat yet.
    pub(in crate::scheduler) const UNCONFIRMED_MACHINE: &str = "unconfirmed machine";
}

/// Pause before the next pass, in shortest pauses, if time alone may change the outcome.
const RETRY_PAUSES: u32 = 4;
/// The same if a task's retry backoff ends before that.
const RETRY_PAUSES_AFTER_BACKOFF: u32 = 2;

impl Scheduler {
    /// Whether tasks may be placed on a machine now, and will stay there.
    pub(super) fn accepts_tasks(&self, machine: &Machine, now: Instant) -> bool {
        machine.state == MachineState::Up
            && machine.confirmed
            && machine.recorded
            && machine.reclaim_at.is_none()
            && !machine.faulty
            && machine.time_since_heartbeat(now) < self.settings.heartbeat_interval() * 2
            && !self.is_drained(machine)
    }

    /// Whether a pass may do more than keep room warm and consolidate, which can wait for half a
    /// second: some task waits, or something is drained. Most heartbeats that request a pass only
    /// show tasks that run.
    pub(super) fn has_pending_work(&self, cache: &Cache) -> bool {
        let waits = |(id, progress): (&JobId, &JobProgress)| {
            let live = cache.jobs.get(id).and_then(Job::live);
            live.is_some_and(|live| progress.waiting(live) > 0)
        };
        self.jobs.progress.iter().any(waits)
            || self.dependencies.stale
            || !self.drains.drained.is_empty()
    }

    /// Makes a planning pass.
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

    /// Moves tasks together and off what is drained.
    fn move_tasks(&mut self, fleet: &FleetView, demand: &DemandQueue, cache: &Cache, now: Instant) {
        if !fleet.unconfirmed.is_empty() {
            return;
        }
        // Low-priority tasks that wait are no reason to leave others scattered: they can use what
        // is emptied, and room that they need themselves isn't free.
        let requests = &demand.requests;
        let only_low = requests.iter().all(|job| job.request.priority == Priority::Low);
        if only_low && now >= self.consolidation.next_round && !self.is_draining() {
            self.consolidation.next_round = now + CONSOLIDATION_INTERVAL;
            self.consolidate(&fleet.machines, cache, now);
        }
        self.evacuate_drained(&fleet.machines.bins, &fleet.machines.ids, cache, now);
    }

    /// Carries out what a pass has decided.
    fn apply(
        &mut self,
        mut decision: PlanningDecision,
        cache: &Cache,
        cloud: &mut CloudClient,
        now: Instant,
    ) {
        self.record_group_waiting(&decision.tasks, &decision.placement);
        self.record_waiting(&decision);
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

    fn rent(&self, decision: &PlanningDecision, cloud: &mut CloudClient, now: Instant) {
        for PendingRental { pool, count } in &decision.rentals {
            let machine_type = &self.fleet.machine_types[pool.flavor].name;
            cloud.scale_out(*pool, machine_type, self.fleet.zone_name(pool.zone), *count, now);
        }
    }

    fn schedule_next_pass(&mut self, decision: &PlanningDecision, now: Instant) {
        let placement = &decision.placement;
        let retry = decision.next_backoff_expiry;
        if retry.is_none() && placement.unplaceable.is_empty() && placement.booked.is_empty() {
            return;
        }
        // Time alone may change the outcome: backoffs end, pools are asked again.
        self.planning_clock.pass_requested = true;
        let soon = retry.is_some_and(|at| at < now + MIN_PASS_INTERVAL * RETRY_PAUSES);
        let pauses = if soon { RETRY_PAUSES_AFTER_BACKOFF } else { RETRY_PAUSES };
        self.planning_clock.next_pass = now + MIN_PASS_INTERVAL * pauses;
    }
}
