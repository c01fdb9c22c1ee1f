//! Estimation of the load of this process.

use std::time::Duration;

/// Load that the process measures itself: the share of time spent handling events, without the work that the operating
/// system does on its behalf.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    events: u32,
    busy: Duration,
    max_lateness: Duration,
}

impl LoadEstimator {
    /// Records an event and the time spent handling it.
    pub fn record_event(&mut self, took: Duration) {
        self.events += 1;
        self.busy += took;
    }

    /// Records the delay of a tick.
    pub fn record_lateness(&mut self, lateness: Duration) {
        self.max_lateness = self.max_lateness.max(lateness);
    }

    /// Returns the number of events since the estimator was created.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns the longest delay of a tick.
    pub fn max_lateness(&self) -> Duration {
        self.max_lateness
    }

    /// Returns the mean time per event, in microseconds.
    pub fn mean_us(&self) -> u64 {
        (self.busy / self.events.max(1)).as_micros() as u64
    }

    /// Returns the busy share of the elapsed time, rounded to hundredths.
    pub fn busy_share(&self, elapsed: Duration) -> f64 {
        (self.busy.as_secs_f64() / elapsed.as_secs_f64() * 100.0).round() / 100.0
    }
}
