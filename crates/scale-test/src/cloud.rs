//! The cloud of the protocol over HTTP: rents emulated machines, each of which runs in one of the worker processes.

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

/// Name of the only machine type.
pub const FLAVOR: &str = "standard";
/// Price per hour of an on-demand machine and of a spot machine.
const PRICES: (f64, f64) = (1.0, 0.3);
/// Maximum number of connections to the cloud.
const CONNECTIONS: usize = 200;
/// Maximum number of requests read ahead on all connections.
const READ_AHEAD: usize = 64;
/// Time for which a failed machine is still listed in its state before the failure.
const FAILURE_LIST_DELAY: Duration = Duration::from_secs(30);

/// Faults that the run injects into the cloud, and notifications from worker processes.
#[derive(Debug)]
pub enum CloudInput {
    /// A worker process has ended all tasks on the machine.
    Deleted(MachineId),
    /// The worker process with this index has terminated, and all its machines with it.
    ProcessEnded(usize),
    /// All machines of the zone with this index fail.
    EndZone(usize),
    /// The cloud answers all requests with 503 for this duration.
    Out(Duration),
}

/// Requests and machines since the start, and the number of machines now.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CloudCounters {
    /// Number of requests by kind.
    pub requests: BTreeMap<&'static str, u64>,
    /// Number of answers with status 429 or 503.
    pub refused: u64,
    /// Bytes of requests, with an estimate of their heads.
    pub bytes_in: u64,
    /// Bytes of answers, with an estimate of their heads.
    pub bytes_out: u64,
    /// Number of machines rented by request; initial machines don't count.
    pub rented: u64,
    /// Number of machines deleted by request.
    pub deleted: u64,
    /// Number of machines that are starting or running now.
    pub machines: u64,
}

/// State of a machine, with the time of its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachineState {
    Starting,
    Running,
    Failed(Instant),
    Deleted(Instant),
}

/// A rented machine.
struct Rented {
    facts: MachineFacts,
    zone: usize,
    process: usize,
    rented: Instant,
    /// Time at which it is up; None if its boot fails.
    up_at: Option<Instant>,
    state: MachineState,
}

/// A deletion request that is answered once the worker processes confirmed it for all its machines.
struct PendingDelete {
    unconfirmed: usize,
    reply: oneshot::Sender<Response>,
}

/// Configuration of the cloud.
pub struct Setup {
    /// Resources and boot times of every machine.
    pub machine: Machine,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Maximum number of machines that are starting or running.
    pub capacity: u32,
    /// Requests per second that the cloud accepts.
    pub rps: f64,
    /// Delay with which the list of machines reflects changes.
    pub list_lag: Duration,
    /// Seed of boot times and boot failures.
    pub seed: u64,
    /// Senders to the worker processes, which run the machines.
    pub processes: Vec<mpsc::UnboundedSender<ToWorkers>>,
    /// Number of machines planned for each worker process.
    pub shares: Vec<u32>,
    /// Sender of events to the judge.
    pub judge: mpsc::UnboundedSender<JudgeEvent>,
}

impl Setup {
    /// Creates the configuration for a scenario, from the senders to the worker processes and their planned shares.
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
    /// Indices of the worker processes that have terminated.
    ended_processes: Vec<usize>,
    /// Number of machines assigned to each worker process so far.
    assigned: Vec<u32>,
    /// Machines of each rental by request id, so that a repeated request gets the same answer.
    rentals: HashMap<String, Vec<MachineId>>,
    boots: BinaryHeap<Reverse<(Instant, MachineId)>>,
    deletes: Vec<PendingDelete>,
    /// Index in `deletes` for each machine whose deletion is not confirmed yet.
    unconfirmed_deletes: HashMap<MachineId, usize>,
    /// Number of the last machine.
    last_number: u32,
    outage_until: Option<Instant>,
    counters: CloudCounters,
    published: watch::Sender<CloudCounters>,
}

