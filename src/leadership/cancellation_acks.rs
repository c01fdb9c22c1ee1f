//! Acknowledgements that every controller that may answer workers gives before a cancellation is committed.
//!
//! A cancellation is committed only under preconditions on the lease key of each other controller
//! ([`controller_lease`](crate::leadership::controller_lease)). One of two conditions must hold. Either that controller
//! acknowledged the cancellation under the current revision of its key, and stops the job's tasks wherever it answers
//! workers. Or it has had no key for a quarantine time, after which no task that it kept running can still run at the
//! deadline of the cancellation. The proof is in `docs/design.md`, "A cut-off zone".

use crate::constants::{
    DELEGATED_LEASE_TTL, FORMAT_CONTROLLER_LEASES, MAX_CLOCK_DRIFT, WORKER_LEASE_MARGIN,
};
use crate::ids::{ControllerId, JobId, Revision};
use crate::leadership::controller_lease::{
    CONTROLLER_LEASE_TTL, ControllerLease, controller_lease_key,
};
use crate::schema::keys;
use crate::store::{Cache, LEADER_KEY};
use crate::wire::Precondition;
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Safety margin between the end of the last worker lease that a follower extends without reading the store and the
/// deadline by which a cancelled task must have stopped.
pub const CANCELLATION_MARGIN: Duration = Duration::from_millis(1500);
/// Time after its request at which an acknowledgement expires and is ignored.
const ACK_EXPIRY: Duration = Duration::from_secs(10);

/// Reason why a cancellation cannot be committed yet.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CancellationBlocked {
    /// These controllers have a lease, so they can be expected to acknowledge, but have not done so yet.
    #[error("{} controllers have not acknowledged the cancellation", .0.len())]
    AwaitingAcks(Vec<ControllerId>),
    /// A controller lost its lease and is in quarantine, which normally lasts longer than a user's request may wait.
    #[error("a controller without a lease may still answer workers")]
    InQuarantine,
}

/// State of another controller's lease key as last seen in the cache.
#[derive(Debug, Clone, Copy)]
struct ObservedLease {
    revision: Option<Revision>,
    /// Time at which this state was first observed; the state itself may be older.
    since: Instant,
}

/// An acknowledgement by one controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ack {
    /// Revision of the controller's lease key under which it acknowledged.
    lease_revision: Revision,
    requested_at: Instant,
}

/// Request for acknowledgements that was sent to the peers.
#[derive(Debug)]
struct AckRequest {
    seq: u64,
    sent_at: Instant,
}

/// Zones in which a job may have tasks, as reported by the leader whose leader key has this revision. That leader has
/// acknowledged the cancellation as well and starts no more tasks of the job.
#[derive(Debug)]
struct JobZones {
    leader_revision: Revision,
    zones: Vec<String>,
}

/// Acknowledgements of the other controllers, and the state of those that may answer workers without reading the store.
#[derive(Debug)]
pub struct CancellationAcks {
    peers: Vec<ControllerId>,
    /// Precondition on this controller's own lease key. After a restart, the process does not know which cancellations
    /// it sent before. None of them may be applied once it answers workers again.
    own_lease: Option<Precondition>,
    observed: HashMap<ControllerId, ObservedLease>,
    acks: BTreeMap<JobId, BTreeMap<ControllerId, Ack>>,
    requests: VecDeque<AckRequest>,
    job_zones: BTreeMap<JobId, JobZones>,
    /// Time after the removal of a controller's key during which tasks that only this controller knows of may run
    /// beyond the deadline of a cancellation.
    quarantine: Duration,
}

/// State of a peer with regard to one cancellation.
enum PeerState {
    /// No task that the peer keeps running can run beyond the deadline of the cancellation.
    Safe,
    /// The peer has a lease and has not acknowledged the cancellation yet.
    AckMissing,
    /// The peer lost its lease less than the quarantine time ago.
    InQuarantine,
}

impl CancellationAcks {
    /// Creates the state of a process that knows nothing about its peers yet. Workers stop their tasks `lease_s`
    /// seconds after the last answer to their heartbeats; the tasks of a cancelled job must stop in `cancel_s` seconds.
    pub fn new(peers: Vec<ControllerId>, lease_s: f64, cancel_s: f64) -> CancellationAcks {
        CancellationAcks {
            peers,
            own_lease: None,
            observed: HashMap::default(),
            acks: BTreeMap::new(),
            requests: VecDeque::new(),
            job_zones: BTreeMap::new(),
            quarantine: quarantine(lease_s, cancel_s),
        }
    }

