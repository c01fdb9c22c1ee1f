//! State, clock and event queue of the simulation.

use crate::config::{
    CONTROLLERS, DEFAULT_CAPACITY, FLOOR, settings_with_sharding, sharding_requested,
};
use crate::digest;
use crate::event::SimEvent;
use crate::in_memory_store::Store;
use crate::model::{Ticket, UserJob, Worker};
use crate::targeted_faults::TargetedFaults;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use troutspindle::clock::WallClock;
use troutspindle::controller::{Controller, Effect, Event};
use troutspindle::http::{Method, Request, Response};
use troutspindle::ids::{MachineId, TaskId};

/// A simulated cluster with its store, cloud, workers and users.
pub struct World {
    /// Milliseconds since the simulation began.
    pub now_ms: u64,
    /// Instant at which the simulation began.
    pub base: Instant,
    /// Digest of all messages that controllers send.
    pub digest: digest::Digest,
    pub random: StdRng,
    /// Time and number of each scheduled event; events of equal time run in the order in which they were scheduled.
    pub queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by number.
    pub scheduled: HashMap<u64, SimEvent>,
    /// Number of the event scheduled last.
    pub last_number: u64,
    /// Running controllers; `None` while one is down.
    pub controllers: Vec<Option<Controller>>,
    /// Whether each controller runs the previous version.
    pub runs_previous_version: Vec<bool>,
    /// Limits of the store: writes per transaction, bytes per value.
    pub limits: (usize, usize),
    /// Number of crashes of each controller.
    pub incarnation: Vec<u32>,
    /// Unanswered requests of each controller.
    pub tickets: Vec<HashMap<u64, Ticket>>,
    pub next_ticket: u64,
    pub store: Store,
    pub workers: BTreeMap<MachineId, Worker>,
    /// Rented machines by rental request.
    pub rentals: HashMap<String, Vec<MachineId>>,
    pub next_machine: u64,
    pub jobs: BTreeMap<u64, UserJob>,
    /// Completed tasks.
    pub finished: HashMap<TaskId, bool>,
    /// Tasks of which an attempt has failed.
    pub failed: BTreeSet<TaskId>,
    pub partitioned_controllers: Vec<bool>,
    pub zones_partitioned: bool,
    /// Whether zone b is isolated.
    pub isolated_zone: bool,
    /// Controller that is cut off from the workers of zone b.
    pub cut_off_from_zone_b: Option<usize>,
    /// Controller that is cut off from all workers.
    pub cut_off_from_workers: Option<usize>,
    /// Controller that the store rejects.
    pub rejected_by_store: Option<usize>,
    pub slow_controller: Option<usize>,
    pub cloud_unavailable: bool,
    /// Number of ordinary and of spot machines that the cloud offers in each zone.
    pub capacity: [usize; 2],
    /// Floor under scarcity in the operators' settings.
    pub floor: f64,
    pub failed_boots: bool,
    pub peer_connections_rejected: bool,
    pub slow_machines: bool,
    pub poll_storm: bool,
    /// Whether each controller is switched off, so that connections to it time out.
    pub down: Vec<bool>,
    pub stalled: Vec<bool>,
    /// Events for stalled controllers.
    pub stalled_events: Vec<SimEvent>,
    /// Effects of the last event before a stall, sent when the controller resumes.
    pub unsent_effects: Vec<(usize, Vec<Effect>)>,
    /// Messages that are delivered when a partition ends.
    pub blocked_messages: Vec<SimEvent>,
    /// Milliseconds that a controller needs for each event.
    pub event_cost_ms: u64,
    /// Events that wait for each busy controller.
    pub event_queues: Vec<VecDeque<SimEvent>>,
    pub delayed_commits: bool,
    pub delayed_heartbeats: bool,
    /// Zone whose workers receive no responses and no direct commands.
    pub zone_without_responses: Option<usize>,
    pub hung_zone: Option<usize>,
    /// Controller that is cut off from the store and its peers.
    pub isolated_controller: Option<usize>,
    pub drops_outgoing: Option<usize>,
    pub drops_incoming: Option<usize>,
    /// Whether tasks of arrays outlast the simulation.
    pub long_tasks: bool,
    /// Controller to which users send all cancellations, if set.
    pub cancel_via: Option<usize>,
    /// If set, a controller crashes after it confirmed a cancellation, and restarts after this many milliseconds.
    pub restarts_after_cancellation: Option<u64>,
    /// Time in milliseconds at which each controller last answered a worker with commands.
    pub last_answered_ms: Vec<u64>,
    /// State of the targeted faults, and the number of times each took effect.
    pub targeted_faults: TargetedFaults,
    /// Number of events so far; orders events within the same millisecond.
    pub events: u64,
    /// Violations of rules found so far.
    pub violations: Vec<String>,
    /// Number of executed start commands.
    pub starts: u64,
    /// Number of transactions that exceeded the store's limits.
    pub too_large: u64,
    /// Whether the leader shards heartbeats.
    pub sharding: bool,
    /// Whether a quarter of the messages of heartbeat sharding arrives a second time, 0.5 to 9 s later.
    pub duplicated_batches: bool,
}

