//! A controller's own lease at the store, and how long the controller may answer workers without the store.
//!
//! A controller that is cut off from the store may go on answering workers for its leader, but it can't learn there
//! which jobs are cancelled meanwhile. So each controller keeps a key that lasts as long as its lease, and a
//! cancellation is committed only under preconditions on these keys: see
//! [`cancellation_acks`](crate::leadership::cancellation_acks).

use crate::constants::{DELEGATED_LEASE_TTL, MAX_CLOCK_DRIFT, RETRY_PAUSE};
use crate::ids::{ControllerId, LeaseId, Revision};
use crate::schema::{encoding, keys};
use crate::store::{CONTROLLER_LEASE_PREFIX, Cache, StoreRequest, StoreResponse, Versioned};
use crate::wire::{Precondition, StoreValue, Transaction, Write};
use std::time::Duration;
use tokio::time::Instant;

/// Life of a controller's lease at the store.
pub const CONTROLLER_LEASE_TTL: Duration = Duration::from_millis(6000);
/// Pause between two renewals of it: two may fail.
const CONTROLLER_LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1800);

/// The key at the store that lasts as long as the controller's lease.
pub fn controller_lease_key(controller: &ControllerId) -> String {
    format!("{CONTROLLER_LEASE_PREFIX}{controller}")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    Absent,
    /// The store granted a lease; the key isn't written yet.
    Granted {
        lease: LeaseId,
        requested_at: Instant,
    },
    /// The key was written at this revision, as was confirmed at that time.
    Held {
        lease: LeaseId,
        revision: Revision,
        confirmed_at: Instant,
    },
}

/// This controller's own lease.
#[derive(Debug)]
pub struct ControllerLease {
    me: ControllerId,
    key: String,
    state: LeaseState,
    in_flight: bool,
    due: Instant,
    /// When the newest renewal that succeeded was sent: the lease lasts for its whole life from then at least.
    renewed_at: Instant,
}

impl ControllerLease {
    /// The lease of a controller that has not asked for one yet.
    pub fn new(me: &ControllerId, now: Instant) -> ControllerLease {
        ControllerLease {
            me: me.clone(),
            key: controller_lease_key(me),
            state: LeaseState::Absent,
            in_flight: false,
            due: now,
            renewed_at: now,
        }
    }

    /// The key at the store.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The request to the store that is due now.
    pub fn next_request(&mut self, cache: &Cache, now: Instant) -> Option<StoreRequest> {
        if self.in_flight || now < self.due {
            return None;
        }
        let request = match self.state {
            LeaseState::Absent => StoreRequest::GrantLease(CONTROLLER_LEASE_TTL),
            LeaseState::Granted { lease, .. } => {
                StoreRequest::Commit(self.key_transaction(lease, cache)?)
            }
            LeaseState::Held { lease, .. } => StoreRequest::KeepAlive(lease),
        };
        self.in_flight = true;
        Some(request)
    }

    /// Writes the key under the lease, and this controller's version record anew. The version key never goes away,
    /// so its revision tells an absence of the lease from a later one.
    fn key_transaction(&self, lease: LeaseId, cache: &Cache) -> Option<Transaction> {
        let Versioned { value: version, revision: version_revision } =
            cache.versions.get(&self.me)?;
        let lease_revision = cache.controller_leases.get(&self.me).copied().unwrap_or_default();
        let version_key = keys::version_key(&self.me);
        let put = |key: &str, data, lease| Write::Put { key: key.into(), data, lease };
        Some(Transaction {
            preconditions: vec![
                Precondition { key: self.key.clone(), rev: lease_revision },
                Precondition { key: version_key.clone(), rev: *version_revision },
            ],
            writes: vec![
                put(&self.key, StoreValue::Bool(true), Some(lease)),
                put(&version_key, encoding::to_value(version), None),
            ],
        })
    }

    /// A response of the store to a request that was sent at `sent_at`.
    pub fn on_response(
        &mut self,
        request: &StoreRequest,
        sent_at: Instant,
        response: &StoreResponse,
        now: Instant,
    ) {
        self.in_flight = false;
        self.due = now + RETRY_PAUSE * 2;
        match (self.state, request, response) {
            (
                LeaseState::Absent,
                StoreRequest::GrantLease(_),
                StoreResponse::LeaseGranted(lease),
            ) => {
                self.state = LeaseState::Granted { lease: *lease, requested_at: sent_at };
                self.due = now;
            }
            (
                LeaseState::Granted { lease, requested_at },
                StoreRequest::Commit(_),
                StoreResponse::Committed(revision),
            ) => {
                self.state = LeaseState::Held { lease, revision: *revision, confirmed_at: now };
                self.renewed_at = requested_at;
                self.due = now + CONTROLLER_LEASE_RENEWAL_INTERVAL;
            }
            // The key may have been written all the same, or an older one still be there: a new lease and a newer
            // cache settle it.
            (LeaseState::Granted { .. }, StoreRequest::Commit(_), _) => {
                self.state = LeaseState::Absent;
            }
            (LeaseState::Held { .. }, StoreRequest::KeepAlive(_), StoreResponse::Done) => {
                self.renewed_at = self.renewed_at.max(sent_at);
                self.due = sent_at + CONTROLLER_LEASE_RENEWAL_INTERVAL;
            }
            (LeaseState::Held { .. }, StoreRequest::KeepAlive(_), StoreResponse::Gone) => {
                self.state = LeaseState::Absent;
                self.due = now;
            }
            _ => {}
        }
    }

    /// The revision of the key, under which cancellations are acknowledged; 0 without one.
    pub fn revision(&self) -> Revision {
        match self.state {
            LeaseState::Held { revision, .. } => revision,
            _ => Revision(0),
        }
    }

    /// Whether this controller knows of every cancellation that is committed while its lease stands: it has read
    /// what the store held when it was asked at `synced_at`, and acknowledged what was cancelled since.
    pub fn knows_cancellations(&self, synced_at: Option<Instant>) -> bool {
        match self.state {
            LeaseState::Held { confirmed_at, .. } => synced_at.is_some_and(|at| at > confirmed_at),
            _ => false,
        }
    }

    /// Until when workers may be answered without news of the store, which was last read at `synced_at`.
    pub fn may_answer_until(&self, synced_at: Option<Instant>) -> Option<Instant> {
        self.knows_cancellations(synced_at)
            .then(|| self.renewed_at + DELEGATED_LEASE_TTL.mul_f64(1.0 - MAX_CLOCK_DRIFT))
    }
}
