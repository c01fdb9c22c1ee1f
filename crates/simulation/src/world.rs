//! The simulated world: its state, its clock and its queue of events.

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
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use troutspindle::clock::WallClock;
use troutspindle::controller::{Controller, Effect, Event};
use troutspindle::http::{Method, Request, Response};
use troutspindle::ids::{MachineId, TaskId};

pub struct World {
    /// Milliseconds since the day began.
    pub now_ms: u64,
    pub base: Instant,
    /// Of all that controllers send.
    pub digest: digest::Digest,
    pub random: StdRng,
    pub queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub due: HashMap<u64, SimEvent>,
    pub next_due: u64,
    pub nodes: Vec<Option<Controller>>,
    /// Nodes that run the version before this one.
    pub old: Vec<bool>,
    pub limits: (usize, usize),
    pub incarnation: Vec<u32>,
    pub tickets: Vec<HashMap<u64, Ticket>>,
    pub next_ticket: u64,
    pub store: Store,
    pub workers: BTreeMap<MachineId, Worker>,
    pub hired: HashMap<String, Vec<MachineId>>,
    pub next_machine: u64,
    pub jobs: BTreeMap<u64, UserJob>,
    pub finished: HashMap<TaskId, bool>,
    pub cut_node: Vec<bool>,
    pub cut_zones: bool,
    pub isolated_zone: bool,
    pub cut_workers: Option<usize>,
    pub deaf: Option<usize>,
    pub refused: Option<usize>,
    pub slow_node: Option<usize>,
    pub cloud_out: bool,
    /// Ordinary and spot machines that the cloud has in each zone.
    pub capacity: [usize; 2],
    /// The operators' floor under scarcity.
    pub floor: f64,
    pub bad_boots: bool,
    pub no_mesh: bool,
    pub slow_machines: bool,
    pub polls: bool,
    pub down: Vec<bool>,
    pub stalled: Vec<bool>,
    /// What waits for a node that stands still, and effects that it had not got round to.
    pub stalled_events: Vec<SimEvent>,
    pub unsent_effects: Vec<(usize, Vec<Effect>)>,
    pub held: Vec<SimEvent>,
    /// Milliseconds that each event takes, and what waits for each node.
    pub cost: u64,
    pub lines: Vec<VecDeque<SimEvent>>,
    pub late_writes: bool,
    pub late_reports: bool,
    pub deaf_zone: Option<usize>,
    pub hung_zone: Option<usize>,
    pub isolated: Option<usize>,
    pub drops_outgoing: Option<usize>,
    pub drops_incoming: Option<usize>,
    /// Tasks of arrays run longer than any day.
    pub long_tasks: bool,
    /// Users ask this node alone to cancel their jobs.
    pub cancel_at: Option<usize>,
    /// A node ends once it has told a user that a job is cancelled, and is back after so many milliseconds.
    pub restarts_after_cancellation: Option<u64>,
    /// When each node answered a worker last with orders.
    pub answered: Vec<u64>,
    /// The troubles of meetings that are brought about on purpose, and how often each took effect.
    pub targeted_faults: TargetedFaults,
    /// Events so far: what is later in the day has a higher number, within a millisecond too.
    pub events: u64,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Transactions that went beyond the limits.
    pub too_large: u64,
    /// Whether the leader shares reports out.
    pub share: bool,
    /// Messages about shared reports arrive twice now and then, the second time late.
    pub copied_batches: bool,
}

impl World {
    pub fn new(seed: u64) -> World {
        World::running_previous_version(seed, false)
    }

    pub fn running_previous_version(seed: u64, old: bool) -> World {
        World::with_controllers(seed, CONTROLLERS, old)
    }

    pub fn with_controllers(seed: u64, count: usize, old: bool) -> World {
        World::with_sharding(seed, count, old, sharding_requested())
    }

