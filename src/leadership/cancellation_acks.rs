//! Acknowledgements of cancellations, which every controller that may answer workers gives before the commit.
//!
//! A cancellation is committed only under preconditions on the lease key of each other controller
//! ([`controller_lease`](crate::leadership::controller_lease)). Either that controller acknowledged the cancellation
//! under just this key, and stops the job wherever it answers workers. Or it has no key, and had none for so long
//! that nothing it answered can outlive the time in which a cancelled job must be gone. The proof is in
//! `docs/design.md`, "A cut-off zone".

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

/// Kept between the last answer that a follower gives without news of the store and the time by which a cancelled
/// task must be gone.
pub const CANCELLATION_MARGIN: Duration = Duration::from_millis(1500);
/// An acknowledgement that comes later than this after its request counts for nothing.
const ACK_EXPIRY: Duration = Duration::from_secs(10);

/// Why a cancellation can't be committed yet.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CancellationBlocked {
    /// These controllers can be expected to acknowledge it.
    #[error("{} controllers have not acknowledged the cancellation", .0.len())]
    AwaitingAcks(Vec<ControllerId>),
    /// A controller is out of the store's reach, and its quarantine lasts longer than a user waits.
    #[error("a controller without a lease may still answer workers")]
    InQuarantine,
}

/// What is known of another controller's lease key.
#[derive(Debug, Clone, Copy)]
struct ObservedLease {
    revision: Option<Revision>,
    /// It has been so from then on, or longer.
    since: Instant,
}

/// An acknowledgement by one controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ack {
    /// The revision of the controller's lease key.
    lease_revision: Revision,
    requested_at: Instant,
}

/// A request for acknowledgements, by its number.
#[derive(Debug)]
struct AckRequest {
    seq: u64,
    at: Instant,
}

/// Where a job may have tasks, as the leader with that leader key said. The leader acknowledged the cancellation as
/// well and starts no more of them.
#[derive(Debug)]
struct JobZones {
    leader_revision: Revision,
    zones: Vec<String>,
}

/// What the other controllers acknowledged, and which of them may be answering workers without news of the store.
#[derive(Debug)]
pub struct CancellationAcks {
    peers: Vec<ControllerId>,
    /// This controller's own lease key: what an earlier incarnation sent must not be applied once a later one, which
    /// doesn't know of it, answers workers.
    own_lease: Option<Precondition>,
    observed: HashMap<ControllerId, ObservedLease>,
    acks: BTreeMap<JobId, BTreeMap<ControllerId, Ack>>,
    requests: VecDeque<AckRequest>,
    job_zones: BTreeMap<JobId, JobZones>,
    /// For so long after a controller's key is gone, tasks may live that only this controller knows of.
    quarantine: Duration,
}

/// What a peer's lease means for a cancellation.
enum PeerState {
    /// Nothing that it answers can outlive the cancellation.
    Safe,
    /// It holds its lease and has not acknowledged yet.
    AckMissing,
    /// It lost its lease a short while ago.
    InQuarantine,
}

impl CancellationAcks {
    /// Those of a process that knows nothing of its peers yet. Workers stop `lease_s` seconds after their last
    /// answer; a cancelled job has `cancel_s` seconds to be gone.
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

    /// Adds this controller's own lease to the preconditions, once all controllers keep one.
    pub fn set_own_lease(&mut self, lease: &ControllerLease) {
        self.own_lease = Some(Precondition { key: lease.key().to_owned(), rev: lease.revision() });
    }

    /// Takes in what the cache says of the peers' leases, and forgets jobs that are finished.
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
                // A version before the leases never had one, nor answers workers without news.
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

    /// A request for acknowledgements goes out with this number.
    pub fn record_request(&mut self, seq: u64, now: Instant) {
        self.requests.push_back(AckRequest { seq, at: now });
        while self.requests.front().is_some_and(|oldest| now > oldest.at + ACK_EXPIRY) {
            self.requests.pop_front();
        }
    }

