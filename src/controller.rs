//! One controller: the cores put together, and the actor that carries their effects out.

use crate::admission::{
    AdmissionQueue, LoadEstimator, MachineLimit, Need, Sockets, come_back_s, read_together,
};
use crate::api::{Answer, Api, Route, need, route};
use crate::clock::WallClock;
use crate::cloud::{CloudClient, CloudEvent, CloudRequest};
use crate::constants::FORMAT_HEARTBEAT;
use crate::drains::{self, DrainRecord};
use crate::http::{self, CallError, Client, Incoming, Method, Request, Response};
use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use crate::leadership::controller_lease::ControllerLease;
use crate::leadership::delegation::DelegatedLease;
use crate::leadership::election::{Election, ElectionEvent};
use crate::peers::mesh::{self, ChunkAssembler, PeerCapabilities, PeerMessage};
use crate::scheduler::Scheduler;
use crate::scheduler::planning_clock::LATE;
use crate::schema::encoding;
use crate::schema::keys;
use crate::settings::Settings;
use crate::store::{
    MACHINE_TYPE_PREFIX, MACHINE_TYPES_KEY, OutgoingRequest, PendingWrite, RELAY_PREFIX,
    STORE_UNAVAILABLE_AFTER, StoreClient, StoreEvent, StoreRequest, StoreResponse, Versioned,
    WriteOrigin, WriteOutcome, WritePriority,
};
use crate::wire::{
    self, CommandBatch, Heartbeat, NotLeader, Precondition, StoreValue, Transaction, Write,
};
use crate::workers::command_delivery::DirectCall;
use foldhash::{HashMap, HashMapExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot, watch};
use tokio::time::Instant;
use troutspindle_protocol::operator_api;

use relayed_heartbeats::Sharing;

/// What happens to a controller.
#[derive(Debug)]
pub enum Event {
    Http(u64, Request),
    State(u64, StoreResponse),
    Cloud(u64, Result<Response, CallError>),
    DirectCall(MachineId, Option<CommandBatch>, Result<Heartbeat, CallError>),
    Mesh(PeerMessage),
    Tick,
}

impl Event {
    fn kind(&self) -> &'static str {
        match self {
            Event::Http(..) => "request",
            Event::State(..) => "state service",
            Event::Cloud(..) => "cloud",
            Event::DirectCall(..) => "worker",
            Event::Mesh(_) => "controller",
            Event::Tick => "tick",
        }
    }
}

/// What a controller wants done.
#[derive(Debug)]
pub enum Effect {
    Reply(u64, Response),
    State(u64, StoreRequest),
    Cloud(u64, CloudRequest),
    DirectCall(MachineId, SocketAddr, DirectCall),
    Mesh(ControllerId, PeerMessage),
}

struct PeerView {
    heard: Instant,
    state_lost: bool,
    up: Duration,
    extra: PeerCapabilities,
}

/// Milliseconds since then.
fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

/// Ticket of the sync that a new leader does before it looks at anything.
const TAKE_OVER: u64 = 0;
/// Ticket of the probe that shows whether the store still answers.
const PROBE: u64 = 1;
/// Tickets of users' requests begin here.
pub const FIRST_TICKET: u64 = 10;

pub struct Controller {
    settings: Arc<Settings>,
    pub state: StoreClient,
    pub election: Election,
    cloud: CloudClient,
    pub scheduler: Option<Scheduler>,
    api: Api,
    peers: HashMap<ControllerId, PeerView>,
    /// When a worker last reported here, and to any other controller as far as they told.
    worker_here: Option<Instant>,
    worker_elsewhere: Option<Instant>,
    delegated_lease: DelegatedLease,
    heartbeat: ControllerLease,
    /// Relayed messages of which some pieces have come.
    pieces: HashMap<ControllerId, ChunkAssembler>,
    started: Instant,
    /// The highest token under which another controller told that it leads, and who that was.
    leads: Option<(FencingToken, ControllerId)>,
    /// When anything was handled last, and when this process last went on after standing still.
    handled: Instant,
    woke: Instant,
    relay_at: Instant,
    mesh_at: Instant,
    mesh_seq: u64,
    asked: VecDeque<(u64, Instant)>,
    probe_in_flight: bool,
    work_at: Instant,
    counts_at: Instant,
    running_at: Instant,
    may_act: bool,
    /// The cluster version that was last told to the log.
    format: Option<u32>,
    /// When the next tick was due.
    tick_due: Instant,
    sockets: Sockets,
    ceiling: MachineLimit,
    /// How busy and how late this process was since the last line of counts.
    pace: LoadEstimator,
    /// Public connections that are open, and whether workers' take up most of them.
    open: usize,
    crowded: bool,
    sharing: Sharing,
    pub out: Vec<Effect>,
}

