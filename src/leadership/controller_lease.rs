//! A controller's own lease at the store, and the time for which it allows the controller to answer workers while the
//! store is unreachable.
//!
//! A controller that is disconnected from the store may continue to answer workers for its leader, but it cannot learn
//! which jobs are cancelled in the meantime. Therefore each controller has a key attached to its lease, and a
//! cancellation is committed only under preconditions on these keys: see
//! [`cancellation_acks`](crate::leadership::cancellation_acks).

use crate::constants::{DELEGATED_LEASE_TTL, MAX_CLOCK_DRIFT, RETRY_PAUSE};
use crate::ids::{ControllerId, LeaseId, Revision};
use crate::schema::{encoding, keys};
use crate::store::{CONTROLLER_LEASE_PREFIX, Cache, StoreRequest, StoreResponse, Versioned};
use crate::wire::{Precondition, StoreValue, Transaction, Write};
use std::time::Duration;
use tokio::time::Instant;

/// Time to live of a controller lease at the store.
pub const CONTROLLER_LEASE_TTL: Duration = Duration::from_millis(6000);
/// Interval between two renewals of a controller lease. Two renewals in a row may fail before the lease expires.
const CONTROLLER_LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1800);

/// Returns the store key that is attached to the controller's lease.
pub fn controller_lease_key(controller: &ControllerId) -> String {
    format!("{CONTROLLER_LEASE_PREFIX}{controller}")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    Absent,
    /// The store granted a lease, and the key has not been written yet.
    Granted {
        lease: LeaseId,
        requested_at: Instant,
    },
    /// The key was written at `revision`; the store's confirmation arrived at `confirmed_at`.
    Held {
        lease: LeaseId,
        revision: Revision,
        confirmed_at: Instant,
    },
}

/// State machine that obtains and renews this controller's own lease.
#[derive(Debug)]
pub struct ControllerLease {
    me: ControllerId,
    key: String,
    state: LeaseState,
    in_flight: bool,
    next_request_at: Instant,
    /// Time at which the newest successful renewal was sent. The lease lasts at least for its full TTL from then on.
    renewed_at: Instant,
}

impl ControllerLease {
    /// Creates the state of a controller that has not requested a lease yet.
    pub fn new(me: &ControllerId, now: Instant) -> ControllerLease {
        ControllerLease {
            me: me.clone(),
            key: controller_lease_key(me),
            state: LeaseState::Absent,
            in_flight: false,
            next_request_at: now,
            renewed_at: now,
        }
    }

    /// Returns the store key that is attached to this lease.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the request to the store that is due now.
    pub fn next_request(&mut self, cache: &Cache, now: Instant) -> Option<StoreRequest> {
        if self.in_flight || now < self.next_request_at {
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

    /// Returns the transaction that writes the key under the lease and rewrites this controller's version record.
    /// No controller removes the version key, so its revision distinguishes one absence of the lease from a later one.
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

    /// Handles the store's response to a request that was sent at `sent_at`.
    pub fn on_response(
        &mut self,
        request: &StoreRequest,
        sent_at: Instant,
        response: &StoreResponse,
        now: Instant,
    ) {
        self.in_flight = false;
        self.next_request_at = now + RETRY_PAUSE * 2;
        match (self.state, request, response) {
            (
                LeaseState::Absent,
                StoreRequest::GrantLease(_),
                StoreResponse::LeaseGranted(lease),
            ) => {
                self.state = LeaseState::Granted { lease: *lease, requested_at: sent_at };
                self.next_request_at = now;
            }
            (
                LeaseState::Granted { lease, requested_at },
                StoreRequest::Commit(_),
                StoreResponse::Committed(revision),
            ) => {
                self.state = LeaseState::Held { lease, revision: *revision, confirmed_at: now };
                self.renewed_at = requested_at;
                self.next_request_at = now + CONTROLLER_LEASE_RENEWAL_INTERVAL;
            }
            // The key may have been written nevertheless, or an older key may still exist. A new lease and a newer
            // cache resolve both cases.
            (LeaseState::Granted { .. }, StoreRequest::Commit(_), _) => {
                self.state = LeaseState::Absent;
            }
            (LeaseState::Held { .. }, StoreRequest::KeepAlive(_), StoreResponse::Done) => {
                self.renewed_at = self.renewed_at.max(sent_at);
                self.next_request_at = sent_at + CONTROLLER_LEASE_RENEWAL_INTERVAL;
            }
            (LeaseState::Held { .. }, StoreRequest::KeepAlive(_), StoreResponse::Gone) => {
                self.state = LeaseState::Absent;
                self.next_request_at = now;
            }
            _ => {}
        }
    }

    /// Returns the revision of the key, under which cancellations are acknowledged, or 0 if there is no key.
    pub fn revision(&self) -> Revision {
        match self.state {
            LeaseState::Held { revision, .. } => revision,
            _ => Revision(0),
        }
    }

    /// Returns whether this controller knows of every cancellation that is committed while its lease is valid. That is
    /// so once it has read the store after its key was confirmed: later cancellations require its acknowledgement.
    pub fn knows_all_cancellations(&self, synced_at: Option<Instant>) -> bool {
        match self.state {
            LeaseState::Held { confirmed_at, .. } => synced_at.is_some_and(|at| at > confirmed_at),
            _ => false,
        }
    }

    /// Returns the time until which this controller may answer workers while the store, which was last read at
    /// `synced_at`, is unreachable.
    pub fn answer_deadline(&self, synced_at: Option<Instant>) -> Option<Instant> {
        self.knows_all_cancellations(synced_at)
            .then(|| self.renewed_at + DELEGATED_LEASE_TTL.mul_f64(1.0 - MAX_CLOCK_DRIFT))
    }
}
