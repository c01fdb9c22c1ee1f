//! Leader election: candidacy at the store, the leader lease, and the extension of that lease by peers.
//!
//! A candidate requests a lease from the store and then commits, by compare-and-swap, the leader key (attached to
//! that lease) together with the next fencing token. The leader renews the lease. While the store is unreachable, the
//! leader may continue to lead as long as every other controller extends the lease, that is, agrees not to become a
//! candidate for [`LEASE_EXTENSION`].

use crate::constants::{MAX_CLOCK_DRIFT, RETRY_PAUSE};
use crate::ids::{ControllerId, FencingToken, LeaseId, Revision};
use crate::store::{
    Cache, LEADER_KEY, LeaderRecord, StoreRequest, StoreResponse, TOKEN_KEY, Versioned,
};
use crate::wire::{Precondition, StoreValue, Transaction, Write};
use foldhash::{HashMap, HashMapExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

/// Time to live of the leader lease at the store.
pub const LEADER_LEASE_TTL: Duration = Duration::from_millis(3000);
/// Interval between two renewals of the leader lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Safety margin subtracted from a lease's duration in addition to clock drift, because a packet is sent some time
/// after the lease was checked.
pub const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(400);
/// Time during which a peer that extended the leader lease does not become a candidate. A restarted process waits for
/// the same time before its first candidacy.
pub const LEASE_EXTENSION: Duration = Duration::from_millis(2000);
/// Maximum random delay before a candidacy.
const CANDIDACY_JITTER_MAX: Duration = Duration::from_millis(120);
/// Time for which a drained controller does not become a candidate after it last saw a peer that can lead.
const DRAINED_CANDIDACY_DELAY: Duration = Duration::from_secs(2);
/// Time for which a leader that resigned does not become a candidate.
const RESIGNATION_BACKOFF: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Role {
    Follower,
    /// Has requested a lease for a candidacy.
    RequestingLease,
    /// Has sent the transaction of its candidacy and does not know the outcome yet. In this state the controller
    /// extends no leader's lease, since the transaction may be applied late.
    Candidate {
        lease: LeaseId,
        requested_at: Instant,
        token: FencingToken,
    },
    /// Is revoking the lease of a candidacy whose outcome is unknown. Once the lease is revoked, the transaction can no
    /// longer be applied, and a leader key that it wrote is removed.
    RevokingLease {
        lease: LeaseId,
    },
    Leader {
        lease: LeaseId,
        token: FencingToken,
    },
}

/// Reason why a controller lost its leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LeadershipLoss {
    /// The store has a higher fencing token.
    #[error("another leader has a higher fencing token")]
    Superseded,
    /// The store reports that the leader lease no longer exists.
    #[error("the leadership lease expired")]
    LeaseExpired,
}

/// A change of this controller's role.
#[derive(Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// The controller was elected and leads with this fencing token.
    Won(FencingToken),
    /// The controller lost its leadership.
    Lost(LeadershipLoss),
}

/// Consequences of a response of the store.
#[derive(Debug, Default)]
pub struct ElectionStep {
    /// Requests to send to the store.
    pub requests: Vec<StoreRequest>,
    /// Change of this controller's role, if the response caused one.
    pub event: Option<ElectionEvent>,
}

impl ElectionStep {
    fn request(request: StoreRequest) -> ElectionStep {
        ElectionStep { requests: vec![request], event: None }
    }

    fn event(event: ElectionEvent) -> ElectionStep {
        ElectionStep { requests: Vec::new(), event: Some(event) }
    }
}

/// State machine of one controller in the election.
pub struct Election {
    me: ControllerId,
    peer_count: usize,
    role: Role,
    /// Time until which the leader lease is valid for certain, by this controller's own clock.
    lease_valid_until: Instant,
    renew_at: Instant,
    renewal_in_flight: bool,
    candidacy_at: Instant,
    /// Time until which this controller extended the lease of a leader and so does not become a candidate.
    withhold_candidacy_until: Instant,
    /// Time until which each peer has extended this controller's lease for certain.
    extended_until: HashMap<ControllerId, Instant>,
    random: StdRng,
}

