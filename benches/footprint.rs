//! Measures allocations and bytes per kind of event of one controller in a fixed simulation. The figures are
//! deterministic and independent of the machine. Run `cargo bench --bench footprint [MACHINES]`; under callgrind or
//! `perf stat -e instructions:u` the same simulation gives the number of instructions.
//!
//! One controller without peers leads. The store, the cloud and the workers are minimal: nothing is ever lost or
//! late, and the store commits every transaction.

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

/// Number of machines if none is given on the command line.
const MACHINES: usize = 571;
/// Duration of the simulation in milliseconds.
const DURATION_MS: u64 = 120_000;
/// Interval between two heartbeats of a worker in milliseconds.
const HEARTBEAT_MS: u64 = 2500;
/// Interval between two submissions of an array in milliseconds.
const SUBMISSION_MS: u64 = 4000;
/// Run time of an array's task in milliseconds.
const RUN_MS: u64 = 40_000;
/// Number of services submitted at the start.
const SERVICES: usize = 60;
/// Number of tasks of each job.
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
    /// Attempt, start time in milliseconds, and whether the task was stopped.
    tasks: BTreeMap<TaskId, (Attempt, u64, bool)>,
}

impl Worker {
    /// Executes commands. A task fetches its image for one heartbeat interval, then runs, and exits after [`RUN_MS`].
    fn execute(&mut self, batch: &CommandBatch, at: u64) {
        self.token = self.token.max(batch.token);
        for command in &batch.commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    self.tasks.entry(task.clone()).or_insert((*attempt, at, false));
                }
                WorkerCommand::Stop { task, .. } => {
                    if let Some(task) = self.tasks.get_mut(task) {
                        task.2 = true;
                    }
                }
                WorkerCommand::Forget { task, .. } => drop(self.tasks.remove(task)),
            }
        }
    }

    /// Returns the next heartbeat.
    fn heartbeat(&mut self, n: usize, at: u64) -> Heartbeat {
        self.seq += 1;
        let status = |(task, (attempt, started, stopped)): (&TaskId, &(Attempt, u64, bool))| {
            let service = task.job.as_str() < "wk-001000";
            let ended = *stopped || !service && at > started + RUN_MS;
            let state = match at - started {
                _ if ended => TaskState::Exited,
                0..HEARTBEAT_MS => TaskState::Fetching,
                _ => TaskState::Running,
            };
            let exit_cause = ended.then(|| if *stopped { "halted" } else { "done" }.to_owned());
            TaskStatus { task: task.clone(), attempt: *attempt, state, exit_cause, saved: None }
        };
        Heartbeat {
            machine: machine_id(n),
            address: format!("127.0.0.1:{}", 10_000 + n),
            machine_type: "f".into(),
            zone: ["a", "b"][n % 2].into(),
            spot: false,
            agent_epoch: 1,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self.tasks.iter().map(status).collect(),
        }
    }
}

fn machine_id(n: usize) -> MachineId {
    MachineId::new(&format!("i-{n:06}"))
}