    /// One whose leader shares workers' reports out, or keeps to the usual rule.
    pub fn with_sharding(seed: u64, count: usize, old: bool, share: bool) -> World {
        let mut world = World {
            now_ms: 0,
            base: Instant::now(),
            digest: digest::Digest::new(seed),
            random: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            due: HashMap::new(),
            next_due: 0,
            nodes: Vec::new(),
            old: vec![old; count],
            limits: (12, 16 * 1024),
            incarnation: vec![0; count],
            tickets: (0..count).map(|_| HashMap::new()).collect(),
            next_ticket: 100,
            store: Store { rev: 1, ..Store::default() },
            workers: BTreeMap::new(),
            hired: HashMap::new(),
            next_machine: 0,
            jobs: BTreeMap::new(),
            finished: HashMap::new(),
            cut_node: vec![false; count],
            cut_zones: false,
            isolated_zone: false,
            cut_workers: None,
            deaf: None,
            refused: None,
            slow_node: None,
            cloud_out: false,
            capacity: DEFAULT_CAPACITY,
            floor: FLOOR,
            bad_boots: false,
            no_mesh: false,
            slow_machines: false,
            polls: false,
            down: vec![false; count],
            stalled: vec![false; count],
            stalled_events: Vec::new(),
            unsent_effects: Vec::new(),
            held: Vec::new(),
            cost: 0,
            lines: std::iter::repeat_with(VecDeque::new).take(count).collect(),
            late_writes: false,
            late_reports: false,
            deaf_zone: None,
            hung_zone: None,
            isolated: None,
            drops_outgoing: None,
            drops_incoming: None,
            long_tasks: false,
            cancel_at: None,
            restarts_after_cancellation: None,
            answered: vec![0; count],
            targeted_faults: TargetedFaults::default(),
            events: 0,
            violations: Vec::new(),
            starts: 0,
            too_large: 0,
            share,
            copied_batches: false,
        };
        for node in 0..count {
            let wall = world.wall();
            world.nodes.push(
                Controller::new(
                    settings_with_sharding(count, node, old, world.floor, share),
                    seed * 10 + node as u64,
                    wall,
                )
                .ok(),
            );
            world.at(1 + node as u64, SimEvent::Tick(node));
        }
        world.at(50, SimEvent::LeaseCheck);
        world
    }

    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    pub fn wall(&self) -> WallClock {
        WallClock { at: self.now(), ms: 1_700_000_000_000 + self.now_ms }
    }

    pub fn at(&mut self, t: u64, due: SimEvent) {
        self.next_due += 1;
        self.queue.push(Reverse((t, self.next_due)));
        self.due.insert(self.next_due, due);
    }

    pub fn schedule_soon(&mut self, due: SimEvent) {
        let slow = if self.random.random_range(0..50) == 0 { 300 } else { 12 };
        let delay = self.random.random_range(1..slow);
        self.at(self.now_ms + delay, due);
    }

    pub fn record_violation(&mut self, what: String) {
        self.violations.push(format!("{} ms: {what}", self.now_ms));
    }

    pub fn node_zone(node: usize) -> usize {
        node % 2
    }

    pub fn run(&mut self, until: u64) {
        while let Some(&Reverse((t, n))) = self.queue.peek() {
            if t > until {
                break;
            }
            self.queue.pop();
            self.now_ms = t;
            self.events += 1;
            if let Some(due) = self.due.remove(&n) {
                self.step(due);
            }
        }
        self.digest_store();
    }

    pub fn step(&mut self, due: SimEvent) {
        if let SimEvent::Tick(node)
        | SimEvent::Controller(node, ..)
        | SimEvent::Heartbeat(node, ..)
        | SimEvent::ExtraRequest(node, ..)
        | SimEvent::UserRequest(node, ..) = &due
            && self.stalled[*node]
        {
            let node = *node;
            if self.unsent_effects.iter().all(|(other, _)| *other != node) && self.random.random() {
                // It stops between this event and its effects.
                self.unsent_effects.push((node, Vec::new()));
            } else {
                return self.stalled_events.push(due);
            }
        }
        if let SimEvent::Tick(node)
        | SimEvent::Controller(node, ..)
        | SimEvent::Heartbeat(node, ..)
        | SimEvent::ExtraRequest(node, ..)
        | SimEvent::UserRequest(node, ..) = &due
            && (self.cost > 0 || !self.lines[*node].is_empty())
        {
            let node = *node;
            self.lines[node].push_back(due);
            if self.lines[node].len() == 1 {
                self.at(self.now_ms + self.cost, SimEvent::NextQueued(node));
            }
            return;
        }
        self.handle(due);
    }

