//! Rentals of machines that have no final response from the cloud yet.

use super::requests::{CloudEvent, CloudRequest, MachinePool};
use crate::constants::{MAX_MACHINES_PER_RENTAL, RETRY_PAUSE};
use crate::ids::{FencingToken, MachineId};
use crate::wire::RentalRequest;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Machines of a pool that were requested, without a final response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingRental {
    /// Pool of the requested machines.
    pub pool: MachinePool,
    /// Number of requested machines.
    pub count: u32,
}

/// Result of a rental request.
pub(super) enum RentalOutcome {
    /// These machines were rented, possibly fewer than requested.
    Rented(Vec<MachineId>),
    /// The pool has no machine, or the cloud rejected the request as invalid.
    NoCapacity,
    /// The cloud as a whole is unavailable and rejected the request.
    CloudUnavailable,
    /// The request may have been executed.
    Unknown,
}

struct OpenRental {
    pool: MachinePool,
    request: RentalRequest,
    not_before: Instant,
    in_flight: bool,
    /// The cloud may have executed the request. It must not change any more, since the cloud identifies it by its name.
    was_sent: bool,
}

/// Queue of the rentals without a final response, by number.
#[derive(Default)]
pub(super) struct RentalQueue {
    token: FencingToken,
    last_number: u64,
    open: BTreeMap<u64, OpenRental>,
}

impl RentalQueue {
    pub(super) fn begin_leadership(&mut self, token: FencingToken) {
        self.token = token;
        self.open.clear();
    }

    /// Adds machines to unsent rentals of the pool, since the cloud allows few requests, and the rest to new rentals.
    pub(super) fn push(
        &mut self,
        pool: MachinePool,
        machine_type: &str,
        zone: &str,
        count: u32,
        now: Instant,
    ) {
        let mut remaining = count;
        let unsent = |rental: &&mut OpenRental| rental.pool == pool && !rental.was_sent;
        for rental in self.open.values_mut().filter(unsent) {
            let added = remaining.min(MAX_MACHINES_PER_RENTAL - rental.request.count);
            rental.request.count += added;
            remaining -= added;
        }
        while remaining > 0 {
            let count = remaining.min(MAX_MACHINES_PER_RENTAL);
            remaining -= count;
            self.last_number += 1;
            let request = RentalRequest {
                request_id: format!("r-{}-{}", self.token, self.last_number),
                machine_type: machine_type.to_owned(),
                zone: zone.to_owned(),
                spot: pool.spot,
                count,
            };
            let rental =
                OpenRental { pool, request, not_before: now, in_flight: false, was_sent: false };
            self.open.insert(self.last_number, rental);
        }
    }

    pub(super) fn pending(&self) -> Vec<PendingRental> {
        let rentals = self.open.values();
        rentals
            .map(|rental| PendingRental { pool: rental.pool, count: rental.request.count })
            .collect()
    }

    pub(super) fn contains(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// Returns the numbers of the rentals that are due, the largest rental first.
    pub(super) fn due(&self, now: Instant) -> Vec<u64> {
        let is_due = |rental: &OpenRental| !rental.in_flight && rental.not_before <= now;
        let due = self.open.iter().filter(|(_, rental)| is_due(rental));
        let mut due: Vec<(Reverse<u32>, u64)> =
            due.map(|(number, rental)| (Reverse(rental.request.count), *number)).collect();
        due.sort();
        due.into_iter().map(|(_, number)| number).collect()
    }

    /// Marks a rental as sent and returns its request.
    pub(super) fn begin(&mut self, number: u64) -> Option<CloudRequest> {
        let rental = self.open.get_mut(&number)?;
        (rental.in_flight, rental.was_sent) = (true, true);
        Some(CloudRequest::ScaleOut(rental.pool, rental.request.clone()))
    }

    /// Handles the outcome of a rental. Rentals of an earlier term as leader are no longer queued and are ignored.
    pub(super) fn on_outcome(
        &mut self,
        number: u64,
        pool: MachinePool,
        outcome: RentalOutcome,
        now: Instant,
    ) -> Vec<CloudEvent> {
        let Some(rental) = self.open.get_mut(&number) else { return Vec::new() };
        let requested = rental.request.count as usize;
        if matches!(outcome, RentalOutcome::Unknown) {
            // A retry under the same name returns the same machines.
            rental.in_flight = false;
            rental.not_before = now + RETRY_PAUSE * 2;
            return Vec::new();
        }
        self.open.remove(&number);
        match outcome {
            RentalOutcome::Rented(machines) => {
                let is_short = machines.len() < requested;
                let mut events = vec![CloudEvent::MachinesRented(pool, machines)];
                events.extend(is_short.then_some(CloudEvent::CapacityExhausted(pool)));
                events
            }
            RentalOutcome::NoCapacity => vec![CloudEvent::CapacityExhausted(pool)],
            RentalOutcome::CloudUnavailable | RentalOutcome::Unknown => Vec::new(),
        }
    }
}
