//! The actor around a controller's cores: sockets, timers and calls.

use super::*;
use crate::api::USER_QUEUE_MAX;
use crate::store::TimedRequest;
use crate::workers::command_delivery::WORKER_TIMEOUT;

/// Timeout of the question whether a worker lives.
pub const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a call to the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(4);
/// An event whose handling takes this long is named in the log: the right to act lasts seconds.
pub const SLOW_EVENT: Duration = Duration::from_millis(250);
/// How often the time of day is read again: the steady clock drifts by 0.05% at most.
pub const WALL_EVERY: Duration = Duration::from_secs(10);

/// Runs a controller until the process ends.
pub async fn run(settings: Settings) -> std::io::Result<()> {
    let settings = Arc::new(settings);
    let platform = &settings.platform;
    let public = TcpListener::bind(platform.listen).await?;
    let mesh_listener = TcpListener::bind(platform.mesh_addr).await?;
    tracing::info!(node = %platform.host_name, listen = %platform.listen, "started");

    let (events, mut inbox) = mpsc::unbounded_channel::<Event>();
    let (state_events, mut state_inbox) = mpsc::unbounded_channel::<Event>();
    let (http_tx, mut http_rx) = mpsc::channel::<Incoming>(USER_QUEUE_MAX);
    let sockets = Sockets::new(&platform.params.resources);
    let (count_tx, open) = watch::channel(0usize);
    let together = read_together(&platform.params.resources);
    tokio::spawn(http::serve(public, sockets.public, together, http_tx, count_tx));
    let (mesh_tx, mut mesh_rx) = mpsc::unbounded_channel();
    tokio::spawn(mesh::serve(mesh_listener, mesh_tx));
    let mut dialers: HashMap<ControllerId, mpsc::Sender<PeerMessage>> = HashMap::new();
    let mut traffic = MeshTraffic::new(Instant::now());
    for peer in &platform.others {
        let (tx, rx) = mpsc::channel(32);
        let (shown, written) = watch::channel(mesh::TrafficCounters::default());
        tokio::spawn(mesh::dial(peer.peer_addr, rx, shown));
        traffic.links.push(written);
        dialers.insert(peer.host_name.clone(), tx);
    }
    let mut idle_most = sockets.ours(0).0;
    let always = vec![platform.external.state, platform.external.cloud];
    let client = Client::start(idle_most, always);
    let mut wall = WallClock::read(Instant::now());
    let Some(mut node) = Controller::new(settings.clone(), rand::random(), wall) else {
        return Err(std::io::Error::other("histogram bounds"));
    };
    let mut replies: HashMap<u64, (oneshot::Sender<Response>, Need)> = HashMap::new();
    let mut requests: AdmissionQueue<(u64, Request, OwnedSemaphorePermit)> =
        AdmissionQueue::new(USER_QUEUE_MAX);
    let mut arrived: Vec<Incoming> = Vec::new();
    let mut next_ticket = FIRST_TICKET;
    let mut tick_at = Instant::now();
    loop {
        // What keeps the leadership is few and goes first: behind the answers of hundreds of
        // workers after a take-over, a renewal's came too late and the next take-over began.
        let event = tokio::select! {
            biased;
            Some(event) = state_inbox.recv() => event,
            Some(message) = mesh_rx.recv() => Event::Mesh(message),
            _ = tokio::time::sleep_until(tick_at) => Event::Tick,
            event = async {
                tokio::select! {
                    Some(event) = inbox.recv() => Some(event),
                    Some(incoming) = http_rx.recv() => {
                        arrived.push(incoming);
                        None
                    }
                    _ = std::future::ready(()), if !requests.is_empty() => None,
                }
            } => match event {
                Some(event) => event,
                None => {
                    let now = Instant::now();
                    // All that have come are looked at before one is handled: the most needed goes first.
                    while let Ok(incoming) = http_rx.try_recv() {
                        arrived.push(incoming);
                    }
                    for incoming in arrived.drain(..) {
                        next_ticket += 1;
                        let need = need(&incoming.request);
                        replies.insert(next_ticket, (incoming.reply, need));
                        if let Some((refused, ..)) = requests.push(need, (next_ticket, incoming.request, incoming.turn), now) {
                            refuse(&mut replies, refused, requests.len());
                        }
                    }
                    match requests.pop(now) {
                        Some(((ticket, request, _), false)) => Event::Http(ticket, request),
                        Some(((ticket, ..), true)) => {
                            refuse(&mut replies, ticket, requests.len());
                            continue;
                        }
                        None => continue,
                    }
                }
            },
        };
        let now = Instant::now();
        traffic.log(now);
        let now_open = *open.borrow();
        node.set_open(now_open);
        let idle = sockets.ours(now_open).0;
        if idle != idle_most {
            idle_most = idle;
            client.set_max_idle(idle);
        }
        if now >= wall.at + WALL_EVERY {
            wall = WallClock::read(now);
            node.set_wall(wall);
        }
        let kind = event.kind();
        node.handle(event, now);
        let took = now.elapsed();
        node.took(took, now);
        if took > SLOW_EVENT {
            tracing::info!(kind, took_ms = took.as_millis() as u64, "slow to handle");
        }
        let next = node.next_tick(now);
        tick_at = if tick_at <= now { next } else { tick_at.min(next) };
        for effect in node.out.drain(..) {
            match effect {
                Effect::Reply(ticket, mut response) => {
                    if let Some((reply, need)) = replies.remove(&ticket) {
                        let for_users = need > Need::Keeps && sockets.tight(now_open);
                        response.close = for_users || sockets.full(now_open);
                        let _ = reply.send(response);
                    }
                }
                Effect::Mesh(peer, message) => {
                    if let Some(dialer) = dialers.get(&peer) {
                        let _ = dialer.try_send(message);
                    }
                }
                Effect::State(id, call) => {
                    let (client, events) = (client.clone(), state_events.clone());
                    let address = platform.external.state;
                    tokio::spawn(async move {
                        let TimedRequest { request, timeout } = call.to_http();
                        let result = client.call(address, request, now + timeout).await;
                        let _ = events.send(Event::State(id, call.response(result)));
                    });
                }
                Effect::Cloud(id, call) => {
                    let (client, events) = (client.clone(), events.clone());
                    let address = platform.external.cloud;
                    tokio::spawn(async move {
                        let result =
                            client.call(address, call.request(), now + CLOUD_TIMEOUT).await;
                        let _ = events.send(Event::Cloud(id, result));
                    });
                }
                Effect::DirectCall(machine, address, direct) => {
                    let (client, events) = (client.clone(), events.clone());
                    let within = match direct {
                        DirectCall::Status => STATUS_TIMEOUT,
                        DirectCall::Do(_) => WORKER_TIMEOUT,
                    };
                    tokio::spawn(async move {
                        let event =
                            send_direct(&client, machine, address, direct, now + within).await;
                        let _ = events.send(event);
                    });
                }
            }
        }
    }
}