    pub fn handle(&mut self, due: SimEvent) {
        match due {
            SimEvent::NextQueued(node) => {
                if let Some(due) = self.lines[node].pop_front() {
                    self.handle(due);
                }
                if !self.lines[node].is_empty() {
                    self.at(self.now_ms + self.cost, SimEvent::NextQueued(node));
                }
            }
            SimEvent::Tick(node) => {
                self.deliver(node, Event::Tick);
                self.at(self.now_ms + 40, SimEvent::Tick(node));
            }
            SimEvent::Controller(node, incarnation, event) => {
                if self.slow_node == Some(node) && self.random.random_bool(0.7) {
                    let later = self.now_ms + self.random.random_range(1..150);
                    self.at(later, SimEvent::Controller(node, incarnation, event));
                } else if self.incarnation[node] == incarnation {
                    self.deliver(node, event);
                }
            }
            SimEvent::State(node, incarnation, id, call) => self.state(node, incarnation, id, call),
            SimEvent::DelayedCommit(txn) if self.store.out => {
                self.at(self.now_ms + 1000, SimEvent::DelayedCommit(txn))
            }
            SimEvent::DelayedCommit(txn) => drop(self.commit(txn)),
            SimEvent::SlowCommit(node, incarnation, id, txn) => {
                self.slow_write(node, incarnation, id, txn);
            }
            SimEvent::Cloud(node, incarnation, id, call) => self.cloud(node, incarnation, id, call),
            SimEvent::DirectCall(node, incarnation, machine, direct) => {
                self.direct(node, incarnation, machine, direct);
            }
            SimEvent::Heartbeat(node, machine, body, id) => {
                if self.is_cut_off(node, self.workers[&machine].zone) {
                    return;
                }
                if self.down[node] {
                    return;
                }
                if self.nodes[node].is_none() {
                    return self.schedule_soon(SimEvent::HeartbeatResponse(
                        machine,
                        id,
                        Response::empty(599),
                    ));
                }
                let ticket = self.ticket(node, Ticket::Heartbeat(machine, id));
                let request = Request { method: Method::Post, target: "/hello".into(), body };
                self.deliver(node, Event::Request { ticket, request });
            }
            SimEvent::HeartbeatResponse(machine, id, response) => {
                self.on_heartbeat_response(machine, id, response)
            }
            SimEvent::Worker(machine) => self.worker(machine),
            SimEvent::Fault(fault) => self.fault(fault),
            SimEvent::User(job) => self.user(job),
            SimEvent::UserRequest(node, job, request) => {
                if self.cut_node[node] || self.down[node] || self.is_isolated(node) {
                    return;
                }
                let asked = self.jobs[&job].asked.map_or(0, |(at, _)| at);
                if self.nodes[node].is_none() {
                    return self.schedule_soon(SimEvent::UserResponse(
                        job,
                        asked,
                        Response::empty(599),
                    ));
                }
                let ticket = self.ticket(node, Ticket::User(job, asked));
                self.deliver(node, Event::Request { ticket, request });
            }
            SimEvent::UserResponse(job, asked, response) => self.user_answer(job, asked, &response),
            SimEvent::ExtraRequest(node, asked) => self.deliver_extra_request(node, asked),
            SimEvent::ExtraResponse(asked, response) => self.on_extra_response(&asked, &response),
            SimEvent::InvalidRequest => self.send_invalid_request(),
            SimEvent::DelayedCommands(machine, orders) => {
                self.execute_delayed_commands(&machine, orders)
            }
            SimEvent::Restart(node) => {
                self.down[node] = false;
                let seed = self.random.random();
                self.nodes[node] = Controller::new(
                    settings_with_sharding(
                        self.nodes.len(),
                        node,
                        self.old[node],
                        self.floor,
                        self.share,
                    ),
                    seed,
                    self.wall(),
                )
                .ok();
            }
            SimEvent::LeaseCheck => {
                self.end_leases();
                self.at(self.now_ms + 50, SimEvent::LeaseCheck);
            }
        }
    }
}