impl Controller {
    pub fn new(settings: Arc<Settings>, seed: u64, wall: WallClock) -> Option<Controller> {
        let p = &settings.platform;
        let now = wall.at;
        let others = p.others.iter().map(|peer| peer.host_name.clone());
        let names = std::iter::once(p.host_name.clone()).chain(others).collect();
        Some(Controller {
            state: StoreClient::new(p.params.state.kept(), names, seed, now),
            election: Election::new(p.host_name.clone(), p.others.len(), seed, now),
            cloud: CloudClient::new(p.params.cloud.rps, now),
            scheduler: None,
            api: Api::new(settings.clone(), wall).ok()?,
            peers: HashMap::new(),
            worker_here: None,
            worker_elsewhere: None,
            delegated_lease: DelegatedLease::default(),
            heartbeat: ControllerLease::new(&p.host_name, now),
            pieces: HashMap::new(),
            started: now,
            leads: None,
            handled: now,
            woke: now,
            relay_at: now,
            mesh_at: now,
            // Answers to a former incarnation of this process, delivered late, match no question.
            mesh_seq: seed >> 2,
            asked: VecDeque::new(),
            probe_in_flight: false,
            work_at: now,
            counts_at: now,
            running_at: now,
            may_act: false,
            format: None,
            tick_due: now,
            sockets: Sockets::new(&p.params.resources),
            ceiling: MachineLimit::new(&p.params.resources, now),
            pace: LoadEstimator::default(),
            open: 0,
            crowded: false,
            sharing: Sharing::new(seed >> 2, &settings),
            out: Vec::new(),
            settings,
        })
    }

