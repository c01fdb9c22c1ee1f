//! Counted work of a controller on a fixed day: allocations and bytes by kind of event, which repeat to the last digit
//! whatever machine this runs on. `cargo bench --bench footprint [MACHINES]`; under callgrind or `perf stat -e
//! instructions:u` the same day gives instructions.
//!
//! One controller without peers leads; store, cloud and workers are the least that lets it: nothing is ever lost or
//! late, and what the store is told counts as committed.

use allocation_counter::{AllocationInfo, measure};
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle::clock::WallClock;
use troutspindle::cloud::CloudRequest;
use troutspindle::controller::{Controller, Effect, Event, FIRST_TICKET};
use troutspindle::http::{Method, Request, Response};
use troutspindle::ids::{Attempt, FencingToken, LeaseId, MachineId, Revision, TaskId};
use troutspindle::settings::Settings;
use troutspindle::store::{StoreRequest, StoreResponse};
use troutspindle::wire::{
    self, CommandBatch, Heartbeat, JobKind, JobSpec, ListedMachine, ListedMachineState, MachineIds,
    MachinePage, MachineType, MachineTypes, Priority, RangeResponse, TaskState, TaskStatus,
    WatchEvent, WatchResponse, WorkerCommand, Write,
};
use troutspindle::workers::command_delivery::DirectCall;

/// Count. Machines if none are named.
const MACHINES: usize = 571;
/// Milliseconds. How long the day is, between two reports of a worker, between two jobs, and of a task's run.
const DAY: u64 = 120_000;
const REPORT: u64 = 2500;
const JOB: u64 = 4000;
const RUN: u64 = 40_000;
/// Count. Services at the start, and tasks of each job.
const SERVICES: usize = 60;
const TASKS: u64 = 20;

const SETTINGS: &str = r#"{"host_name":"n-0","location":"a","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
    "others":[],"external":{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"},
    "params":{"zones":["a","b"],"teams":[{"name":"t","cpus":90000.0,"cpus_max":90000.0}],
    "objectives":[{"kind":"wait","class":"c","within_s":8.0,"share":0.9}],
    "workers":{"report_s":2.5,"lease_s":14.0,"cancel_s":34.0},
    "state":{"rps":400.0,"write_rps":200.0,"value_kb":16.0,"txn_ops":48},
    "cloud":{"rps":5.0,"list_lag_s":3.0},"resources":{"cpu":0.048,"memory_mb":75.0,"max_sockets":4000}}}"#;

#[derive(Default)]
struct Worker {
    seq: u64,
    token: FencingToken,
    tasks: BTreeMap<TaskId, (Attempt, u64, bool)>,
}

impl Worker {
    /// Takes orders; a task fetches its image until the next report, runs for its time and has ended.
    fn execute(&mut self, orders: &CommandBatch, at: u64) {
        self.token = self.token.max(orders.token);
        for order in &orders.orders {
            match order {
                WorkerCommand::Start { task, attempt } => {
                    self.tasks.entry(task.clone()).or_insert((*attempt, at, false));
                }
                WorkerCommand::Stop { task, .. } => {
                    if let Some(run) = self.tasks.get_mut(task) {
                        run.2 = true;
                    }
                }
                WorkerCommand::Forget { task, .. } => drop(self.tasks.remove(task)),
            }
        }
    }

    fn report(&mut self, n: usize, at: u64) -> Heartbeat {
        self.seq += 1;
        let shown = |(task, (attempt, began, halted)): (&TaskId, &(Attempt, u64, bool))| {
            let service = task.job.as_str() < "wk-001000";
            let ended = *halted || !service && at > began + RUN;
            let state = match at - began {
                _ if ended => TaskState::Exited,
                0..REPORT => TaskState::Fetching,
                _ => TaskState::Running,
            };
            let why = ended.then(|| if *halted { "halted" } else { "done" }.to_owned());
            TaskStatus { task: task.clone(), attempt: *attempt, state, why, saved: None }
        };
        Heartbeat {
            machine: name(n),
            address: format!("127.0.0.1:{}", 10_000 + n),
            flavor: "f".into(),
            zone: ["a", "b"][n % 2].into(),
            spot: false,
            agent_epoch: 1,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self.tasks.iter().map(shown).collect(),
        }
    }
}

fn name(n: usize) -> MachineId {
    MachineId::new(&format!("i-{n:06}"))
}

