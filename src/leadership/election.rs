//! The election of a leader: candidacy at the store, the leader's lease, and that lease's extension by peers.
//!
//! A candidate asks the store for a lease and then commits, by compare-and-swap, the leader key (bound to that
//! lease) together with the next fencing token. The leader renews the lease. While the store is out of reach it
//! may go on leading as long as every other controller extends the lease, that is, promises to withhold its own
//! candidacy for [`LEASE_EXTENSION`].

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

/// Life of the leader's lease at the store.
pub const LEADER_LEASE_TTL: Duration = Duration::from_millis(3000);
/// Pause between two renewals of that lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Subtracted from a lease's life besides clock drift: a packet leaves some time after the lease was checked.
pub const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(400);
/// How long a peer that extends the leader's lease withholds its candidacy. A restarted process waits as long.
pub const LEASE_EXTENSION: Duration = Duration::from_millis(2000);
/// Upper bound of the random delay before a candidacy.
const CANDIDACY_JITTER_MAX: Duration = Duration::from_millis(120);
/// How long a drained controller is no candidate after it last saw a peer that can lead.
const DRAINED_CANDIDACY_DELAY: Duration = Duration::from_secs(2);
/// How long a leader that resigned is no candidate.
const RESIGNATION_BACKOFF: Duration = Duration::from_secs(15);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Role {
    Follower,
    /// A lease was requested, for a candidacy.
    RequestingLease,
    /// The candidacy's transaction was sent and has no outcome yet. Meanwhile no lease of a leader is extended,
    /// since the transaction may be applied late.
    Candidate {
        lease: LeaseId,
        requested_at: Instant,
        token: FencingToken,
    },
    /// Revokes the lease of a candidacy with an unknown outcome: its end settles the matter.
    RevokingLease {
        lease: LeaseId,
    },
    Leader {
        lease: LeaseId,
        token: FencingToken,
    },
}

/// Why a controller leads no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LeadershipLoss {
    /// The store shows a higher fencing token.
    #[error("another leader has a higher fencing token")]
    Superseded,
    /// The store says that the lease is gone.
    #[error("the leadership lease expired")]
    LeaseExpired,
}

/// A change of this controller's role.
#[derive(Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// It was elected, with this fencing token.
    Won(FencingToken),
    /// It leads no longer.
    Lost(LeadershipLoss),
}

/// What follows from a response of the store.
#[derive(Debug, Default)]
pub struct ElectionStep {
    /// Requests to send to the store.
    pub requests: Vec<StoreRequest>,
    /// The change of role, if there is one.
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

/// This controller's part in the election.
pub struct Election {
    me: ControllerId,
    peer_count: usize,
    role: Role,
    /// End of the leader's lease that is certain by this controller's own clock.
    lease_valid_until: Instant,
    renew_at: Instant,
    renewal_in_flight: bool,
    candidacy_at: Instant,
    /// This controller extended the lease of a leader until then.
    withhold_candidacy_until: Instant,
    /// Until when each peer has extended our lease for certain.
    extended_until: HashMap<ControllerId, Instant>,
    random: StdRng,
}

/// The part of a lease's life, counted from its request, in which it is valid whatever the clocks do.
fn certain_life(life: Duration) -> Duration {
    life.mul_f64(1.0 - MAX_CLOCK_DRIFT).saturating_sub(LEASE_SAFETY_MARGIN)
}

impl Election {
    /// A follower. Before a restart this process may have extended a lease and doesn't remember it, so it is no
    /// candidate for as long as that lasts.
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

    /// The fencing token under which this controller leads.
    pub fn token(&self) -> Option<FencingToken> {
        match self.role {
            Role::Leader { token, .. } => Some(token),
            _ => None,
        }
    }

    fn holds_lease(&self, now: Instant) -> bool {
        self.token().is_some() && now < self.lease_valid_until
    }

    /// Whether every peer has extended the lease. A controller without peers needs no extension.
    fn is_extended_by_all(&self, now: Instant) -> bool {
        self.token().is_some()
            && self.extended_until.len() == self.peer_count
            && self.extended_until.values().all(|until| now < *until)
    }

