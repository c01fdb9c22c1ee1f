//! The leader's work: what it knows of machines and tasks, turned into commands.
//!
//! A core without clock or I/O. It exists only while its process leads, is built anew for each
//! leadership from the store's records and the workers' heartbeats, and stores no placements.

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

/// Pause between two looks at what silence and age do to machines.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Longest pause between two passes that are asked for while no task waits: they keep room warm, book what is drained
/// and look whether room is scarce.
const UNCONDITIONAL_PASS_INTERVAL: Duration = Duration::from_millis(480);
/// The leader's view of machines and tasks, and everything that it decides from it.
pub struct Scheduler {
    /// This leadership: its fencing token and what is numbered within it.
    term: LeaderTerm,
    settings: Arc<Settings>,
    /// Ties the monotonic clock to the time of day.
    wall_clock: WallClock,
    /// The teams' indices by their names.
    teams: HashMap<String, usize>,
    /// The machines and their zones.
    pub fleet: Fleet,
    /// The live jobs.
    jobs: JobTable,
    /// When to plan.
    planning_clock: PlanningClock,
    /// How fast low-priority tasks are started.
    start_pacer: StartPacer,
    /// Calls to workers.
    direct_calls: DirectCalls,
    /// Scaling out and in.
    autoscaler: Autoscaler,
    /// When work is moved together next.
    consolidation: Consolidation,
    /// What is placed first while capacity is scarce.
    fair_share: FairShare,
    /// Run times as they were learned.
    runtime_predictor: RuntimePredictor,
    /// What is removed at the store.
    garbage_collector: GarbageCollector,
    /// When progress is written to the store.
    persistence: PersistenceSchedule,
    /// What jobs inherit from those that depend on them.
    dependencies: InheritedPriorities,
    /// What operators drain.
    drains: DrainState,
    /// What is remembered of elastic jobs.
    elastic_widths: WidthPlanner<JobId>,
    /// Which other controllers may answer heartbeats for this leader.
    pub delegations: Delegations,
    /// Counts for logs.
    statistics: Statistics,
}

impl Scheduler {
    /// A leader's scheduler as it begins, from what its predecessors stored.
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
            let Some(kind) = scheduler.fleet.pool(&record.machine_type, &record.zone, record.spot)
            else {
                continue;
            };
            let machine = scheduler.fleet.add_machine(id, kind, now);
            machine.recorded = true;
            machine.confirmed = false;
            machine.state = MachineState::Up;
            machine.address = record.address.parse().ok();
        }
        for (id, job) in &cache.jobs.all {
            if let Some(live) = job.live() {
                // A predecessor started nothing that still waits for other jobs: the cache holds
                // all that it committed.
                let progress = JobProgress::of_predecessor(live.is_ready());
                scheduler.jobs.progress.insert(id.clone(), progress);
            }
        }
        scheduler.find_orphaned_tasks(cache, now);
        scheduler
    }

    /// The index of a team; one that no team has if the name is not known.
    fn team_of(&self, name: &str) -> usize {
        self.teams.get(name).copied().unwrap_or(usize::MAX)
    }

    /// The fencing token of this leadership.
    pub fn token(&self) -> FencingToken {
        self.term.token
    }

    /// The revision of the leader key that this leadership holds.
    pub fn leader_revision(&self) -> Revision {
        self.term.leader_revision()
    }

    /// How many machines are known.
    pub fn machine_count(&self) -> usize {
        self.fleet.machines.len()
    }

    /// How many heartbeats were taken in.
    pub fn heartbeats(&self) -> u64 {
        self.statistics.heartbeats
    }

    /// When a worker last sent a heartbeat, or when this leadership began.
    pub fn last_heartbeat(&self) -> Instant {
        self.statistics.last_heartbeat
    }

    /// Sets the time of day anew.
    pub fn set_wall_clock(&mut self, wall_clock: WallClock) {
        self.wall_clock = wall_clock;
    }

    /// Bounds how many machines are rented, by what controllers can serve.
    pub fn set_max_machines(&mut self, max_machines: u32) {
        self.autoscaler.max_machines = max_machines;
    }

    /// Bounds how many calls to workers may be under way at once.
    pub fn set_max_direct_calls(&mut self, max_in_flight: usize) {
        self.direct_calls.max_in_flight = max_in_flight;
    }

    /// How many calls to workers may be under way at once.
    pub fn max_direct_calls(&self) -> usize {
        self.direct_calls.max_in_flight
    }

    /// The calls to workers that are to be sent, taken out.
    pub fn take_direct_calls(&mut self) -> Vec<OutgoingCall> {
        self.direct_calls.take_outgoing()
    }

    /// When the next planning pass is due, if one is requested.
    pub fn next_due(&self) -> Option<Instant> {
        self.planning_clock.next_due()
    }

    /// Adjusts the pace of low-priority starts by how late this process is.
    pub fn adjust_pace(&mut self, late: Duration, now: Instant) {
        self.start_pacer.adjust(late, now);
    }

    /// Whether this process fell behind a moment ago.
    pub fn is_behind(&self, now: Instant) -> bool {
        self.start_pacer.is_behind(now)
    }

    /// Records how long the last event took to handle.
    pub fn record_event_duration(&mut self, took: Duration, now: Instant) {
        self.planning_clock.record_duration(took, now);
    }

    /// Does what is due by now. Called often, and only while this process holds the lease.
    pub fn tick(&mut self, store: &mut StoreClient, cloud: &mut CloudClient, now: Instant) {
        if now >= self.planning_clock.next_watch {
            self.planning_clock.next_watch = now + WATCH_INTERVAL;
            self.watch(store, cloud, now);
        }
        self.store(store, now);
        if self.planning_clock.start_pass_if_due(now) {
            self.plan_if_useful(&store.cache, cloud, now);
        }
        self.send_direct_calls(now);
    }

    /// What is looked at now and then rather than on each event.
    fn watch(&mut self, store: &mut StoreClient, cloud: &mut CloudClient, now: Instant) {
        self.direct_calls.all_dirty = true;
        self.watch_machines(&store.cache, cloud, now);
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
            token: self.term.token,
            heartbeat_late_after: self.heartbeat_late_after(),
            heartbeat_interval: self.settings.heartbeat_interval(),
        };
        self.direct_calls.dispatch(&mut self.fleet, &rules, now);
    }
}

#[cfg(test)]
mod tests;