/// Runs the cloud until its task is aborted. `initial` machines are up from the start.
pub async fn serve(
    listener: TcpListener,
    setup: Setup,
    initial: u32,
    mut inputs: mpsc::UnboundedReceiver<CloudInput>,
    published: watch::Sender<CloudCounters>,
) {
    let (to, mut requests) = mpsc::channel::<Incoming>(READ_AHEAD);
    let (count, _) = watch::channel(0usize);
    tokio::spawn(http::serve(listener, CONNECTIONS, READ_AHEAD, to, count));
    let now = Instant::now();
    let mut cloud = Cloud {
        random: StdRng::seed_from_u64(setup.seed),
        bucket: TokenBucket::new(setup.rps, 2.0, now),
        machines: BTreeMap::new(),
        ended_processes: Vec::new(),
        assigned: vec![0; setup.shares.len()],
        rentals: HashMap::new(),
        boots: BinaryHeap::new(),
        deletes: Vec::new(),
        unconfirmed_deletes: HashMap::new(),
        last_number: 0,
        outage_until: None,
        counters: CloudCounters::default(),
        published,
        setup,
    };
    for n in 0..initial {
        let zone = n as usize % cloud.setup.zones.len();
        cloud.add_machine(zone, false, now, Some(now));
    }
    loop {
        cloud.boot(Instant::now());
        cloud.publish();
        let wake = cloud.boots.peek().map(|Reverse((at, _))| *at);
        let wake = wake.unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
        tokio::select! {
            Some(incoming) = requests.recv() => cloud.handle(incoming),
            Some(input) = inputs.recv() => cloud.on_input(input),
            _ = tokio::time::sleep_until(wake) => {}
        }
    }
}

/// Returns the loopback address of the machine with this number.
pub fn address_of(number: u32) -> SocketAddr {
    let [_, b, c, d] = (number + 256).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 10 + b, c, d), WORKER_PORT))
}

