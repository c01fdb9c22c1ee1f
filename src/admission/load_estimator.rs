//! How busy this process is.

use std::time::Duration;

/// The load of a process as it can tell by itself: the share of time in which it handles events, without what the
/// system does for it.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    events: u32,
    busy: Duration,
    max_lateness: Duration,
}

impl LoadEstimator {
    /// Records that an event was handled.
    pub fn record_event(&mut self, took: Duration) {
        self.events += 1;
        self.busy += took;
    }

    /// Records how late a tick was.
    pub fn record_lateness(&mut self, lateness: Duration) {
        self.max_lateness = self.max_lateness.max(lateness);
    }

    /// Events since the estimator was created.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// The longest delay of a tick.
    pub fn max_lateness(&self) -> Duration {
        self.max_lateness
    }

    /// Microseconds that an event took on average.
    pub fn mean_us(&self) -> u64 {
        (self.busy / self.events.max(1)).as_micros() as u64
    }

    /// The busy share of that much time, rounded to hundredths.
    pub fn busy_share(&self, of: Duration) -> f64 {
        (self.busy.as_secs_f64() / of.as_secs_f64() * 100.0).round() / 100.0
    }
}
