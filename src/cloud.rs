//! Client of the cloud's API: scale-out, scale-in, and listings of machines and machine types.
//!
//! It has neither clock nor I/O: [`CloudClient::poll`] puts requests into [`CloudClient::out`], and
//! [`CloudClient::on_response`] turns their responses into [`CloudEvent`]s.

mod listing;
mod rentals;
mod requests;
mod returns;

pub use rentals::PendingRental;
pub use requests::{CloudEvent, CloudRequest, MachineListing, MachinePool};

use crate::constants::{RATE_LIMIT_SHARE, RETRY_PAUSE};
use crate::http::{CallError, Response};
use crate::ids::{FencingToken, MachineId};
use crate::store::TokenBucket;
use crate::wire::{self, MachineIds, MachinePage, MachineTypes};
use foldhash::{HashMap, HashMapExt};
use listing::{MachineLister, Schedule};
use rentals::{RentalOutcome, RentalQueue};
use returns::ReturnQueue;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two reads of the machine types and prices.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(60);
/// Error text of the cloud's 503 when a pool has no machine left. Any other 503 is an outage.
pub const NO_CAPACITY: &str = "no capacity";

struct InFlight {
    request: CloudRequest,
    /// Number of the rental in the [`RentalQueue`], if the request rents machines.
    rental: Option<u64>,
}

/// Client of the cloud's API, with its queues of rentals and returns.
pub struct CloudClient {
    rate_limit: TokenBucket,
    rentals: RentalQueue,
    returns: ReturnQueue,
    lister: MachineLister,
    machine_types: Schedule,
    in_flight: HashMap<u64, InFlight>,
    last_request: u64,
    /// Time before which no request is sent.
    paused_until: Instant,
    is_unavailable: bool,
    /// Requests to send, each with the number to pass with its response to [`CloudClient::on_response`].
    pub out: VecDeque<(u64, CloudRequest)>,
}

impl CloudClient {
    /// Creates a client that sends up to [`RATE_LIMIT_SHARE`] of `rps` requests per second.
    pub fn new(rps: f64, now: Instant) -> CloudClient {
        CloudClient {
            // The burst covers only one second, since other controllers may just have used the same budget.
            rate_limit: TokenBucket::new(rps * RATE_LIMIT_SHARE, 1.0, now),
            rentals: RentalQueue::default(),
            returns: ReturnQueue::default(),
            lister: MachineLister::new(now),
            machine_types: Schedule::new(now),
            in_flight: HashMap::new(),
            last_request: 0,
            paused_until: now,
            is_unavailable: false,
            out: VecDeque::new(),
        }
    }

    /// Begins a new term as leader. The names of its rentals contain its fencing token, so that no name is used twice.
    pub fn begin_leadership(&mut self, token: FencingToken, now: Instant) {
        self.rentals.begin_leadership(token);
        self.returns.clear();
        self.lister.restart(now);
    }

    /// Queues the rental of machines of a pool, whose machine type and zone have these names.
    pub fn scale_out(
        &mut self,
        pool: MachinePool,
        machine_type: &str,
        zone: &str,
        count: u32,
        now: Instant,
    ) {
        self.rentals.push(pool, machine_type, zone, count, now);
    }

    /// Queues the termination of a machine.
    pub fn scale_in(&mut self, machine: &MachineId, now: Instant) {
        self.returns.push(machine, now);
    }

    /// Returns whether the cloud as a whole was unavailable according to its last response.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Returns the rentals without a final response.
    pub fn pending_rentals(&self) -> Vec<PendingRental> {
        self.rentals.pending()
    }

    fn send(&mut self, request: CloudRequest, rental: Option<u64>, now: Instant) {
        self.rate_limit.take(1.0, now);
        self.last_request += 1;
        self.in_flight.insert(self.last_request, InFlight { request: request.clone(), rental });
        self.out.push_back((self.last_request, request));
    }

    /// Puts the requests that are due into [`CloudClient::out`]. A follower only reads the machine types.
    pub fn poll(&mut self, is_leader: bool, now: Instant) {
        if now < self.paused_until {
            return;
        }
        if is_leader {
            self.send_returns(now);
            self.send_rentals(now);
            self.send_listing(now);
        }
        if self.machine_types.is_due(now) && self.rate_limit.has(1.0, now) {
            self.machine_types.begin();
            self.send(CloudRequest::MachineTypes, None, now);
        }
    }

