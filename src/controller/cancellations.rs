//! Acknowledgement of job cancellations between controllers.

use super::Controller;
use crate::api::Answer;
use crate::ids::{ControllerId, JobId, Revision};
use crate::peers::mesh::PeerMessage;
use crate::peers::message_route::MessageRoute;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// Zones in which jobs may have tasks, according to the leader.
pub(super) struct JobPlacements {
    /// Revision of the leader key, which identifies the leader.
    pub(super) leader_revision: Revision,
    /// Zones of each job, in the order of the acknowledged jobs.
    pub(super) zones: Vec<Vec<String>>,
}

pub(super) struct CancellationAck {
    pub(super) from: ControllerId,
    /// Number of the request that is acknowledged.
    pub(super) seq: u64,
    /// Revision of the peer's controller lease key.
    pub(super) lease_revision: Revision,
    pub(super) jobs: Vec<JobId>,
    /// Present if the peer is the leader.
    pub(super) placements: Option<JobPlacements>,
}

impl Controller {
    /// Requests the acknowledgements that users' cancellations need, and passes the cancellations that this controller
    /// has acknowledged itself to the scheduler.
    pub(super) fn advance_cancellations(&mut self, now: Instant) {
        if !self.api.ack_requests.is_empty() {
            self.request_acks(now);
        }
        let acknowledged = self.api.acknowledged_cancellations.take_unreported();
        if let Some(scheduler) = self.scheduler.as_mut().filter(|_| !acknowledged.is_empty()) {
            scheduler.on_cancellation_acknowledged(&acknowledged, &self.store.cache);
        }
    }

    /// Requests acknowledgements from peers, directly or, if a peer is unreachable, through the store.
    fn request_acks(&mut self, now: Instant) {
        let mut by_peer: BTreeMap<ControllerId, Vec<JobId>> = BTreeMap::new();
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        for (peer, job) in std::mem::take(&mut self.api.ack_requests) {
            jobs.insert(job.clone());
            by_peer.entry(peer).or_default().push(job);
        }
        self.record_own_zones(&jobs, now);
        for (peer, jobs) in by_peer {
            if !self.store.cache.controller_leases.contains_key(&peer) {
                // Without a lease, the peer may be disconnected or run a version that doesn't know the request.
                continue;
            }
            let is_reachable = self.peers.is_reachable(&peer, now);
            let route = if is_reachable { MessageRoute::Direct } else { MessageRoute::Store };
            let seq = self.peer_requests.next_seq();
            self.api.cancellation_acks.record_request(seq, now);
            let from = self.name().clone();
            self.send(&peer, PeerMessage::CancellationRequest { from, seq, jobs }, route);
        }
    }

    /// Records the zones of the jobs' tasks from this controller's own scheduler, if it leads.
    fn record_own_zones(&mut self, jobs: &BTreeSet<JobId>, now: Instant) {
        if !self.holds_leadership(now) {
            return;
        }
        let Some(scheduler) = &self.scheduler else { return };
        let seq = self.peer_requests.next_seq();
        let acks = &mut self.api.cancellation_acks;
        acks.record_request(seq, now);
        for id in jobs {
            let zones = scheduler.zones_of(id, &self.store.cache);
            acks.record_zones(scheduler.leader_revision(), seq, id, zones);
        }
        self.retry_cancellations(now);
    }

    /// Acknowledges cancellations that users requested from a peer. According to PROTOCOL nobody needs a job once its
    /// cancellation is requested, so acknowledging is harmless even if the cancellation is never committed.
    pub(super) fn on_cancellation_request(
        &mut self,
        from: &ControllerId,
        seq: u64,
        jobs: Vec<JobId>,
        route: MessageRoute,
        now: Instant,
    ) {
        self.api.acknowledged_cancellations.acknowledge(&jobs);
        let holds_leadership = self.holds_leadership(now);
        let placements = self.scheduler.as_ref().filter(|_| holds_leadership).map(|scheduler| {
            let zones = jobs.iter().map(|id| scheduler.zones_of(id, &self.store.cache)).collect();
            (scheduler.leader_revision(), zones)
        });
        let own_name = self.name().clone();
        let lease_revision = self.controller_lease.revision();
        self.send(
            from,
            PeerMessage::CancellationAck { from: own_name, seq, lease_revision, jobs, placements },
            route,
        );
    }

    pub(super) fn on_cancellation_ack(&mut self, ack: CancellationAck, now: Instant) {
        let CancellationAck { from, seq, lease_revision, jobs, placements } = ack;
        let acks = &mut self.api.cancellation_acks;
        acks.record_ack(&from, seq, lease_revision, &jobs);
        if let Some(JobPlacements { leader_revision, zones }) = placements {
            for (id, zones) in jobs.iter().zip(zones) {
                acks.record_zones(leader_revision, seq, id, zones);
            }
        }
        self.retry_cancellations(now);
    }

    /// Retries users' cancellations that wait for acknowledgements.
    pub(super) fn retry_cancellations(&mut self, now: Instant) {
        for Answer { ticket, response } in self.api.retry_cancellations(&mut self.store, now) {
            self.respond(ticket, response);
        }
    }
}
