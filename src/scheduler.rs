//! The leader's scheduler: turns its view of machines and tasks into commands, machine rentals and store writes.
//!
//! It has no clock and does no I/O itself. A scheduler exists only while its process leads. It is rebuilt for each
//! term from the store's records and the workers' heartbeats, and stores no placements.

mod autoscaling;
mod consolidation;
mod dependencies;
pub mod direct_calls;
pub mod drains;
mod elastic_width;
mod fair_share;
pub mod fleet;
mod garbage_collection;
mod heartbeat_delegation;
mod interner;
mod job_machines;
mod job_progress;
mod orphaned_tasks;
mod persistence;
mod placement_requests;
mod planning;
pub(crate) mod planning_clock;
mod preemption;
mod reconciliation;
mod relayed_heartbeats;
mod runtime_prediction;
mod statistics;
mod status;
mod suspected_machines;
mod task_attempt;
mod task_exit;
mod term;
mod unreachable;

use crate::clock::WallClock;
use crate::cloud::CloudClient;
use crate::ids::{FencingToken, JobId, Revision};
use crate::leadership::delegation::Delegations;
use crate::settings::Settings;
use crate::store::{Cache, StoreClient};
use crate::workers::machine::MachineState;
use autoscaling::Autoscaler;
use consolidation::Consolidation;
use dependencies::InheritedPriorities;
use direct_calls::{CallRules, DirectCalls, OutgoingCall};
use drains::DrainState;
use fair_share::FairShare;
use fleet::Fleet;
use foldhash::HashMap;
use garbage_collection::GarbageCollector;
use job_progress::{JobProgress, JobTable};
use persistence::PersistenceSchedule;
use planning_clock::{PlanningClock, StartPacer};
use runtime_prediction::RuntimePredictor;
use statistics::Statistics;
use std::sync::Arc;
use std::time::Duration;
use term::LeaderTerm;
use tokio::time::Instant;
use troutspindle_elastic_width::WidthPlanner;

/// Interval between two runs of the periodic checks, such as those for silent and aged machines.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval after which a requested planning pass runs although no task waits. Such passes maintain warm capacity,
/// account for drained machines and determine scarcity.
const UNCONDITIONAL_PASS_INTERVAL: Duration = Duration::from_millis(480);
/// The leader's view of machines and tasks, and everything that it decides from it.
pub struct Scheduler {
    /// Current term: the fencing token and the attempt numbers created under it.
    term: LeaderTerm,
    settings: Arc<Settings>,
    /// Mapping from the monotonic clock to the time of day.
    wall_clock: WallClock,
    /// Team indices by name.
    teams: HashMap<String, usize>,
    /// Machines and zones that the leader knows.
    pub fleet: Fleet,
    /// Live jobs and their progress.
    jobs: JobTable,
    /// Schedule of planning passes.
    planning_clock: PlanningClock,
    /// Rate limit of low-priority starts, and whether this process is behind.
    start_pacer: StartPacer,
    /// Direct calls to workers.
    direct_calls: DirectCalls,
    /// State of scaling out and in.
    autoscaler: Autoscaler,
    /// State of consolidation, which empties machines by moving their tasks.
    consolidation: Consolidation,
    /// Order of placement while capacity is scarce.
    fair_share: FairShare,
    /// Learned run times.
    runtime_predictor: RuntimePredictor,
    /// Removal of unused records from the store.
    garbage_collector: GarbageCollector,
    /// Schedule of progress writes to the store.
    persistence: PersistenceSchedule,
    /// Priorities and deadlines that jobs inherit from their dependents.
    dependencies: InheritedPriorities,
    /// Drains of operators.
    drains: DrainState,
    /// Planned widths of elastic jobs.
    elastic_widths: WidthPlanner<JobId>,
    /// Delegated leases, under which other controllers may answer heartbeats for this leader.
    pub delegations: Delegations,
    /// Counters for logs and metrics.
    statistics: Statistics,
}

impl Scheduler {
    /// Creates a new leader's scheduler from the records that previous leaders stored.
    pub fn new(
        token: FencingToken,
        leader_revision: Revision,
        settings: Arc<Settings>,
        cache: &Cache,
        wall_clock: WallClock,
        now: Instant,
    ) -> Scheduler {
        let team_names = settings.platform.params.teams.iter().map(|team| team.name.clone());
        let peers = settings.platform.others.iter().map(|peer| peer.host_name.clone());
        let zone_names = settings.platform.params.zones.clone();
        let mut scheduler = Scheduler {
            term: LeaderTerm::new(token, leader_revision, now),
            wall_clock,
            teams: team_names.enumerate().map(|(index, name)| (name, index)).collect(),
            fleet: Fleet::new(zone_names, cache.machine_types.value.clone()),
            jobs: JobTable::default(),
            planning_clock: PlanningClock::new(now),
            start_pacer: StartPacer::new(now),
            direct_calls: DirectCalls::new(&settings, now),
            autoscaler: Autoscaler::default(),
            consolidation: Consolidation::new(now),
            fair_share: FairShare::new(settings.operator.floor),
            runtime_predictor: RuntimePredictor::new(cache),
            garbage_collector: GarbageCollector::new(now),
            persistence: PersistenceSchedule::new(now),
            dependencies: InheritedPriorities::default(),
            drains: DrainState::default(),
            elastic_widths: WidthPlanner::default(),
            delegations: Delegations::new(token, peers, now),
            statistics: Statistics::new(now),
            settings,
        };
        for (id, known) in &cache.machines {
            let record = &known.value;
            let Some(pool) = scheduler.fleet.pool(&record.machine_type, &record.zone, record.spot)
            else {
                continue;
            };
            let machine = scheduler.fleet.add_machine(id, pool, now);
            machine.recorded = true;
            machine.confirmed = false;
            machine.state = MachineState::Up;
            machine.address = record.address.parse().ok();
        }
        for (id, job) in &cache.jobs.all {
            if let Some(live) = job.live() {
                // The cache contains everything that previous leaders committed. They therefore started no task of a
                // job that still waits for its dependencies here.
                let progress = JobProgress::of_predecessor(live.is_ready());
                scheduler.jobs.progress.insert(id.clone(), progress);
            }
        }
        scheduler.find_orphaned_tasks(cache, now);
        scheduler
    }

