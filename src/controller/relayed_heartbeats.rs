//! Heartbeats that a follower relays to the leader, and the results that the leader returns.

use super::Controller;
use super::worker_heartbeats::redirect;
use crate::http::Response;
use crate::ids::{ControllerId, FencingToken};
use crate::peers::heartbeat_relay::{
    ASSIGNMENT_VALIDITY, HeartbeatResult, OversizedHeartbeat, RelayedHeartbeat,
};
use crate::peers::mesh::PeerMessage;
use crate::store::STORE_UNAVAILABLE_AFTER;
use crate::wire::{self, Heartbeat};
use std::time::Duration;
use tokio::time::Instant;

/// Time without contact after which a leader that still has its key in the store is considered alive and unreachable
/// only from this controller. The key of a failed leader expires sooner.
const LEADER_UNREACHABLE_AFTER: Duration = Duration::from_millis(4500);
/// Time since its last message through the store within which a leader counts as alive without direct contact.
const STORE_CONTACT_VALIDITY: Duration = Duration::from_millis(5000);
/// Number of relayed heartbeats that are remembered per public socket.
const REMEMBERED_HEARTBEATS_PER_SOCKET: usize = 2;

impl Controller {
    /// Handles a heartbeat as a follower: relays it if the leader allows that, and otherwise redirects the worker or
    /// responds on behalf of the leader. Returns the response, or `None` if it follows later.
    pub(super) fn respond_as_follower(
        &mut self,
        ticket: u64,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Option<Response> {
        let newest_token = self.store.cache.token.value;
        if self.sharding.relay.members(newest_token, now).is_some() {
            if let Some(owner) = self.redirect_target(&heartbeat, now) {
                return Some(redirect(&owner));
            }
            return self.relay_heartbeat(ticket, heartbeat, now);
        }
        // The leader starts no tasks on a worker whose heartbeats it doesn't receive, so a worker is redirected to a
        // leader that this controller can't reach. If the worker can't reach it either, or the leader has no free
        // socket, the worker returns and its lease is renewed here.
        if let Some(leader) = self.unreachable_leader(now)
            && self.sharding.redirects.try_redirect(&heartbeat.machine, now)
        {
            return Some(redirect(&leader));
        }
        if let Some(commands) = self.answer_for_leader(&heartbeat, now) {
            return Some(Response::with(200, wire::encode(&commands)));
        }
        // Either the leader has changed or its last announcement was lost; the next one comes within a second.
        if self.sharding.relay.may_resume(now) && self.scheduler.is_none() {
            return self.relay_heartbeat(ticket, heartbeat, now);
        }
        Some(self.respond_without_leader(&heartbeat, now))
    }

    /// Queues a heartbeat to be relayed. Responds at once to one that is too large to be relayed.
    fn relay_heartbeat(
        &mut self,
        ticket: u64,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Option<Response> {
        let oversized = self.sharding.relay.accept(ticket, heartbeat, now);
        let OversizedHeartbeat(heartbeat) = oversized.err()?;
        Some(self.respond_without_leader(&heartbeat, now))
    }

    /// Returns the leader to which heartbeats were relayed, if it is unreachable from here but still reaches the store.
    fn unreachable_leader(&self, now: Instant) -> Option<ControllerId> {
        let leader = &self.store.cache.leader.as_ref()?.value;
        let since_assignment = self.sharding.relay.time_since_assignment(leader.token, now)?;
        let silence = match self.peers.last_heard(&leader.controller) {
            Some(at) => now.saturating_duration_since(at).min(since_assignment),
            None => since_assignment,
        };
        let is_alive = self.sharding.has_store_contact(leader.token, STORE_CONTACT_VALIDITY, now);
        let is_unreachable =
            silence >= if is_alive { ASSIGNMENT_VALIDITY } else { LEADER_UNREACHABLE_AFTER };
        let synced_at = self.store.synced_at;
        let is_synced =
            synced_at.is_some_and(|at| now.saturating_duration_since(at) < STORE_UNAVAILABLE_AFTER);
        (is_unreachable && is_synced && !self.store.is_unavailable(now))
            .then(|| leader.controller.clone())
    }

    /// Handles a batch of heartbeats that a follower relays to this leader.
    pub(super) fn on_relayed_heartbeats(
        &mut self,
        from: &ControllerId,
        token: FencingToken,
        batch: u64,
        heartbeats: Vec<RelayedHeartbeat>,
        now: Instant,
    ) {
        if !self.holds_leadership(now) {
            return;
        }
        let Some(scheduler) =
            self.scheduler.as_mut().filter(|scheduler| scheduler.token() == token)
        else {
            return;
        };
        match scheduler.on_relayed_heartbeats(from, heartbeats, &self.store.cache, now) {
            Some(results) => {
                self.send_to_peer(
                    from.clone(),
                    PeerMessage::HeartbeatResults { token, batch, results },
                );
            }
            None => {
                tracing::info!(controller = %from, "worker has seen a higher fencing token, resigning");
                self.resign(now);
            }
        }
    }

    /// Handles the leader's results for a batch, each with the index of its heartbeat in the batch.
    pub(super) fn on_heartbeat_results(
        &mut self,
        token: FencingToken,
        batch: u64,
        results: Vec<(u32, HeartbeatResult)>,
        now: Instant,
    ) {
        for reply in self.sharding.relay.on_results(token, batch, results, now) {
            self.respond(reply.ticket, Response::with(200, wire::encode(&reply.commands)));
        }
    }

    /// Sends due heartbeat batches, commands and results, and responds to workers whose results are overdue.
    pub(super) fn advance_sharding(&mut self, now: Instant) {
        self.send_heartbeat_batches(now);
        for overdue in self.sharding.relay.take_overdue(now) {
            let response = if self.holds_leadership(now) && self.scheduler.is_some() {
                self.respond_as_leader(&overdue.heartbeat, now)
            } else {
                self.respond_without_leader(&overdue.heartbeat, now)
            };
            self.respond(overdue.ticket, response);
        }
        self.sharding
            .relay
            .evict_beyond(self.limits.sockets.public * REMEMBERED_HEARTBEATS_PER_SOCKET);
        self.advance_relayed_commands(now);
    }

    fn send_heartbeat_batches(&mut self, now: Instant) {
        let from = self.name().clone();
        for batch in self.sharding.relay.take_batches(self.store.cache.token.value, now) {
            let message = PeerMessage::RelayedHeartbeats {
                from: from.clone(),
                token: batch.token,
                batch: batch.number,
                heartbeats: batch.heartbeats,
            };
            self.send_to_peer(batch.leader, message);
        }
    }
}

#[cfg(test)]
mod tests;
