//! The time of day, for cores that have no clock: what it was at one moment, carried on by monotonic time.
//!
//! It orders jobs by age and says when they are due; nothing safe depends on it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The time of day at one moment.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    /// The moment.
    pub at: Instant,
    /// Milliseconds since 1970 at that moment.
    pub ms: u64,
}

impl WallClock {
    /// Reads the system's time of day.
    pub fn read(now: Instant) -> WallClock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallClock { at: now, ms: since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64) }
    }

    /// Milliseconds since 1970 at another moment.
    pub fn ms(&self, now: Instant) -> u64 {
        let before = self.at.saturating_duration_since(now).as_millis() as u64;
        let after = now.saturating_duration_since(self.at).as_millis() as u64;
        self.ms.saturating_add(after).saturating_sub(before)
    }

    /// How long ago that time of day was; zero for one in the future.
    pub fn since(&self, ms: u64, now: Instant) -> Duration {
        Duration::from_millis(self.ms(now).saturating_sub(ms))
    }
}
