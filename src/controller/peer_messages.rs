//! Handling of peers' messages, received directly or through the store.

use super::Controller;
use super::cancellations::{CancellationAck, JobPlacements};
use super::peer_table::PeerStatusView;
use crate::constants::FORMAT_CONTROLLER_LEASES;
use crate::ids::{ControllerId, FencingToken, JobId, MachineId};
use crate::leadership::delegation::{FollowerStatus, GrantId, GrantedMachines};
use crate::peers::mesh::{PeerCapabilities, PeerMessage};
use crate::peers::message_route::MessageRoute;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of recently cancelled jobs in one lease extension.
const EXTENSION_CANCELLATIONS_MAX: usize = 1000;

/// Decoded status message of a peer.
struct PeerStatus {
    from: ControllerId,
    seq: u64,
    leading: Option<FencingToken>,
    store_lost: bool,
    acknowledged: GrantId,
    uptime: Duration,
    answered_for_leader: Vec<(MachineId, u64)>,
    last_worker_heartbeat: Option<Instant>,
    capabilities: PeerCapabilities,
}

impl Controller {
    pub(super) fn on_peer_message(
        &mut self,
        message: PeerMessage,
        route: MessageRoute,
        now: Instant,
    ) {
        match message {
            PeerMessage::PeerStatus {
                from,
                seq,
                leading,
                store_unavailable,
                acknowledged_grant,
                uptime_ms,
                answered_for_leader,
                last_heartbeat_age_ms,
                capabilities,
            } => {
                let status = PeerStatus {
                    from,
                    seq,
                    leading,
                    store_lost: store_unavailable,
                    acknowledged: acknowledged_grant.into(),
                    uptime: Duration::from_millis(uptime_ms),
                    answered_for_leader,
                    last_worker_heartbeat: last_heartbeat_age_ms
                        .and_then(|ms| now.checked_sub(Duration::from_millis(ms))),
                    capabilities,
                };
                self.on_peer_status(&status, route, now);
            }
            PeerMessage::LeaseExtension { from, seq, token, cancelled } => {
                self.on_lease_extension(&from, seq, token, &cancelled);
            }
            PeerMessage::LeaseGrant { seq, token, number, revoked, delegated } => {
                let machines = GrantedMachines { revoked, delegated };
                self.on_lease_grant(seq, GrantId { token, number }, machines, route, now);
            }
            PeerMessage::CancellationRequest { from, seq, jobs } => {
                self.on_cancellation_request(&from, seq, jobs, route, now);
            }
            PeerMessage::CancellationAck { from, seq, lease_revision, jobs, placements } => {
                let placements = placements
                    .map(|(leader_revision, zones)| JobPlacements { leader_revision, zones });
                let ack = CancellationAck { from, seq, lease_revision, jobs, placements };
                self.on_cancellation_ack(ack, now);
            }
            PeerMessage::RunningTasks { token, counts } => self.on_running_tasks(token, counts),
            PeerMessage::ShardAssignment { from, token, members } => {
                self.on_shard_assignment(from, token, members, now);
            }
            PeerMessage::RelayedHeartbeats { from, token, batch, heartbeats } => {
                self.on_relayed_heartbeats(&from, token, batch, heartbeats, now);
            }
            PeerMessage::HeartbeatResults { token, batch, results } => {
                self.on_heartbeat_results(token, batch, results, now);
            }
            PeerMessage::RelayedCommands { from, token, commands } => {
                self.on_relayed_commands(&from, token, commands, now);
            }
            PeerMessage::CommandResults { token, results } => {
                self.on_command_results(token, results, now);
            }
        }
    }

    fn on_peer_status(&mut self, status: &PeerStatus, route: MessageRoute, now: Instant) {
        self.peers.record_worker_heartbeat(status.last_worker_heartbeat);
        if route == MessageRoute::Direct {
            let view = PeerStatusView {
                last_heard: now,
                store_lost: status.store_lost,
                uptime: status.uptime,
                capabilities: status.capabilities,
            };
            self.peers.record_status(status.from.clone(), view);
        }
        if let Some(token) = status.leading {
            self.peers.record_leader(&status.from, token);
        }
        if self.holds_leadership(now) {
            self.grant_lease(status, route, now);
        }
        if let Some(token) = status.leading
            && route == MessageRoute::Direct
        {
            self.extend_leader_lease(status, token, now);
        }
    }

