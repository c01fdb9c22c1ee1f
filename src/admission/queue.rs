//! Queue of requests that wait to be handled, ordered by class.

use crate::constants::{CHANGE_DEADLINE, POLL_DEADLINE};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Class of a request, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Health checks, heartbeats, cancellations, and all requests that are neither submissions nor polls.
    Critical,
    /// Job submissions.
    Submission,
    /// Polls of a job's state.
    Poll,
}

impl RequestClass {
    /// Returns the time after which the sender of a request of this class has given up.
    fn timeout(self) -> Duration {
        match self {
            RequestClass::Critical => Duration::MAX,
            RequestClass::Submission => CHANGE_DEADLINE,
            RequestClass::Poll => POLL_DEADLINE,
        }
    }
}

const CLASSES: [RequestClass; 3] =
    [RequestClass::Critical, RequestClass::Submission, RequestClass::Poll];

/// A request taken from the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Dequeued<T> {
    /// Request to handle.
    pub request: T,
    /// True if the sender no longer waits for a response.
    pub is_expired: bool,
}

#[derive(Debug)]
struct Queued<T> {
    request: T,
    enqueued_at: Instant,
}

/// Requests that wait to be handled, by class.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queues: [VecDeque<Queued<T>>; CLASSES.len()],
    capacity: usize,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> AdmissionQueue<T> {
        AdmissionQueue { queues: std::array::from_fn(|_| VecDeque::new()), capacity }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request. Beyond the capacity it removes and returns a request to be rejected: the newest of the least
    /// important class, since that one has waited least.
    pub fn push(&mut self, class: RequestClass, request: T, now: Instant) -> Option<T> {
        self.queues[class as usize].push_back(Queued { request, enqueued_at: now });
        if self.len() <= self.capacity {
            return None;
        }
        let queue = self.queues.iter_mut().rev().find(|queue| !queue.is_empty())?;
        queue.pop_back().map(|queued| queued.request)
    }

    /// Removes and returns the oldest request of the most important class.
    pub fn pop(&mut self, now: Instant) -> Option<Dequeued<T>> {
        self.queues.iter_mut().zip(CLASSES).find_map(|(queue, class)| {
            let Queued { request, enqueued_at } = queue.pop_front()?;
            let is_expired = now.saturating_duration_since(enqueued_at) > class.timeout();
            Some(Dequeued { request, is_expired })
        })
    }
}
