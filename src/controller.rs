//! One controller: its cores put together, and the actor that carries out what they want done.
//!
//! [`Controller`] is a core itself, without clock or I/O: it is handed [`Event`]s and leaves [`Effect`]s. Its files
//! follow what happens: requests, workers' heartbeats, peers' messages, the store's responses and ticks.

mod actor;
mod cancellations;
mod delegated_answers;
mod error;
mod events;
mod leader;
mod limits;
mod machine_types;
mod operator_requests;
mod peer_messages;
mod peer_requests;
mod peer_table;
mod readiness;
mod relayed_commands;
mod relayed_heartbeats;
mod requests;
mod sharding;
mod stall_detector;
mod store_events;
mod store_relay;
mod ticks;
mod worker_heartbeats;

pub use actor::run;
pub use error::ControllerError;
pub use events::{Effect, Event, FIRST_TICKET};
pub use ticks::{STATUS_INTERVAL, TICK_MAX};

use crate::api::Api;
use crate::clock::WallClock;
use crate::cloud::{CloudClient, CloudEvent};
use crate::http::Response;
use crate::ids::ControllerId;
use crate::leadership::controller_lease::ControllerLease;
use crate::leadership::delegation::DelegatedLease;
use crate::leadership::election::Election;
use crate::peers::mesh::{ChunkAssembler, PeerMessage};
use crate::peers::message_route::MessageRoute;
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::store::{OutgoingRequest, StoreClient};
use crate::workers::command_delivery::CompletedCall;
use foldhash::HashMap;
use limits::ResourceLimits;
use peer_requests::PeerRequests;
use peer_table::PeerTable;
use sharding::HeartbeatSharding;
use stall_detector::StallDetector;
use std::sync::Arc;
use std::time::Duration;
use ticks::Schedule;
use tokio::time::Instant;

/// A controller's cores, and what it knows beside them.
pub struct Controller {
    settings: Arc<Settings>,
    /// The client of the store, with the cache of its keys.
    pub store: StoreClient,
    election: Election,
    cloud: CloudClient,
    /// The leader's scheduler; none in a follower.
    pub scheduler: Option<Scheduler>,
    api: Api,
    peers: PeerTable,
    peer_requests: PeerRequests,
    delegated_lease: DelegatedLease,
    controller_lease: ControllerLease,
    /// Messages by way of the store of which some chunks have come.
    chunks: HashMap<ControllerId, ChunkAssembler>,
    sharding: HeartbeatSharding,
    limits: ResourceLimits,
    stalls: StallDetector,
    schedule: Schedule,
    started_at: Instant,
    /// When a worker last sent its heartbeat here.
    last_worker_heartbeat: Option<Instant>,
    /// Whether this controller held leadership when it last looked.
    held_leadership: bool,
    /// The cluster's version that was last logged.
    logged_format: Option<u32>,
    is_probing_store: bool,
    /// What this controller wants done.
    pub out: Vec<Effect>,
}

impl Controller {
    /// A follower that has read nothing yet. The `seed` decides on its random delays and first message numbers.
    pub fn new(
        settings: Arc<Settings>,
        seed: u64,
        wall: WallClock,
    ) -> Result<Controller, ControllerError> {
        let platform = &settings.platform;
        let now = wall.at;
        let others = platform.others.iter().map(|peer| peer.host_name.clone());
        let names = std::iter::once(platform.host_name.clone()).chain(others).collect();
        // Responses to an earlier incarnation of this process match no message of this one.
        let first_number = seed >> 2;
        let api = Api::new(settings.clone(), wall).map_err(ControllerError::LatencyHistogram)?;
        Ok(Controller {
            store: StoreClient::new(platform.params.state.effective(), names, seed, now),
            election: Election::new(platform.host_name.clone(), platform.others.len(), seed, now),
            cloud: CloudClient::new(platform.params.cloud.rps, now),
            scheduler: None,
            api,
            peers: PeerTable::default(),
            peer_requests: PeerRequests::new(first_number),
            delegated_lease: DelegatedLease::default(),
            controller_lease: ControllerLease::new(&platform.host_name, now),
            chunks: HashMap::default(),
            sharding: HeartbeatSharding::new(first_number, &settings),
            limits: ResourceLimits::new(&platform.params.resources, now),
            stalls: StallDetector::new(now),
            schedule: Schedule::new(now),
            started_at: now,
            last_worker_heartbeat: None,
            held_leadership: false,
            logged_format: None,
            is_probing_store: false,
            out: Vec::new(),
            settings,
        })
    }

