//! Actor that runs a [`Controller`]: it owns the sockets, the timer and the outgoing calls.

mod outgoing_calls;
mod peer_links;
mod request_queue;

use super::{Controller, ControllerError, Effect, Event};
use crate::admission::{RequestClass, SocketBudget, SocketPressure, max_unhandled_requests};
use crate::clock::WallClock;
use crate::http::{self, Incoming, Response};
use crate::peers::mesh::{self, PeerMessage};
use crate::settings::Settings;
use outgoing_calls::{OutgoingCalls, next_completed};
use peer_links::PeerLinks;
use request_queue::{REQUEST_QUEUE_CAPACITY, RequestQueue};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Handling time above which an event is logged. Slow events endanger the leader lease, which lasts only seconds.
const SLOW_EVENT_THRESHOLD: Duration = Duration::from_millis(250);
/// Pause between two readings of the time of day. The monotonic clock drifts from it.
const WALL_CLOCK_INTERVAL: Duration = Duration::from_secs(10);

/// Runs a controller until its task is cancelled.
pub async fn run(settings: Settings) -> Result<(), ControllerError> {
    let mut actor = Actor::start(Arc::new(settings)).await?;
    loop {
        if let Some(event) = actor.next_event().await {
            actor.handle(event);
        }
    }
}

/// A controller with its system resources. Dropping the actor ends its background tasks.
struct Actor {
    controller: Controller,
    sockets: SocketBudget,
    incoming: mpsc::Receiver<Incoming>,
    open_connections: watch::Receiver<usize>,
    requests: RequestQueue,
    peer_messages: mpsc::UnboundedReceiver<PeerMessage>,
    peer_links: PeerLinks,
    calls: OutgoingCalls,
    wall: WallClock,
    tick_at: Instant,
    /// Tasks of the listeners and of the connections to peers.
    _background: JoinSet<()>,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ControllerError> {
    TcpListener::bind(address).await.map_err(|source| ControllerError::Listen { address, source })
}

impl Actor {
    async fn start(settings: Arc<Settings>) -> Result<Actor, ControllerError> {
        let platform = &settings.platform;
        let public = listen(platform.listen).await?;
        let peer_listener = listen(platform.mesh_addr).await?;
        tracing::info!(controller = %platform.host_name, listen = %platform.listen, "started");

        let mut background = JoinSet::new();
        let resources = &platform.params.resources;
        let sockets = SocketBudget::new(resources);
        let (incoming_tx, incoming) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (open_tx, open_connections) = watch::channel(0);
        let unhandled = max_unhandled_requests(resources);
        background.spawn(http::serve(public, sockets.public, unhandled, incoming_tx, open_tx));
        let (peer_tx, peer_messages) = mpsc::unbounded_channel();
        background.spawn(mesh::serve(peer_listener, peer_tx));
        let peer_links = PeerLinks::start(&platform.others, &mut background, Instant::now());
        let calls = OutgoingCalls::start(&platform.external, sockets.outgoing(0).idle);
        let wall = WallClock::read(Instant::now());
        Ok(Actor {
            controller: Controller::new(settings.clone(), rand::random(), wall)?,
            sockets,
            incoming,
            open_connections,
            requests: RequestQueue::new(),
            peer_messages,
            peer_links,
            calls,
            wall,
            tick_at: Instant::now(),
            _background: background,
        })
    }

    /// Waits for the next event. Returns `None` if requests were only queued or rejected.
    ///
    /// Events that maintain leadership are rare and have priority: after a failover, the response to a lease renewal
    /// would otherwise wait behind the responses of hundreds of workers and be handled too late.
    async fn next_event(&mut self) -> Option<Event> {
        tokio::select! {
            biased;
            Some(event) = next_completed(&mut self.calls.store) => Some(event),
            Some(message) = self.peer_messages.recv() => Some(Event::PeerMessage(message)),
            _ = tokio::time::sleep_until(self.tick_at) => Some(Event::Tick),
            event = async {
                tokio::select! {
                    Some(event) = next_completed(&mut self.calls.others) => Some(event),
                    Some(incoming) = self.incoming.recv() => {
                        self.requests.receive(incoming);
                        None
                    }
                    _ = std::future::ready(()), if !self.requests.is_empty() => None,
                }
            } => event.or_else(|| self.next_request()),
        }
    }

    /// Queues all received requests and returns the most important one.
    fn next_request(&mut self) -> Option<Event> {
        let now = Instant::now();
        while let Ok(incoming) = self.incoming.try_recv() {
            self.requests.receive(incoming);
        }
        self.requests.admit(now);
        self.requests.next(now)
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        self.peer_links.log_traffic(now);
        let open = *self.open_connections.borrow();
        self.controller.set_open_connections(open);
        self.calls.set_max_idle(self.sockets.outgoing(open).idle);
        self.read_wall_clock(now);
        let kind = event.kind();
        self.controller.handle(event, now);
        let took = now.elapsed();
        self.controller.record_handling_time(took, now);
        if took > SLOW_EVENT_THRESHOLD {
            tracing::info!(kind, took_ms = took.as_millis() as u64, "slow event");
        }
        let next_tick = self.controller.next_tick(now);
        self.tick_at = if self.tick_at <= now { next_tick } else { self.tick_at.min(next_tick) };
        let mut effects = std::mem::take(&mut self.controller.effects);
        for effect in effects.drain(..) {
            self.execute(effect, open, now);
        }
        // Reuses the allocation.
        self.controller.effects = effects;
    }

    fn read_wall_clock(&mut self, now: Instant) {
        if now >= self.wall.at + WALL_CLOCK_INTERVAL {
            self.wall = WallClock::read(now);
            self.controller.set_wall_clock(self.wall);
        }
    }

    fn execute(&mut self, effect: Effect, open_connections: usize, now: Instant) {
        match effect {
            Effect::Respond { ticket, response } => {
                let pressure = self.sockets.pressure(open_connections);
                self.respond(ticket, response, pressure);
            }
            Effect::SendToPeer { to, message } => self.peer_links.send(&to, message),
            Effect::CallStore { id, request } => self.calls.call_store(id, request, now),
            Effect::CallCloud { id, request } => self.calls.call_cloud(id, &request, now),
            Effect::CallWorker { machine, address, call } => {
                self.calls.call_worker(machine, address, call, now);
            }
        }
    }

    fn respond(&mut self, ticket: u64, mut response: Response, pressure: SocketPressure) {
        let Some(pending) = self.requests.take_pending(ticket) else { return };
        response.close = match pressure {
            SocketPressure::Normal => false,
            SocketPressure::High => pending.class > RequestClass::Critical,
            SocketPressure::Critical => true,
        };
        // Sending fails if the client has closed the connection meanwhile.
        let _ = pending.reply.send(response);
    }
}
