//! Controllers against stand-ins for the state service, the cloud and the workers, in
//! simulated time with fixed seeds. An independent checker watches the rules.
//!
//! The stand-ins follow PROTOCOL and know nothing of the controllers' insides. Messages are
//! delayed at random, lost by cuts, or held back and delivered when the cut ends.

pub use rand::rngs::StdRng;
pub use rand::{Rng, SeedableRng};
pub use std::cmp::Reverse;
pub use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
pub use std::sync::Arc;
pub use std::time::Duration;
pub use tokio::time::Instant;
pub use troutspindle::clock::WallClock;
pub use troutspindle::cloud::CloudRequest;
pub use troutspindle::cloud::NO_CAPACITY;
pub use troutspindle::controller::{Controller, Effect, Event};
pub use troutspindle::drains::{self, DrainRecord};
pub use troutspindle::http::{CallError, Method, Request, Response};
pub use troutspindle::ids::{
    Attempt, ControllerId, FencingToken, JobId, LeaseId, MachineId, Revision, TaskId,
};
pub use troutspindle::peers::mesh::PeerMessage;
pub use troutspindle::settings::Settings;
pub use troutspindle::store::records::json_len;
pub use troutspindle::store::{StoreRequest, StoreResponse};
pub use troutspindle::wire::{
    self, CommandBatch, Heartbeat, JobKind, JobSpec, JobStatus, JobView, KeyValue, ListedMachine,
    ListedMachineState, MachineIds, MachinePage, MachineType, MachineTypes, NotLeader, Priority,
    RangeResponse, StoreValue, TaskState, TaskStatus, WatchEvent, WatchResponse, WorkerCommand,
    Write,
};
pub use troutspindle::workers::command_delivery::DirectCall;
pub use troutspindle_protocol::operator_api::DrainKind;
pub use troutspindle_runtime_estimates::Bucket;

pub use aims::Aims;
pub use faults::seeds_asked;
pub use looks::{Ask, Asked, Told};
pub use store_core::{CommitError, Store};

mod aims;
mod cloud;
mod digest;
mod faults;
mod looks;
mod production;
mod store;
pub mod store_core;
mod users;
mod workers;

pub const LEASE_MS: u64 = 14_000;
pub const REPORT_MS: u64 = 2000;
pub const CANCEL_MS: u64 = 32_000;
/// Controllers on a usual day.
pub const NODES: usize = 3;
pub const ZONES: [&str; 2] = ["a", "b"];
/// Ordinary and spot machines of a zone on a usual day.
pub const PLENTY: [usize; 2] = [6, 6];
/// Floors are on in every play, as in `run`: no rule may depend on them.
pub const FLOOR: f64 = 0.7;

/// Teams with their guarantee and limit in CPUs.
pub const TEAMS: [(&str, f64, f64); 3] = [("t", 40.0, 48.0), ("u", 8.0, 24.0), ("v", 8.0, 16.0)];

