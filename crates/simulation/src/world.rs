//! The simulated world: its state, its clock and its queue of events.

use crate::aims::Aims;
use crate::config::{FLOOR, NODES, PLENTY, settings_sharing, sharing_asked};
use crate::digest;
use crate::event::Due;
use crate::model::{Ticket, UserJob, Worker};
use crate::store_core::Store;
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
    pub t: u64,
    pub base: Instant,
    /// Of all that controllers send.
    pub digest: digest::Digest,
    pub random: StdRng,
    pub queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub due: HashMap<u64, Due>,
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
    pub island: bool,
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
    pub standing: Vec<bool>,
    /// What waits for a node that stands still, and effects that it had not got round to.
    pub asleep: Vec<Due>,
    pub unsent: Vec<(usize, Vec<Effect>)>,
    pub held: Vec<Due>,
    /// Milliseconds that each event takes, and what waits for each node.
    pub cost: u64,
    pub lines: Vec<VecDeque<Due>>,
    pub late_writes: bool,
    pub late_reports: bool,
    pub deaf_zone: Option<usize>,
    pub hung_zone: Option<usize>,
    pub alone: Option<usize>,
    pub mute: Option<usize>,
    pub unhearing: Option<usize>,
    /// Tasks of arrays run longer than any day.
    pub long_tasks: bool,
    /// Users ask this node alone to cancel their jobs.
    pub abort_at: Option<usize>,
    /// A node ends once it has told a user that a job is cancelled, and is back after so many milliseconds.
    pub forgets: Option<u64>,
    /// When each node answered a worker last with orders.
    pub answered: Vec<u64>,
    /// The troubles of meetings that are brought about on purpose, and how often each took effect.
    pub aims: Aims,
    /// Events so far: what is later in the day has a higher number, within a millisecond too.
    pub events: u64,
    pub broken: Vec<String>,
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
        World::of_version(seed, false)
    }

    pub fn of_version(seed: u64, old: bool) -> World {
        World::of_size(seed, NODES, old)
    }

    pub fn of_size(seed: u64, count: usize, old: bool) -> World {
        World::with_sharing(seed, count, old, sharing_asked())
    }

    /// One whose leader shares workers' reports out, or keeps to the usual rule.
    pub fn with_sharing(seed: u64, count: usize, old: bool, share: bool) -> World {
        let mut world = World {
            t: 0,
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
            island: false,
            cut_workers: None,
            deaf: None,
            refused: None,
            slow_node: None,
            cloud_out: false,
            capacity: PLENTY,
            floor: FLOOR,
            bad_boots: false,
            no_mesh: false,
            slow_machines: false,
            polls: false,
            down: vec![false; count],
            standing: vec![false; count],
            asleep: Vec::new(),
            unsent: Vec::new(),
            held: Vec::new(),
            cost: 0,
            lines: std::iter::repeat_with(VecDeque::new).take(count).collect(),
            late_writes: false,
            late_reports: false,
            deaf_zone: None,
            hung_zone: None,
            alone: None,
            mute: None,
            unhearing: None,
            long_tasks: false,
            abort_at: None,
            forgets: None,
            answered: vec![0; count],
            aims: Aims::default(),
            events: 0,
            broken: Vec::new(),
            starts: 0,
            too_large: 0,
            share,
            copied_batches: false,
        };
        for node in 0..count {
            let wall = world.wall();
            world.nodes.push(Controller::new(
                settings_sharing(count, node, old, world.floor, share),
                seed * 10 + node as u64,
                wall,
            ));
            world.at(1 + node as u64, Due::Tick(node));
        }
        world.at(50, Due::LeaseCheck);
        world
    }

    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.t)
    }

    pub fn wall(&self) -> WallClock {
        WallClock { at: self.now(), ms: 1_700_000_000_000 + self.t }
    }

    pub fn at(&mut self, t: u64, due: Due) {
        self.next_due += 1;
        self.queue.push(Reverse((t, self.next_due)));
        self.due.insert(self.next_due, due);
    }

    pub fn soon(&mut self, due: Due) {
        let slow = if self.random.random_range(0..50) == 0 { 300 } else { 12 };
        let delay = self.random.random_range(1..slow);
        self.at(self.t + delay, due);
    }

    pub fn break_rule(&mut self, what: String) {
        self.broken.push(format!("{} ms: {what}", self.t));
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
            self.t = t;
            self.events += 1;
            if let Some(due) = self.due.remove(&n) {
                self.step(due);
            }
        }
        self.digest_store();
    }

    pub fn step(&mut self, due: Due) {
        if let Due::Tick(node)
        | Due::Controller(node, ..)
        | Due::Hello(node, ..)
        | Due::Look(node, ..)
        | Due::UserAsks(node, ..) = &due
            && self.standing[*node]
        {
            let node = *node;
            if self.unsent.iter().all(|(other, _)| *other != node) && self.random.random() {
                // It stops between this event and its effects.
                self.unsent.push((node, Vec::new()));
            } else {
                return self.asleep.push(due);
            }
        }
        if let Due::Tick(node)
        | Due::Controller(node, ..)
        | Due::Hello(node, ..)
        | Due::Look(node, ..)
        | Due::UserAsks(node, ..) = &due
            && (self.cost > 0 || !self.lines[*node].is_empty())
        {
            let node = *node;
            self.lines[node].push_back(due);
            if self.lines[node].len() == 1 {
                self.at(self.t + self.cost, Due::Next(node));
            }
            return;
        }
        self.handle(due);
    }

    pub fn handle(&mut self, due: Due) {
        match due {
            Due::Next(node) => {
                if let Some(due) = self.lines[node].pop_front() {
                    self.handle(due);
                }
                if !self.lines[node].is_empty() {
                    self.at(self.t + self.cost, Due::Next(node));
                }
            }
            Due::Tick(node) => {
                self.tell(node, Event::Tick);
                self.at(self.t + 40, Due::Tick(node));
            }
            Due::Controller(node, incarnation, event) => {
                if self.slow_node == Some(node) && self.random.random_bool(0.7) {
                    let later = self.t + self.random.random_range(1..150);
                    self.at(later, Due::Controller(node, incarnation, event));
                } else if self.incarnation[node] == incarnation {
                    self.tell(node, event);
                }
            }
            Due::State(node, incarnation, id, call) => self.state(node, incarnation, id, call),
            Due::LateWrite(txn) if self.store.out => self.at(self.t + 1000, Due::LateWrite(txn)),
            Due::LateWrite(txn) => drop(self.commit(txn)),
            Due::SlowWrite(node, incarnation, id, txn) => {
                self.slow_write(node, incarnation, id, txn);
            }
            Due::Cloud(node, incarnation, id, call) => self.cloud(node, incarnation, id, call),
            Due::DirectCall(node, incarnation, machine, direct) => {
                self.direct(node, incarnation, machine, direct);
            }
            Due::Hello(node, machine, body, id) => {
                if self.apart(node, self.workers[&machine].zone) {
                    return;
                }
                if self.down[node] {
                    return;
                }
                if self.nodes[node].is_none() {
                    return self.soon(Due::HelloAnswer(machine, id, Response::empty(599)));
                }
                let ticket = self.ticket(node, Ticket::Hello(machine, id));
                let request = Request { method: Method::Post, target: "/hello".into(), body };
                self.tell(node, Event::Http(ticket, request));
            }
            Due::HelloAnswer(machine, id, response) => self.hello_answer(machine, id, response),
            Due::Worker(machine) => self.worker(machine),
            Due::Fault(fault) => self.fault(fault),
            Due::User(job) => self.user(job),
            Due::UserAsks(node, job, request) => {
                if self.cut_node[node] || self.down[node] || self.on_island(node) {
                    return;
                }
                let asked = self.jobs[&job].asked.map_or(0, |(at, _)| at);
                if self.nodes[node].is_none() {
                    return self.soon(Due::UserAnswer(job, asked, Response::empty(599)));
                }
                let ticket = self.ticket(node, Ticket::User(job, asked));
                self.tell(node, Event::Http(ticket, request));
            }
            Due::UserAnswer(job, asked, response) => self.user_answer(job, asked, &response),
            Due::Look(node, asked) => self.look(node, asked),
            Due::LookAnswer(asked, response) => self.look_answer(&asked, &response),
            Due::Odd => self.odd(),
            Due::HeldOrders(machine, orders) => self.held_orders(&machine, orders),
            Due::Restart(node) => {
                self.down[node] = false;
                let seed = self.random.random();
                self.nodes[node] = Controller::new(
                    settings_sharing(
                        self.nodes.len(),
                        node,
                        self.old[node],
                        self.floor,
                        self.share,
                    ),
                    seed,
                    self.wall(),
                );
            }
            Due::LeaseCheck => {
                self.end_leases();
                self.at(self.t + 50, Due::LeaseCheck);
            }
        }
    }
}
