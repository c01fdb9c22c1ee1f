//! Wall-clock time for state machines without a clock: one reading, extrapolated by the monotonic clock.
//!
//! It orders jobs by age and determines when they are due. No safety property depends on it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reading of the wall clock, paired with the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    /// Monotonic time of the reading.
    pub at: Instant,
    /// Wall-clock time of the reading, in milliseconds since the Unix epoch.
    pub ms: u64,
}

impl WallClock {
    /// Reads the system's wall clock; `now` is the current monotonic time.
    pub fn read(now: Instant) -> WallClock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallClock { at: now, ms: since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64) }
    }

    /// Returns the wall-clock time at the monotonic time `now`, in milliseconds since the Unix epoch.
    pub fn ms(&self, now: Instant) -> u64 {
        let before = self.at.saturating_duration_since(now).as_millis() as u64;
        let after = now.saturating_duration_since(self.at).as_millis() as u64;
        self.ms.saturating_add(after).saturating_sub(before)
    }

    /// Returns the time elapsed since the wall-clock time `ms`; zero if it is in the future.
    pub fn since(&self, ms: u64, now: Instant) -> Duration {
        Duration::from_millis(self.ms(now).saturating_sub(ms))
    }
}