    fn send_returns(&mut self, now: Instant) {
        if self.returns.is_in_flight() || !self.rate_limit.has(1.0, now) {
            return;
        }
        if let Some(machines) = self.returns.take_due(now) {
            self.send(CloudRequest::ScaleIn(machines), None, now);
        }
    }

    fn send_rentals(&mut self, now: Instant) {
        for number in self.rentals.due(now) {
            if !self.rate_limit.has(1.0, now) {
                return;
            }
            if let Some(request) = self.rentals.begin(number) {
                self.send(request, Some(number), now);
            }
        }
    }

    fn send_listing(&mut self, now: Instant) {
        if self.lister.is_due(now) && self.rate_limit.has(1.0, now) {
            let after = self.lister.begin_page(now);
            self.send(CloudRequest::List { after }, None, now);
        }
    }

    /// Handles the response to the request with that number and returns the resulting events.
    pub fn on_response(
        &mut self,
        number: u64,
        response: Result<Response, CallError>,
        now: Instant,
    ) -> Vec<CloudEvent> {
        let Some(InFlight { request, rental }) = self.in_flight.remove(&number) else {
            return Vec::new();
        };
        let (status, body) = match response {
            Ok(response) => (response.status, response.body),
            Err(_) => (0, Vec::new()),
        };
        match status {
            200 => self.is_unavailable = false,
            503 => self.is_unavailable = !is_out_of_capacity(&body),
            429 => self.paused_until = now + RETRY_PAUSE,
            _ => {}
        }
        match request {
            CloudRequest::MachineTypes => self.on_machine_types(status, &body, now),
            CloudRequest::ScaleOut(pool, _) => match rental {
                Some(rental) => self.on_rented(rental, pool, status, &body, now),
                None => Vec::new(),
            },
            CloudRequest::ScaleIn(machines) => self.on_returned(machines, status, now),
            CloudRequest::List { .. } => self.on_listed(status, &body, now),
        }
    }

    fn on_machine_types(&mut self, status: u16, body: &[u8], now: Instant) -> Vec<CloudEvent> {
        match wire::decode::<MachineTypes>(body) {
            Ok(response) if status == 200 => {
                self.machine_types.end(now + MACHINE_TYPES_INTERVAL);
                vec![CloudEvent::MachineTypes(response.types)]
            }
            _ => {
                self.machine_types.end(now + RETRY_PAUSE * 4);
                Vec::new()
            }
        }
    }

    fn on_rented(
        &mut self,
        number: u64,
        pool: MachinePool,
        status: u16,
        body: &[u8],
        now: Instant,
    ) -> Vec<CloudEvent> {
        let rented = match status {
            200 => wire::decode::<MachineIds>(body).ok(),
            _ => None,
        };
        let outcome = match (rented, status) {
            (Some(rented), _) => RentalOutcome::Rented(rented.machines),
            (None, 503) if !is_out_of_capacity(body) => {
                // An outage of the whole cloud says nothing about the capacity of the pool.
                if self.rentals.contains(number) {
                    self.paused_until = now + RETRY_PAUSE * 4;
                }
                RentalOutcome::CloudUnavailable
            }
            (None, 503 | 400) => RentalOutcome::NoCapacity,
            (None, _) => RentalOutcome::Unknown,
        };
        self.rentals.on_outcome(number, pool, outcome, now)
    }

    fn on_returned(
        &mut self,
        machines: Vec<MachineId>,
        status: u16,
        now: Instant,
    ) -> Vec<CloudEvent> {
        if status != 200 {
            self.returns.retry(&machines, now);
            return Vec::new();
        }
        self.returns.confirm(&machines);
        vec![CloudEvent::MachinesReturned(machines)]
    }

    fn on_listed(&mut self, status: u16, body: &[u8], now: Instant) -> Vec<CloudEvent> {
        let page = wire::decode::<MachinePage>(body).ok().filter(|_| status == 200);
        self.lister.on_page(page, now).map(CloudEvent::Listed).into_iter().collect()
    }
}

/// Returns whether the body of a 503 says that the requested pool has no capacity.
fn is_out_of_capacity(body: &[u8]) -> bool {
    wire::decode::<wire::CloudError>(body).is_ok_and(|body| body.error == NO_CAPACITY)
}

#[cfg(test)]
mod tests;
