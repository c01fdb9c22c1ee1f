//! The listing of rented machines, page by page.

use super::requests::MachineListing;
use crate::constants::RETRY_PAUSE;
use crate::wire::{ListedMachine, MachinePage};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two listings.
const LISTING_INTERVAL: Duration = Duration::from_secs(4);

/// When a repeated request is due, of which one is in flight at a time.
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

    /// The request is sent.
    pub(super) fn begin(&mut self) {
        self.in_flight = true;
    }

    /// The request ended; the next is due then.
    pub(super) fn end(&mut self, next_due: Instant) {
        (self.in_flight, self.due) = (false, next_due);
    }
}

/// Lists the rented machines again and again.
pub(super) struct MachineLister {
    schedule: Schedule,
    /// When the first page of the listing under way was requested.
    requested_at: Option<Instant>,
    found: Vec<ListedMachine>,
}

impl MachineLister {
    pub(super) fn new(now: Instant) -> MachineLister {
        MachineLister { schedule: Schedule::new(now), requested_at: None, found: Vec::new() }
    }

    /// Drops what was found and begins anew; a request in flight stays.
    pub(super) fn restart(&mut self, now: Instant) {
        self.schedule.due = now;
        self.requested_at = None;
        self.found.clear();
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.schedule.is_due(now)
    }

    /// A page is requested: the name of the machine after which it begins.
    pub(super) fn begin_page(&mut self, now: Instant) -> String {
        self.schedule.begin();
        self.requested_at.get_or_insert(now);
        self.found.last().map(|machine| machine.machine.to_string()).unwrap_or_default()
    }

    /// Takes a page, or that there was none; returns the listing once it is complete.
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
        self.found.extend(page.machines);
        if has_more {
            // The next page is requested at once.
            self.schedule.in_flight = false;
            return None;
        }
        self.schedule.end(now + LISTING_INTERVAL);
        Some(MachineListing {
            machines: std::mem::take(&mut self.found),
            requested_at: self.requested_at.take().unwrap_or(now),
        })
    }
}