    /// Told the time of day anew now and then, since the steady clock drifts.
    pub fn set_wall(&mut self, wall: WallClock) {
        self.api.wall = wall;
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_wall_clock(wall);
        }
    }

    /// Told how long the last event took to handle.
    pub fn took(&mut self, took: Duration, now: Instant) {
        self.pace.handled(took);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.record_event_duration(took, now);
        }
    }

    /// Told how many public connections are open.
    pub fn set_open(&mut self, open: usize) {
        self.open = open;
    }

    pub fn handle(&mut self, event: Event, now: Instant) {
        // Ticks come several times a second, so this process stood still: what it finds in its
        // queues is old, and the silence that it slept through proves nothing about anyone.
        let slept = now.saturating_duration_since(self.handled);
        if slept > STOOD_STILL {
            tracing::info!(slept_ms = slept.as_millis() as u64, "stood still");
            self.woke = now;
        }
        self.handled = now;
        match event {
            Event::Http(ticket, request) => self.on_http(ticket, request, now),
            Event::State(id, reply) => self.state.on_response(id, reply, now),
            Event::Cloud(id, reply) => {
                for event in self.cloud.on_response(id, reply, now) {
                    if let CloudEvent::MachineTypes(found) = &event {
                        self.on_flavors(found.clone());
                    }
                    if let Some(scheduler) = &mut self.scheduler {
                        scheduler.on_cloud(event, &self.state.cache, now);
                    }
                }
            }
            Event::DirectCall(machine, sent, result) => {
                if !self.sharing.forwarded.end(&machine, sent.as_ref(), &result, now) {
                    self.on_direct(&machine, sent.as_ref(), result, now);
                }
            }
            Event::Mesh(message) => self.on_mesh(message, true, now),
            Event::Tick => self.on_tick(now),
        }
        self.pump(now);
    }

    /// The end of a call to a worker, made here or by another controller.
    fn on_direct(
        &mut self,
        machine: &MachineId,
        sent: Option<&CommandBatch>,
        result: Result<Heartbeat, CallError>,
        now: Instant,
    ) {
        if let Some(scheduler) = &mut self.scheduler
            && sent.is_none_or(|orders| orders.token == scheduler.token())
            && !scheduler.on_direct(machine, sent, result, &self.state.cache, now)
        {
            tracing::info!(%machine, "a worker has seen a higher token");
            self.step_down(now);
        }
    }

    fn reply(&mut self, ticket: u64, response: Response) {
        self.out.push(Effect::Reply(ticket, response));
    }

    fn on_http(&mut self, ticket: u64, request: Request, now: Instant) {
        let response = match route(&request) {
            Route::Health => {
                Some(if self.is_up(now) { Response::empty(200) } else { Response::empty(503) })
            }
            Route::Heartbeat => self.on_hello(ticket, &request.body, now),
            Route::Unknown => Some(Response::empty(404)),
            Route::WrongMethod => Some(Response::empty(405)),
            Route::JobsAtRisk => Some(self.on_at_risk(&request.body, now)),
            Route::FairShareReport => Some(self.on_starving(&request.body, now)),
            Route::Drains => Some(self.on_drains(&request.body, now)),
            Route::Drain => self.on_drain(ticket, &request.body, now),
            Route::Undrain => self.on_undrain(ticket, &request.body),
            user => self.api.on_request(ticket, user, &request.body, &mut self.state, now),
        };
        if let Some(response) = response {
            self.reply(ticket, response);
        }
    }

    /// Up while requests can be taken; a node that alone has lost the store says no, so that
    /// users go where it is served.
    fn is_up(&self, now: Instant) -> bool {
        let fresh =
            |peer: &PeerView| now.saturating_duration_since(peer.heard) < STORE_UNAVAILABLE_AFTER;
        let others_fine = self.peers.values().any(|peer| fresh(peer) && !peer.state_lost);
        let elsewhere = self.stands_aside(now) || self.leaves_users(now);
        self.state.cache.loaded && !(self.state.is_unavailable(now) && others_fine) && !elsewhere
    }

    /// A leader whose sockets are mostly workers' leaves users to the others, if enough of them have been there
    /// for a while.
    fn leaves_users(&self, now: Instant) -> bool {
        let serves = |view: &&PeerView| {
            let fresh = now.saturating_duration_since(view.heard) < STORE_UNAVAILABLE_AFTER;
            fresh && !view.state_lost && view.up > CROWDED_PEER_UP
        };
        self.crowded && self.peers.values().filter(serves).count() >= CROWDED_PEERS
    }

    /// An operator has this controller drained, and another is there that is not and has the store: it
    /// leads, and users go to it. The last one that could serve goes on, drained or not.
    fn stands_aside(&self, now: Instant) -> bool {
        let cache = &self.state.cache;
        let drained = |name: &ControllerId| cache.is_controller_drained(name);
        let fresh =
            |view: &PeerView| now.saturating_duration_since(view.heard) < STORE_UNAVAILABLE_AFTER;
        let serves = |(name, view): (&ControllerId, &PeerView)| {
            fresh(view) && !view.state_lost && !drained(name)
        };
        !cache.drains.is_empty()
            && drained(&self.settings.platform.host_name)
            && self.peers.iter().any(serves)
    }

    /// Whether this process may act for the controllers now. In an outage a leader knows of all that was
    /// cancelled before if its own heartbeat covers it, since each other controller promises only while
    /// that stands; without one it acts on recent news alone.
    fn may_act(&self, now: Instant) -> bool {
        let informed = self.heartbeat.covers(self.state.synced_at) || self.has_news(now);
        self.election.may_act(informed, now)
    }

    fn step_down(&mut self, now: Instant) {
        self.scheduler = None;
        self.state.set_leading(false, now);
        if let Some(call) = self.election.resign(now) {
            self.state.send_election_request(call, now);
        }
    }

    fn on_flavors(&mut self, found: Vec<wire::MachineType>) {
        // The catalogue is kept at the store, so that a controller started while the cloud is
        // out can still judge submissions. It only grows: records refer to it.
        let Versioned { value: known, revision: rev } = self.state.cache.machine_types.clone();
        let mut all = known.clone();
        wire::merge(&mut all, found);
        // Only a leader, or whoever finds none there yet, writes it.
        if all == known || !(self.scheduler.is_some() || known.is_empty()) {
            return;
        }
        let layout = self.state.layout();
        if !layout.is_second() || layout.fits(&all) {
            return self.push_flavors(MACHINE_TYPES_KEY.into(), encoding::to_value(&all), rev);
        }
        for flavor in all.iter().filter(|flavor| !known.contains(flavor)) {
            // Names may be of any text, keys may not.
            let key = format!("{MACHINE_TYPE_PREFIX}{}", keys::key_hash(&flavor.name));
            let rev = self.state.cache.machine_type_keys.get(&key).copied().unwrap_or_default();
            self.push_flavors(key, encoding::to_value(flavor), rev);
        }
    }

    fn push_flavors(&mut self, key: String, data: StoreValue, rev: Revision) {
        let origin = WriteOrigin::MachineTypes(key.clone());
        if self.state.is_pending(&origin) {
            return;
        }
        let preconditions = vec![Precondition { key: key.clone(), rev }];
        let transaction =
            Transaction { preconditions, writes: vec![Write::Put { key, data, lease: None }] };
        self.state.enqueue(PendingWrite {
            priority: WritePriority::Background,
            origin,
            transaction,
        });
    }

    fn on_tick(&mut self, now: Instant) {
        self.look_at_limits(now);
        if now >= self.mesh_at {
            self.mesh_at = now + MESH_EVERY;
            self.mesh_seq += 1;
            self.asked.push_back((self.mesh_seq, now));
            if self.asked.len() > 20 {
                self.asked.pop_front();
            }
            let beat = PeerMessage::PeerStatus {
                from: self.settings.platform.host_name.clone(),
                seq: self.mesh_seq,
                leading: self.scheduler.as_ref().and(self.election.token()),
                state_lost: self.state.is_unavailable(now),
                ack: self.delegated_lease.ack(),
                up_ms: age_ms(self.started, now),
                answered_for_leader: self.delegated_lease.answered_for_leader(now),
                worker_ms: self.worker_here.map(|at| age_ms(at, now)),
                extra: self.peer_extra(),
            };
            self.broadcast(&beat);
            self.relay_status(&beat, now);
            self.tell_sharing(now);
        }
        let quiet = |at: Instant| now.saturating_duration_since(at) > STORE_UNAVAILABLE_AFTER / 3;
        if !self.probe_in_flight && self.state.synced_at.is_none_or(quiet) {
            self.probe_in_flight = true;
            self.state.sync(PROBE);
        }
        let format = self.state.layout().format;
        if self.format != Some(format) && self.state.cache.loaded {
            tracing::info!(format, "cluster version");
            self.format = Some(format);
        }
        if !self.settings.operator.hold_format {
            self.state.publish_version();
        }
        for Answer { ticket, response } in self.api.tick(&self.state, now) {
            self.reply(ticket, response);
        }
        self.look_at_promises(now);
        if now >= self.counts_at {
            self.counts_at = now + COUNTS_EVERY;
            self.log_counts(now);
        }
        if let Some(scheduler) = &self.scheduler
            && now >= self.running_at
        {
            self.running_at = now + MESH_EVERY * 2;
            let running = scheduler.running();
            let counts = running.iter().map(|(id, n)| (id.clone(), *n)).take(1500).collect();
            let token = scheduler.token();
            self.api.running = running;
            self.broadcast(&PeerMessage::RunningTasks { token, counts });
        }
        self.resign_if_cut_off(now);
        if self.stands_aside(now) {
            if self.scheduler.is_some() {
                tracing::info!("drained, hands leadership over");
                self.step_down(now);
            }
            self.election.stand_aside(now);
        }
    }

    /// How late this process is, and how much it can hold.
    fn look_at_limits(&mut self, now: Instant) {
        let late = now.saturating_duration_since(self.tick_due);
        self.pace.late(late);
        // With one of them away those that are left still hold all workers.
        let sharers = u32::try_from(self.sharers(now)).unwrap_or(u32::MAX);
        self.ceiling.shared_by(sharers.max(1));
        let most_machines = self.ceiling.most();
        let machines = match &mut self.scheduler {
            Some(scheduler) => {
                scheduler.adjust_pace(late, now);
                scheduler.set_max_machines(most_machines);
                let machines = scheduler.machine_count();
                let shared = self.sharing.is_shared();
                let free =
                    self.sockets.ours(self.open).1 + if shared { DELIVERIES_MORE } else { 0 };
                // Orders that wait go with the answers to reports, which cost a fraction of a call.
                let behind = !shared && scheduler.is_behind(now) && self.ceiling.is_large(machines);
                scheduler.set_max_direct_calls(if behind { free.min(DIRECT_BEHIND) } else { free });
                machines
            }
            None => 0,
        };
        self.crowded = self.sockets.crowded(machines, self.crowded);
        let held = u32::try_from(machines).unwrap_or(u32::MAX);
        self.ceiling.look(held, late > LATE, now);
    }

    /// A leader that no worker reaches hands over, if workers reach another controller. Silence
    /// alone is no reason: where the others are down, workers take seconds to find the one left,
    /// and once nobody led for so long that every lease ran out.
    fn resign_if_cut_off(&mut self, now: Instant) {
        let Some(scheduler) = &self.scheduler else { return };
        let silence = now.saturating_duration_since(scheduler.last_heartbeat().max(self.woke));
        let patience = if scheduler.heartbeats() > 0 {
            RESIGN_AFTER.max(self.settings.report_every() / 2) + self.sharing.patience(now)
        } else {
            RESIGN_AFTER + WORKER_GIVES_UP
        };
        let elsewhere = self.worker_elsewhere;
        // Whom another controller hears it sends here at once.
        let missing = elsewhere.is_some_and(|at| at > scheduler.last_heartbeat() + REDIRECT_MOST);
        if !missing || silence <= patience || self.state.is_unavailable(now) {
            return;
        }
        let known =
            scheduler.fleet.machines.values().filter(|m| m.up_since.is_some() || m.recorded);
        let known = known.count() as u32;
        if known >= 3 {
            tracing::info!(known, "workers report elsewhere and not here, giving up leadership");
            self.step_down(now);
        }
    }

    fn log_counts(&mut self, now: Instant) {
        let latency = &self.api.latency_ms;
        tracing::info!(
            queue = self.state.queue_length(),
            refused = self.api.refused,
            p50_ms = latency.value_at_quantile(0.5),
            p99_ms = latency.value_at_quantile(0.99),
            state_lost = self.state.is_unavailable(now),
            rev = %self.state.cache.rev,
            "requests"
        );
        let pace = std::mem::take(&mut self.pace);
        tracing::info!(
            events = pace.events,
            mean_us = pace.mean_us(),
            busy = pace.share(COUNTS_EVERY),
            late_ms = pace.late.as_millis() as u64,
            machines_most = self.ceiling.most(),
            "pace"
        );
        self.api.latency_ms.reset();
        if let Some(scheduler) = &self.scheduler {
            scheduler.log_counts(&self.state.cache, now);
        }
    }

    /// When the next tick is due. Waking costs more than anything done on waking, so an idle
    /// controller wakes seldom.
    pub fn next_tick(&mut self, now: Instant) -> Instant {
        let plan =
            self.scheduler.as_ref().and_then(Scheduler::next_due).map(|at| at.max(self.work_at));
        let due =
            self.state.next_due().into_iter().chain(plan).chain(self.sharing.next_due()).min();
        let due = due.map_or(now + TICK_MOST, |at| at.clamp(now + TICK_LEAST, now + TICK_MOST));
        self.tick_due = due;
        due
    }

    /// Lets the cores act on what has happened until nothing more follows.
    fn pump(&mut self, now: Instant) {
        loop {
            while let Some(event) = self.state.next_event() {
                self.on_state(event, now);
            }
            self.take_relayed(now);
            if let Some(ElectionEvent::Lost(why)) = self.election.check(&self.state.cache) {
                self.lost(why, now);
            }
            self.send_heartbeat(now);
            let lost = self.state.is_unavailable(now);
            for call in self.election.poll(&self.state.cache, lost, now) {
                self.state.send_election_request(call, now);
            }
            let act = self.may_act(now);
            if act != self.may_act {
                self.may_act = act;
                if self.scheduler.is_some() {
                    tracing::info!(act, "right to act changed");
                }
            }
            if act
                && now >= self.work_at
                && let Some(scheduler) = &mut self.scheduler
            {
                self.work_at = now + TICK_LEAST * 4;
                scheduler.tick(&mut self.state, &mut self.cloud, now);
                self.send_calls(now);
            }
            self.pump_sharing(now);
            self.state.poll(now);
            self.cloud.poll(act && self.scheduler.is_some(), now);
            while let Some(OutgoingRequest { id, request: call }) = self.state.next_request() {
                self.out.push(Effect::State(id, call));
            }
            for (id, call) in self.cloud.out.drain(..) {
                self.out.push(Effect::Cloud(id, call));
            }
            if !self.state.has_events() {
                return;
            }
        }
    }

    /// Shows that this controller lives, where all others know what that means, and looks at the
    /// others' signs.
    fn send_heartbeat(&mut self, now: Instant) {
        let cache = &self.state.cache;
        self.api.promises.look(cache, now);
        self.api.given.look(cache);
        if self.state.layout().format >= FORMAT_HEARTBEAT && cache.loaded {
            let me = &self.settings.platform.host_name;
            let seen = cache.controller_leases.get(me).copied().unwrap_or_default();
            let me = self.heartbeat.key().to_owned();
            self.api.promises.under(me, self.heartbeat.revision());
            let version = self.state.cache.versions.get(&self.settings.platform.host_name);
            if let Some(call) = self.heartbeat.poll(seen, version, now) {
                self.state.send_lease_request(call, now);
            }
        }
        if !self.api.asks.is_empty() {
            self.ask_promises(now);
        }
        // A promise is kept in whatever role workers are answered.
        let promised = self.api.given.news();
        if let Some(scheduler) = self.scheduler.as_mut().filter(|_| !promised.is_empty()) {
            scheduler.on_told_cancelled(&promised, &self.state.cache);
        }
    }

    fn lost(&mut self, why: &'static str, now: Instant) {
        tracing::info!(why, "leadership lost");
        self.scheduler = None;
        self.state.set_leading(false, now);
    }

    fn on_state(&mut self, event: StoreEvent, now: Instant) {
        match event {
            StoreEvent::Loaded => {
                tracing::info!(jobs = self.state.cache.jobs.all.len(), "cache is loaded");
            }
            StoreEvent::JobsChanged(ids) => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.on_jobs(&ids, &self.state.cache, now);
                }
            }
            StoreEvent::Synced(TAKE_OVER) => self.take_over(now),
            StoreEvent::Synced(PROBE) => self.probe_in_flight = false,
            StoreEvent::Synced(ticket) => {
                if let Some(response) = self.api.on_synced(ticket, &mut self.state, now) {
                    self.reply(ticket, response);
                }
            }
            StoreEvent::WriteSettled(WriteOrigin::Operator(ticket), outcome) => {
                self.on_ordered(ticket, outcome);
            }
            StoreEvent::WriteSettled(WriteOrigin::User(ticket), outcome) => {
                let answer = self.api.on_outcome(ticket, outcome, &mut self.state, now);
                if let Some(response) = answer {
                    self.reply(ticket, response);
                }
            }
            StoreEvent::WriteSettled(origin, outcome) => {
                if outcome != WriteOutcome::Committed {
                    tracing::debug!(?origin, ?outcome, "commit failed");
                }
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.on_outcome(&origin, outcome, &mut self.state);
                }
            }
            StoreEvent::ControllerLease { request, sent_at, response } => {
                self.heartbeat.on_response(&request, sent_at, &response, now);
            }
            StoreEvent::Election { request, sent_at, response } => {
                let (calls, event) =
                    self.election.on_response(&request, sent_at, &response, &self.state.cache, now);
                for call in calls {
                    self.state.send_election_request(call, now);
                }
                match event {
                    Some(ElectionEvent::Won(token)) => {
                        tracing::info!(%token, "won the leadership");
                        self.state.set_leading(true, now);
                        self.state.sync_soon(TAKE_OVER);
                    }
                    Some(ElectionEvent::Lost(why)) => self.lost(why, now),
                    None => {}
                }
            }
        }
    }

    /// The cache now holds everything that any predecessor committed.
    fn take_over(&mut self, now: Instant) {
        let Some(token) = self.election.token() else { return };
        let Some(Versioned { value: leader, revision: rev }) = &self.state.cache.leader else {
            return;
        };
        if leader.token != token || self.scheduler.is_some() {
            return;
        }
        if self.state.cache.machine_types.value.is_empty() {
            // Without the catalogue nothing can be judged; it comes from the cloud soon.
            self.state.sync_soon(TAKE_OVER);
            return;
        }
        let cache = &self.state.cache;
        let (settings, wall) = (self.settings.clone(), self.api.wall);
        let mut scheduler = Scheduler::new(token, *rev, settings, cache, wall, now);
        scheduler.on_told_cancelled(&self.api.given.all(), cache);
        tracing::info!(%token, machines = scheduler.machine_count(), "leading");
        self.cloud.begin_leadership(token, now);
        self.scheduler = Some(scheduler);
        self.sharing.lead();
        // The others hold reports back until they hear of it.
        self.tell_sharing(now);
    }
}