    /// Sets the time of day anew, since the monotonic clock drifts.
    pub fn set_wall_clock(&mut self, wall: WallClock) {
        self.api.wall_clock = wall;
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_wall_clock(wall);
        }
    }

    /// Records how long the last event took to handle.
    pub fn record_handling_time(&mut self, took: Duration, now: Instant) {
        self.limits.load.record_event(took);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.record_event_duration(took, now);
        }
    }

    /// Sets how many public connections are open.
    pub fn set_open_connections(&mut self, open: usize) {
        self.limits.open_connections = open;
    }

    /// Handles an event; what is to be done then stands in [`Controller::out`].
    pub fn handle(&mut self, event: Event, now: Instant) {
        self.stalls.record_event(now);
        match event {
            Event::Request { ticket, request } => self.on_request(ticket, &request, now),
            Event::StoreResponse { id, response } => self.store.on_response(id, response, now),
            Event::CloudResponse { id, result } => {
                for event in self.cloud.on_response(id, result, now) {
                    self.on_cloud_event(event, now);
                }
            }
            Event::WorkerResponse { machine, sent, result } => {
                if !self.sharding.forwarded.end(&machine, sent.as_ref(), &result, now) {
                    self.on_worker_response(CompletedCall { machine, commands: sent, result }, now);
                }
            }
            Event::PeerMessage(message) => {
                self.on_peer_message(message, MessageRoute::Direct, now);
            }
            Event::Tick => self.on_tick(now),
        }
        self.advance(now);
    }

    /// Lets the cores act on what has happened until nothing more follows.
    fn advance(&mut self, now: Instant) {
        loop {
            while let Some(event) = self.store.next_event() {
                self.on_store_event(event, now);
            }
            self.receive_relayed_messages(now);
            self.advance_leadership(now);
            let leads = self.holds_leadership(now);
            self.log_leadership(leads);
            if leads {
                self.advance_scheduler(now);
            }
            self.advance_sharding(now);
            self.store.poll(now);
            self.cloud.poll(leads && self.scheduler.is_some(), now);
            self.collect_calls();
            if !self.store.has_events() {
                return;
            }
        }
    }

    /// Takes over what the clients of store and cloud want sent.
    fn collect_calls(&mut self) {
        while let Some(OutgoingRequest { id, request }) = self.store.next_request() {
            self.out.push(Effect::CallStore { id, request });
        }
        let cloud = self.cloud.out.drain(..);
        self.out.extend(cloud.map(|(id, request)| Effect::CallCloud { id, request }));
    }

    fn on_cloud_event(&mut self, event: CloudEvent, now: Instant) {
        if let CloudEvent::MachineTypes(found) = &event {
            self.on_machine_types(found.clone());
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_cloud(event, &self.store.cache, now);
        }
    }

    /// The end of a call to a worker, made here or by a peer.
    fn on_worker_response(&mut self, call: CompletedCall, now: Instant) {
        let CompletedCall { machine, commands, result } = call;
        let Some(scheduler) = &mut self.scheduler else { return };
        if commands.as_ref().is_some_and(|commands| commands.token != scheduler.token()) {
            return;
        }
        if !scheduler.on_worker_response(
            &machine,
            commands.as_ref(),
            result,
            &self.store.cache,
            now,
        ) {
            tracing::info!(%machine, "a worker has seen a higher fencing token");
            self.resign(now);
        }
    }

    fn respond(&mut self, ticket: u64, response: Response) {
        self.out.push(Effect::Respond { ticket, response });
    }

    /// Sends a message over the connection to a peer.
    fn send_to_peer(&mut self, to: ControllerId, message: PeerMessage) {
        self.out.push(Effect::SendToPeer { to, message });
    }

    /// The name of this controller.
    fn name(&self) -> &ControllerId {
        &self.settings.platform.host_name
    }
}

/// Milliseconds that have passed since then.
fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

#[cfg(test)]
mod tests;