/// Returns the part of a lease's duration, counted from its request, in which the lease is valid in spite of clock
/// drift and delayed packets.
fn guaranteed_validity(duration: Duration) -> Duration {
    duration.mul_f64(1.0 - MAX_CLOCK_DRIFT).saturating_sub(LEASE_SAFETY_MARGIN)
}

impl Election {
    /// Creates a follower. Before a restart this process may have extended a lease that it no longer knows of, so it
    /// does not become a candidate for the duration of such an extension.
    pub fn new(me: ControllerId, peer_count: usize, seed: u64, now: Instant) -> Election {
        Election {
            me,
            peer_count,
            role: Role::Follower,
            lease_valid_until: now,
            renew_at: now,
            renewal_in_flight: false,
            candidacy_at: if peer_count == 0 { now } else { now + LEASE_EXTENSION },
            withhold_candidacy_until: now,
            extended_until: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the fencing token with which this controller leads, or `None` if it is not the leader.
    pub fn token(&self) -> Option<FencingToken> {
        match self.role {
            Role::Leader { token, .. } => Some(token),
            _ => None,
        }
    }

    fn holds_lease(&self, now: Instant) -> bool {
        self.token().is_some() && now < self.lease_valid_until
    }

    /// Returns whether every peer has extended the lease. A controller without peers needs no extension.
    fn is_extended_by_all(&self, now: Instant) -> bool {
        self.token().is_some()
            && self.extended_until.len() == self.peer_count
            && self.extended_until.values().all(|until| now < *until)
    }

    /// Returns whether this controller may act as the leader now. After its lease has expired it needs the extensions
    /// of all peers, and it must know of every cancellation that was committed before.
    pub fn holds_leadership(&self, knows_all_cancellations: bool, now: Instant) -> bool {
        self.holds_lease(now) || (knows_all_cancellations && self.is_extended_by_all(now))
    }

    /// Handles a leader's request to extend its lease and returns whether the extension is granted.
    ///
    /// An extension also confirms that no cancellation was committed that the leader cannot know of. It is therefore
    /// refused while this controller's own candidacy has no outcome, when a later leader is known, and when the leader
    /// key or the leader's controller lease (`has_controller_lease`) no longer exists, since peers may have committed
    /// cancellations without that leader. A process that has read nothing from the store since its start does not
    /// know what happened before, and refuses every extension.
    pub fn extend_lease(
        &mut self,
        token: FencingToken,
        cache: &Cache,
        has_controller_lease: bool,
        now: Instant,
    ) -> bool {
        // An earlier leader that has not yet learned of its successor from the store is not a candidate either.
        let is_not_candidate = match self.role {
            Role::Follower => true,
            Role::Leader { token: ours, .. } => ours < token,
            _ => false,
        };
        if !is_not_candidate || !cache.loaded {
            return false;
        }
        // A leader whose token is newer than the cached one has read everything that this cache contains.
        let is_current = token > cache.token.value
            || (has_controller_lease
                && cache.leader.as_ref().is_some_and(|leader| leader.value.token == token));
        if is_current {
            self.withhold_candidacy_until =
                self.withhold_candidacy_until.max(now + LEASE_EXTENSION);
        }
        is_current
    }

    /// Records that a peer granted the extension that was requested at `requested_at`.
    pub fn record_extension(&mut self, peer: &ControllerId, requested_at: Instant) {
        let until = requested_at + guaranteed_validity(LEASE_EXTENSION);
        let entry = self.extended_until.entry(peer.clone()).or_insert(until);
        *entry = (*entry).max(until);
    }

    /// Gives up leadership and prevents a candidacy for [`RESIGNATION_BACKOFF`]. Returns the request that revokes the
    /// leader lease, or `None` if this controller is not the leader.
    pub fn resign(&mut self, now: Instant) -> Option<StoreRequest> {
        let Role::Leader { lease, .. } = self.role else { return None };
        self.role = Role::Follower;
        self.candidacy_at = now + RESIGNATION_BACKOFF;
        self.extended_until.clear();
        Some(StoreRequest::RevokeLease(lease))
    }

    /// Postpones this controller's candidacy by [`DRAINED_CANDIDACY_DELAY`] in favor of its peers, since it is drained.
    pub fn defer_candidacy(&mut self, now: Instant) {
        if matches!(self.role, Role::Follower) {
            self.candidacy_at = self.candidacy_at.max(now + DRAINED_CANDIDACY_DELAY);
        }
    }

    /// Returns the request to the store that is due now.
    pub fn next_request(
        &mut self,
        cache: &Cache,
        store_lost: bool,
        now: Instant,
    ) -> Option<StoreRequest> {
        match self.role {
            Role::Follower => self.next_candidacy(cache, store_lost, now),
            Role::RevokingLease { lease } => {
                self.is_renewal_due(now).then_some(StoreRequest::RevokeLease(lease))
            }
            Role::Leader { lease, .. } => {
                self.is_renewal_due(now).then_some(StoreRequest::KeepAlive(lease))
            }
            Role::RequestingLease | Role::Candidate { .. } => None,
        }
    }

    fn next_candidacy(
        &mut self,
        cache: &Cache,
        store_lost: bool,
        now: Instant,
    ) -> Option<StoreRequest> {
        if !cache.loaded || cache.leader.is_some() || store_lost {
            let jitter = CANDIDACY_JITTER_MAX.mul_f64(self.random.random::<f64>());
            self.candidacy_at = self.candidacy_at.max(now + jitter);
            return None;
        }
        if now < self.candidacy_at.max(self.withhold_candidacy_until) {
            return None;
        }
        self.role = Role::RequestingLease;
        Some(StoreRequest::GrantLease(LEADER_LEASE_TTL))
    }

    fn is_renewal_due(&mut self, now: Instant) -> bool {
        let due = now >= self.renew_at && !self.renewal_in_flight;
        self.renewal_in_flight |= due;
        due
    }

    fn return_to_follower(&mut self, now: Instant) {
        self.role = Role::Follower;
        self.candidacy_at = now + RETRY_PAUSE;
    }

    /// Ends this controller's leadership if the cache contains a newer fencing token, which means that another
    /// controller has been elected.
    pub fn detect_successor(&mut self, cache: &Cache) -> Option<ElectionEvent> {
        let token = self.token()?;
        (cache.token.value > token).then(|| {
            self.role = Role::Follower;
            self.extended_until.clear();
            ElectionEvent::Lost(LeadershipLoss::Superseded)
        })
    }

    /// Handles the store's response to a request that was sent at `sent_at`.
    pub fn on_response(
        &mut self,
        request: &StoreRequest,
        sent_at: Instant,
        response: &StoreResponse,
        cache: &Cache,
        now: Instant,
    ) -> ElectionStep {
        match (self.role.clone(), request) {
            (Role::RequestingLease, StoreRequest::GrantLease(_)) => {
                self.on_lease_response(sent_at, response, cache, now)
            }
            (Role::Candidate { lease, requested_at, token }, StoreRequest::Commit(_)) => {
                self.on_candidacy_outcome(lease, requested_at, token, response, now)
            }
            (Role::RevokingLease { lease }, StoreRequest::RevokeLease(revoked))
                if lease == *revoked =>
            {
                self.on_revocation_response(response, now);
                ElectionStep::default()
            }
            (Role::Leader { lease, .. }, StoreRequest::KeepAlive(renewed)) if lease == *renewed => {
                self.on_renewal_response(sent_at, response, now)
            }
            _ => ElectionStep::default(),
        }
    }

    fn on_lease_response(
        &mut self,
        requested_at: Instant,
        response: &StoreResponse,
        cache: &Cache,
        now: Instant,
    ) -> ElectionStep {
        let StoreResponse::LeaseGranted(lease) = response else {
            self.return_to_follower(now);
            return ElectionStep::default();
        };
        // Since the request was sent, a leader may have been elected or this controller may have extended a lease.
        if cache.leader.is_some() || now < self.withhold_candidacy_until {
            self.return_to_follower(now);
            return ElectionStep::request(StoreRequest::RevokeLease(*lease));
        }
        let Versioned { value: last_token, revision: token_revision } = cache.token;
        let token = last_token.of_next_leader();
        self.role = Role::Candidate { lease: *lease, requested_at, token };
        ElectionStep::request(StoreRequest::Commit(self.candidacy_transaction(
            token,
            token_revision,
            *lease,
        )))
    }

    fn on_candidacy_outcome(
        &mut self,
        lease: LeaseId,
        requested_at: Instant,
        token: FencingToken,
        response: &StoreResponse,
        now: Instant,
    ) -> ElectionStep {
        match response {
            StoreResponse::Committed(_) => {
                self.role = Role::Leader { lease, token };
                self.lease_valid_until = requested_at + guaranteed_validity(LEADER_LEASE_TTL);
                self.renew_at = now;
                self.renewal_in_flight = false;
                self.extended_until.clear();
                ElectionStep::event(ElectionEvent::Won(token))
            }
            StoreResponse::Unknown => {
                self.role = Role::RevokingLease { lease };
                self.renew_at = now;
                self.renewal_in_flight = false;
                ElectionStep::default()
            }
            _ => {
                self.return_to_follower(now);
                ElectionStep::request(StoreRequest::RevokeLease(lease))
            }
        }
    }

    fn on_revocation_response(&mut self, response: &StoreResponse, now: Instant) {
        self.renewal_in_flight = false;
        match response {
            StoreResponse::Done | StoreResponse::Gone => self.return_to_follower(now),
            _ => self.renew_at = now + RETRY_PAUSE,
        }
    }

    fn on_renewal_response(
        &mut self,
        sent_at: Instant,
        response: &StoreResponse,
        now: Instant,
    ) -> ElectionStep {
        self.renewal_in_flight = false;
        match response {
            StoreResponse::Done => {
                self.lease_valid_until = sent_at + guaranteed_validity(LEADER_LEASE_TTL);
                self.renew_at = sent_at + LEASE_RENEWAL_INTERVAL;
                ElectionStep::default()
            }
            StoreResponse::Gone => {
                self.return_to_follower(now);
                self.extended_until.clear();
                ElectionStep::event(ElectionEvent::Lost(LeadershipLoss::LeaseExpired))
            }
            _ => {
                self.renew_at = now + RETRY_PAUSE;
                ElectionStep::default()
            }
        }
    }

    /// Returns the compare-and-swap that makes this controller the leader. It requires that no leader key exists and
    /// that the fencing token is still the one that was read.
    fn candidacy_transaction(
        &self,
        token: FencingToken,
        token_revision: Revision,
        lease: LeaseId,
    ) -> Transaction {
        let record = LeaderRecord { controller: self.me.clone(), token };
        let put = |key: &str, data: StoreValue, lease| Write::Put { key: key.into(), data, lease };
        Transaction {
            preconditions: vec![
                Precondition { key: LEADER_KEY.into(), rev: Revision(0) },
                Precondition { key: TOKEN_KEY.into(), rev: token_revision },
            ],
            writes: vec![
                put(
                    LEADER_KEY,
                    StoreValue::serialized(&record).unwrap_or(StoreValue::Null),
                    Some(lease),
                ),
                put(TOKEN_KEY, StoreValue::from(token.0), None),
            ],
        }
    }
}

#[cfg(test)]
mod tests;