    /// Adds this controller's own lease to the preconditions. Called once all controllers maintain a lease.
    pub fn set_own_lease(&mut self, lease: &ControllerLease) {
        self.own_lease = Some(Precondition { key: lease.key().to_owned(), rev: lease.revision() });
    }

    /// Updates the observed leases of the peers from the cache, and removes finished jobs.
    pub fn observe(&mut self, cache: &Cache, now: Instant) {
        if !cache.loaded {
            return;
        }
        for peer in &self.peers {
            let revision = cache.controller_leases.get(peer).copied();
            let format = cache.versions.get(peer).map_or(0, |version| version.value.format);
            match self.observed.get_mut(peer) {
                Some(observed) if observed.revision == revision => {}
                Some(observed) => *observed = ObservedLease { revision, since: now },
                // A controller whose version does not support controller leases never had one, and never answers
                // workers without reading the store.
                None if revision.is_none() && format < FORMAT_CONTROLLER_LEASES => {}
                None => {
                    self.observed.insert(peer.clone(), ObservedLease { revision, since: now });
                }
            }
        }
        let is_live = |id: &JobId| cache.jobs.get(id).is_some_and(|job| job.live().is_some());
        self.acks.retain(|id, _| is_live(id));
        self.job_zones.retain(|id, _| is_live(id));
    }

    /// Records that a request for acknowledgements with this sequence number is sent, and drops expired requests.
    pub fn record_request(&mut self, seq: u64, now: Instant) {
        self.requests.push_back(AckRequest { seq, sent_at: now });
        while self.requests.front().is_some_and(|oldest| now > oldest.sent_at + ACK_EXPIRY) {
            self.requests.pop_front();
        }
    }

    /// Records that a controller acknowledged a request under this revision of its lease key. Responses to expired
    /// requests, such as those that the network delayed for long, are ignored.
    pub fn record_ack(
        &mut self,
        from: &ControllerId,
        seq: u64,
        lease_revision: Revision,
        jobs: &[JobId],
    ) {
        let Some(request) = self.requests.iter().find(|request| request.seq == seq) else { return };
        let ack = Ack { lease_revision, requested_at: request.sent_at };
        for id in jobs {
            let acks = self.acks.entry(id.clone()).or_default();
            let newest = acks.entry(from.clone()).or_insert(ack);
            *newest = (*newest).max(ack);
        }
    }

    /// Records the zones in which a job may have tasks, as reported by the leader whose leader key has this revision.
    pub fn record_zones(
        &mut self,
        leader_revision: Revision,
        seq: u64,
        id: &JobId,
        zones: Vec<String>,
    ) {
        if self.requests.iter().any(|request| request.seq == seq) {
            self.job_zones.insert(id.clone(), JobZones { leader_revision, zones });
        }
    }

    /// Returns whether a leader has reported the zones in which the job may have tasks, so that it need not be asked
    /// again.
    pub fn has_reported_zones(&self, id: &JobId) -> bool {
        self.job_zones.contains_key(id)
    }

    /// Returns the preconditions of the job's cancellation: for each other controller, the revision of its lease key,
    /// or that it has none. `zone_of` returns the zone of a controller.
    pub fn preconditions(
        &self,
        id: &JobId,
        cache: &Cache,
        zone_of: impl Fn(&ControllerId) -> Option<String>,
        now: Instant,
    ) -> Result<Vec<Precondition>, CancellationBlocked> {
        let mut revisions: BTreeMap<String, Revision> = BTreeMap::new();
        let mut awaited = Vec::new();
        let mut in_quarantine = false;
        let acks = self.acks.get(id);
        let job_zones = self.current_zones(id, cache);
        for peer in &self.peers {
            self.add_lease_preconditions(peer, cache, &mut revisions);
            let state = self.peer_state(peer, acks.and_then(|acks| acks.get(peer)), now);
            if matches!(state, PeerState::Safe) {
                continue;
            }
            // Without reading the store, the peer answers only workers of its own zone, and the job has no tasks there.
            if let (Some(job), Some(zone)) = (job_zones, zone_of(peer))
                && !job.zones.contains(&zone)
            {
                revisions.insert(LEADER_KEY.into(), job.leader_revision);
                continue;
            }
            match state {
                PeerState::AckMissing => awaited.push(peer.clone()),
                _ => in_quarantine = true,
            }
        }
        if in_quarantine {
            return Err(CancellationBlocked::InQuarantine);
        }
        if !awaited.is_empty() {
            return Err(CancellationBlocked::AwaitingAcks(awaited));
        }
        let preconditions = revisions.into_iter().map(|(key, rev)| Precondition { key, rev });
        Ok(preconditions.chain(self.own_lease.clone()).collect())
    }

