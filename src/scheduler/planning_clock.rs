//! When the leader plans, and how it slows down where its process falls behind.

use crate::store::TokenBucket;
use std::time::Duration;
use tokio::time::Instant;

/// For so long after a late tick a process takes no silence for anybody's death.
const BEHIND_FOR: Duration = Duration::from_secs(3);
/// Longest pause between two planning rounds when nothing asks for one.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(1000);
/// Shortest pause between two planning rounds.
pub(super) const MIN_PASS_INTERVAL: Duration = Duration::from_millis(120);
/// Count. A pass is followed by a pause so many times as long as it took, if that is more.
const PASS_PAUSE_FACTOR: u32 = 4;
/// Starts a second of least urgent tasks: at first, and at the least and most. Ten keep an array
/// going; thousands of tasks of a few seconds only fill heartbeats, which a new leader has to read
/// all at once.
const LOW_PRIORITY_STARTS_INITIAL: f64 = 100.0;
const LOW_PRIORITY_STARTS_MIN: f64 = 10.0;
const LOW_PRIORITY_STARTS_MAX: f64 = 250.0;
/// By how many a second that rate grows with each look at which the process was not late.
const LOW_PRIORITY_STARTS_STEP: f64 = 5.0;
/// Pause between two such looks.
pub(super) const PACE_ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(250);
/// A tick this late shows that the process falls behind.
pub(crate) const LATE: Duration = Duration::from_millis(150);

/// When planning passes and the periodic watch over machines are due.
#[derive(Debug)]
pub(super) struct PlanningClock {
    /// When the machines as a whole are looked at next.
    pub(super) next_watch: Instant,
    /// The earliest time of the next planning pass.
    pub(super) next_pass: Instant,
    /// Whether something happened that may change the plan.
    pub(super) pass_requested: bool,
    /// When a pass is due even if no task waits for it.
    pub(super) next_unconditional_pass: Instant,
    /// Whether a pass was made in the event that is being handled.
    pub(super) pass_in_this_event: bool,
}

impl PlanningClock {
    /// A clock by which everything is due now.
    pub(super) fn new(now: Instant) -> PlanningClock {
        PlanningClock {
            next_watch: now,
            next_pass: now,
            pass_requested: true,
            next_unconditional_pass: now,
            pass_in_this_event: false,
        }
    }

    /// When the next pass is due, if one is requested.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.pass_requested.then_some(self.next_pass)
    }

    /// Starts a new round if one is due. Without a request one is due after a longer time.
    pub(super) fn start_round(&mut self, now: Instant) -> bool {
        let patience = if self.pass_requested { Duration::ZERO } else { MAX_PASS_INTERVAL };
        if now < self.next_pass + patience {
            return false;
        }
        self.pass_requested = false;
        self.next_pass = now + MIN_PASS_INTERVAL;
        true
    }

    /// Records how long the last event took to handle. Passes take a bounded share of the
    /// processor, however much waits: else they leave no time to carry out what they decide, nor
    /// to renew the leader's lease.
    pub(super) fn record_duration(&mut self, took: Duration, now: Instant) {
        if std::mem::take(&mut self.pass_in_this_event) {
            self.next_pass = self.next_pass.max(now + took * PASS_PAUSE_FACTOR);
        }
    }
}

/// Bounds how many low-priority tasks are started a second: where the process falls behind, the
/// thousands of small tasks of one array must not cost everybody else their leader.
#[derive(Debug)]
pub(super) struct StartPacer {
    /// Starts of low-priority tasks that are allowed now.
    pub(super) low_priority_starts: TokenBucket,
    /// Low-priority starts a second.
    rate: f64,
    /// When the rate is adjusted next.
    next_adjustment: Instant,
    /// When this process last fell behind.
    last_behind: Option<Instant>,
}

impl StartPacer {
    /// A pacer at its first rate.
    pub(super) fn new(now: Instant) -> StartPacer {
        StartPacer {
            low_priority_starts: TokenBucket::new(LOW_PRIORITY_STARTS_INITIAL, 1.0, now),
            rate: LOW_PRIORITY_STARTS_INITIAL,
            next_adjustment: now,
            last_behind: None,
        }
    }

    /// Adjusts the rate by how late the process is.
    pub(super) fn adjust(&mut self, late: Duration, now: Instant) {
        if now < self.next_adjustment {
            return;
        }
        self.next_adjustment = now + PACE_ADJUSTMENT_INTERVAL;
        if late > LATE {
            self.last_behind = Some(now);
        }
        let rate = if late > LATE { self.rate / 2.0 } else { self.rate + LOW_PRIORITY_STARTS_STEP };
        self.rate = rate.clamp(LOW_PRIORITY_STARTS_MIN, LOW_PRIORITY_STARTS_MAX);
        self.low_priority_starts.set_rate(self.rate, now);
    }

    /// Whether this process fell behind a moment ago.
    pub(super) fn is_behind(&self, now: Instant) -> bool {
        self.last_behind.is_some_and(|at| now < at + BEHIND_FOR)
    }
}
