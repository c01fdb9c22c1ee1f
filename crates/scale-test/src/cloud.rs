//! The cloud by PROTOCOL over HTTP: it rents emulated machines, each in one of the worker processes.

use crate::constants::*;
use crate::judge::JudgeEvent;
use crate::link::{MachineFacts, ToWorkers, now_us};
use crate::scenario::{Machine, Scenario};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use troutspindle::store::TokenBucket;
use troutspindle_protocol::http::{self, Incoming, Method, Request, Response};
use troutspindle_protocol::ids::MachineId;
use troutspindle_protocol::wire::{
    self, CloudError, ListedMachine, ListedMachineState, MachineIds, MachinePage, MachineType,
    MachineTypes, RentalRequest,
};

/// Name of the one machine type.
pub const FLAVOR: &str = "standard";
/// Price of a machine by the hour, and of a spot machine.
const PRICES: (f64, f64) = (1.0, 0.3);
/// Count. Connections, and requests read ahead.
const CONNECTIONS: usize = 200;
const READ_AHEAD: usize = 64;
/// How long a machine that failed stays listed as running.
const FAILED_SHOWS_AFTER: Duration = Duration::from_secs(30);

/// What the run tells the cloud.
#[derive(Debug)]
pub enum CloudInput {
    /// A worker process has ended everything on the machine.
    Deleted(MachineId),
    /// A worker process is gone, and its machines with it.
    ProcessEnded(usize),
    /// All machines of a zone are taken away.
    EndZone(usize),
    Out(Duration),
}

/// Requests since the start, and machines now.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CloudCounters {
    pub requests: BTreeMap<&'static str, u64>,
    pub refused: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub rented: u64,
    pub deleted: u64,
    pub machines: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    Starting,
    Running,
    Failed(Instant),
    Gone(Instant),
}

struct Rented {
    facts: MachineFacts,
    zone: usize,
    process: usize,
    rented: Instant,
    up_at: Option<Instant>,
    life: Life,
}

struct PendingDelete {
    left: usize,
    reply: oneshot::Sender<Response>,
}

/// What the cloud is set up with.
pub struct Setup {
    pub machine: Machine,
    pub zones: Vec<String>,
    pub capacity: u32,
    pub rps: f64,
    pub list_lag: Duration,
    pub seed: u64,
    /// Where machines live: one sender for each worker process.
    pub processes: Vec<mpsc::UnboundedSender<ToWorkers>>,
    /// How many machines each of them is planned to hold.
    pub shares: Vec<u32>,
    pub judge: mpsc::UnboundedSender<JudgeEvent>,
}

impl Setup {
    /// From a scenario.
    pub fn new(
        scenario: &Scenario,
        (processes, shares): (Vec<mpsc::UnboundedSender<ToWorkers>>, Vec<u32>),
        judge: mpsc::UnboundedSender<JudgeEvent>,
    ) -> Setup {
        Setup {
            machine: scenario.machine.clone(),
            zones: scenario.zones(),
            capacity: scenario.workers + scenario.spare_workers,
            rps: scenario.cloud.rps,
            list_lag: Duration::from_secs_f64(scenario.cloud.list_lag_s),
            seed: scenario.seed,
            processes,
            shares,
            judge,
        }
    }
}

struct Cloud {
    setup: Setup,
    random: StdRng,
    bucket: TokenBucket,
    machines: BTreeMap<MachineId, Rented>,
    ended: Vec<usize>,
    /// How many machines each worker process was given.
    held: Vec<u32>,
    hires: HashMap<String, Vec<MachineId>>,
    boots: BinaryHeap<Reverse<(Instant, MachineId)>>,
    deletes: Vec<PendingDelete>,
    waiting: HashMap<MachineId, usize>,
    next: u32,
    out_until: Option<Instant>,
    counters: CloudCounters,
    shown: watch::Sender<CloudCounters>,
}

