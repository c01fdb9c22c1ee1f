//! Decoded user requests, and their state until they have a response.

use crate::api::routing::{Route, valid_id};
use crate::api::validation::{is_well_formed, normalize};
use crate::ids::JobId;
use crate::wire::{self, JobName, JobSpec};
use std::sync::Arc;
use tokio::time::Instant;

/// A decoded request of a user.
#[derive(Debug)]
pub(super) enum UserRequest {
    Submit(Arc<JobSpec>),
    /// A malformed submission with a valid job id. If the job exists, the response is its state, never 400.
    MalformedSubmission(JobId),
    Poll(JobId),
    Cancel(JobId),
}

impl UserRequest {
    /// Decodes the request of a route and body. Returns `None` if it is malformed and has no valid job id.
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

    /// Returns whether the request changes a job's state.
    pub(super) fn is_change(&self) -> bool {
        matches!(self, UserRequest::Submit(_) | UserRequest::Cancel(_))
    }

    /// Returns whether the request submits a job with dependencies.
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
    /// True if the commit in flight writes only chunks of the job's specification, so that further commits follow.
    pub(super) writes_spec_chunks: bool,
    /// True if the linearizable read beside the commit of a submission with dependencies has completed. Another
    /// controller may just have reported a dependency to a user as cancelled. The response must reflect that, so it
    /// is sent once both `synced` and `accepted` are true.
    pub(super) synced: bool,
    /// True if a submission with dependencies is committed.
    pub(super) accepted: bool,
    /// True while a commit for this request is in flight.
    pub(super) committing: bool,
    /// Deadline for the acknowledgements of other controllers, if this is a cancellation that waits for them.
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
