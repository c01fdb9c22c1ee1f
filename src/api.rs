//! Users' requests: a state machine without I/O that decides each response from the cache, after a
//! linearizable read or a commit where the response needs one.

mod cancellation;
mod request;
mod routing;
mod submission;
mod validation;

pub use routing::{Route, request_class, route, valid_id};

use crate::admission::retry_after_s;
use crate::api::request::{PendingRequest, UserRequest};
use crate::clock::WallClock;
use crate::constants::{CHANGE_DEADLINE, USER_DEADLINE};
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

/// Count. Users' requests that wait in one process; beyond it they are refused at once.
pub const USER_QUEUE_MAX: usize = 2000;
/// Milliseconds. The longest latency that the histogram tells apart.
const LATENCY_MAX_MS: u64 = 60_000;

/// All requests of users that have no response yet, and what the responses need.
pub struct Api {
    settings: Arc<Settings>,
    /// The time of day.
    pub wall: WallClock,
    pending: BTreeMap<u64, PendingRequest>,
    /// Running tasks by job, as the leader last published them.
    pub running: BTreeMap<JobId, u32>,
    /// Jobs of which this process told users that they are cancelled, and when: a leader that is
    /// cut off from the store learns them from its peers.
    pub cancelled: Vec<(JobId, Instant)>,
    /// How long requests took.
    pub latency_ms: Histogram<u64>,
    /// Count of requests that were told to be sent again later.
    pub refused: u64,
    /// What other controllers have acknowledged.
    pub cancellation_acks: CancellationAcks,
    /// Cancellations that this controller acknowledged, or is about to commit itself.
    pub acknowledged_cancellations: AcknowledgedCancellations,
    /// Which controllers are to be asked to acknowledge the cancellation of which job.
    pub ack_requests: Vec<(ControllerId, JobId)>,
    /// When each was asked last.
    asked: HashMap<(ControllerId, JobId), Instant>,
}

/// The response to a request that had to wait.
#[derive(Debug)]
pub struct Answer {
    /// Names the request.
    pub ticket: u64,
    /// Its response.
    pub response: Response,
}

impl Api {
    /// No requests yet.
    ///
    /// # Errors
    /// The histogram of latencies can't be made.
    pub fn new(settings: Arc<Settings>, wall: WallClock) -> Result<Api, CreationError> {
        let platform = &settings.platform;
        let workers = &platform.params.workers;
        let peers = platform.others.iter().map(|peer| peer.host_name.clone()).collect();
        Ok(Api {
            cancellation_acks: CancellationAcks::new(peers, workers.lease_s, workers.cancel_s),
            acknowledged_cancellations: AcknowledgedCancellations::default(),
            ack_requests: Vec::new(),
            asked: HashMap::new(),
            settings,
            wall,
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            cancelled: Vec::new(),
            latency_ms: Histogram::new_with_bounds(1, LATENCY_MAX_MS, 2)?,
            refused: 0,
        })
    }

    /// Takes a request in; a response that needs nothing more is returned at once.
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
        // A final state never changes, so the cache may answer.
        if let Some(job) = job
            && job.is_finished()
        {
            return Some(self.job_response(id, job, 200));
        }
        if store.cache.jobs.is_unreadable(id)
            || store.is_unavailable(now)
            || self.pending.len() >= USER_QUEUE_MAX
        {
            return Some(self.retry_later());
        }
        let allowed = if request.is_change() { CHANGE_DEADLINE } else { USER_DEADLINE };
        // A change goes to the store at once: its precondition finds out whether the cache was old.
        let direct = match &request {
            UserRequest::Submit(_) => job.is_none(),
            UserRequest::Cancel(_) => job.is_some(),
            UserRequest::MalformedSubmission(_) | UserRequest::Poll(_) => false,
        };
        self.pending.insert(ticket, PendingRequest::new(request, now, now + allowed));
        if direct { self.decide(ticket, false, store, now) } else { self.sync(ticket, store) }
    }

    /// Decides again once the cache is as new as the store was when the request came.
    fn sync(&self, ticket: u64, store: &mut StoreClient) -> Option<Response> {
        match self.pending.get(&ticket).map(|pending| &pending.request) {
            Some(UserRequest::Poll(_)) => store.sync(ticket),
            _ => store.sync_soon(ticket),
        }
        None
    }

    /// Responds, or commits, by what the cache says; `is_fresh` if it was synced for this request.
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
                store.sync_soon(ticket);
            }
        }
        store.enqueue(PendingWrite {
            priority: WritePriority::Interactive,
            origin: WriteOrigin::User(ticket),
            transaction,
        });
    }

    /// The cache is as new as the store was when this request asked for a linearizable read.
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

    /// The request's commit has an outcome.
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
            // The store will never take it as it is; the log says what.
            WriteOutcome::Invalid => Some(self.finish_with_retry(ticket)),
            // Done by somebody else, perhaps done, or not done: read again, then decide again.
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
        // A job that depends on a cancelled one is accepted, and cancelled from the start.
        let response = match store.cache.jobs.get(&id) {
            Some(job) => self.job_response(&id, job, code),
            None => encode_view(code, &JobView { id, status, done: 0, running: 0 }),
        };
        Some(self.finish(ticket, response))
    }

    /// Responds to what has waited too long, and to everything if the store is unavailable.
    pub fn tick(&mut self, store: &StoreClient, now: Instant) -> Vec<Answer> {
        let unavailable = store.is_unavailable(now);
        let overdue = |pending: &PendingRequest| unavailable || now >= pending.deadline;
        let late = self.pending.iter().filter(|(_, pending)| overdue(pending));
        let late: Vec<u64> = late.map(|(ticket, _)| *ticket).collect();
        self.forget_old_cancellations(now);
        let answer = |ticket| Answer { ticket, response: self.finish_with_retry(ticket) };
        late.into_iter().map(answer).collect()
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
        self.refused += 1;
        Response::retry_after(503, retry_after_s(self.pending.len(), self.refused))
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