/// Serves until its task is ended. `initial` machines are up from the start.
pub async fn serve(
    listener: TcpListener,
    setup: Setup,
    initial: u32,
    mut inputs: mpsc::UnboundedReceiver<CloudInput>,
    shown: watch::Sender<CloudCounters>,
) {
    let (to, mut requests) = mpsc::channel::<Incoming>(READ_AHEAD);
    let (count, _) = watch::channel(0usize);
    tokio::spawn(http::serve(listener, CONNECTIONS, READ_AHEAD, to, count));
    let now = Instant::now();
    let mut cloud = Cloud {
        random: StdRng::seed_from_u64(setup.seed),
        bucket: TokenBucket::new(setup.rps, 2.0, now),
        machines: BTreeMap::new(),
        ended: Vec::new(),
        held: vec![0; setup.shares.len()],
        hires: HashMap::new(),
        boots: BinaryHeap::new(),
        deletes: Vec::new(),
        waiting: HashMap::new(),
        next: 0,
        out_until: None,
        counters: CloudCounters::default(),
        shown,
        setup,
    };
    for n in 0..initial {
        let zone = n as usize % cloud.setup.zones.len();
        cloud.rent(zone, false, now, Some(now));
    }
    loop {
        cloud.boot(Instant::now());
        cloud.show();
        let wake = cloud.boots.peek().map(|Reverse((at, _))| *at);
        let wake = wake.unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
        tokio::select! {
            Some(incoming) = requests.recv() => cloud.take(incoming),
            Some(input) = inputs.recv() => cloud.on_input(input),
            _ = tokio::time::sleep_until(wake) => {}
        }
    }
}

/// The loopback address of a machine by its number.
pub fn address_of(number: u32) -> SocketAddr {
    let [_, b, c, d] = (number + 256).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 10 + b, c, d), WORKER_PORT))
}

impl Cloud {
    fn take(&mut self, incoming: Incoming) {
        let Incoming { request, reply, permit } = incoming;
        drop(permit);
        let now = Instant::now();
        self.counters.bytes_in += request.body.len() as u64 + HEAD_BYTES;
        if self.out_until.is_some_and(|until| now < until) {
            let body = wire::encode(&CloudError { error: "trouble".into() });
            return self.send(reply, Response::with(503, body));
        }
        if !self.bucket.has(1.0, now) {
            return self.send(reply, Response::empty(429));
        }
        self.bucket.take(1.0, now);
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        match (request.method, path) {
            (Method::Get, "/flavors") => {
                let response = self.flavors();
                self.send(reply, response);
            }
            (Method::Post, "/hosts") => {
                let response = self.hire(&request, now);
                self.send(reply, response);
            }
            (Method::Post, "/hosts/delete") => self.delete(&request, reply, now),
            (Method::Get, "/hosts") => {
                let response = self.list(query, now);
                self.send(reply, response);
            }
            _ => self.send(reply, Response::empty(400)),
        }
    }

    fn send(&mut self, reply: oneshot::Sender<Response>, response: Response) {
        self.counters.refused += u64::from(matches!(response.status, 429 | 503));
        self.counters.bytes_out += response.body.len() as u64 + HEAD_BYTES;
        let _ = reply.send(response);
    }

    fn count(&mut self, kind: &'static str) {
        *self.counters.requests.entry(kind).or_default() += 1;
    }

    fn show(&mut self) {
        self.counters.machines = self.alive() as u64;
        self.shown.send_replace(self.counters.clone());
    }

    fn alive(&self) -> usize {
        let lives = |m: &&Rented| matches!(m.life, Life::Starting | Life::Running);
        self.machines.values().filter(lives).count()
    }

    fn flavors(&mut self) -> Response {
        self.count("types");
        let machine = &self.setup.machine;
        let flavor = MachineType {
            name: FLAVOR.into(),
            cpus: machine.cpus,
            gpus: 0.0,
            ram_gb: machine.ram_gb,
            cache_gb: machine.cache_gb,
            fetch_gb_per_s: machine.fetch_gb_per_s,
            price: PRICES.0,
            spot_price: PRICES.1,
            boot_s: machine.boot_s,
            zones: self.setup.zones.clone(),
        };
        Response::with(200, wire::encode(&MachineTypes { types: vec![flavor] }))
    }