fn job(n: usize, service: bool) -> JobSpec {
    JobSpec {
        id: troutspindle::ids::JobId::new(&format!("wk-{n:06}")),
        class: "c".into(),
        team: "t".into(),
        shape: if service { JobKind::Service } else { JobKind::Array },
        urgency: if service { Priority::Production } else { Priority::High },
        tasks: TASKS,
        cpus: 4.0,
        gpus: 0.0,
        ram_gb: 14.0,
        image: format!("img-{:02}", n % 12),
        image_gb: 0.5,
        flavors: None,
        zone: None,
        one_zone: false,
        spread: service,
        spot: !service,
        expect_s: 40.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
        depends_on: None,
    }
}

/// What comes next, in order of time; equal times in the order in which they were set.
enum Due {
    Tick,
    Heartbeat(usize),
    Job(usize, bool),
    Event(&'static str, Box<Event>),
}

struct Day {
    node: Controller,
    base: Instant,
    at: u64,
    due: BTreeMap<u64, Due>,
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    workers: Vec<Worker>,
    rev: u64,
    news: Vec<WatchEvent>,
    follow: Option<(u64, u64)>,
    hello: BTreeMap<u64, usize>,
    ticket: u64,
    work: BTreeMap<&'static str, (u64, AllocationInfo)>,
}

impl Day {
    fn set(&mut self, at: u64, due: Due) {
        let n = self.due.last_key_value().map_or(0, |(n, _)| n + 1).max(self.ticket << 20);
        self.ticket += 1;
        self.due.insert(n, due);
        self.queue.push(std::cmp::Reverse((at, n)));
    }

    fn tell(&mut self, kind: &'static str, event: Event) {
        let now = self.base + Duration::from_millis(self.at);
        let mut event = Some(event);
        let node = &mut self.node;
        let info = measure(|| node.handle(event.take().unwrap(), now));
        let row = self.work.entry(kind).or_default();
        row.0 += 1;
        row.1 += info;
        let out: Vec<Effect> = self.node.effects.drain(..).collect();
        out.into_iter().for_each(|effect| self.carry_out(effect));
    }

    fn soon(&mut self, kind: &'static str, event: Event) {
        self.set(self.at + 2, Due::Event(kind, Box::new(event)));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { ticket, response } => {
                if let Some(n) = self.hello.remove(&ticket)
                    && let Ok(orders) = wire::decode::<CommandBatch>(&response.body)
                {
                    self.workers[n].execute(&orders, self.at);
                }
            }
            Effect::CallStore { id, request: call } => self.store(id, call),
            Effect::CallCloud { id, request: call } => {
                let response = Response::with(200, self.cloud(&call));
                self.soon("cloud", Event::CloudResponse { id, result: Ok(response) });
            }
            Effect::CallWorker { machine, call: direct, .. } => {
                let n: usize = machine.as_str()[2..].parse().unwrap();
                let sent = match direct {
                    DirectCall::Do(orders) => Some(orders),
                    DirectCall::Status => None,
                };
                sent.iter().for_each(|orders| self.workers[n].execute(orders, self.at));
                let report = self.workers[n].report(n, self.at);
                self.soon(
                    "answer to a call",
                    Event::WorkerResponse { machine, sent, result: Ok(report) },
                );
            }
            Effect::SendToPeer { .. } => {}
        }
    }

