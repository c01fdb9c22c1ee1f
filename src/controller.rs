//! One controller of the cluster: the state machine that combines all components, and the actor that performs its I/O.
//!
//! [`Controller`] has no clock and does no I/O: it handles [`Event`]s and queues [`Effect`]s for the actor. The
//! submodules are divided by source of event: requests, workers' heartbeats, peers' messages, store responses, ticks.

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

/// The state machine of a controller: its components and the state they share.
pub struct Controller {
    settings: Arc<Settings>,
    /// Client of the store, with the cache of the store's keys.
    pub store: StoreClient,
    election: Election,
    cloud: CloudClient,
    /// Scheduler of the leader; `None` in a follower.
    pub scheduler: Option<Scheduler>,
    api: Api,
    peers: PeerTable,
    peer_requests: PeerRequests,
    delegated_lease: DelegatedLease,
    controller_lease: ControllerLease,
    /// Partly received messages that peers send through the store in chunks, by sender.
    chunks: HashMap<ControllerId, ChunkAssembler>,
    sharding: HeartbeatSharding,
    limits: ResourceLimits,
    stalls: StallDetector,
    schedule: Schedule,
    started_at: Instant,
    /// Time of the last heartbeat that a worker sent directly to this controller.
    last_worker_heartbeat: Option<Instant>,
    /// Leadership state that was last logged.
    logged_leadership: bool,
    /// Cluster version that was last logged.
    logged_format: Option<u32>,
    is_probing_store: bool,
    /// Effects that the actor has not executed yet.
    pub effects: Vec<Effect>,
}

impl Controller {
    /// Creates a follower with an empty cache. The `seed` determines its random delays and first message numbers.
    pub fn new(
        settings: Arc<Settings>,
        seed: u64,
        wall: WallClock,
    ) -> Result<Controller, ControllerError> {
        let platform = &settings.platform;
        let now = wall.at;
        let others = platform.others.iter().map(|peer| peer.host_name.clone());
        let names = std::iter::once(platform.host_name.clone()).chain(others).collect();
        // Starts at a random number, so that late responses to an earlier incarnation of this process match no message.
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
            logged_leadership: false,
            logged_format: None,
            is_probing_store: false,
            effects: Vec::new(),
            settings,
        })
    }

    /// Updates the mapping from the monotonic clock to the time of day, since the two drift apart.
    pub fn set_wall_clock(&mut self, wall: WallClock) {
        self.api.wall_clock = wall;
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_wall_clock(wall);
        }
    }

    /// Records the handling time of the last event.
    pub fn record_handling_time(&mut self, took: Duration, now: Instant) {
        self.limits.load.record_event(took);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.record_event_duration(took, now);
        }
    }

    /// Sets the number of open public connections.
    pub fn set_open_connections(&mut self, open: usize) {
        self.limits.open_connections = open;
    }

    /// Handles an event and appends the resulting effects to [`Controller::effects`].
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

    /// Runs all components until no store event is left to process.
    fn advance(&mut self, now: Instant) {
        loop {
            while let Some(event) = self.store.next_event() {
                self.on_store_event(event, now);
            }
            self.receive_relayed_messages(now);
            self.advance_leadership(now);
            let is_leader = self.holds_leadership(now);
            self.log_leadership(is_leader);
            if is_leader {
                self.advance_scheduler(now);
            }
            self.advance_sharding(now);
            self.store.poll(now);
            self.cloud.poll(is_leader && self.scheduler.is_some(), now);
            self.collect_calls();
            if !self.store.has_events() {
                return;
            }
        }
    }

    /// Moves the outgoing requests of the store and cloud clients to the effects.
    fn collect_calls(&mut self) {
        while let Some(OutgoingRequest { id, request }) = self.store.next_request() {
            self.effects.push(Effect::CallStore { id, request });
        }
        let cloud = self.cloud.out.drain(..);
        self.effects.extend(cloud.map(|(id, request)| Effect::CallCloud { id, request }));
    }

    fn on_cloud_event(&mut self, event: CloudEvent, now: Instant) {
        if let CloudEvent::MachineTypes(machine_types) = &event {
            self.on_machine_types(machine_types.clone());
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_cloud(event, &self.store.cache, now);
        }
    }

    /// Handles the result of a direct call to a worker, made by this controller or by a peer.
    fn on_worker_response(&mut self, call: CompletedCall, now: Instant) {
        let CompletedCall { machine, commands, result } = call;
        let Some(scheduler) = &mut self.scheduler else { return };
        let leader = scheduler.token();
        if commands.as_ref().is_some_and(|commands| !commands.token.is_of_leader(leader)) {
            return;
        }
        if !scheduler.on_worker_response(
            &machine,
            commands.as_ref(),
            result,
            &self.store.cache,
            now,
        ) {
            tracing::info!(%machine, "worker has seen a higher fencing token, resigning");
            self.resign(now);
        }
    }

    fn respond(&mut self, ticket: u64, response: Response) {
        self.effects.push(Effect::Respond { ticket, response });
    }

    /// Queues a message for the direct connection to a peer.
    fn send_to_peer(&mut self, to: ControllerId, message: PeerMessage) {
        self.effects.push(Effect::SendToPeer { to, message });
    }

    fn name(&self) -> &ControllerId {
        &self.settings.platform.host_name
    }
}

/// Returns the milliseconds from `at` to `now`; 0 if `at` is later.
fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

#[cfg(test)]
mod tests;