    fn hire(&mut self, request: &Request, now: Instant) -> Response {
        self.count("rental");
        let Ok(hire) = wire::decode::<RentalRequest>(&request.body) else {
            return Response::empty(400);
        };
        let Some(zone) = self.setup.zones.iter().position(|zone| *zone == hire.zone) else {
            return Response::empty(400);
        };
        if let Some(machines) = self.hires.get(&hire.request_id) {
            return Response::with(200, wire::encode(&MachineIds { machines: machines.clone() }));
        }
        let room = (self.setup.capacity as usize).saturating_sub(self.alive());
        let count = room.min(hire.count as usize);
        if count == 0 || hire.spot {
            let error = "no capacity".into();
            return Response::with(503, wire::encode(&CloudError { error }));
        }
        let machines: Vec<MachineId> = (0..count)
            .map(|_| {
                let up_at = self.boot_time(now);
                self.rent(zone, false, now, up_at)
            })
            .collect();
        self.counters.rented += count as u64;
        self.hires.insert(hire.request_id, machines.clone());
        Response::with(200, wire::encode(&MachineIds { machines }))
    }

    /// When a machine that is rented now comes up, if ever.
    fn boot_time(&mut self, now: Instant) -> Option<Instant> {
        let machine = &self.setup.machine;
        let luck: f64 = self.random.random();
        if luck < machine.failed_boots {
            return None;
        }
        let late = luck < machine.failed_boots + machine.late_boots;
        let factor = self.random.random_range(0.6..1.5) * if late { 3.0 } else { 1.0 };
        Some(now + Duration::from_secs_f64(machine.boot_s * factor))
    }

    fn rent(&mut self, zone: usize, spot: bool, now: Instant, up_at: Option<Instant>) -> MachineId {
        self.next += 1;
        let id = MachineId::new(&format!("i-{:06}", self.next));
        let facts = MachineFacts {
            id: id.clone(),
            address: address_of(self.next),
            zone: self.setup.zones[zone].clone(),
            spot,
        };
        let process = self.place();
        self.held[process] += 1;
        let life = Life::Starting;
        self.machines.insert(id.clone(), Rented { facts, zone, process, rented: now, up_at, life });
        if let Some(at) = up_at {
            self.boots.push(Reverse((at, id.clone())));
        }
        id
    }

    /// The worker process for a new machine: one with room in its share, else the least full of those that hold many.
    fn place(&self) -> usize {
        let shares = &self.setup.shares;
        let alive = (0..shares.len()).filter(|process| !self.ended.contains(process));
        let fullness = |process: &usize| (self.held[*process] * 1000) / shares[*process].max(1);
        let has_room = |process: &usize| self.held[*process] < shares[*process];
        let with_room = alive.clone().filter(has_room).min_by_key(fullness);
        with_room.or_else(|| alive.max_by_key(|process| shares[*process])).unwrap_or(0)
    }

    /// Brings machines up whose time has come.
    fn boot(&mut self, now: Instant) {
        while let Some(Reverse((at, _))) = self.boots.peek()
            && *at <= now
        {
            let Some(Reverse((_, id))) = self.boots.pop() else { return };
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if machine.life != Life::Starting {
                continue;
            }
            machine.life = Life::Running;
            let _ = self.setup.judge.send(JudgeEvent::Machine(id, machine.facts.spot));
            let boot = ToWorkers::Boot(machine.facts.clone());
            let _ = self.setup.processes[machine.process].send(boot);
        }
    }