    /// Whether this controller may act as the leader now. Beyond its lease it needs the extension of all peers, and
    /// to know of every cancellation that was committed before.
    pub fn holds_leadership(&self, knows_cancellations: bool, now: Instant) -> bool {
        self.holds_lease(now) || (knows_cancellations && self.is_extended_by_all(now))
    }

    /// A leader asks for an extension of its lease. To grant it also tells the leader that no cancellation was
    /// committed that it can't know of. So it is refused while a candidacy of ours has no outcome, when a later
    /// leader is known, and when the leader's key or its controller lease (`has_controller_lease`) is gone, since
    /// peers may have gone on without it. A process that has read nothing from the store since its start doesn't
    /// know what happened before, and grants none.
    pub fn extend_lease(
        &mut self,
        token: FencingToken,
        cache: &Cache,
        has_controller_lease: bool,
        now: Instant,
    ) -> bool {
        // An earlier leader that the store hasn't told of its successor yet is no candidate either.
        let is_no_candidate = match self.role {
            Role::Follower => true,
            Role::Leader { token: ours, .. } => ours < token,
            _ => false,
        };
        if !is_no_candidate || !cache.loaded {
            return false;
        }
        // A leader with a newer token than the cache's has read all that the cache shows.
        let is_current = token > cache.token.value
            || (has_controller_lease
                && cache.leader.as_ref().is_some_and(|leader| leader.value.token == token));
        if is_current {
            self.withhold_candidacy_until =
                self.withhold_candidacy_until.max(now + LEASE_EXTENSION);
        }
        is_current
    }

    /// A peer has extended our lease, as it was asked to at `requested_at`.
    pub fn record_extension(&mut self, peer: &ControllerId, requested_at: Instant) {
        let until = requested_at + certain_life(LEASE_EXTENSION);
        let entry = self.extended_until.entry(peer.clone()).or_insert(until);
        *entry = (*entry).max(until);
    }

    /// Gives up leadership, and is no candidate for a while.
    pub fn resign(&mut self, now: Instant) -> Option<StoreRequest> {
        let Role::Leader { lease, .. } = self.role else { return None };
        self.role = Role::Follower;
        self.candidacy_at = now + RESIGNATION_BACKOFF;
        self.extended_until.clear();
        Some(StoreRequest::RevokeLease(lease))
    }

    /// Leaves candidacy to peers for a while, since this controller is drained.
    pub fn defer_candidacy(&mut self, now: Instant) {
        if matches!(self.role, Role::Follower) {
            self.candidacy_at = self.candidacy_at.max(now + DRAINED_CANDIDACY_DELAY);
        }
    }

    /// The request to the store that is due now.
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

    /// Whether the cache shows that another controller was elected since.
    pub fn detect_successor(&mut self, cache: &Cache) -> Option<ElectionEvent> {
        let token = self.token()?;
        (cache.token.value > token).then(|| {
            self.role = Role::Follower;
            self.extended_until.clear();
            ElectionEvent::Lost(LeadershipLoss::Superseded)
        })
    }

    /// A response of the store to a request that was sent at `sent_at`.
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
            (Role::RevokingLease { lease }, StoreRequest::RevokeLease(dropped))
                if lease == *dropped =>
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
        // Since the request a leader may have been found, or its lease been extended.
        if cache.leader.is_some() || now < self.withhold_candidacy_until {
            self.return_to_follower(now);
            return ElectionStep::request(StoreRequest::RevokeLease(*lease));
        }
        let Versioned { value: last_token, revision: token_revision } = cache.token;
        let token = FencingToken(last_token.0 + 1);
        self.role = Role::Candidate { lease: *lease, requested_at, token };
        ElectionStep::request(StoreRequest::Commit(self.candidacy(token, token_revision, *lease)))
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
                self.lease_valid_until = requested_at + certain_life(LEADER_LEASE_TTL);
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
                self.lease_valid_until = sent_at + certain_life(LEADER_LEASE_TTL);
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

    /// The compare-and-swap that makes this controller the leader: no leader key exists, and the fencing token is
    /// still the one that was read.
    fn candidacy(
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