impl World {
    /// Creates a simulation of [`CONTROLLERS`] controllers of this version.
    pub fn new(seed: u64) -> World {
        World::running_previous_version(seed, false)
    }

    /// Creates a simulation of [`CONTROLLERS`] controllers; `previous` selects the previous version.
    pub fn running_previous_version(seed: u64, previous: bool) -> World {
        World::with_controllers(seed, CONTROLLERS, previous)
    }

    /// Creates a simulation of `count` controllers, with heartbeat sharding if SHARE requests it.
    pub fn with_controllers(seed: u64, count: usize, previous: bool) -> World {
        World::with_sharding(seed, count, previous, sharding_requested())
    }

    /// Creates a simulation whose leader shards heartbeats always (`sharding`) or by the default rule.
    pub fn with_sharding(seed: u64, count: usize, previous: bool, sharding: bool) -> World {
        let mut world = World {
            now_ms: 0,
            base: Instant::now(),
            digest: digest::Digest::new(seed),
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_number: 0,
            controllers: Vec::new(),
            runs_previous_version: vec![previous; count],
            limits: (12, 16 * 1024),
            incarnation: vec![0; count],
            tickets: (0..count).map(|_| HashMap::new()).collect(),
            next_ticket: 100,
            store: Store { rev: 1, ..Store::default() },
            workers: BTreeMap::new(),
            rentals: HashMap::new(),
            next_machine: 0,
            jobs: BTreeMap::new(),
            finished: HashMap::new(),
            failed: BTreeSet::new(),
            partitioned_controllers: vec![false; count],
            zones_partitioned: false,
            isolated_zone: false,
            cut_off_from_zone_b: None,
            cut_off_from_workers: None,
            rejected_by_store: None,
            slow_controller: None,
            cloud_unavailable: false,
            capacity: DEFAULT_CAPACITY,
            floor: FLOOR,
            failed_boots: false,
            peer_connections_rejected: false,
            slow_machines: false,
            poll_storm: false,
            down: vec![false; count],
            stalled: vec![false; count],
            stalled_events: Vec::new(),
            unsent_effects: Vec::new(),
            blocked_messages: Vec::new(),
            event_cost_ms: 0,
            event_queues: std::iter::repeat_with(VecDeque::new).take(count).collect(),
            delayed_commits: false,
            delayed_heartbeats: false,
            zone_without_responses: None,
            hung_zone: None,
            isolated_controller: None,
            drops_outgoing: None,
            drops_incoming: None,
            long_tasks: false,
            cancel_via: None,
            restarts_after_cancellation: None,
            last_answered_ms: vec![0; count],
            targeted_faults: TargetedFaults::default(),
            events: 0,
            violations: Vec::new(),
            starts: 0,
            too_large: 0,
            sharding,
            duplicated_batches: false,
        };
        for controller in 0..count {
            let wall = world.wall();
            world.controllers.push(
                Controller::new(
                    settings_with_sharding(count, controller, previous, world.floor, sharding),
                    seed * 10 + controller as u64,
                    wall,
                )
                .ok(),
            );
            world.schedule(1 + controller as u64, SimEvent::Tick(controller));
        }
        world.schedule(50, SimEvent::LeaseCheck);
        world
    }

