//! Requests to the key-value store, their responses, and the encoding of both in HTTP.

use crate::http::{CallError, Method, Request, Response};
use crate::ids::{LeaseId, Revision};
use crate::schema::keys::PREFIX;
use crate::wire::{self, CommitResponse, LeaseCreated, LeaseTtl, Transaction};
use std::time::Duration;

/// Timeout of a request to the store, which normally answers within 10 ms and occasionally takes a
/// few hundred milliseconds.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of keys in one page of a range read.
const PAGE_KEYS: usize = 500;

/// A request to the store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// Applies a transaction if all of its preconditions hold (compare-and-swap).
    Commit(Transaction),
    /// Reads all changes after a revision. If there is none, the store waits for the first one.
    Watch {
        /// Revision up to which the client knows all changes.
        after: Revision,
        /// Maximum time for which the store waits for a change.
        wait: Duration,
    },
    /// Reads one page of all keys of this cluster.
    Range {
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Creates a lease with this time to live.
    GrantLease(Duration),
    /// Renews a lease.
    KeepAlive(LeaseId),
    /// Revokes a lease, which removes the keys that are attached to it.
    RevokeLease(LeaseId),
}

/// Outcome of a request to the store.
#[derive(Debug)]
pub enum StoreResponse {
    /// The transaction was applied at this revision.
    Committed(Revision),
    /// Preconditions on these keys failed; nothing was written.
    Conflict(Vec<String>),
    /// Status 400: the lease that a write names has expired, or the request is malformed.
    Invalid,
    /// Changes that a watch returned.
    Watch(wire::WatchResponse),
    /// Page that a range read returned.
    Range(wire::RangeResponse),
    /// A lease with this id was created.
    LeaseGranted(LeaseId),
    /// The lease was renewed, or revoked.
    Done,
    /// The lease does not exist (status 404), or the revision after which a watch starts is too old (status 410).
    Gone,
    /// The request was certainly not executed, because of an outage, a rate limit or a failed connection.
    Unavailable,
    /// The request may have been executed, or may still be executed later.
    Unknown,
}

/// Request that the owner of the client has to send.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Identifies the request when its response is passed to the client.
    pub id: u64,
    /// Request to send.
    pub request: StoreRequest,
}

/// HTTP request with its timeout.
#[derive(Debug)]
pub struct TimedRequest {
    /// HTTP request to send.
    pub request: Request,
    /// Time after which the response is no longer awaited.
    pub timeout: Duration,
}

impl StoreRequest {
    /// Returns the HTTP request that carries this request.
    pub fn to_http(&self) -> TimedRequest {
        let make = |method, target: String, body| TimedRequest {
            request: Request { method, target, body },
            timeout: REQUEST_TIMEOUT,
        };
        match self {
            StoreRequest::Commit(transaction) => {
                make(Method::Post, "/commit".into(), wire::encode(transaction))
            }
            StoreRequest::Watch { after, wait } => {
                let wait_ms = wait.as_millis();
                let target = format!("/follow?starts={PREFIX}&after={after}&waitMs={wait_ms}");
                let mut timed = make(Method::Get, target, Vec::new());
                timed.timeout += *wait;
                timed
            }
            StoreRequest::Range { after } => {
                let after = after.as_ref().map(|key| format!("&after={key}")).unwrap_or_default();
                let target = format!("/kv?starts={PREFIX}{after}&most={PAGE_KEYS}");
                make(Method::Get, target, Vec::new())
            }
            StoreRequest::GrantLease(ttl) => {
                let body = wire::encode(&LeaseTtl { ttl_ms: ttl.as_millis() as u64 });
                make(Method::Post, "/leases".into(), body)
            }
            StoreRequest::KeepAlive(lease) => {
                make(Method::Post, format!("/leases/{lease}/touch"), Vec::new())
            }
            StoreRequest::RevokeLease(lease) => {
                make(Method::Delete, format!("/leases/{lease}"), Vec::new())
            }
        }
    }

    /// Decodes the result of this request's HTTP call.
    pub fn response(&self, result: Result<Response, CallError>) -> StoreResponse {
        match result {
            Ok(response) => self.decode(&response).unwrap_or(StoreResponse::Unknown),
            Err(CallError::NotSent) => StoreResponse::Unavailable,
            Err(CallError::Unknown) => StoreResponse::Unknown,
        }
    }

    fn decode(&self, response: &Response) -> Option<StoreResponse> {
        let body = &response.body;
        Some(match (self, response.status) {
            (StoreRequest::Commit(_), 200) => {
                StoreResponse::Committed(wire::decode::<CommitResponse>(body).ok()?.rev)
            }
            (StoreRequest::Commit(_), 409) => {
                StoreResponse::Conflict(wire::decode::<CommitResponse>(body).ok()?.failed)
            }
            (StoreRequest::Commit(_), 400) => StoreResponse::Invalid,
            (StoreRequest::Watch { .. }, 200) => StoreResponse::Watch(wire::decode(body).ok()?),
            (StoreRequest::Range { .. }, 200) => StoreResponse::Range(wire::decode(body).ok()?),
            (StoreRequest::GrantLease(_), 200) => {
                StoreResponse::LeaseGranted(wire::decode::<LeaseCreated>(body).ok()?.lease)
            }
            (StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_), 200..=204) => {
                StoreResponse::Done
            }
            (_, 404 | 410) => StoreResponse::Gone,
            (_, 429 | 503) => StoreResponse::Unavailable,
            _ => return None,
        })
    }
}
