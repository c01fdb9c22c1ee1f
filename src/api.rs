//! The users' API: a state machine without I/O that answers each request from the store's cache, after a
//! linearizable read or a commit where the response requires one.

mod cancellation;
mod request;
mod routing;
mod submission;
mod validation;

pub use routing::{Route, request_class, route, valid_id};

use crate::admission::retry_after_s;
use crate::api::request::{PendingRequest, UserRequest};
use crate::clock::WallClock;
use crate::constants::{CHANGE_DEADLINE, POLL_DEADLINE};
use crate::http::Response;
use crate::ids::{ControllerId, JobId};
use crate::jobs::{FinalState, Job};
use crate::leadership::cancellation_acks::{AcknowledgedCancellations, CancellationAcks};
use crate::settings::Settings;
use crate::store::{PendingWrite, StoreClient, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{self, JobStatus, JobView, Transaction};
use foldhash::{HashMap, HashMapExt};
use hdrhistogram::{CreationError, Histogram};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::Instant;

/// Maximum number of pending user requests in one process. Requests beyond it are rejected at once with Retry-After.
pub const MAX_PENDING_REQUESTS: usize = 2000;
/// Longest latency, in milliseconds, that the latency histogram resolves.
const LATENCY_MAX_MS: u64 = 60_000;

/// User requests without a response, and the state from which responses are built.
pub struct Api {
    settings: Arc<Settings>,
    /// Wall clock for the acceptance and cancellation times of jobs.
    pub wall_clock: WallClock,
    pending: BTreeMap<u64, PendingRequest>,
    /// Number of running tasks by job, as last published by the leader.
    pub running: BTreeMap<JobId, u32>,
    /// Jobs that this process reported to users as cancelled, with the time of the report. A leader that is
    /// cut off from the store learns of these cancellations from its peers.
    pub cancelled: Vec<(JobId, Instant)>,
    /// Latencies of completed requests, in milliseconds.
    pub latency_ms: Histogram<u64>,
    /// Total number of requests rejected with Retry-After.
    pub rejected: u64,
    /// Cancellations that other controllers have acknowledged.
    pub cancellation_acks: CancellationAcks,
    /// Cancellations that this controller has acknowledged to a peer or is about to commit itself.
    pub acknowledged_cancellations: AcknowledgedCancellations,
    /// Outgoing requests: the controller that must acknowledge a cancellation, and the job.
    pub ack_requests: Vec<(ControllerId, JobId)>,
    /// Time of the last acknowledgement request to a controller for a job.
    last_ack_requests: HashMap<(ControllerId, JobId), Instant>,
}

/// A response that was not available when its request arrived.
#[derive(Debug)]
pub struct Answer {
    /// Identifier that the caller gave the request in [`Api::on_request`].
    pub ticket: u64,
    /// Response to send.
    pub response: Response,
}

impl Api {
    /// Creates an API without pending requests.
    ///
    /// # Errors
    /// Fails if the latency histogram cannot be created.
    pub fn new(settings: Arc<Settings>, wall_clock: WallClock) -> Result<Api, CreationError> {
        let platform = &settings.platform;
        let workers = &platform.params.workers;
        let peers = platform.others.iter().map(|peer| peer.host_name.clone()).collect();
        Ok(Api {
            cancellation_acks: CancellationAcks::new(peers, workers.lease_s, workers.cancel_s),
            acknowledged_cancellations: AcknowledgedCancellations::default(),
            ack_requests: Vec::new(),
            last_ack_requests: HashMap::new(),
            settings,
            wall_clock,
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            cancelled: Vec::new(),
            latency_ms: Histogram::new_with_bounds(1, LATENCY_MAX_MS, 2)?,
            rejected: 0,
        })
    }

    /// Handles a new request. Returns its response if that requires neither a read nor a commit.
    pub fn on_request(
        &mut self,
        ticket: u64,
        route: Route,
        body: &[u8],
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let Some(request) = UserRequest::decode(route, body) else {
            return Some(Response::empty(400));
        };
        if !store.cache.loaded {
            return Some(self.retry_later());
        }
        let id = request.job();
        let job = store.cache.jobs.get(id);
        // A final state never changes, so a cached one is valid without a read.
        if let Some(job) = job
            && job.is_finished()
        {
            return Some(self.job_response(id, job, 200));
        }
        if store.cache.jobs.is_unreadable(id)
            || store.is_unavailable(now)
            || self.pending.len() >= MAX_PENDING_REQUESTS
        {
            return Some(self.retry_later());
        }
        let timeout = if request.is_change() { CHANGE_DEADLINE } else { POLL_DEADLINE };
        // A change is committed without a read first: its preconditions detect a stale cache.
        let commits_directly = match &request {
            UserRequest::Submit(_) => job.is_none(),
            UserRequest::Cancel(_) => job.is_some(),
            UserRequest::MalformedSubmission(_) | UserRequest::Poll(_) => false,
        };
        self.pending.insert(ticket, PendingRequest::new(request, now, now + timeout));
        if commits_directly {
            self.decide(ticket, false, store, now)
        } else {
            self.sync(ticket, store)
        }
    }

    /// Requests a linearizable read, after which the request is decided again.
    fn sync(&self, ticket: u64, store: &mut StoreClient) -> Option<Response> {
        match self.pending.get(&ticket).map(|pending| &pending.request) {
            Some(UserRequest::Poll(_)) => store.sync(ticket),
            _ => store.sync_urgently(ticket),
        }
        None
    }

    /// Responds or commits according to the cache. `is_fresh` is true if the cache was synced for this request.
    fn decide(
        &mut self,
        ticket: u64,
        is_fresh: bool,
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let pending = self.pending.get(&ticket)?;
        let id = pending.request.job();
        match (&pending.request, store.cache.jobs.get(id)) {
            (UserRequest::Submit(spec), None) => {
                let spec = spec.clone();
                self.submit(ticket, &spec, is_fresh, store, now)
            }
            (UserRequest::Cancel(id), Some(job)) if !job.is_finished() => {
                let id = id.clone();
                self.cancel(ticket, &id, is_fresh, store, now)
            }
            (UserRequest::MalformedSubmission(_), None) => {
                Some(self.finish(ticket, Response::empty(400)))
            }
            (_, None) => Some(self.finish(ticket, Response::empty(404))),
            (_, Some(job)) => {
                let response = self.job_response(id, job, if pending.accepted { 201 } else { 200 });
                if job.final_state().is_some_and(|state| state.status == JobStatus::Cancelled) {
                    self.cancelled.push((id.clone(), pending.received_at));
                }
                Some(self.finish(ticket, response))
            }
        }
    }

    fn commit(
        &mut self,
        ticket: u64,
        transaction: Transaction,
        is_fresh: bool,
        store: &mut StoreClient,
    ) {
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.committing = true;
            pending.synced |= is_fresh;
            if pending.request.has_dependencies() && !pending.synced {
                store.sync_urgently(ticket);
            }
        }
        store.enqueue(PendingWrite {
            priority: WritePriority::Interactive,
            origin: WriteOrigin::User(ticket),
            transaction,
        });
    }

    /// Continues a request whose linearizable read has completed.
    pub fn on_synced(
        &mut self,
        ticket: u64,
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        if let Some(pending) = self.pending.get_mut(&ticket)
            && pending.committing
        {
            pending.synced = true;
            return None;
        }
        self.decide(ticket, true, store, now)
    }

    /// Handles the outcome of a request's commit.
    pub fn on_outcome(
        &mut self,
        ticket: u64,
        outcome: WriteOutcome,
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        self.pending.get_mut(&ticket)?.committing = false;
        match outcome {
            WriteOutcome::Committed => self.on_committed(ticket, store, now),
            // The store rejects this transaction permanently; the store client has logged its keys.
            WriteOutcome::Invalid => Some(self.finish_with_retry(ticket)),
            // Another controller changed the job, or the commit failed or may have failed: read, then decide again.
            WriteOutcome::Conflict | WriteOutcome::NotExecuted | WriteOutcome::Unknown => {
                self.sync(ticket, store)
            }
        }
    }

    fn on_committed(
        &mut self,
        ticket: u64,
        store: &mut StoreClient,
        now: Instant,
    ) -> Option<Response> {
        let pending = self.pending.get_mut(&ticket)?;
        if pending.writes_spec_chunks {
            return self.decide(ticket, false, store, now);
        }
        if pending.request.has_dependencies() && !pending.synced {
            pending.accepted = true;
            return None;
        }
        let (id, status, code) = match &pending.request {
            UserRequest::Submit(spec) => (spec.id.clone(), JobStatus::Queued, 201),
            UserRequest::Cancel(id) => (id.clone(), JobStatus::Cancelled, 200),
            UserRequest::MalformedSubmission(_) | UserRequest::Poll(_) => return None,
        };
        if status == JobStatus::Cancelled {
            self.cancelled.push((id.clone(), now));
        }
        // A job that depends on a cancelled job is accepted and immediately cancelled.
        let response = match store.cache.jobs.get(&id) {
            Some(job) => self.job_response(&id, job, code),
            None => encode_view(code, &JobView { id, status, done: 0, running: 0 }),
        };
        Some(self.finish(ticket, response))
    }

    /// Rejects requests past their deadline, or all pending requests if the store is unavailable.
    pub fn tick(&mut self, store: &StoreClient, now: Instant) -> Vec<Answer> {
        let unavailable = store.is_unavailable(now);
        let is_expired = |pending: &PendingRequest| unavailable || now >= pending.deadline;
        let expired = self.pending.iter().filter(|(_, pending)| is_expired(pending));
        let expired: Vec<u64> = expired.map(|(ticket, _)| *ticket).collect();
        self.remove_old_cancellations(now);
        let answer = |ticket| Answer { ticket, response: self.finish_with_retry(ticket) };
        expired.into_iter().map(answer).collect()
    }

    fn job_response(&self, id: &JobId, job: &Job, status_code: u16) -> Response {
        let id = id.clone();
        let view = match (job.final_state(), job.live()) {
            (Some(FinalState { status, completed_tasks }), _) => {
                JobView { id, status, done: completed_tasks, running: 0 }
            }
            (None, live) => {
                let running = u64::from(self.running.get(&id).copied().unwrap_or(0));
                let status = if running > 0 { JobStatus::Running } else { JobStatus::Queued };
                let done = live.map_or(0, |live| live.completed_count());
                JobView { id, status, done, running }
            }
        };
        encode_view(status_code, &view)
    }

    fn retry_later(&mut self) -> Response {
        self.rejected += 1;
        Response::retry_after(503, retry_after_s(self.pending.len(), self.rejected))
    }

    fn finish_with_retry(&mut self, ticket: u64) -> Response {
        let response = self.retry_later();
        self.finish(ticket, response)
    }

    fn finish(&mut self, ticket: u64, response: Response) -> Response {
        if let Some(pending) = self.pending.remove(&ticket) {
            let ms = pending.received_at.elapsed().as_millis() as u64;
            self.latency_ms.saturating_record(ms);
        }
        response
    }
}

fn encode_view(status_code: u16, view: &JobView) -> Response {
    Response::with(status_code, wire::encode(view))
}

#[cfg(test)]
mod tests;
