//! Paged listing of the rented machines.

use super::requests::MachineListing;
use crate::constants::RETRY_PAUSE;
use crate::wire::{ListedMachine, MachinePage};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between the end of one listing and the start of the next.
const LISTING_INTERVAL: Duration = Duration::from_secs(4);

/// Schedule of a periodic request, of which at most one is in flight.
pub(super) struct Schedule {
    due: Instant,
    in_flight: bool,
}

impl Schedule {
    pub(super) fn new(now: Instant) -> Schedule {
        Schedule { due: now, in_flight: false }
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.in_flight && now >= self.due
    }

    pub(super) fn begin(&mut self) {
        self.in_flight = true;
    }

    /// Records that the request has finished and that the next one is due at `next_due`.
    pub(super) fn end(&mut self, next_due: Instant) {
        (self.in_flight, self.due) = (false, next_due);
    }
}

/// Periodic listing of the rented machines, assembled from its pages.
pub(super) struct MachineLister {
    schedule: Schedule,
    /// Time at which the first page of the current listing was requested.
    requested_at: Option<Instant>,
    machines: Vec<ListedMachine>,
}

impl MachineLister {
    pub(super) fn new(now: Instant) -> MachineLister {
        MachineLister { schedule: Schedule::new(now), requested_at: None, machines: Vec::new() }
    }

    /// Discards the current listing and makes the next one due at once. A request in flight is not cancelled.
    pub(super) fn restart(&mut self, now: Instant) {
        self.schedule.due = now;
        self.requested_at = None;
        self.machines.clear();
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.schedule.is_due(now)
    }

    /// Records the request of the next page. Returns the last machine before it, or an empty text for the first page.
    pub(super) fn begin_page(&mut self, now: Instant) -> String {
        self.schedule.begin();
        self.requested_at.get_or_insert(now);
        self.machines.last().map(|machine| machine.machine.to_string()).unwrap_or_default()
    }

    /// Handles a page, or `None` if its request failed. Returns the listing once it is complete.
    pub(super) fn on_page(
        &mut self,
        page: Option<MachinePage>,
        now: Instant,
    ) -> Option<MachineListing> {
        let Some(page) = page else {
            self.schedule.end(now + RETRY_PAUSE * 4);
            return None;
        };
        let has_more = page.truncated && !page.machines.is_empty();
        self.machines.extend(page.machines);
        if has_more {
            // The next page is due at once.
            self.schedule.in_flight = false;
            return None;
        }
        self.schedule.end(now + LISTING_INTERVAL);
        Some(MachineListing {
            machines: std::mem::take(&mut self.machines),
            requested_at: self.requested_at.take().unwrap_or(now),
        })
    }
}