    /// Returns the zones in which the job may have tasks if the leader that reported them is the one in the cache.
    fn current_zones(&self, id: &JobId, cache: &Cache) -> Option<&JobZones> {
        let leader_revision = cache.leader.as_ref()?.revision;
        self.job_zones.get(id).filter(|zones| zones.leader_revision == leader_revision)
    }

    fn lease_revision(&self, peer: &ControllerId) -> Option<Revision> {
        self.observed.get(peer).and_then(|observed| observed.revision)
    }

    fn add_lease_preconditions(
        &self,
        peer: &ControllerId,
        cache: &Cache,
        revisions: &mut BTreeMap<String, Revision>,
    ) {
        let lease_revision = self.lease_revision(peer);
        revisions.insert(controller_lease_key(peer), lease_revision.unwrap_or_default());
        if lease_revision.is_none() {
            // A transaction that is applied late must not mistake a later absence of the lease for this one. Any lease
            // in between has rewritten the version key, which no controller removes.
            let version = cache.versions.get(peer).map(|version| version.revision);
            revisions.insert(keys::version_key(peer), version.unwrap_or_default());
        }
    }

    fn peer_state(&self, peer: &ControllerId, ack: Option<&Ack>, now: Instant) -> PeerState {
        if let Some(revision) = self.lease_revision(peer) {
            // A peer that acknowledged under this revision knows of the cancellation until its key changes.
            let acknowledged = ack.is_some_and(|ack| ack.lease_revision == revision);
            return if acknowledged { PeerState::Safe } else { PeerState::AckMissing };
        }
        // If a controller acknowledged after its key was removed, only the acknowledging process can still answer
        // workers under that key. A process that starts later learns of all earlier cancellations before it answers
        // workers.
        let is_safe = self.observed.get(peer).is_none_or(|observed| {
            now >= observed.since + self.quarantine
                || ack.is_some_and(|ack| ack.requested_at >= observed.since)
        });
        if is_safe { PeerState::Safe } else { PeerState::InQuarantine }
    }
}

/// Returns the time after the removal of a controller's key during which its answers may keep tasks running beyond the
/// deadline of a cancellation. The controller's last renewal was at least [`CONTROLLER_LEASE_TTL`] before the removal,
/// it answers workers for [`DELEGATED_LEASE_TTL`] from that renewal on, and its last answer lasts for a worker's lease.
fn quarantine(lease_s: f64, cancel_s: f64) -> Duration {
    let answering_s = DELEGATED_LEASE_TTL.saturating_sub(CONTROLLER_LEASE_TTL).as_secs_f64();
    let tasks_running_s =
        answering_s + lease_s * (1.0 + MAX_CLOCK_DRIFT) + WORKER_LEASE_MARGIN.as_secs_f64();
    Duration::from_secs_f64(
        (tasks_running_s + CANCELLATION_MARGIN.as_secs_f64() - cancel_s).max(0.0),
    )
}

/// Cancellations that this controller acknowledged. It stops the tasks of these jobs wherever it answers workers, in
/// any role, until the cache shows the jobs as finished. This may take minutes, since a transaction may be
/// applied that late.
#[derive(Debug, Default)]
pub struct AcknowledgedCancellations {
    jobs: BTreeSet<JobId>,
    /// Jobs that have not been reported to the scheduler of this process yet.
    unreported: Vec<JobId>,
}

impl AcknowledgedCancellations {
    /// Records that the cancellations of these jobs were acknowledged.
    pub fn acknowledge(&mut self, jobs: &[JobId]) {
        for id in jobs {
            if self.jobs.insert(id.clone()) {
                self.unreported.push(id.clone());
            }
        }
    }

    /// Returns whether the job's cancellation was acknowledged.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains(id)
    }

    /// Returns all acknowledged cancellations, for the scheduler that a new leader creates.
    pub fn all(&self) -> Vec<JobId> {
        self.jobs.iter().cloned().collect()
    }

    /// Returns the jobs that were added since the last call.
    pub fn take_unreported(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.unreported)
    }

    /// Removes the jobs that the cache shows as finished.
    pub fn forget_finished(&mut self, cache: &Cache) {
        // A job that is not in the cache yet was accepted a moment ago.
        self.jobs.retain(|id| cache.jobs.get(id).is_none_or(|job| job.live().is_some()));
    }
}

#[cfg(test)]
mod tests;