fn teams() -> String {
    let team = |(name, cpus, most): &(&str, f64, f64)| {
        format!(r#"{{"name":"{name}","cpus":{cpus},"cpus_max":{most}}}"#)
    };
    TEAMS.iter().map(team).collect::<Vec<String>>().join(",")
}

/// How a controller is set up; `old` stands for one of the version before this one.
pub fn settings(count: usize, node: usize, old: bool, floor: f64) -> Arc<Settings> {
    settings_sharing(count, node, old, floor, sharing_asked())
}

/// Whether a person asked in SHARE for days on which reports are shared out.
pub fn sharing_asked() -> bool {
    std::env::var("SHARE").is_ok()
}

/// The same, where the leader shares workers' reports out or keeps to the usual rule.
pub fn settings_sharing(
    count: usize,
    node: usize,
    old: bool,
    floor: f64,
    share: bool,
) -> Arc<Settings> {
    let others: Vec<String> = (0..count)
        .filter(|n| *n != node)
        .map(|n| {
            let zone = ZONES[World::node_zone(n)];
            let port = 2 + n;
            format!(r#"{{"host_name":"n-{n}","location":"{zone}","peer_addr":"127.0.0.1:{port}"}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"host_name":"n-{node}","location":"{}","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "others":[{}],"external":{{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"}},
        "params":{{"zones":["a","b"],"teams":[TEAMS],
        "workers":{{"report_s":2.0,"lease_s":14.0,"cancel_s":32.0}},
        "state":{{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12,
        "next":{{"write_rps":42.0,"value_kb":2.0,"txn_ops":4}}}},
        "cloud":{{"rps":5.0,"list_lag_s":3.0}},"resources":{{"max_sockets":700}}}}}}"#,
        ZONES[World::node_zone(node)],
        others.join(",")
    );
    let text = text.replace("TEAMS", &teams());
    let operator =
        if old { "hold_format: true".to_owned() } else { format!("{LEARNING}floor: {floor}") };
    let operator =
        if share && !old { format!("{operator}\nshare_reports: always") } else { operator };
    Arc::new(Settings::parse(&text, Some(&operator)).unwrap())
}

/// All that learned run times are used for, and arrays that grow and make way: no rule may depend on either.
pub const LEARNING: &str = "
estimates: {learn: true, warn: true, due: true, ahead: true, make_way: true, drain: true}
elastic: [{class: c, least: 4, most: 7}]
";
/// A value as production keeps it: without the fields that it doesn't know.
pub fn as_production(data: &StoreValue) -> StoreValue {
    let StoreValue::Map(fields) = data else { return data.clone() };
    let known = |key: &StoreValue| key.as_text().is_none_or(|k| !production::UNKNOWN.contains(&k));
    let kept = fields.iter().filter(|(key, _)| known(key));
    StoreValue::Map(kept.map(|(key, value)| (key.clone(), as_production(value))).collect())
}

/// What is due at some time.
pub enum Due {
    Tick(usize),
    /// A message reaches the node, if the incarnation it was meant for still runs.
    Controller(usize, u32, Event),
    State(usize, u32, u64, StoreRequest),
    /// A transaction is carried out of which nobody waits for the answer any more.
    LateWrite(wire::Transaction),
    /// A transaction of this node, and of its call with that number, is carried out and answered.
    SlowWrite(usize, u32, u64, wire::Transaction),
    Cloud(usize, u32, u64, CloudRequest),
    DirectCall(usize, u32, MachineId, DirectCall),
    /// A report reaches a node.
    Hello(usize, MachineId, Vec<u8>, u64),
    HelloAnswer(MachineId, u64, Response),
    Worker(MachineId),
    Fault(Fault),
    User(u64),
    UserAsks(usize, u64, Request),
    /// To the job's user, on the request made at that time.
    UserAnswer(u64, u64, Response),
    /// A request beside the user's usual ones goes to a node, and its answer comes back.
    Look(usize, Asked),
    LookAnswer(Asked, Response),
    /// Users send odd requests as long as that trouble lasts.
    Odd,
    /// Orders straight to a worker that were held up, whose sender has given up.
    HeldOrders(MachineId, CommandBatch),
    Restart(usize),
    LeaseCheck,
    /// The node gets round to what is first in its line.
    Next(usize),
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Crash(usize),
    /// A crash, and after how many milliseconds the controller is back.
    Blink(usize, u64),
    /// Between a node and everything but the state service and the cloud.
    CutNode(usize, bool),
    /// Between zones: node 1 stands in zone b, the others in zone a.
    CutZones(bool),
    /// Between the leader and the workers of zone b, but not among nodes.
    CutWorkers(bool),
    /// Between zone b and everything, the state service, the cloud and users included.
    Island(bool),
    Outage(bool),
    TakeMachine,
    /// All spot machines, without notice.
    TakeSpot,
    /// The state service refuses this node alone.
    Refused(usize, bool),
    CloudOutage(bool),
    /// So many ordinary and spot machines can be had in each zone.
    Capacity([usize; 2]),
    /// A third of the new machines never comes up, the others late.
    BadBoots(bool),
    /// Connections between nodes are refused.
    Mesh(bool),
    /// The node takes up to 150 ms longer for most of what it does.
    SlowNode(usize, bool),
    /// Tasks started meanwhile run three times as long.
    SlowMachines(bool),
    /// The node stands still, between two events or between an event and its effects, while its
    /// clock runs on.
    Stand(usize, bool),
    /// The node is switched off for a minute: silent, not refusing.
    Down(usize),
    /// Users ask eight times as often.
    Polls(bool),
    /// Between a node and all workers, but nothing else.
    Deaf(usize, bool),
    /// The node is ended and comes back with the new version.
    Upgrade(usize),
    /// Each event takes every node so many milliseconds, and what comes meanwhile waits in line.
    Busy(u64),
    /// The state service's limits become those that settings name as the next ones.
    Limits,
    /// A third of the transactions gets no answer, and is carried out 2 to 12 s later.
    LateWrites(bool),
    /// Of a third of the reports a copy arrives again, 2 to 28 s later.
    LateReports(bool),
    /// The reports of a zone's workers arrive; answers and direct commands to them are lost.
    DeafWorkers(usize, bool),
    /// A zone's workers hang: they do and hear nothing, and go on later.
    Hang(usize, bool),
    /// A node loses the state service and the other nodes, not its workers or users.
    Alone(usize, bool),
    /// What a node says to the others, or they to it, is lost.
    Mute(usize, bool),
    Unhearing(usize, bool),
    /// A third of the transactions is carried out at once, and its answer lost.
    LostAnswers(bool),
    /// Transactions take some hundred milliseconds to seconds, and only then are carried out.
    SlowWrites(bool),
    /// Copies of reports are kept, and reach all controllers as a next leader begins.
    CopiesForNext(bool),
    /// The workers of a zone reach no controller; direct commands reach them.
    MuteWorkers(usize, bool),
    /// A third of the direct commands is held up for seconds, or their answers are.
    HeldCommands(bool),
    /// After each news users ask at all nodes within milliseconds, repeat the submission, and some cancel.
    CloseLooks(bool),
    /// Users call off so many jobs that run, within a fifth of a second.
    CancelNow(usize),
    /// Half of the jobs whose last task ends are called off at that moment.
    CancelAtEnd(bool),
    /// Submissions that are broken or repeated, cancellations of what is done, questions about nothing.
    OddRequests(bool),
    /// So many machines with tasks are lost without notice.
    LoseMachines(usize),
    /// Whoever leads ends, and is back after so many milliseconds.
    LeaderEnds(u64),
    /// New machines are up within two seconds, mostly before the answer to their rental comes.
    QuickBoots(bool),
}

pub struct Running {
    pub attempt: Attempt,
    pub state: TaskState,
    pub why: Option<String>,
    pub ready_at: u64,
    pub ends_at: Option<u64>,
}

pub struct Worker {
    pub zone: usize,
    pub spot: bool,
    pub up_at: u64,
    pub gone: bool,
    pub agent_epoch: u64,
    pub seq: u64,
    pub token: FencingToken,
    pub renewed: u64,
    pub target: usize,
    pub asked: Option<(u64, u64, u64)>,
    pub next_report: u64,
    pub changed: bool,
    pub images: Vec<String>,
    pub tasks: BTreeMap<TaskId, Running>,
    /// Nothing ran on it when it was deleted.
    pub tasks_left_empty: bool,
}

pub struct UserJob {
    pub spec: JobSpec,
    pub accepted: bool,
    pub abort_at: Option<u64>,
    /// When its user asked to cancel it.
    pub asked_abort: bool,
    pub told_cancelled: Option<u64>,
    /// How often its user was told to ask again to cancel it.
    pub put_off: u32,
    pub told_done: bool,
    /// Submitted with a mistake: it fails wherever it runs.
    pub broken: bool,
    /// How many of its tasks were on machines when its user was told that it is cancelled.
    pub ran_when_told: usize,
    /// When it asked last, and for what: 0 submit, 1 poll, 2 abort.
    pub asked: Option<(u64, u8)>,
    /// What its user was told first, of each kind, and when that arrived.
    pub told: Vec<(u64, Told)>,
    /// The event in which its last usual request was sent.
    pub sent: u64,
    pub last_good: u64,
}

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

pub enum Ticket {
    Hello(MachineId, u64),
    User(u64, u64),
    Look(Asked),
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

    pub fn cut(&self, node: usize, zone: usize) -> bool {
        let zones = self.cut_zones || self.island;
        self.cut_node[node] || (zones && Self::node_zone(node) != zone)
    }

    /// Whether a node stands in a zone that is cut off from all that stands in none.
    pub fn on_island(&self, node: usize) -> bool {
        self.island && Self::node_zone(node) == 1
    }

    /// Whether a node and the workers of a zone cannot reach each other.
    pub fn apart(&self, node: usize, zone: usize) -> bool {
        let deaf = self.deaf == Some(node) || (self.cut_workers == Some(node) && zone == 1);
        self.cut(node, zone) || deaf
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

    pub fn ticket(&mut self, node: usize, ticket: Ticket) -> u64 {
        self.next_ticket += 1;
        self.tickets[node].insert(self.next_ticket, ticket);
        self.next_ticket
    }

    pub fn tell(&mut self, node: usize, event: Event) {
        let now = self.now();
        let Some(core) = &mut self.nodes[node] else { return };
        core.handle(event, now);
        let effects = std::mem::take(&mut core.out);
        let leads = core.scheduler.is_some();
        if leads && !self.aims.led.contains(&node) {
            self.leader_begins();
        }
        self.aims.led.retain(|other| *other != node);
        self.aims.led.extend(leads.then_some(node));
        match self.unsent.iter_mut().find(|(other, _)| *other == node) {
            Some((_, unsent)) => unsent.extend(effects),
            None => self.carry_out(node, effects),
        }
    }

    pub fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        let incarnation = self.incarnation[node];
        for effect in effects {
            self.digest.effect(self.t, node, &effect);
            match effect {
                Effect::Reply(ticket, response) => match self.tickets[node].remove(&ticket) {
                    Some(Ticket::Hello(machine, id))
                        if !self.apart(node, self.workers[&machine].zone) =>
                    {
                        if response.status == 200 {
                            self.answered[node] = self.t;
                        }
                        if self.deaf_zone != Some(self.workers[&machine].zone) {
                            self.soon(Due::HelloAnswer(machine, id, response));
                        }
                    }
                    Some(Ticket::Look(asked)) if !self.cut_node[node] && !self.on_island(node) => {
                        self.soon(Due::LookAnswer(asked, response));
                    }
                    Some(Ticket::User(job, asked))
                        if !self.cut_node[node] && !self.on_island(node) =>
                    {
                        self.forget(node, job, &response);
                        self.soon(Due::UserAnswer(job, asked, response));
                    }
                    _ => {}
                },
                Effect::State(id, call) => self.soon(Due::State(node, incarnation, id, call)),
                Effect::Cloud(id, call) => self.soon(Due::Cloud(node, incarnation, id, call)),
                Effect::DirectCall(machine, _, direct) => {
                    self.soon(Due::DirectCall(node, incarnation, machine, direct));
                }
                Effect::Mesh(peer, message) => self.mesh(node, &peer, message),
            }
        }
    }

    /// A node that confirms a cancellation may end right afterwards, with all that it remembers.
    fn forget(&mut self, node: usize, job: u64, response: &Response) {
        let Some(back) = self.forgets else { return };
        let aborts = self.jobs[&job].asked.is_some_and(|(_, kind)| kind == 2);
        if aborts && response.status == 200 && self.refused != Some(node) {
            self.at(self.t, Due::Fault(Fault::Blink(node, back)));
        }
    }

    pub fn mesh(&mut self, from: usize, to: &ControllerId, message: PeerMessage) {
        let to: usize = to.as_str()[2..].parse().unwrap();
        let text = troutspindle::peers::mesh::encode_text(&message).unwrap();
        assert!(!self.old[to] || production::reads(&text), "production cannot read {message:?}");
        let copy = self.about_sharing(&message);
        let due = Due::Controller(to, self.incarnation[to], Event::Mesh(message));
        let alone = [Some(from), Some(to)].contains(&self.alone);
        if self.no_mesh || alone || self.mute == Some(from) || self.unhearing == Some(to) {
            return;
        }
        if self.cut(from, Self::node_zone(to)) || self.cut_node[to] {
            // Held back by the network, and delivered when the cut ends.
            self.held.push(due);
        } else {
            if let Some(copy) = copy {
                let later = self.t + self.random.random_range(500..9000);
                let event = Event::Mesh(copy);
                self.at(later, Due::Controller(to, self.incarnation[to], event));
            }
            self.soon(due);
        }
    }

    /// Counts messages about shared reports, and copies some of them.
    fn about_sharing(&mut self, message: &PeerMessage) -> Option<PeerMessage> {
        let what = match message {
            PeerMessage::RelayedHeartbeats { .. } => "reports passed on",
            PeerMessage::HeartbeatResults { .. } => "verdicts passed back",
            PeerMessage::RelayedCommands { .. } => "commands passed on",
            PeerMessage::CommandResults { .. } => "results passed back",
            _ => return None,
        };
        self.aims.took_effect(what);
        let copied = self.copied_batches && self.random.random_range(0..4) == 0;
        copied.then(|| message.clone())
    }
}
