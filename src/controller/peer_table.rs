//! State of the peers, from their status messages.

use crate::ids::{ControllerId, FencingToken};
use crate::leadership::delegation::PEER_UNREACHABLE_AFTER;
use crate::peers::mesh::PeerCapabilities;
use crate::store::STORE_UNAVAILABLE_AFTER;
use foldhash::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Newest status that a peer sent directly.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerStatusView {
    pub(super) last_heard: Instant,
    pub(super) store_lost: bool,
    pub(super) uptime: Duration,
    pub(super) capabilities: PeerCapabilities,
}

impl PeerStatusView {
    pub(super) fn was_heard_within(&self, period: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < period
    }

    fn is_reachable(&self, now: Instant) -> bool {
        self.was_heard_within(PEER_UNREACHABLE_AFTER, now)
    }

    /// Returns whether the peer can serve users, that is, was recently heard and reaches the store.
    pub(super) fn has_store(&self, now: Instant) -> bool {
        self.was_heard_within(STORE_UNAVAILABLE_AFTER, now) && !self.store_lost
    }
}

/// A peer that announces its leadership.
#[derive(Debug)]
struct AnnouncedLeader {
    token: FencingToken,
    controller: ControllerId,
}

/// Peers that were heard since this process started.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    views: HashMap<ControllerId, PeerStatusView>,
    /// Announced leader with the highest fencing token.
    announced_leader: Option<AnnouncedLeader>,
    /// Time at which a peer last received a worker's heartbeat, according to the peers' status messages.
    last_worker_heartbeat: Option<Instant>,
}

impl PeerTable {
    /// Records a status that the peer sent directly.
    pub(super) fn record_status(&mut self, peer: ControllerId, view: PeerStatusView) {
        self.views.insert(peer, view);
    }

    /// Records that a peer announces its leadership under a fencing token.
    pub(super) fn record_leader(&mut self, peer: &ControllerId, token: FencingToken) {
        if self.announced_leader.as_ref().is_none_or(|known| known.token < token) {
            self.announced_leader = Some(AnnouncedLeader { token, controller: peer.clone() });
        }
    }

    /// Records the time at which a peer last received a worker's heartbeat.
    pub(super) fn record_worker_heartbeat(&mut self, at: Option<Instant>) {
        self.last_worker_heartbeat = self.last_worker_heartbeat.max(at);
    }

    /// Returns the latest time at which any peer received a worker's heartbeat.
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

    /// Returns the time of the last status that the peer sent directly.
    pub(super) fn last_heard(&self, peer: &ControllerId) -> Option<Instant> {
        self.views.get(peer).map(|view| view.last_heard)
    }

    /// Returns whether the peer was heard within [`PEER_UNREACHABLE_AFTER`].
    pub(super) fn is_reachable(&self, peer: &ControllerId, now: Instant) -> bool {
        self.views.get(peer).is_some_and(|view| view.is_reachable(now))
    }

    /// Returns whether any peer was heard within [`PEER_UNREACHABLE_AFTER`].
    pub(super) fn is_any_peer_reachable(&self, now: Instant) -> bool {
        self.views.values().any(|view| view.is_reachable(now))
    }

    /// Returns the announced leader if it is reachable and its token exceeds `stored_token`, the newest from the store.
    pub(super) fn later_leader(
        &self,
        stored_token: FencingToken,
        now: Instant,
    ) -> Option<&ControllerId> {
        let leader = self.announced_leader.as_ref()?;
        (leader.token > stored_token && self.is_reachable(&leader.controller, now))
            .then_some(&leader.controller)
    }
}
