//! Queue of received requests, and the clients that wait for responses.

use super::Event;
use crate::admission::{AdmissionQueue, RequestClass, retry_after_s};
use crate::api::request_class;
use crate::controller::FIRST_TICKET;
use crate::http::{Incoming, Request, Response};
use foldhash::HashMap;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

/// Maximum number of queued requests per process; further requests are rejected at once.
pub(super) const REQUEST_QUEUE_CAPACITY: usize = crate::api::MAX_PENDING_REQUESTS;

/// A response that a client waits for.
pub(super) struct PendingResponse {
    pub(super) reply: oneshot::Sender<Response>,
    pub(super) class: RequestClass,
}

struct Queued {
    ticket: u64,
    request: Request,
    /// Permit that is released when the request is handled; it bounds the number of requests read at once.
    _permit: OwnedSemaphorePermit,
}

/// Received requests and pending responses.
pub(super) struct RequestQueue {
    /// Requests that are not in the queue yet.
    received: Vec<Incoming>,
    queue: AdmissionQueue<Queued>,
    /// Pending responses by ticket.
    pending: HashMap<u64, PendingResponse>,
    last_ticket: u64,
}

impl RequestQueue {
    pub(super) fn new() -> RequestQueue {
        RequestQueue {
            received: Vec::new(),
            queue: AdmissionQueue::new(REQUEST_QUEUE_CAPACITY),
            pending: HashMap::default(),
            last_ticket: FIRST_TICKET,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(super) fn receive(&mut self, incoming: Incoming) {
        self.received.push(incoming);
    }

    /// Moves the received requests to the queue and rejects those that exceed its capacity.
    pub(super) fn admit(&mut self, now: Instant) {
        let mut received = std::mem::take(&mut self.received);
        for Incoming { request, reply, permit } in received.drain(..) {
            self.last_ticket += 1;
            let ticket = self.last_ticket;
            let class = request_class(&request);
            self.pending.insert(ticket, PendingResponse { reply, class });
            let queued = Queued { ticket, request, _permit: permit };
            if let Some(rejected) = self.queue.push(class, queued, now) {
                self.reject(rejected.ticket);
            }
        }
        // Reuses the allocation.
        self.received = received;
    }

    /// Returns the next request to handle. Rejects it and returns `None` if its client has presumably timed out.
    pub(super) fn next(&mut self, now: Instant) -> Option<Event> {
        let next = self.queue.pop(now)?;
        let Queued { ticket, request, .. } = next.request;
        if next.is_expired {
            self.reject(ticket);
            return None;
        }
        Some(Event::Request { ticket, request })
    }

    pub(super) fn take_pending(&mut self, ticket: u64) -> Option<PendingResponse> {
        self.pending.remove(&ticket)
    }

    /// Rejects a request with a Retry-After time that depends on the length of the queue.
    fn reject(&mut self, ticket: u64) {
        if let Some(pending) = self.take_pending(ticket) {
            let retry_after = retry_after_s(self.queue.len(), ticket);
            let _ = pending.reply.send(Response::retry_after(503, retry_after));
        }
    }
}