    /// A controller acknowledges a request, under this revision of its lease key. A response that the network held
    /// back for long counts for nothing.
    pub fn record_ack(
        &mut self,
        from: &ControllerId,
        seq: u64,
        lease_revision: Revision,
        jobs: &[JobId],
    ) {
        let Some(request) = self.requests.iter().find(|request| request.seq == seq) else { return };
        let ack = Ack { lease_revision, requested_at: request.at };
        for id in jobs {
            let acks = self.acks.entry(id.clone()).or_default();
            let newest = acks.entry(from.clone()).or_insert(ack);
            *newest = (*newest).max(ack);
        }
    }

    /// The leader with that leader key says in which zones a job may have tasks.
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

    /// Whether the leader has said where the job may have tasks, so that it can say no more.
    pub fn knows_zones(&self, id: &JobId) -> bool {
        self.job_zones.contains_key(id)
    }

    /// The preconditions of the job's cancellation: for each other controller its lease key, or that it has none.
    /// `zone_of` tells where a controller is.
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
            // Without news of the store it answers the workers of its own zone only, and there the job has none.
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

    /// Where the leader that the cache shows says that the job may have tasks.
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
            // A transaction that is applied late must not take a later absence for this one: a lease in between has
            // written the version key, which never goes away.
            let version = cache.versions.get(peer).map(|version| version.revision);
            revisions.insert(keys::version_key(peer), version.unwrap_or_default());
        }
    }

    fn peer_state(&self, peer: &ControllerId, ack: Option<&Ack>, now: Instant) -> PeerState {
        if let Some(revision) = self.lease_revision(peer) {
            // It acknowledged under this very key, so it knows of the cancellation until the key changes.
            let acknowledged = ack.is_some_and(|ack| ack.lease_revision == revision);
            return if acknowledged { PeerState::Safe } else { PeerState::AckMissing };
        }
        // A controller that acknowledged after its key was gone is the only incarnation that had one; what is started
        // anew knows of all earlier cancellations before it has a key again.
        let is_safe = self.observed.get(peer).is_none_or(|observed| {
            now >= observed.since + self.quarantine
                || ack.is_some_and(|ack| ack.requested_at >= observed.since)
        });
        if is_safe { PeerState::Safe } else { PeerState::InQuarantine }
    }
}

/// How long after a controller's key is gone its answers may keep workers going beyond a cancellation's time: its last
/// renewal was at least a lease's life earlier, it answers workers for [`DELEGATED_LEASE_TTL`] from then, and its last
/// answer lasts for a worker's lease.
fn quarantine(lease_s: f64, cancel_s: f64) -> Duration {
    let answers = DELEGATED_LEASE_TTL.saturating_sub(CONTROLLER_LEASE_TTL).as_secs_f64();
    let lasts = answers + lease_s * (1.0 + MAX_CLOCK_DRIFT) + WORKER_LEASE_MARGIN.as_secs_f64();
    Duration::from_secs_f64((lasts + CANCELLATION_MARGIN.as_secs_f64() - cancel_s).max(0.0))
}

/// Cancellations that this controller acknowledged: it stops these jobs' tasks wherever it answers workers, in
/// whatever role, until the cache shows the jobs finished. A transaction may be applied minutes late.
#[derive(Debug, Default)]
pub struct AcknowledgedCancellations {
    jobs: BTreeSet<JobId>,
    /// Those that the scheduler of this process was not told yet.
    unreported: Vec<JobId>,
}

impl AcknowledgedCancellations {
    /// Adds jobs.
    pub fn acknowledge(&mut self, jobs: &[JobId]) {
        for id in jobs {
            if self.jobs.insert(id.clone()) {
                self.unreported.push(id.clone());
            }
        }
    }

    /// Whether the job's cancellation was acknowledged.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains(id)
    }

    /// All of them, for a leader's scheduler that is created.
    pub fn all(&self) -> Vec<JobId> {
        self.jobs.iter().cloned().collect()
    }

    /// Those added since the last call.
    pub fn take_unreported(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.unreported)
    }

    /// Forgets jobs that the cache shows finished.
    pub fn forget_finished(&mut self, cache: &Cache) {
        // A job that is not known yet was accepted a moment ago.
        self.jobs.retain(|id| cache.jobs.get(id).is_none_or(|job| job.live().is_some()));
    }
}

#[cfg(test)]
mod tests;
