//! Detection of periods in which this process didn't run.

use std::time::Duration;
use tokio::time::Instant;

/// Time without any event after which the process counts as stalled: several times the pause between ticks. For the
/// same time after it resumes, the events that it handles may be outdated.
pub(super) const STALL_THRESHOLD: Duration = Duration::from_millis(1000);

/// Detects that the process was stalled. Events in its queues are then outdated, and missing messages don't indicate a
/// failure of their senders.
#[derive(Debug)]
pub(super) struct StallDetector {
    last_event: Instant,
    resumed_at: Instant,
}

impl StallDetector {
    pub(super) fn new(now: Instant) -> StallDetector {
        StallDetector { last_event: now, resumed_at: now }
    }

    /// Records that an event is about to be handled. Ticks ensure several events per second.
    pub(super) fn record_event(&mut self, now: Instant) {
        let stalled = now.saturating_duration_since(self.last_event);
        if stalled > STALL_THRESHOLD {
            tracing::info!(stalled_ms = stalled.as_millis() as u64, "process stalled");
            self.resumed_at = now;
        }
        self.last_event = now;
    }

    /// Returns the time at which the process last resumed after a stall, or started.
    pub(super) fn resumed_at(&self) -> Instant {
        self.resumed_at
    }

    /// Returns whether an event that is handled now may have been queued while the process was stalled.
    pub(super) fn may_be_stale(&self, now: Instant) -> bool {
        now <= self.resumed_at + STALL_THRESHOLD
    }
}
