//! Rentals that the cloud has not answered yet.

use super::requests::{CloudEvent, CloudRequest, MachinePool};
use crate::constants::{HIRE_MAX, RETRY_PAUSE};
use crate::ids::{FencingToken, MachineId};
use crate::wire::RentalRequest;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Machines of a pool that were asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingRental {
    /// The pool.
    pub pool: MachinePool,
    /// How many machines.
    pub count: u32,
}

/// What became of a rental.
pub(super) enum RentalOutcome {
    /// These machines were rented, perhaps fewer than asked for.
    Rented(Vec<MachineId>),
    /// The pool has none.
    Refused,
    /// The cloud takes no requests.
    CloudUnavailable,
    /// It may have been carried out.
    Unknown,
}

struct OpenRental {
    pool: MachinePool,
    request: RentalRequest,
    not_before: Instant,
    in_flight: bool,
    /// It may have been carried out, so it must not change: the cloud knows it by its name.
    was_sent: bool,
}

/// Rentals without a final response.
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

    /// Adds machines to rentals of the pool that were not sent yet, since requests are few, or to new ones.
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
            let added = remaining.min(HIRE_MAX - rental.request.count);
            rental.request.count += added;
            remaining -= added;
        }
        while remaining > 0 {
            let count = remaining.min(HIRE_MAX);
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

    /// Numbers of the rentals that are due, the largest first.
    pub(super) fn due(&self, now: Instant) -> Vec<u64> {
        let is_due = |rental: &OpenRental| !rental.in_flight && rental.not_before <= now;
        let due = self.open.iter().filter(|(_, rental)| is_due(rental));
        let mut due: Vec<(Reverse<u32>, u64)> =
            due.map(|(number, rental)| (Reverse(rental.request.count), *number)).collect();
        due.sort();
        due.into_iter().map(|(_, number)| number).collect()
    }

    /// The request of a rental that is sent now.
    pub(super) fn begin(&mut self, number: u64) -> Option<CloudRequest> {
        let rental = self.open.get_mut(&number)?;
        (rental.in_flight, rental.was_sent) = (true, true);
        Some(CloudRequest::ScaleOut(rental.pool, rental.request.clone()))
    }

    /// Takes the outcome of a rental; one of an earlier leadership is unknown here.
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
            // Repeated under the same name, it gets the same machines.
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
            RentalOutcome::Refused => vec![CloudEvent::CapacityExhausted(pool)],
            RentalOutcome::CloudUnavailable | RentalOutcome::Unknown => Vec::new(),
        }
    }
}
