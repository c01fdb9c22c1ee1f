//! Requests that wait to be handled, and those whose response is awaited.

use super::Event;
use crate::admission::{AdmissionQueue, RequestClass, retry_after_s};
use crate::api::request_class;
use crate::controller::FIRST_TICKET;
use crate::http::{Incoming, Request, Response};
use foldhash::HashMap;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

/// Count. Requests waiting in one process; beyond it they are rejected at once.
pub(super) const REQUEST_QUEUE_CAPACITY: usize = crate::api::MAX_PENDING_REQUESTS;

/// Who waits for a response.
pub(super) struct Waiting {
    pub(super) reply: oneshot::Sender<Response>,
    pub(super) class: RequestClass,
}

/// A request in the queue.
struct Queued {
    ticket: u64,
    request: Request,
    /// Held until the request is handled: only so many are read at once.
    _turn: OwnedSemaphorePermit,
}

/// Requests that have come, by ticket.
pub(super) struct RequestQueue {
    /// Those that are not in the queue yet.
    received: Vec<Incoming>,
    queue: AdmissionQueue<Queued>,
    waiting: HashMap<u64, Waiting>,
    last_ticket: u64,
}

impl RequestQueue {
    pub(super) fn new() -> RequestQueue {
        RequestQueue {
            received: Vec::new(),
            queue: AdmissionQueue::new(REQUEST_QUEUE_CAPACITY),
            waiting: HashMap::default(),
            last_ticket: FIRST_TICKET,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(super) fn receive(&mut self, incoming: Incoming) {
        self.received.push(incoming);
    }

    /// Queues what was received; what goes over is rejected.
    pub(super) fn admit(&mut self, now: Instant) {
        let mut received = std::mem::take(&mut self.received);
        for Incoming { request, reply, turn } in received.drain(..) {
            self.last_ticket += 1;
            let ticket = self.last_ticket;
            let class = request_class(&request);
            self.waiting.insert(ticket, Waiting { reply, class });
            let queued = Queued { ticket, request, _turn: turn };
            if let Some(rejected) = self.queue.push(class, queued, now) {
                self.reject(rejected.ticket);
            }
        }
        // Its allocation is used again.
        self.received = received;
    }

    /// The next request to handle. One whose sender has given up is rejected instead.
    pub(super) fn next(&mut self, now: Instant) -> Option<Event> {
        let next = self.queue.pop(now)?;
        let Queued { ticket, request, .. } = next.request;
        if next.is_expired {
            self.reject(ticket);
            return None;
        }
        Some(Event::Request { ticket, request })
    }

    pub(super) fn take_waiting(&mut self, ticket: u64) -> Option<Waiting> {
        self.waiting.remove(&ticket)
    }

    /// Tells a sender when to retry.
    fn reject(&mut self, ticket: u64) {
        if let Some(waiting) = self.take_waiting(ticket) {
            let retry_after = retry_after_s(self.queue.len(), ticket);
            let _ = waiting.reply.send(Response::later_in(503, retry_after));
        }
    }
}
