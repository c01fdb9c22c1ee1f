//! Connections to peers, and metrics of their traffic.

use crate::controller::ticks::METRICS_INTERVAL;
use crate::ids::ControllerId;
use crate::peers::mesh::{self, PeerMessage, TrafficCounters};
use crate::settings::PeerSettings;
use foldhash::HashMap;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Maximum number of queued messages for one peer; further messages are dropped.
const PEER_QUEUE_CAPACITY: usize = 32;

/// One connection to each peer.
pub(super) struct PeerLinks {
    senders: HashMap<ControllerId, mpsc::Sender<PeerMessage>>,
    traffic: Vec<watch::Receiver<TrafficCounters>>,
    logged: TrafficCounters,
    logged_at: Instant,
}

impl PeerLinks {
    /// Starts the connections to all peers as tasks of `background`.
    pub(super) fn start(
        peers: &[PeerSettings],
        background: &mut JoinSet<()>,
        now: Instant,
    ) -> PeerLinks {
        let mut links = PeerLinks {
            senders: HashMap::default(),
            traffic: Vec::new(),
            logged: TrafficCounters::default(),
            logged_at: now,
        };
        for peer in peers {
            let (sender, messages) = mpsc::channel(PEER_QUEUE_CAPACITY);
            let (counted, traffic) = watch::channel(TrafficCounters::default());
            background.spawn(mesh::dial(peer.peer_addr, messages, counted));
            links.traffic.push(traffic);
            links.senders.insert(peer.host_name.clone(), sender);
        }
        links
    }

    /// Queues a message for a peer. Drops it if the connection is down or the queue is full.
    pub(super) fn send(&self, to: &ControllerId, message: PeerMessage) {
        if let Some(sender) = self.senders.get(to) {
            let _ = sender.try_send(message);
        }
    }

    /// Logs the traffic since the last log entry, if an entry is due.
    pub(super) fn log_traffic(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.logged_at);
        if elapsed < METRICS_INTERVAL {
            return;
        }
        let mut total = TrafficCounters::default();
        for traffic in &self.traffic {
            let written = *traffic.borrow();
            total.frames += written.frames;
            total.bytes += written.bytes;
        }
        let rate = |now: u64, before: u64| (now - before) as f64 / elapsed.as_secs_f64();
        tracing::info!(
            frames_per_s = rate(total.frames, self.logged.frames).round(),
            bytes_per_s = rate(total.bytes, self.logged.bytes).round(),
            "peer traffic"
        );
        self.logged = total;
        self.logged_at = now;
    }
}
