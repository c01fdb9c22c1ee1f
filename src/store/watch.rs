//! The long poll by which changes of watched keys arrive.

use std::time::Duration;
use tokio::time::Instant;

/// How long a watch waits at the store for a change.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Pause of a leader between two watches: a burst of changes costs at most 10 requests a second, and
/// a submission waits so long for its first look at the most.
const LEADER_PAUSE: Duration = Duration::from_millis(100);
/// The same for the other controllers, who need changes to answer polls (a read index brings them
/// sooner) and to see that nobody leads: a response of the store costs more than all else they do.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(200);

/// When the next watch, or the next page of a snapshot, may be asked for.
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

    /// The leader sees changes sooner.
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

    pub(super) fn ended(&mut self) {
        self.in_flight = false;
    }

    pub(super) fn succeeded(&mut self, has_leader: bool, now: Instant) {
        // While there is no leader, every controller has to see soon who is the next.
        self.next_at = now + if has_leader { self.pause } else { LEADER_PAUSE };
    }

    pub(super) fn retry_at(&mut self, at: Instant) {
        self.next_at = at;
    }
}