    /// Grants a follower a delegated lease to answer workers on behalf of this leader.
    fn grant_lease(&mut self, status: &PeerStatus, route: MessageRoute, now: Instant) {
        let Some(scheduler) = &mut self.scheduler else { return };
        let follower = FollowerStatus {
            acknowledged: status.acknowledged,
            uptime: status.uptime,
            answered_for_leader: &status.answered_for_leader,
            route,
        };
        scheduler.delegations.record_status(&status.from, &follower, now);
        if let Some(grant) = scheduler.delegate_leases(&status.from, status.seq, now) {
            self.send(&status.from, grant, route);
        }
    }

    /// Extends a leader's lease, if this controller knows that the lease is still valid.
    fn extend_leader_lease(&mut self, status: &PeerStatus, token: FencingToken, now: Instant) {
        let cache = &self.store.cache;
        // A leader needs no controller lease of its own until all controllers support controller leases.
        let has_controller_lease = self.store.layout().format < FORMAT_CONTROLLER_LEASES
            || cache.controller_leases.contains_key(&status.from);
        if !self.election.extend_lease(token, cache, has_controller_lease, now) {
            return;
        }
        let cancelled = self.api.cancelled.iter().map(|(id, _)| id.clone());
        let extension = PeerMessage::LeaseExtension {
            from: self.name().clone(),
            seq: status.seq,
            token,
            cancelled: cancelled.take(EXTENSION_CANCELLATIONS_MAX).collect(),
        };
        self.send_to_peer(status.from.clone(), extension);
    }

    /// Handles a peer's extension of this leader's lease, with the jobs that the peer confirmed to users as cancelled.
    fn on_lease_extension(
        &mut self,
        from: &ControllerId,
        seq: u64,
        token: FencingToken,
        cancelled: &[JobId],
    ) {
        let Some(requested_at) = self.peer_requests.sent_at(seq) else { return };
        if self.election.token() == Some(token) {
            self.api.acknowledged_cancellations.acknowledge(cancelled);
            self.election.record_extension(from, requested_at);
        }
    }

    /// Handles a delegated lease that the leader grants to this follower.
    fn on_lease_grant(
        &mut self,
        seq: u64,
        id: GrantId,
        machines: GrantedMachines,
        route: MessageRoute,
        now: Instant,
    ) {
        if route == MessageRoute::Store {
            self.sharding.record_store_contact(id.token, now);
        }
        if let Some(requested_at) = self.peer_requests.sent_at(seq) {
            self.delegated_lease.record_grant(id, machines, route, requested_at, now);
        }
    }

    fn on_running_tasks(&mut self, token: FencingToken, counts: Vec<(JobId, u32)>) {
        if token >= self.store.cache.token.value && self.scheduler.is_none() {
            self.api.running = counts.into_iter().collect::<BTreeMap<_, _>>();
        }
    }

    /// Returns the reachable peer that announces leadership under a higher fencing token than the newest in the cache.
    pub(super) fn later_leader(&self, now: Instant) -> Option<&ControllerId> {
        self.peers.later_leader(self.store.cache.token.value, now)
    }

    pub(super) fn send(&mut self, to: &ControllerId, message: PeerMessage, route: MessageRoute) {
        match route {
            MessageRoute::Direct => self.send_to_peer(to.clone(), message),
            MessageRoute::Store => self.send_by_store(to, &message),
        }
    }

    pub(super) fn broadcast(&mut self, message: &PeerMessage) {
        let peers: Vec<ControllerId> =
            self.settings.platform.others.iter().map(|peer| peer.host_name.clone()).collect();
        for peer in peers {
            self.send_to_peer(peer, message.clone());
        }
    }
}