    fn store(&mut self, id: u64, call: StoreRequest) {
        let reply = match call {
            StoreRequest::Commit(txn) => {
                self.rev += 1;
                let rev = Revision(self.rev);
                for write in txn.writes {
                    self.news.push(match write {
                        Write::Put { key, data, .. } => {
                            WatchEvent { put: Some(key), data: Some(data), delete: None, rev }
                        }
                        Write::Delete { key } => {
                            WatchEvent { put: None, data: None, delete: Some(key), rev }
                        }
                    });
                }
                if let Some((id, after)) = self.follow.take() {
                    let news = self.news_after(after);
                    self.soon(
                        "news of the store",
                        Event::StoreResponse { id, response: StoreResponse::Watch(news) },
                    );
                }
                StoreResponse::Committed(rev)
            }
            StoreRequest::Watch { after, wait } if !wait.is_zero() && after.0 >= self.rev => {
                self.follow = Some((id, after.0));
                return;
            }
            StoreRequest::Watch { after, .. } => {
                let news = StoreResponse::Watch(self.news_after(after.0));
                return self.soon("news of the store", Event::StoreResponse { id, response: news });
            }
            StoreRequest::Range { .. } => StoreResponse::Range(RangeResponse {
                rows: vec![],
                truncated: false,
                rev: Revision(self.rev),
            }),
            StoreRequest::GrantLease(_) => StoreResponse::LeaseGranted(LeaseId(7)),
            StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_) => StoreResponse::Done,
        };
        self.soon("answer of the store", Event::StoreResponse { id, response: reply });
    }

    fn news_after(&self, after: u64) -> WatchResponse {
        let from = self.news.partition_point(|change| change.rev.0 <= after);
        WatchResponse { rev: Revision(self.rev), events: self.news[from..].to_vec() }
    }

    fn cloud(&self, call: &CloudRequest) -> Vec<u8> {
        match call {
            CloudRequest::MachineTypes => wire::encode(&MachineTypes {
                flavors: vec![MachineType {
                    name: "f".into(),
                    cpus: 16.0,
                    gpus: 0.0,
                    ram_gb: 64.0,
                    cache_gb: 70.0,
                    fetch_gb_per_s: 0.3,
                    price: 0.9,
                    spot_price: 0.3,
                    boot_s: 15.0,
                    zones: vec!["a".into(), "b".into()],
                }],
            }),
            CloudRequest::ScaleOut(..) | CloudRequest::ScaleIn(_) => {
                wire::encode(&MachineIds { machines: vec![] })
            }
            CloudRequest::List { .. } => {
                let row = |n: usize| ListedMachine {
                    machine: name(n),
                    address: None,
                    flavor: "f".into(),
                    zone: ["a", "b"][n % 2].into(),
                    spot: false,
                    status: ListedMachineState::Running,
                    age_s: self.at as f64 / 1000.0,
                };
                let machines = (0..self.workers.len()).map(row).collect();
                wire::encode(&MachinePage { machines, truncated: false })
            }
        }
    }

    fn request(&mut self, kind: &'static str, target: &str, body: Vec<u8>) -> u64 {
        self.ticket += 1;
        let ticket = FIRST_TICKET + self.ticket;
        let request = Request { method: Method::Post, target: target.into(), body };
        self.tell(kind, Event::Request { ticket, request });
        ticket
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Tick => {
                let now = self.base + Duration::from_millis(self.at);
                self.tell("tick", Event::Tick);
                let next = self.node.next_tick(now).saturating_duration_since(now);
                self.set(self.at + (next.as_millis() as u64).max(1), Due::Tick);
            }
            Due::Heartbeat(n) => {
                let body = wire::encode(&self.workers[n].report(n, self.at));
                // The ticket is known before the answer, which comes at once.
                self.hello.insert(FIRST_TICKET + self.ticket + 1, n);
                self.request("report", "/hello", body);
                self.set(self.at + REPORT, Due::Heartbeat(n));
            }
            Due::Job(n, service) => {
                let body = wire::encode(&job(n, service));
                self.request("submission", "/api/jobs", body);
            }
            Due::Event(kind, event) => self.tell(kind, *event),
        }
    }
}

fn main() {
    let machines = std::env::args().find_map(|arg| arg.parse().ok()).unwrap_or(MACHINES);
    let settings = Arc::new(Settings::parse(SETTINGS, None).expect("settings"));
    let base = Instant::now();
    let node =
        Controller::new(settings, 1, WallClock { at: base, ms: 1_700_000_000_000 }).expect("node");
    let mut day = Day {
        node,
        base,
        at: 0,
        due: BTreeMap::new(),
        queue: BinaryHeap::new(),
        workers: (0..machines).map(|_| Worker::default()).collect(),
        rev: 1,
        news: Vec::new(),
        follow: None,
        hello: BTreeMap::new(),
        ticket: 0,
        work: BTreeMap::new(),
    };
    day.set(1, Due::Tick);
    for n in 0..machines {
        day.set(3000 + n as u64 * REPORT / machines as u64, Due::Heartbeat(n));
    }
    for n in 0..SERVICES {
        day.set(4000 + n as u64 * 50, Due::Job(n, true));
    }
    for n in 0..(DAY / JOB) as usize {
        day.set(8000 + n as u64 * JOB, Due::Job(1000 + n, false));
    }
    while let Some(std::cmp::Reverse((at, n))) = day.queue.pop() {
        if at > DAY {
            break;
        }
        day.at = at;
        let due = day.due.remove(&n).expect("due");
        day.step(due);
    }
    let running: usize = day.workers.iter().map(|worker| worker.tasks.len()).sum();
    println!("{machines} machines, {} s, {running} tasks at the end", DAY / 1000);
    println!("{:20} {:>9} {:>14} {:>14}", "event", "count", "allocations", "bytes");
    for (kind, (count, info)) in &day.work {
        let each = |sum: u64| sum as f64 / *count as f64;
        println!(
            "{kind:20} {count:9} {:14.1} {:14.1}",
            each(info.count_total),
            each(info.bytes_total)
        );
    }
}