/// What this controller writes to the others.
struct MeshTraffic {
    links: Vec<watch::Receiver<mesh::TrafficCounters>>,
    told: mesh::TrafficCounters,
    told_at: Instant,
}

impl MeshTraffic {
    fn new(now: Instant) -> MeshTraffic {
        MeshTraffic { links: Vec::new(), told: mesh::TrafficCounters::default(), told_at: now }
    }

    /// Tells the log now and then.
    fn log(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.told_at);
        if passed < COUNTS_EVERY {
            return;
        }
        let mut all = mesh::TrafficCounters::default();
        for link in &self.links {
            let written = *link.borrow();
            all.frames += written.frames;
            all.bytes += written.bytes;
        }
        let rate = |now: u64, before: u64| (now - before) as f64 / passed.as_secs_f64();
        tracing::info!(
            frames_per_s = rate(all.frames, self.told.frames).round(),
            bytes_per_s = rate(all.bytes, self.told.bytes).round(),
            "written to other controllers"
        );
        (self.told, self.told_at) = (all, now);
    }
}

/// Tells somebody whom this process does not get round to when to come back.
fn refuse(
    replies: &mut HashMap<u64, (oneshot::Sender<Response>, Need)>,
    ticket: u64,
    waiting: usize,
) {
    if let Some((reply, _)) = replies.remove(&ticket) {
        let _ = reply.send(Response::later_in(503, come_back_s(waiting, ticket)));
    }
}

async fn send_direct(
    client: &Client,
    machine: MachineId,
    address: SocketAddr,
    direct: DirectCall,
    until: Instant,
) -> Event {
    let (request, sent) = match direct {
        DirectCall::Status => {
            (Request { method: Method::Get, target: "/status".into(), body: Vec::new() }, None)
        }
        DirectCall::Do(orders) => {
            let body = wire::encode(&orders);
            (Request { method: Method::Post, target: "/do".into(), body }, Some(orders))
        }
    };
    let result =
        client.call(address, request, until).await.and_then(|response| match response.status {
            200 | 409 => wire::decode(&response.body).map_err(|_| CallError::Unknown),
            _ => Err(CallError::NotSent),
        });
    Event::DirectCall(machine, sent, result)
}
