//! Pacing of the long poll that receives changes of the watched keys.

use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which the store waits for a change before it answers a watch.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Pause of the leader between two watches. A burst of changes costs at most 10 requests per second,
/// and the leader sees a new submission after at most this time.
const LEADER_PAUSE: Duration = Duration::from_millis(100);
/// Pause of a follower between two watches. Followers need changes to answer polls (a read index
/// brings them sooner) and to detect that there is no leader. The pause is longer than the leader's
/// because handling a response of the store costs more than all other work of a follower.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(200);

/// Time at which the next watch, or the next page of a snapshot, may be requested.
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
