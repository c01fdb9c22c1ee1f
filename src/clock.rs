//! The time of day, for cores that have no clock: what it was at one moment, carried on by steady
//! time. It orders jobs by age and says when they are due; nothing safe depends on it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    pub at: Instant,
    /// Milliseconds since 1970.
    pub ms: u64,
}

impl WallClock {
    pub fn read(now: Instant) -> WallClock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallClock { at: now, ms: since.map_or(0, |t| t.as_millis() as u64) }
    }
    pub fn ms(&self, now: Instant) -> u64 {
        let before = self.at.saturating_duration_since(now).as_millis() as u64;
        let after = now.saturating_duration_since(self.at).as_millis() as u64;
        self.ms.saturating_add(after).saturating_sub(before)
    }
    /// How long ago that time of day was; zero for what is to come.
    pub fn since(&self, ms: u64, now: Instant) -> Duration {
        Duration::from_millis(self.ms(now).saturating_sub(ms))
    }
}