    /// Returns the simulated time as an instant.
    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    /// Returns the simulated wall clock.
    pub fn wall(&self) -> WallClock {
        WallClock { at: self.now(), ms: 1_700_000_000_000 + self.now_ms }
    }

    /// Schedules an event at a time in milliseconds.
    pub fn schedule(&mut self, at_ms: u64, event: SimEvent) {
        self.last_number += 1;
        self.queue.push(Reverse((at_ms, self.last_number)));
        self.scheduled.insert(self.last_number, event);
    }

    /// Schedules an event within 12 ms, or one in fifty within 300 ms.
    pub fn schedule_soon(&mut self, event: SimEvent) {
        let max_ms = if self.random.random_range(0..50) == 0 { 300 } else { 12 };
        let delay = self.random.random_range(1..max_ms);
        self.schedule(self.now_ms + delay, event);
    }

    /// Records a violation of a rule at the current time.
    pub fn record_violation(&mut self, message: String) {
        self.violations.push(format!("{} ms: {message}", self.now_ms));
    }

    /// Returns the zone of a controller.
    pub fn controller_zone(controller: usize) -> usize {
        controller % 2
    }

    /// Runs all events up to a time in milliseconds.
    pub fn run(&mut self, until_ms: u64) {
        while let Some(&Reverse((at_ms, number))) = self.queue.peek() {
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            self.events += 1;
            if let Some(event) = self.scheduled.remove(&number) {
                self.step(event);
            }
        }
        self.digest_store();
    }

    /// Handles an event, or keeps it back while its controller is stalled or busy.
    pub fn step(&mut self, event: SimEvent) {
        if let SimEvent::Tick(controller)
        | SimEvent::Controller(controller, ..)
        | SimEvent::Heartbeat(controller, ..)
        | SimEvent::ExtraRequest(controller, ..)
        | SimEvent::UserRequest(controller, ..) = &event
            && self.stalled[*controller]
        {
            let controller = *controller;
            if self.unsent_effects.iter().all(|(other, _)| *other != controller)
                && self.random.random()
            {
                // The controller stalls between this event and its effects.
                self.unsent_effects.push((controller, Vec::new()));
            } else {
                return self.stalled_events.push(event);
            }
        }
        if let SimEvent::Tick(controller)
        | SimEvent::Controller(controller, ..)
        | SimEvent::Heartbeat(controller, ..)
        | SimEvent::ExtraRequest(controller, ..)
        | SimEvent::UserRequest(controller, ..) = &event
            && (self.event_cost_ms > 0 || !self.event_queues[*controller].is_empty())
        {
            let controller = *controller;
            self.event_queues[controller].push_back(event);
            if self.event_queues[controller].len() == 1 {
                self.schedule(self.now_ms + self.event_cost_ms, SimEvent::NextQueued(controller));
            }
            return;
        }
        self.handle(event);
    }

