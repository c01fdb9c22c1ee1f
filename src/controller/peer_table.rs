//! What a controller knows of its peers by their status messages.

use crate::ids::{ControllerId, FencingToken};
use crate::leadership::delegation::PEER_UNREACHABLE_AFTER;
use crate::peers::mesh::PeerCapabilities;
use crate::store::STORE_UNAVAILABLE_AFTER;
use foldhash::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The newest status that came straight from a peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerStatusView {
    pub(super) last_heard: Instant,
    pub(super) store_lost: bool,
    pub(super) uptime: Duration,
    pub(super) capabilities: PeerCapabilities,
}

impl PeerStatusView {
    pub(super) fn is_heard_within(&self, period: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < period
    }

    fn is_reachable(&self, now: Instant) -> bool {
        self.is_heard_within(PEER_UNREACHABLE_AFTER, now)
    }

    /// Whether it can serve users: it is there and has the store.
    pub(super) fn has_store(&self, now: Instant) -> bool {
        self.is_heard_within(STORE_UNAVAILABLE_AFTER, now) && !self.store_lost
    }
}

/// A peer that says that it leads.
#[derive(Debug)]
struct AnnouncedLeader {
    token: FencingToken,
    controller: ControllerId,
}

/// The peers that were heard since this process started.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    views: HashMap<ControllerId, PeerStatusView>,
    /// The one with the highest fencing token.
    announced_leader: Option<AnnouncedLeader>,
    /// When a worker last sent its heartbeat to any peer, as far as peers have said.
    last_worker_heartbeat: Option<Instant>,
}

impl PeerTable {
    /// Records a status that came straight from the peer.
    pub(super) fn record_status(&mut self, peer: ControllerId, view: PeerStatusView) {
        self.views.insert(peer, view);
    }

    /// Records that a peer says that it leads.
    pub(super) fn record_leader(&mut self, peer: &ControllerId, token: FencingToken) {
        if self.announced_leader.as_ref().is_none_or(|known| known.token < token) {
            self.announced_leader = Some(AnnouncedLeader { token, controller: peer.clone() });
        }
    }

    /// Records when a worker last sent its heartbeat to a peer.
    pub(super) fn record_worker_heartbeat(&mut self, at: Option<Instant>) {
        self.last_worker_heartbeat = self.last_worker_heartbeat.max(at);
    }

    /// When a worker last sent its heartbeat to any peer.
    pub(super) fn last_worker_heartbeat(&self) -> Option<Instant> {
        self.last_worker_heartbeat
    }

    pub(super) fn get(&self, peer: &ControllerId) -> Option<&PeerStatusView> {
        self.views.get(peer)
    }

    pub(super) fn views(&self) -> impl Iterator<Item = &PeerStatusView> {
        self.views.values()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ControllerId, &PeerStatusView)> {
        self.views.iter()
    }

    /// When the peer was last heard.
    pub(super) fn last_heard(&self, peer: &ControllerId) -> Option<Instant> {
        self.views.get(peer).map(|view| view.last_heard)
    }

    /// Whether the peer was heard a moment ago.
    pub(super) fn is_reachable(&self, peer: &ControllerId, now: Instant) -> bool {
        self.views.get(peer).is_some_and(|view| view.is_reachable(now))
    }

    /// Whether any peer was heard a moment ago.
    pub(super) fn is_any_reachable(&self, now: Instant) -> bool {
        self.views.values().any(|view| view.is_reachable(now))
    }

    /// A later leader than the store has shown (`newest`), which was heard a moment ago.
    pub(super) fn later_leader(&self, newest: FencingToken, now: Instant) -> Option<&ControllerId> {
        let leader = self.announced_leader.as_ref()?;
        (leader.token > newest && self.is_reachable(&leader.controller, now))
            .then_some(&leader.controller)
    }
}
