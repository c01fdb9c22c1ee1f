//! A user's request, and what is known of it while it waits for its response.

use crate::api::routing::{Route, valid_id};
use crate::api::validation::{is_well_formed, normalize};
use crate::ids::JobId;
use crate::wire::{self, JobName, JobSpec};
use std::sync::Arc;
use tokio::time::Instant;

/// What a user asks for.
#[derive(Debug)]
pub(super) enum UserRequest {
    Submit(Arc<JobSpec>),
    /// A submission that is malformed but names a job: a known one is never told 400.
    MalformedSubmission(JobId),
    Poll(JobId),
    Cancel(JobId),
}

impl UserRequest {
    /// The request of this route and body; none if it is malformed and names no job.
    pub(super) fn decode(route: Route, body: &[u8]) -> Option<UserRequest> {
        match route {
            Route::Poll(id) => return Some(UserRequest::Poll(id)),
            Route::Cancel(id) => return Some(UserRequest::Cancel(id)),
            _ => {}
        }
        if let Ok(spec) = wire::decode::<JobSpec>(body)
            && is_well_formed(&spec)
        {
            return Some(UserRequest::Submit(Arc::new(normalize(spec))));
        }
        let name = wire::decode::<JobName>(body).ok()?;
        valid_id(name.id.as_str()).then_some(UserRequest::MalformedSubmission(name.id))
    }

    pub(super) fn job(&self) -> &JobId {
        match self {
            UserRequest::Submit(spec) => &spec.id,
            UserRequest::MalformedSubmission(id)
            | UserRequest::Poll(id)
            | UserRequest::Cancel(id) => id,
        }
    }

    /// Whether it changes a job's state.
    pub(super) fn is_change(&self) -> bool {
        matches!(self, UserRequest::Submit(_) | UserRequest::Cancel(_))
    }

    /// Whether it submits a job that depends on others.
    pub(super) fn has_dependencies(&self) -> bool {
        matches!(self, UserRequest::Submit(spec) if spec.depends_on.is_some())
    }
}

/// A request that has no response yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) request: UserRequest,
    pub(super) deadline: Instant,
    pub(super) received_at: Instant,
    /// What is being committed are chunks of its description, and more is to follow.
    pub(super) writes_spec_chunks: bool,
    /// A submission with dependencies: the linearizable read that goes beside its commit has
    /// brought news of them, and it is accepted. A dependency may have been cancelled, and a user
    /// been told, a moment ago elsewhere; the response has to say so, and comes when both are there.
    pub(super) synced: bool,
    pub(super) accepted: bool,
    /// Its commit is in flight.
    pub(super) committing: bool,
    /// A cancellation waits until then for other controllers to acknowledge it.
    pub(super) acks_deadline: Option<Instant>,
}

impl PendingRequest {
    pub(super) fn new(request: UserRequest, now: Instant, deadline: Instant) -> PendingRequest {
        PendingRequest {
            request,
            deadline,
            received_at: now,
            writes_spec_chunks: false,
            synced: false,
            accepted: false,
            committing: false,
            acks_deadline: None,
        }
    }
}