    /// Returns the index of a team; `usize::MAX`, which no team has, for an unknown name.
    fn team_of(&self, name: &str) -> usize {
        self.teams.get(name).copied().unwrap_or(usize::MAX)
    }

    /// Returns the fencing token of this term.
    pub fn token(&self) -> FencingToken {
        self.term.token
    }

    /// Returns the revision of the leader key under which this term was won.
    pub fn leader_revision(&self) -> Revision {
        self.term.leader_revision()
    }

    /// Returns the number of machines that are rented, booting or being terminated.
    pub fn machine_count(&self) -> usize {
        self.fleet.machines.len()
    }

    /// Returns the number of heartbeats received during this term.
    pub fn heartbeats(&self) -> u64 {
        self.statistics.heartbeats
    }

    /// Returns the time of the last heartbeat of any worker, or the start of the term if there was none.
    pub fn last_heartbeat(&self) -> Instant {
        self.statistics.last_heartbeat
    }

    /// Replaces the mapping from the monotonic clock to the time of day.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.wall_clock = wall_clock;
    }

    /// Sets the maximum number of rented machines, which the capacity of the controllers determines.
    pub fn set_max_machines(&mut self, max_machines: u32) {
        self.autoscaler.max_machines = max_machines;
    }

    /// Sets the maximum number of direct calls in flight.
    pub fn set_max_direct_calls(&mut self, max_in_flight: usize) {
        self.direct_calls.max_in_flight = max_in_flight;
    }

    /// Returns the maximum number of direct calls in flight.
    pub fn max_direct_calls(&self) -> usize {
        self.direct_calls.max_in_flight
    }

    /// Takes the direct calls that are ready to be sent.
    pub fn take_direct_calls(&mut self) -> Vec<OutgoingCall> {
        self.direct_calls.take_outgoing()
    }

    /// Returns the time at which the next planning pass is due, if one is requested.
    pub fn next_due(&self) -> Option<Instant> {
        self.planning_clock.next_due()
    }

    /// Adjusts the rate of low-priority starts to the lateness of this process.
    pub fn adjust_pace(&mut self, late: Duration, now: Instant) {
        self.start_pacer.adjust(late, now);
    }

    /// Returns whether this process was behind recently.
    pub fn is_behind(&self, now: Instant) -> bool {
        self.start_pacer.is_behind(now)
    }

    /// Records the time that it took to handle the last event.
    pub fn record_event_duration(&mut self, took: Duration, now: Instant) {
        self.planning_clock.record_duration(took, now);
    }

    /// Runs all work that is due. Called frequently, and only while this process holds the leader lease.
    pub fn tick(&mut self, store: &mut StoreClient, cloud: &mut CloudClient, now: Instant) {
        if now >= self.planning_clock.next_check {
            self.planning_clock.next_check = now + CHECK_INTERVAL;
            self.run_periodic_checks(store, cloud, now);
        }
        self.term.set_format(store.layout().format);
        self.enqueue_due_writes(store, now);
        if self.planning_clock.start_pass_if_due(now) {
            self.plan_if_useful(&store.cache, cloud, now);
        }
        self.send_direct_calls(now);
    }

    /// Runs the checks that are due once per interval rather than on each event.
    fn run_periodic_checks(
        &mut self,
        store: &mut StoreClient,
        cloud: &mut CloudClient,
        now: Instant,
    ) {
        self.direct_calls.all_dirty = true;
        self.check_machines(&store.cache, cloud, now);
        self.delete_machine_records(store);
        self.read_drains(&store.cache);
        self.collect_garbage(store, now);
        self.store_estimates(store, now);
        self.warn_of_late_jobs(&store.cache, now);
    }

    fn plan_if_useful(&mut self, cache: &Cache, cloud: &mut CloudClient, now: Instant) {
        let clock = &self.planning_clock;
        if now < clock.next_unconditional_pass && !self.has_pending_work(cache) {
            return;
        }
        self.planning_clock.next_unconditional_pass = now + UNCONDITIONAL_PASS_INTERVAL;
        self.planning_clock.pass_in_this_event = true;
        self.plan(cache, cloud, now);
        self.direct_calls.all_dirty = true;
    }

    fn send_direct_calls(&mut self, now: Instant) {
        let rules = CallRules {
            tokens: self.term.tokens(),
            heartbeat_late_after: self.heartbeat_late_after(),
            heartbeat_interval: self.settings.heartbeat_interval(),
        };
        self.direct_calls.dispatch(&mut self.fleet, &rules, now);
    }
}

#[cfg(test)]
mod tests;
