//! Requests to the key-value store and their responses, and how HTTP carries them.

use crate::http::{CallError, Method, Request, Response};
use crate::ids::{LeaseId, Revision};
use crate::schema::keys::PREFIX;
use crate::wire::{self, CommitResponse, LeaseCreated, LeaseTtl, Transaction};
use std::time::Duration;

/// Timeout of a request to the store, which normally answers within 10 ms and now and then within
/// a few hundred.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Count. Keys to a page of a range read.
const PAGE_KEYS: usize = 500;

/// A request to the store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// A compare-and-swap.
    Commit(Transaction),
    /// All changes after a revision; waits so long for the first one.
    Watch {
        /// The revision up to which changes are known.
        after: Revision,
        /// How long the store may wait for a change.
        wait: Duration,
    },
    /// One page of all keys.
    Range {
        /// The last key of the page before.
        after: Option<String>,
    },
    /// A new lease that lives so long.
    GrantLease(Duration),
    /// Renews a lease.
    KeepAlive(LeaseId),
    /// Ends a lease and removes its keys.
    RevokeLease(LeaseId),
}

/// What became of a request.
#[derive(Debug)]
pub enum StoreResponse {
    /// The transaction was applied at this revision.
    Committed(Revision),
    /// Preconditions on these keys failed; nothing was written.
    Conflict(Vec<String>),
    /// 400: the lease that a write names is over, or the request is malformed.
    Invalid,
    /// The changes that were asked for.
    Watch(wire::WatchResponse),
    /// The page that was asked for.
    Range(wire::RangeResponse),
    /// The new lease.
    LeaseGranted(LeaseId),
    /// The lease was renewed, or revoked.
    Done,
    /// 404 for a lease, 410 for a watch.
    Gone,
    /// Surely not executed: an outage, a rate limit, or no connection.
    Unavailable,
    /// May have been executed, or may yet be.
    Unknown,
}

/// A request that the client's owner is to send.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Names it when its response is handed back.
    pub id: u64,
    /// What to ask.
    pub request: StoreRequest,
}

/// An HTTP request, and how long to wait for its response.
#[derive(Debug)]
pub struct TimedRequest {
    /// What to send.
    pub request: Request,
    /// How long to wait.
    pub timeout: Duration,
}

impl StoreRequest {
    /// The HTTP request that carries this one.
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

    /// What the result of its HTTP request says.
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
