//! Timing of planning passes, and the rate limit on starts when the process falls behind.

use crate::store::TokenBucket;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a late tick during which the process doesn't treat others' silence as a failure.
const LATE_TICK_GRACE: Duration = Duration::from_secs(3);
/// Maximum interval between planning passes if none is requested.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(1000);
/// Minimum interval between planning passes.
pub(super) const MIN_PASS_INTERVAL: Duration = Duration::from_millis(120);
/// Minimum pause after a pass, as a multiple of the pass's duration.
const PASS_PAUSE_FACTOR: u32 = 4;
/// Initial rate limit on starts of low-priority tasks, per second.
const LOW_PRIORITY_STARTS_INITIAL: f64 = 100.0;
/// Minimum rate, in starts per second: enough for an array to make progress.
const LOW_PRIORITY_STARTS_MIN: f64 = 10.0;
/// Maximum rate, in starts per second. Starting thousands of tasks of a few seconds each mainly
/// fills heartbeats, which a new leader has to process all at once.
const LOW_PRIORITY_STARTS_MAX: f64 = 250.0;
/// Increase of the rate, in starts per second, at each adjustment without a late tick.
const LOW_PRIORITY_STARTS_STEP: f64 = 5.0;
/// Interval between adjustments of the rate.
pub(super) const PACE_ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Lateness of a tick above which the process counts as falling behind.
pub(crate) const LATE_TICK: Duration = Duration::from_millis(150);

/// Due times of planning passes and of the periodic check of machines.
#[derive(Debug)]
pub(super) struct PlanningClock {
    /// Time of the next check of all machines.
    pub(super) next_check: Instant,
    /// Earliest time of the next planning pass.
    pub(super) next_pass: Instant,
    /// True if an event occurred that may change the plan.
    pub(super) pass_requested: bool,
    /// Time from which a pass is due even if no work is pending.
    pub(super) next_unconditional_pass: Instant,
    /// True if the event that is being handled included a pass.
    pub(super) pass_in_this_event: bool,
}

impl PlanningClock {
    /// Creates a clock for which a pass and the check of machines are due now.
    pub(super) fn new(now: Instant) -> PlanningClock {
        PlanningClock {
            next_check: now,
            next_pass: now,
            pass_requested: true,
            next_unconditional_pass: now,
            pass_in_this_event: false,
        }
    }

    /// Returns the time at which the next pass is due, if one is requested.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.pass_requested.then_some(self.next_pass)
    }

    /// Returns whether a pass is due, and if so schedules the next. Without a request, a pass is
    /// due after [`MAX_PASS_INTERVAL`].
    pub(super) fn start_pass_if_due(&mut self, now: Instant) -> bool {
        let max_delay = if self.pass_requested { Duration::ZERO } else { MAX_PASS_INTERVAL };
        if now < self.next_pass + max_delay {
            return false;
        }
        self.pass_requested = false;
        self.next_pass = now + MIN_PASS_INTERVAL;
        true
    }

    /// Records how long the last event took to handle. Passes take a bounded share of the
    /// processor, however many tasks wait: otherwise they would leave no time to carry out their
    /// decisions or to renew the leader lease.
    pub(super) fn record_duration(&mut self, took: Duration, now: Instant) {
        if std::mem::take(&mut self.pass_in_this_event) {
            self.next_pass = self.next_pass.max(now + took * PASS_PAUSE_FACTOR);
        }
    }
}

/// Limits the rate at which low-priority tasks are started. If the process falls behind, the rate
/// drops, so that thousands of small tasks of one array don't overload the leader until it loses
/// its leadership, at the expense of all other users.
#[derive(Debug)]
pub(super) struct StartPacer {
    /// Token bucket for starts of low-priority tasks.
    pub(super) low_priority_starts: TokenBucket,
    /// Current limit, in starts per second.
    rate: f64,
    /// Time of the next adjustment of the rate.
    next_adjustment: Instant,
    /// Time at which this process was last found to be behind.
    last_behind: Option<Instant>,
}

impl StartPacer {
    /// Creates a pacer at the initial rate.
    pub(super) fn new(now: Instant) -> StartPacer {
        StartPacer {
            low_priority_starts: TokenBucket::new(LOW_PRIORITY_STARTS_INITIAL, 1.0, now),
            rate: LOW_PRIORITY_STARTS_INITIAL,
            next_adjustment: now,
            last_behind: None,
        }
    }

    /// Adjusts the rate to the lateness of the last tick: halves it after a late tick, and
    /// otherwise increases it by [`LOW_PRIORITY_STARTS_STEP`].
    pub(super) fn adjust(&mut self, late: Duration, now: Instant) {
        if now < self.next_adjustment {
            return;
        }
        self.next_adjustment = now + PACE_ADJUSTMENT_INTERVAL;
        if late > LATE_TICK {
            self.last_behind = Some(now);
        }
        let rate =
            if late > LATE_TICK { self.rate / 2.0 } else { self.rate + LOW_PRIORITY_STARTS_STEP };
        self.rate = rate.clamp(LOW_PRIORITY_STARTS_MIN, LOW_PRIORITY_STARTS_MAX);
        self.low_priority_starts.set_rate(self.rate, now);
    }

    /// Returns whether this process was found to be behind recently.
    pub(super) fn is_behind(&self, now: Instant) -> bool {
        self.last_behind.is_some_and(|at| now < at + LATE_TICK_GRACE)
    }
}