    fn delete(&mut self, request: &Request, reply: oneshot::Sender<Response>, now: Instant) {
        self.count("deletion");
        let Ok(names) = wire::decode::<MachineIds>(&request.body) else {
            return self.send(reply, Response::empty(400));
        };
        let index = self.deletes.len();
        let mut left = 0;
        for id in names.machines {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            let was = machine.life;
            machine.life = Life::Gone(now);
            self.counters.deleted += 1;
            if was == Life::Running && !self.ended.contains(&machine.process) {
                // The answer says that nothing runs there any more, so its process is asked first.
                let _ = self.setup.processes[machine.process].send(ToWorkers::Delete(id.clone()));
                self.waiting.insert(id, index);
                left += 1;
            }
        }
        if left == 0 {
            return self.send(reply, Response::empty(200));
        }
        self.deletes.push(PendingDelete { left, reply });
    }

    fn on_input(&mut self, input: CloudInput) {
        let now = Instant::now();
        match input {
            CloudInput::Deleted(id) => self.on_deleted(&id),
            CloudInput::Out(time) => self.out_until = Some(now + time),
            CloudInput::ProcessEnded(process) => {
                self.ended.push(process);
                let lost = self.machines.values().filter(|machine| machine.process == process);
                let lost: Vec<MachineId> = lost.map(|machine| machine.facts.id.clone()).collect();
                for id in lost {
                    let _ = self.setup.judge.send(JudgeEvent::MachineEnded(id.clone(), now_us()));
                    self.on_deleted(&id);
                    if let Some(machine) = self.machines.get_mut(&id)
                        && matches!(machine.life, Life::Starting | Life::Running)
                    {
                        machine.life = Life::Failed(now);
                    }
                }
            }
            CloudInput::EndZone(zone) => {
                for machine in self.machines.values_mut().filter(|m| m.zone == zone) {
                    if machine.life == Life::Running {
                        let delete = ToWorkers::Delete(machine.facts.id.clone());
                        let _ = self.setup.processes[machine.process].send(delete);
                    }
                    if matches!(machine.life, Life::Starting | Life::Running) {
                        machine.life = Life::Failed(now);
                    }
                }
            }
        }
    }

    fn on_deleted(&mut self, id: &MachineId) {
        let Some(index) = self.waiting.remove(id) else { return };
        let Some(pending) = self.deletes.get_mut(index) else { return };
        pending.left = pending.left.saturating_sub(1);
        if pending.left == 0 {
            let (unused, _) = oneshot::channel();
            let reply = std::mem::replace(&mut pending.reply, unused);
            self.send(reply, Response::empty(200));
        }
    }

    fn list(&mut self, query: &str, now: Instant) -> Response {
        self.count("list");
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let after = pairs.find(|(key, _)| *key == "after").map_or("", |(_, value)| value);
        let as_of = now.checked_sub(self.setup.list_lag).unwrap_or(now);
        let after = MachineId::new(after);
        let shown = self.machines.range(after.clone()..).filter(|(id, _)| **id > after);
        let mut shown = shown.filter_map(|(_, machine)| machine.listed(as_of));
        let machines: Vec<ListedMachine> = shown.by_ref().take(LIST_ROWS).collect();
        let truncated = shown.next().is_some();
        Response::with(200, wire::encode(&MachinePage { machines, truncated }))
    }
}

impl Rented {
    /// As the list described it at that time; None: not listed.
    fn listed(&self, as_of: Instant) -> Option<ListedMachine> {
        if self.rented > as_of {
            return None;
        }
        let status = match self.life {
            Life::Gone(at) if at <= as_of => return None,
            Life::Failed(at) if at + FAILED_SHOWS_AFTER <= as_of => ListedMachineState::Failed,
            _ if self.up_at.is_some_and(|at| at <= as_of) => ListedMachineState::Running,
            _ => ListedMachineState::Starting,
        };
        Some(ListedMachine {
            machine: self.facts.id.clone(),
            address: Some(self.facts.address.to_string()),
            machine_type: FLAVOR.into(),
            zone: self.facts.zone.clone(),
            spot: self.facts.spot,
            status,
            age_s: as_of.saturating_duration_since(self.rented).as_secs_f64(),
        })
    }
}