    /// Handles an event now.
    pub fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::NextQueued(controller) => {
                if let Some(event) = self.event_queues[controller].pop_front() {
                    self.handle(event);
                }
                if !self.event_queues[controller].is_empty() {
                    self.schedule(
                        self.now_ms + self.event_cost_ms,
                        SimEvent::NextQueued(controller),
                    );
                }
            }
            SimEvent::Tick(controller) => {
                self.deliver(controller, Event::Tick);
                self.schedule(self.now_ms + 40, SimEvent::Tick(controller));
            }
            SimEvent::Controller(controller, incarnation, event) => {
                if self.slow_controller == Some(controller) && self.random.random_bool(0.7) {
                    let later = self.now_ms + self.random.random_range(1..150);
                    self.schedule(later, SimEvent::Controller(controller, incarnation, event));
                } else if self.incarnation[controller] == incarnation {
                    self.deliver(controller, event);
                }
            }
            SimEvent::Store(controller, incarnation, id, call) => {
                self.on_store_request(controller, incarnation, id, call)
            }
            SimEvent::DelayedCommit(txn) if self.store.unavailable => {
                self.schedule(self.now_ms + 1000, SimEvent::DelayedCommit(txn))
            }
            SimEvent::DelayedCommit(txn) => drop(self.commit(txn)),
            SimEvent::SlowCommit(controller, incarnation, id, txn) => {
                self.finish_slow_commit(controller, incarnation, id, txn);
            }
            SimEvent::Cloud(controller, incarnation, id, call) => {
                self.on_cloud_request(controller, incarnation, id, call)
            }
            SimEvent::DirectCall(controller, incarnation, machine, call) => {
                self.on_direct_call(controller, incarnation, machine, call);
            }
            SimEvent::Heartbeat(controller, machine, body, id) => {
                if self.is_cut_off(controller, self.workers[&machine].zone) {
                    return;
                }
                if self.down[controller] {
                    return;
                }
                if self.controllers[controller].is_none() {
                    return self.schedule_soon(SimEvent::HeartbeatResponse(
                        machine,
                        id,
                        Response::empty(599),
                    ));
                }
                let ticket = self.ticket(controller, Ticket::Heartbeat(machine, id));
                let request = Request { method: Method::Post, target: "/hello".into(), body };
                self.deliver(controller, Event::Request { ticket, request });
            }
            SimEvent::HeartbeatResponse(machine, id, response) => {
                self.on_heartbeat_response(machine, id, response)
            }
            SimEvent::Worker(machine) => self.step_worker(machine),
            SimEvent::Fault(fault) => self.inject(fault),
            SimEvent::User(job) => self.step_user(job),
            SimEvent::UserRequest(controller, job, request) => {
                if self.partitioned_controllers[controller]
                    || self.down[controller]
                    || self.is_isolated(controller)
                {
                    return;
                }
                let sent_ms = self.jobs[&job].pending_request.map_or(0, |(at, _)| at);
                if self.controllers[controller].is_none() {
                    return self.schedule_soon(SimEvent::UserResponse(
                        job,
                        sent_ms,
                        Response::empty(599),
                    ));
                }
                let ticket = self.ticket(controller, Ticket::User(job, sent_ms));
                self.deliver(controller, Event::Request { ticket, request });
            }
            SimEvent::UserResponse(job, sent_ms, response) => {
                self.on_user_response(job, sent_ms, &response)
            }
            SimEvent::ExtraRequest(controller, extra) => {
                self.deliver_extra_request(controller, extra)
            }
            SimEvent::ExtraResponse(extra, response) => self.on_extra_response(&extra, &response),
            SimEvent::InvalidRequest => self.send_invalid_request(),
            SimEvent::DelayedCommands(machine, batch) => {
                self.execute_delayed_commands(&machine, batch)
            }
            SimEvent::RepeatedCommands(machine, batch) => {
                self.execute_repeated_commands(&machine, batch)
            }
            SimEvent::Restart(controller) => {
                self.down[controller] = false;
                let seed = self.random.random();
                self.controllers[controller] = Controller::new(
                    settings_with_sharding(
                        self.controllers.len(),
                        controller,
                        self.runs_previous_version[controller],
                        self.floor,
                        self.sharding,
                    ),
                    seed,
                    self.wall(),
                )
                .ok();
            }
            SimEvent::LeaseCheck => {
                self.end_expired_leases();
                self.schedule(self.now_ms + 50, SimEvent::LeaseCheck);
            }
        }
    }
}