mod actor;
mod operator_requests;
mod peer_messages;
mod relayed_heartbeats;
mod worker_heartbeats;

pub use actor::run;

/// Count. Calls to workers under way at the most while a leader of many machines is behind: a call opens a connection
/// and costs several times what an answer to a report does, which carries the same orders some seconds later.
pub const DIRECT_BEHIND: usize = 16;
/// Count. Other controllers that must be there to take a crowded leader's users.
pub const CROWDED_PEERS: usize = 2;
/// How long each of those must have been there: the load balancer does not send users to one that has just
/// started.
pub const CROWDED_PEER_UP: Duration = Duration::from_secs(15);
/// Pause between the leader's messages to each peer.
pub const MESH_EVERY: Duration = Duration::from_millis(500);
/// How long a worker that another controller sends to the leader takes to report there: PROTOCOL's
/// half second and its connection, with a resend.
pub const REDIRECT_MOST: Duration = Duration::from_millis(1200);
/// PROTOCOL's pause before a worker whose controller doesn't answer tries the next, and its timeout.
pub const WORKER_GIVES_UP: Duration = Duration::from_millis(5000);
/// A leader that has had no report for this long, or half a report interval, gives up if workers
/// report elsewhere; a new one waits as well until those who asked its predecessor give that up.
pub const RESIGN_AFTER: Duration = Duration::from_millis(2000);
/// Longest pause between two looks at everything that depends on time.
pub const TICK_MOST: Duration = Duration::from_millis(200);
/// Shortest such pause.
pub const TICK_LEAST: Duration = Duration::from_millis(10);
/// A process that handled nothing for this long, five of the pauses above, stood still; for as long
/// again what it handles may have waited for it.
pub const STOOD_STILL: Duration = Duration::from_millis(1000);
/// Pause between two lines of counts in the log.
pub const COUNTS_EVERY: Duration = Duration::from_secs(5);
/// Count. Calls to workers that a leader may have under way beyond its own sockets where others make them.
pub const DELIVERIES_MORE: usize = 1000;

#[cfg(test)]
mod tests;

#[cfg(test)]
mod relayed_heartbeats_tests;
