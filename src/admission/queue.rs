//! The queue of requests that wait to be handled.

use crate::constants::{CHANGE_DEADLINE, USER_DEADLINE};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// What a request is about, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Health checks, heartbeats and cancellations.
    Critical,
    /// Submissions.
    Submission,
    /// Polls.
    Poll,
}

impl RequestClass {
    /// How long its sender waits for a response.
    fn timeout(self) -> Duration {
        match self {
            RequestClass::Critical => Duration::MAX,
            RequestClass::Submission => CHANGE_DEADLINE,
            RequestClass::Poll => USER_DEADLINE,
        }
    }
}

const CLASSES: [RequestClass; 3] =
    [RequestClass::Critical, RequestClass::Submission, RequestClass::Poll];

/// A request that is to be handled next.
#[derive(Debug, PartialEq, Eq)]
pub struct Dequeued<T> {
    /// The request.
    pub request: T,
    /// Its sender has given up by now.
    pub is_expired: bool,
}

#[derive(Debug)]
struct Queued<T> {
    request: T,
    since: Instant,
}

/// Requests that wait to be handled, by class.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queues: [VecDeque<Queued<T>>; CLASSES.len()],
    capacity: usize,
}

impl<T> AdmissionQueue<T> {
    /// An empty queue for that many requests.
    pub fn new(capacity: usize) -> AdmissionQueue<T> {
        AdmissionQueue { queues: std::array::from_fn(|_| VecDeque::new()), capacity }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request. Beyond the capacity it gives back the one that is rejected: the latest of the least important
    /// class, which has waited least.
    pub fn push(&mut self, class: RequestClass, request: T, now: Instant) -> Option<T> {
        self.queues[class as usize].push_back(Queued { request, since: now });
        if self.len() <= self.capacity {
            return None;
        }
        let queue = self.queues.iter_mut().rev().find(|queue| !queue.is_empty())?;
        queue.pop_back().map(|queued| queued.request)
    }

    /// The oldest request of the most important class.
    pub fn pop(&mut self, now: Instant) -> Option<Dequeued<T>> {
        self.queues.iter_mut().zip(CLASSES).find_map(|(queue, class)| {
            let Queued { request, since } = queue.pop_front()?;
            let is_expired = now.saturating_duration_since(since) > class.timeout();
            Some(Dequeued { request, is_expired })
        })
    }
}
