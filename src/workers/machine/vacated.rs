//! Capacity that tasks above low priority have vacated and that is kept for the next such task.

use super::Machine;
use std::time::Duration;
use tokio::time::Instant;

/// Time during which best-effort tasks are not placed on a machine after a task of higher priority has left it: the
/// next task of higher priority would stop them again.
const COOLDOWN: Duration = Duration::from_secs(5);
/// Maximum time for which the cooldowns of tasks that end one soon after another keep best-effort tasks away.
const MAX_SERIES: Duration = Duration::from_secs(30);

/// Tasks above low priority that ended one after another, each within the cooldown of the one before.
#[derive(Debug, Clone, Copy)]
pub(super) struct VacatedSeries {
    first: Instant,
    last: Instant,
}

impl Machine {
    /// Records that a task above low priority has vacated capacity.
    pub fn record_vacated(&mut self, now: Instant) {
        let series = self.vacated.filter(|series| now < series.next_series_at());
        self.vacated =
            Some(VacatedSeries { first: series.map_or(now, |series| series.first), last: now });
    }

    /// Returns whether best-effort tasks are kept off the machine.
    pub fn is_recently_vacated(&self, now: Instant) -> bool {
        self.vacated
            .is_some_and(|series| now < series.last + COOLDOWN && now < series.first + MAX_SERIES)
    }
}

impl VacatedSeries {
    /// Returns the time from which the end of a task begins a new series: the cooldown is over, and after a series of
    /// full length best-effort tasks have had as long as a cooldown to start.
    fn next_series_at(&self) -> Instant {
        (self.last + COOLDOWN).min(self.first + MAX_SERIES + COOLDOWN)
    }
}
