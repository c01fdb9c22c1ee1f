//! Heartbeats that pass through a follower to the leader, and the results that come back.

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

/// A leader that was not heard for this long and whose key still stands is out of reach of this controller alone: the
/// key outlives its leader by less.
const LEADER_CUT_OFF_AFTER: Duration = Duration::from_millis(4500);
/// For so long after its last message by way of the store a leader counts as alive though it is not heard otherwise.
const STORE_CONTACT_LASTS: Duration = Duration::from_millis(5000);
/// Count. Relayed heartbeats that are remembered for each public socket.
const REMEMBERED_PER_SOCKET: usize = 2;

impl Controller {
    /// A controller that doesn't lead takes a heartbeat: it relays it if the leader allows that, or responds as one
    /// that can't.
    pub(super) fn respond_as_follower(
        &mut self,
        ticket: u64,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Option<Response> {
        let newest = self.store.cache.token.value;
        if self.sharding.relay.members(newest, now).is_some() {
            if let Some(owner) = self.other_owner(&heartbeat, now) {
                return Some(redirect(&owner));
            }
            return self.relay_heartbeat(ticket, heartbeat, now);
        }
        // The leader starts nothing on a worker that it doesn't hear from: who can reach it goes there, as far as it
        // has sockets, and who comes back is kept alive here.
        if let Some(leader) = self.cut_off_leader(now)
            && self.sharding.redirects.try_redirect(&heartbeat.machine, now)
        {
            return Some(redirect(&leader));
        }
        if let Some(commands) = self.answer_for_leader(&heartbeat, now) {
            return Some(Response::with(200, wire::encode(&commands)));
        }
        // The leader has changed, or its last message was lost: its next comes within a second.
        if self.sharding.relay.may_resume(now) && self.scheduler.is_none() {
            return self.relay_heartbeat(ticket, heartbeat, now);
        }
        Some(self.respond_without_leader(&heartbeat, now))
    }

    /// Holds a heartbeat to relay it. One that is too large is responded to as if it could not be relayed.
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

    /// The leader to which heartbeats were relayed, where it is cut off from this controller and not from the store.
    fn cut_off_leader(&self, now: Instant) -> Option<ControllerId> {
        let leader = &self.store.cache.leader.as_ref()?.value;
        let lapsed = self.sharding.relay.time_since_assignment(leader.token, now)?;
        let silence = match self.peers.last_heard(&leader.controller) {
            Some(at) => now.saturating_duration_since(at).min(lapsed),
            None => lapsed,
        };
        let is_alive = self.sharding.has_store_contact(leader.token, STORE_CONTACT_LASTS, now);
        let is_cut_off =
            silence >= if is_alive { ASSIGNMENT_VALIDITY } else { LEADER_CUT_OFF_AFTER };
        let synced_at = self.store.synced_at;
        let is_synced =
            synced_at.is_some_and(|at| now.saturating_duration_since(at) < STORE_UNAVAILABLE_AFTER);
        (is_cut_off && is_synced && !self.store.is_unavailable(now))
            .then(|| leader.controller.clone())
    }

    /// A batch of relayed heartbeats for this leader.
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
        let Some(scheduler) = self.scheduler.as_mut().filter(|found| found.token() == token) else {
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
                tracing::info!(controller = %from, "a worker has seen a higher fencing token");
                self.resign(now);
            }
        }
    }

    /// The leader's results for a batch, by the heartbeats' places in it.
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

    /// Sends what is due of relayed heartbeats and commands, and gives up what is overdue.
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
        self.sharding.relay.evict_beyond(self.limits.sockets.public * REMEMBERED_PER_SOCKET);
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
