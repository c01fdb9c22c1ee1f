//! Whether this controller is ready to serve users, or leaves them to peers.

use super::Controller;
use super::peer_table::PeerStatusView;
use crate::ids::ControllerId;
use std::time::Duration;
use tokio::time::Instant;

/// Count. Peers that must be able to serve users before a leader sheds its own.
const MIN_PEERS_TO_SHED_USERS: usize = 2;
/// How long each of those must have been running: the load balancer sends no users to one that has just started.
const MIN_PEER_UPTIME: Duration = Duration::from_secs(15);

impl Controller {
    /// Whether requests can be taken. A controller that alone has lost the store is not ready, so that users go where
    /// they are served.
    pub(super) fn is_ready(&self, now: Instant) -> bool {
        let is_cut_off =
            self.store.is_unavailable(now) && self.peers.views().any(|peer| peer.has_store(now));
        let leaves_users = self.defers_to_peers(now) || self.sheds_users(now);
        self.store.cache.loaded && !is_cut_off && !leaves_users
    }

    /// A leader whose sockets are mostly workers' leaves users to its peers, if enough of them have been there for a
    /// while.
    fn sheds_users(&self, now: Instant) -> bool {
        let can_serve =
            |peer: &&PeerStatusView| peer.has_store(now) && peer.uptime > MIN_PEER_UPTIME;
        self.limits.sheds_users
            && self.peers.views().filter(can_serve).count() >= MIN_PEERS_TO_SHED_USERS
    }

    /// Whether an operator has this controller drained and a peer that is not drained has the store: then the peer
    /// leads and users go there. The last controller that can serve goes on, drained or not.
    pub(super) fn defers_to_peers(&self, now: Instant) -> bool {
        let cache = &self.store.cache;
        let is_drained = |name: &ControllerId| cache.is_controller_drained(name);
        !cache.drains.is_empty()
            && is_drained(self.name())
            && self.peers.iter().any(|(name, peer)| peer.has_store(now) && !is_drained(name))
    }
}
