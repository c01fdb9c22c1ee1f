//! Readiness of this controller to serve users, as the health check reports it to the load balancer.

use super::Controller;
use super::peer_table::PeerStatusView;
use crate::ids::ControllerId;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum number of peers able to serve users before a leader sheds its users to them.
const MIN_PEERS_TO_SHED_USERS: usize = 2;
/// Minimum uptime of each of those peers: the load balancer sends no users to a controller that has just started.
const MIN_PEER_UPTIME: Duration = Duration::from_secs(15);

impl Controller {
    /// Returns whether this controller accepts users' requests. One that has lost the store while a peer still reaches
    /// it is not ready, so that users are sent to that peer.
    pub(super) fn is_ready(&self, now: Instant) -> bool {
        let has_lost_store =
            self.store.is_unavailable(now) && self.peers.views().any(|peer| peer.has_store(now));
        let prefers_peers = self.defers_to_peers(now) || self.sheds_users(now);
        self.store.cache.loaded && !has_lost_store && !prefers_peers
    }

    /// Returns whether a leader whose sockets are mostly used by workers leaves users to its peers. This requires
    /// enough peers that can serve users and have been running for a while.
    fn sheds_users(&self, now: Instant) -> bool {
        let can_serve =
            |peer: &&PeerStatusView| peer.has_store(now) && peer.uptime > MIN_PEER_UPTIME;
        self.limits.sheds_users
            && self.peers.views().filter(can_serve).count() >= MIN_PEERS_TO_SHED_USERS
    }

    /// Returns whether an operator has drained this controller and a peer that is not drained reaches the store. That
    /// peer then leads and serves users. The last controller that can serve users continues even if it is drained.
    pub(super) fn defers_to_peers(&self, now: Instant) -> bool {
        let cache = &self.store.cache;
        let is_drained = |name: &ControllerId| cache.is_controller_drained(name);
        !cache.drains.is_empty()
            && is_drained(self.name())
            && self.peers.iter().any(|(name, peer)| peer.has_store(now) && !is_drained(name))
    }
}
