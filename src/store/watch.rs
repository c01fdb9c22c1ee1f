//! Pacing of the long poll that receives changes of the watched keys.

use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which the store waits for a change before it answers a watch.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Pause of the leader between two watches. It limits a burst of changes to 10 requests per second, and
/// delays the leader's first reading of a new submission by at most this time.
const LEADER_PAUSE: Duration = Duration::from_millis(100);
/// Pause of a follower between two watches. It is longer than the leader's, because handling responses
/// of the store costs a follower more than all its other work. Followers need the changes only to detect
/// that there is no leader, and to answer polls, for which read-index requests deliver them sooner.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(200);

/// State of the watch, and the time at which the next watch or the next page of a snapshot may be requested.
#[derive(Debug)]
pub(super) struct Watch {
    in_flight: bool,
    next_at: Instant,
    pause: Duration,
}

impl Watch {
    pub(super) fn new(now: Instant) -> Watch {
        Watch { in_flight: false, next_at: now, pause: FOLLOWER_PAUSE }
    }

    /// Selects the pause between watches by role: the leader receives changes sooner.
    pub(super) fn set_leading(&mut self, leading: bool) {
        self.pause = if leading { LEADER_PAUSE } else { FOLLOWER_PAUSE };
    }

    pub(super) fn next_at(&self) -> Instant {
        self.next_at
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    pub(super) fn begin(&mut self) {
        self.in_flight = true;
    }

    pub(super) fn end(&mut self) {
        self.in_flight = false;
    }

    pub(super) fn on_success(&mut self, has_leader: bool, now: Instant) {
        // While there is no leader, every controller has to learn of the next one quickly.
        self.next_at = now + if has_leader { self.pause } else { LEADER_PAUSE };
    }

    pub(super) fn retry_at(&mut self, at: Instant) {
        self.next_at = at;
    }
}
