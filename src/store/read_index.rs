//! Linearizable reads: a read waits until the cache contains everything that had been committed when
//! the read was requested. One request to the store (a watch with a zero wait) serves all queued reads.

use std::time::Duration;
use tokio::time::Instant;

/// Minimum pause between two read-index requests of one process.
const REQUEST_PAUSE: Duration = Duration::from_millis(120);
/// Additional pause while only polls are queued, so that more of them share the next request. Users
/// allow 2 s for a poll and expect to see changes within 3 s. A submission that depends on jobs accepted
/// a moment ago must be answered within 200 ms and is therefore urgent.
const SHARED_PAUSE: Duration = Duration::from_millis(130);

/// Queued reads, and the time at which the next request may be sent.
#[derive(Debug)]
pub(super) struct ReadIndex {
    in_flight: bool,
    next_at: Instant,
    /// Time at which the next request may be sent if no queued read is urgent.
    next_shared_at: Instant,
    waiting: Vec<u64>,
    /// True if the next request is sent without the additional pause of [`SHARED_PAUSE`].
    urgent: bool,
}

impl ReadIndex {
    pub(super) fn new(now: Instant) -> ReadIndex {
        ReadIndex {
            in_flight: false,
            next_at: now,
            next_shared_at: now,
            waiting: Vec::new(),
            urgent: false,
        }
    }

    pub(super) fn add(&mut self, ticket: u64) {
        self.waiting.push(ticket);
    }

    pub(super) fn add_urgent(&mut self, ticket: u64) {
        self.urgent = true;
        self.add(ticket);
    }

    /// Returns the number of reads that wait for a request that has not been sent yet.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn due_at(&self) -> Instant {
        if self.urgent { self.next_at } else { self.next_shared_at }
    }

    /// Returns the time at which the next request may be sent, if one is needed.
    pub(super) fn next_due(&self) -> Option<Instant> {
        (!self.in_flight && !self.waiting.is_empty()).then(|| self.due_at())
    }

    /// Marks a request as sent and returns the tickets of the reads that it serves.
    pub(super) fn begin(&mut self) -> Vec<u64> {
        self.in_flight = true;
        self.urgent = false;
        std::mem::take(&mut self.waiting)
    }

    pub(super) fn on_success(&mut self, now: Instant) {
        self.in_flight = false;
        self.next_at = now + REQUEST_PAUSE;
        self.next_shared_at = self.next_at + SHARED_PAUSE;
    }

    /// Queues the reads of a failed request again, for the next request.
    pub(super) fn on_failure(&mut self, tickets: Vec<u64>, retry_at: Instant) {
        self.in_flight = false;
        self.next_at = retry_at;
        self.next_shared_at = retry_at;
        self.waiting.extend(tickets);
    }
}
