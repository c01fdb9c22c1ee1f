//! Whether this process was stopped for a while.

use std::time::Duration;
use tokio::time::Instant;

/// A process that handled nothing for this long, several of the pauses between ticks, was stalled. For as long again
/// what it handles may have waited for it.
pub(super) const STALLED_AFTER: Duration = Duration::from_millis(1000);

/// Notices that the process was stopped: what it then finds in its queues is old, and that it has heard nothing
/// meanwhile proves nothing about anyone.
#[derive(Debug)]
pub(super) struct StallDetector {
    last_event: Instant,
    resumed_at: Instant,
}

impl StallDetector {
    pub(super) fn new(now: Instant) -> StallDetector {
        StallDetector { last_event: now, resumed_at: now }
    }

    /// An event is about to be handled. Ticks come several times a second.
    pub(super) fn record_event(&mut self, now: Instant) {
        let stalled = now.saturating_duration_since(self.last_event);
        if stalled > STALLED_AFTER {
            tracing::info!(stalled_ms = stalled.as_millis() as u64, "process stalled");
            self.resumed_at = now;
        }
        self.last_event = now;
    }

    /// When the process last went on after it was stalled, or started.
    pub(super) fn resumed_at(&self) -> Instant {
        self.resumed_at
    }

    /// Whether what is handled now may have waited while the process was stalled.
    pub(super) fn may_be_stale(&self, now: Instant) -> bool {
        now <= self.resumed_at + STALLED_AFTER
    }
}