fn job(n: usize, service: bool) -> JobSpec {
    JobSpec {
        id: troutspindle::ids::JobId::new(&format!("wk-{n:06}")),
        class: "c".into(),
        team: "t".into(),
        kind: if service { JobKind::Service } else { JobKind::Array },
        priority: if service { Priority::Production } else { Priority::High },
        tasks: TASKS,
        cpus: 4.0,
        gpus: 0.0,
        ram_gb: 14.0,
        image: format!("img-{:02}", n % 12),
        image_gb: 0.5,
        machine_types: None,
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

/// A scheduled event.
enum Due {
    Tick,
    Heartbeat(usize),
    /// The number of the job to submit, and whether it is a service.
    Job(usize, bool),
    /// An event for the controller with its label in the table.
    Event(&'static str, Box<Event>),
}

struct Simulation {
    controller: Controller,
    /// Instant at which the simulation began.
    base: Instant,
    /// Milliseconds since `base`.
    now_ms: u64,
    /// Scheduled events by number.
    due: BTreeMap<u64, Due>,
    /// Time and number of each scheduled event; events of equal time run in the order in which they were
    /// scheduled.
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    workers: Vec<Worker>,
    /// Revision of the store's last change.
    rev: u64,
    /// All changes of the store.
    changes: Vec<WatchEvent>,
    /// Call number and revision of the pending watch.
    pending_watch: Option<(u64, u64)>,
    /// Workers of the unanswered heartbeats by ticket.
    pending_heartbeats: BTreeMap<u64, usize>,
    ticket: u64,
    /// Number of events and total allocations by label.
    measurements: BTreeMap<&'static str, (u64, AllocationInfo)>,
}

impl Simulation {
    fn schedule(&mut self, at: u64, due: Due) {
        let n = self.due.last_key_value().map_or(0, |(n, _)| n + 1).max(self.ticket << 20);
        self.ticket += 1;
        self.due.insert(n, due);
        self.queue.push(std::cmp::Reverse((at, n)));
    }

    /// Lets the controller handle an event, measures the allocations, and applies the effects.
    fn deliver(&mut self, kind: &'static str, event: Event) {
        let now = self.base + Duration::from_millis(self.now_ms);
        let mut event = Some(event);
        let controller = &mut self.controller;
        let info = measure(|| controller.handle(event.take().unwrap(), now));
        let measurement = self.measurements.entry(kind).or_default();
        measurement.0 += 1;
        measurement.1 += info;
        let effects: Vec<Effect> = self.controller.effects.drain(..).collect();
        effects.into_iter().for_each(|effect| self.apply_effect(effect));
    }

    /// Schedules an event for the controller in 2 ms.
    fn deliver_soon(&mut self, kind: &'static str, event: Event) {
        self.schedule(self.now_ms + 2, Due::Event(kind, Box::new(event)));
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { ticket, response } => {
                if let Some(n) = self.pending_heartbeats.remove(&ticket)
                    && let Ok(batch) = wire::decode::<CommandBatch>(&response.body)
                {
                    self.workers[n].execute(&batch, self.now_ms);
                }
            }
            Effect::CallStore { id, request: call } => self.on_store_request(id, call),
            Effect::CallCloud { id, request: call } => {
                let response = Response::with(200, self.cloud_response(&call));
                self.deliver_soon("cloud", Event::CloudResponse { id, result: Ok(response) });
            }
            Effect::CallWorker { machine, call: direct, .. } => {
                let n: usize = machine.as_str()[2..].parse().unwrap();
                let commands = match direct {
                    DirectCall::Do(batch) => Some(batch),
                    DirectCall::Status => None,
                };
                commands.iter().for_each(|batch| self.workers[n].execute(batch, self.now_ms));
                let heartbeat = self.workers[n].heartbeat(n, self.now_ms);
                self.deliver_soon(
                    "answer to a call",
                    Event::WorkerResponse { machine, sent: commands, result: Ok(heartbeat) },
                );
            }
            Effect::SendToPeer { .. } => {}
        }
    }

    fn on_store_request(&mut self, id: u64, call: StoreRequest) {
        let reply = match call {
            StoreRequest::Commit(txn) => {
                self.rev += 1;
                let rev = Revision(self.rev);
                for write in txn.writes {
                    self.changes.push(match write {
                        Write::Put { key, data, .. } => {
                            WatchEvent { put: Some(key), data: Some(data), delete: None, rev }
                        }
                        Write::Delete { key } => {
                            WatchEvent { put: None, data: None, delete: Some(key), rev }
                        }
                    });
                }
                if let Some((id, after)) = self.pending_watch.take() {
                    let changes = self.changes_after(after);
                    self.deliver_soon(
                        "news of the store",
                        Event::StoreResponse { id, response: StoreResponse::Watch(changes) },
                    );
                }
                StoreResponse::Committed(rev)
            }
            StoreRequest::Watch { after, wait } if !wait.is_zero() && after.0 >= self.rev => {
                self.pending_watch = Some((id, after.0));
                return;
            }
            StoreRequest::Watch { after, .. } => {
                let changes = StoreResponse::Watch(self.changes_after(after.0));
                return self.deliver_soon(
                    "news of the store",
                    Event::StoreResponse { id, response: changes },
                );
            }
            StoreRequest::Range { .. } => StoreResponse::Range(RangeResponse {
                rows: vec![],
                truncated: false,
                rev: Revision(self.rev),
            }),
            StoreRequest::GrantLease(_) => StoreResponse::LeaseGranted(LeaseId(7)),
            StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_) => StoreResponse::Done,
        };
        self.deliver_soon("answer of the store", Event::StoreResponse { id, response: reply });
    }

    fn changes_after(&self, after: u64) -> WatchResponse {
        let from = self.changes.partition_point(|change| change.rev.0 <= after);
        WatchResponse { rev: Revision(self.rev), events: self.changes[from..].to_vec() }
    }

    fn cloud_response(&self, call: &CloudRequest) -> Vec<u8> {
        match call {
            CloudRequest::MachineTypes => wire::encode(&MachineTypes {
                types: vec![MachineType {
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
                    machine: machine_id(n),
                    address: None,
                    machine_type: "f".into(),
                    zone: ["a", "b"][n % 2].into(),
                    spot: false,
                    status: ListedMachineState::Running,
                    age_s: self.now_ms as f64 / 1000.0,
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
        self.deliver(kind, Event::Request { ticket, request });
        ticket
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Tick => {
                let now = self.base + Duration::from_millis(self.now_ms);
                self.deliver("tick", Event::Tick);
                let next = self.controller.next_tick(now).saturating_duration_since(now);
                self.schedule(self.now_ms + (next.as_millis() as u64).max(1), Due::Tick);
            }
            Due::Heartbeat(n) => {
                let body = wire::encode(&self.workers[n].heartbeat(n, self.now_ms));
                // Registers the ticket before the request, since the controller responds at once.
                self.pending_heartbeats.insert(FIRST_TICKET + self.ticket + 1, n);
                self.request("report", "/hello", body);
                self.schedule(self.now_ms + HEARTBEAT_MS, Due::Heartbeat(n));
            }
            Due::Job(n, service) => {
                let body = wire::encode(&job(n, service));
                self.request("submission", "/api/jobs", body);
            }
            Due::Event(kind, event) => self.deliver(kind, *event),
        }
    }
}

fn main() {
    let machines = std::env::args().find_map(|arg| arg.parse().ok()).unwrap_or(MACHINES);
    let settings = Arc::new(Settings::parse(SETTINGS, None).expect("settings"));
    let base = Instant::now();
    let controller = Controller::new(settings, 1, WallClock { at: base, ms: 1_700_000_000_000 })
        .expect("controller");
    let mut simulation = Simulation {
        controller,
        base,
        now_ms: 0,
        due: BTreeMap::new(),
        queue: BinaryHeap::new(),
        workers: (0..machines).map(|_| Worker::default()).collect(),
        rev: 1,
        changes: Vec::new(),
        pending_watch: None,
        pending_heartbeats: BTreeMap::new(),
        ticket: 0,
        measurements: BTreeMap::new(),
    };
    simulation.schedule(1, Due::Tick);
    for n in 0..machines {
        simulation.schedule(3000 + n as u64 * HEARTBEAT_MS / machines as u64, Due::Heartbeat(n));
    }
    for n in 0..SERVICES {
        simulation.schedule(4000 + n as u64 * 50, Due::Job(n, true));
    }
    for n in 0..(DURATION_MS / SUBMISSION_MS) as usize {
        simulation.schedule(8000 + n as u64 * SUBMISSION_MS, Due::Job(1000 + n, false));
    }
    while let Some(std::cmp::Reverse((at, n))) = simulation.queue.pop() {
        if at > DURATION_MS {
            break;
        }
        simulation.now_ms = at;
        let due = simulation.due.remove(&n).expect("due");
        simulation.step(due);
    }
    let running: usize = simulation.workers.iter().map(|worker| worker.tasks.len()).sum();
    println!("{machines} machines, {} s, {running} tasks at the end", DURATION_MS / 1000);
    println!("{:20} {:>9} {:>14} {:>14}", "event", "count", "allocations", "bytes");
    for (kind, (count, info)) in &simulation.measurements {
        let each = |sum: u64| sum as f64 / *count as f64;
        println!(
            "{kind:20} {count:9} {:14.1} {:14.1}",
            each(info.count_total),
            each(info.bytes_total)
        );
    }
}
