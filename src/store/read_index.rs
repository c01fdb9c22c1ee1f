//! Linearizable reads: a read waits until the cache holds all that had been committed when it was
//! asked for. One request to the store (a watch that doesn't wait) serves all reads that wait.

use std::time::Duration;
use tokio::time::Instant;

/// Pause between two such requests of one process.
const PAUSE: Duration = Duration::from_millis(120);
/// Added to it where only polls wait, so that more of them share the next: users give a poll 2 s and
/// expect news within 3 s. A submission that names jobs accepted a moment ago has 200 ms.
const SHARED_PAUSE: Duration = Duration::from_millis(130);

/// Which reads wait, and when the next request may go.
#[derive(Debug)]
pub(super) struct ReadIndex {
    in_flight: bool,
    next_at: Instant,
    /// The same where no read is urgent.
    next_shared_at: Instant,
    waiting: Vec<u64>,
    /// The next request isn't put off for other reads to share it.
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

    /// How many reads wait for a request that has not been sent yet.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn due_at(&self) -> Instant {
        if self.urgent { self.next_at } else { self.next_shared_at }
    }

    /// When the next request may go, if one is needed.
    pub(super) fn next_due(&self) -> Option<Instant> {
        (!self.in_flight && !self.waiting.is_empty()).then(|| self.due_at())
    }

    /// The request goes: the reads that it serves.
    pub(super) fn begin(&mut self) -> Vec<u64> {
        self.in_flight = true;
        self.urgent = false;
        std::mem::take(&mut self.waiting)
    }

    pub(super) fn succeeded(&mut self, now: Instant) {
        self.in_flight = false;
        self.next_at = now + PAUSE;
        self.next_shared_at = self.next_at + SHARED_PAUSE;
    }

    /// The reads that it would have served wait for the next one.
    pub(super) fn failed(&mut self, tickets: Vec<u64>, retry_at: Instant) {
        self.in_flight = false;
        self.next_at = retry_at;
        self.next_shared_at = retry_at;
        self.waiting.extend(tickets);
    }
}