impl Cloud {
    fn handle(&mut self, incoming: Incoming) {
        let Incoming { request, reply, permit } = incoming;
        drop(permit);
        let now = Instant::now();
        self.counters.bytes_in += request.body.len() as u64 + HEAD_BYTES;
        if self.outage_until.is_some_and(|until| now < until) {
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
                let response = self.machine_types();
                self.send(reply, response);
            }
            (Method::Post, "/hosts") => {
                let response = self.rent_machines(&request, now);
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

    fn publish(&mut self) {
        self.counters.machines = self.alive() as u64;
        self.published.send_replace(self.counters.clone());
    }

    fn alive(&self) -> usize {
        let is_alive =
            |m: &&Rented| matches!(m.state, MachineState::Starting | MachineState::Running);
        self.machines.values().filter(is_alive).count()
    }

    fn machine_types(&mut self) -> Response {
        self.count("types");
        let machine = &self.setup.machine;
        let machine_type = MachineType {
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
        Response::with(200, wire::encode(&MachineTypes { types: vec![machine_type] }))
    }

    fn rent_machines(&mut self, request: &Request, now: Instant) -> Response {
        self.count("rental");
        let Ok(rental) = wire::decode::<RentalRequest>(&request.body) else {
            return Response::empty(400);
        };
        let Some(zone) = self.setup.zones.iter().position(|zone| *zone == rental.zone) else {
            return Response::empty(400);
        };
        if let Some(machines) = self.rentals.get(&rental.request_id) {
            return Response::with(200, wire::encode(&MachineIds { machines: machines.clone() }));
        }
        let free_capacity = (self.setup.capacity as usize).saturating_sub(self.alive());
        let count = free_capacity.min(rental.count as usize);
        if count == 0 || rental.spot {
            let error = "no capacity".into();
            return Response::with(503, wire::encode(&CloudError { error }));
        }
        let machines: Vec<MachineId> = (0..count)
            .map(|_| {
                let up_at = self.boot_time(now);
                self.add_machine(zone, false, now, up_at)
            })
            .collect();
        self.counters.rented += count as u64;
        self.rentals.insert(rental.request_id, machines.clone());
        Response::with(200, wire::encode(&MachineIds { machines }))
    }

    /// Draws the time at which a machine rented now is up; None if its boot fails.
    fn boot_time(&mut self, now: Instant) -> Option<Instant> {
        let machine = &self.setup.machine;
        let draw: f64 = self.random.random();
        if draw < machine.failed_boots {
            return None;
        }
        let is_late = draw < machine.failed_boots + machine.late_boots;
        let factor = self.random.random_range(0.6..1.5) * if is_late { 3.0 } else { 1.0 };
        Some(now + Duration::from_secs_f64(machine.boot_s * factor))
    }

    fn add_machine(
        &mut self,
        zone: usize,
        spot: bool,
        now: Instant,
        up_at: Option<Instant>,
    ) -> MachineId {
        self.last_number += 1;
        let id = MachineId::new(&format!("i-{:06}", self.last_number));
        let facts = MachineFacts {
            id: id.clone(),
            address: address_of(self.last_number),
            zone: self.setup.zones[zone].clone(),
            spot,
        };
        let process = self.choose_process();
        self.assigned[process] += 1;
        let state = MachineState::Starting;
        self.machines
            .insert(id.clone(), Rented { facts, zone, process, rented: now, up_at, state });
        if let Some(at) = up_at {
            self.boots.push(Reverse((at, id.clone())));
        }
        id
    }

    /// Returns the live worker process for a new machine: the least filled one below its planned share, otherwise the one
    /// with the largest share.
    fn choose_process(&self) -> usize {
        let shares = &self.setup.shares;
        let alive = (0..shares.len()).filter(|process| !self.ended_processes.contains(process));
        let fullness = |process: &usize| (self.assigned[*process] * 1000) / shares[*process].max(1);
        let is_below_share = |process: &usize| self.assigned[*process] < shares[*process];
        let below_share = alive.clone().filter(is_below_share).min_by_key(fullness);
        below_share.or_else(|| alive.max_by_key(|process| shares[*process])).unwrap_or(0)
    }

    /// Starts the workers of the machines whose boot time is over.
    fn boot(&mut self, now: Instant) {
        while let Some(Reverse((at, _))) = self.boots.peek()
            && *at <= now
        {
            let Some(Reverse((_, id))) = self.boots.pop() else { return };
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            if machine.state != MachineState::Starting {
                continue;
            }
            machine.state = MachineState::Running;
            let _ = self.setup.judge.send(JudgeEvent::Machine(id, machine.facts.spot));
            let boot = ToWorkers::Boot(machine.facts.clone());
            let _ = self.setup.processes[machine.process].send(boot);
        }
    }

    fn delete(&mut self, request: &Request, reply: oneshot::Sender<Response>, now: Instant) {
        self.count("deletion");
        let Ok(request) = wire::decode::<MachineIds>(&request.body) else {
            return self.send(reply, Response::empty(400));
        };
        let index = self.deletes.len();
        let mut unconfirmed = 0;
        for id in request.machines {
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            let state_before = machine.state;
            machine.state = MachineState::Deleted(now);
            self.counters.deleted += 1;
            if state_before == MachineState::Running
                && !self.ended_processes.contains(&machine.process)
            {
                // The answer promises that nothing runs there any more, so the worker process has to confirm first.
                let _ = self.setup.processes[machine.process].send(ToWorkers::Delete(id.clone()));
                self.unconfirmed_deletes.insert(id, index);
                unconfirmed += 1;
            }
        }
        if unconfirmed == 0 {
            return self.send(reply, Response::empty(200));
        }
        self.deletes.push(PendingDelete { unconfirmed, reply });
    }

    fn on_input(&mut self, input: CloudInput) {
        let now = Instant::now();
        match input {
            CloudInput::Deleted(id) => self.on_deleted(&id),
            CloudInput::Out(time) => self.outage_until = Some(now + time),
            CloudInput::ProcessEnded(process) => {
                self.ended_processes.push(process);
                let lost = self.machines.values().filter(|machine| machine.process == process);
                let lost: Vec<MachineId> = lost.map(|machine| machine.facts.id.clone()).collect();
                for id in lost {
                    let _ = self.setup.judge.send(JudgeEvent::MachineEnded(id.clone(), now_us()));
                    self.on_deleted(&id);
                    if let Some(machine) = self.machines.get_mut(&id)
                        && matches!(machine.state, MachineState::Starting | MachineState::Running)
                    {
                        machine.state = MachineState::Failed(now);
                    }
                }
            }
            CloudInput::EndZone(zone) => {
                for machine in self.machines.values_mut().filter(|m| m.zone == zone) {
                    if machine.state == MachineState::Running {
                        let delete = ToWorkers::Delete(machine.facts.id.clone());
                        let _ = self.setup.processes[machine.process].send(delete);
                    }
                    if matches!(machine.state, MachineState::Starting | MachineState::Running) {
                        machine.state = MachineState::Failed(now);
                    }
                }
            }
        }
    }

    fn on_deleted(&mut self, id: &MachineId) {
        let Some(index) = self.unconfirmed_deletes.remove(id) else { return };
        let Some(pending) = self.deletes.get_mut(index) else { return };
        pending.unconfirmed = pending.unconfirmed.saturating_sub(1);
        if pending.unconfirmed == 0 {
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
        let listed_machines = self.machines.range(after.clone()..).filter(|(id, _)| **id > after);
        let mut listed_machines = listed_machines.filter_map(|(_, machine)| machine.listed(as_of));
        let machines: Vec<ListedMachine> = listed_machines.by_ref().take(LIST_ROWS).collect();
        let truncated = listed_machines.next().is_some();
        Response::with(200, wire::encode(&MachinePage { machines, truncated }))
    }
}

impl Rented {
    /// Returns the list entry for the machine as of a past time; None if the list doesn't contain it.
    fn listed(&self, as_of: Instant) -> Option<ListedMachine> {
        if self.rented > as_of {
            return None;
        }
        let status = match self.state {
            MachineState::Deleted(at) if at <= as_of => return None,
            MachineState::Failed(at) if at + FAILURE_LIST_DELAY <= as_of => {
                ListedMachineState::Failed
            }
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
