//! The client of the cloud's interface: scale-out, scale-in, and the listing of machines and their types.
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

/// Pause between two readings of the machine types and prices.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(60);
/// What the cloud's 503 says when a pool has no machine left; any other 503 is an outage.
pub const NO_CAPACITY: &str = "no capacity";

/// A request in flight.
struct InFlight {
    request: CloudRequest,
    /// Number of the rental, if it is one.
    rental: Option<u64>,
}

/// The client of the cloud's interface.
pub struct CloudClient {
    rate_limit: TokenBucket,
    rentals: RentalQueue,
    returns: ReturnQueue,
    lister: MachineLister,
    machine_types: Schedule,
    in_flight: HashMap<u64, InFlight>,
    last_request: u64,
    /// No request is sent before this.
    paused_until: Instant,
    is_unavailable: bool,
    /// Requests to be sent, with the numbers that their responses are given under.
    pub out: VecDeque<(u64, CloudRequest)>,
}

impl CloudClient {
    /// A client that sends up to a share of `rps` requests a second.
    pub fn new(rps: f64, now: Instant) -> CloudClient {
        CloudClient {
            // Other controllers may have spent of the same budget just before.
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

    /// A new leadership begins: its requests carry its token in their names, so none is used twice.
    pub fn begin_leadership(&mut self, token: FencingToken, now: Instant) {
        self.rentals.begin_leadership(token);
        self.returns.clear();
        self.lister.restart(now);
    }

    /// Rents machines of a pool, whose type and zone have these names.
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

    /// Returns a machine.
    pub fn scale_in(&mut self, machine: &MachineId, now: Instant) {
        self.returns.push(machine, now);
    }

    /// Whether the cloud takes no requests at all, as far as its last response tells.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Rentals without a response.
    pub fn pending_rentals(&self) -> Vec<PendingRental> {
        self.rentals.pending()
    }

    fn send(&mut self, request: CloudRequest, rental: Option<u64>, now: Instant) {
        self.rate_limit.take(1.0, now);
        self.last_request += 1;
        self.in_flight.insert(self.last_request, InFlight { request: request.clone(), rental });
        self.out.push_back((self.last_request, request));
    }

    /// Sends what is due. A follower only reads the machine types.
    pub fn poll(&mut self, leading: bool, now: Instant) {
        if now < self.paused_until {
            return;
        }
        if leading {
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

    /// The response to the request of that number, and what it tells.
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
            Ok(found) if status == 200 => {
                self.machine_types.end(now + MACHINE_TYPES_INTERVAL);
                vec![CloudEvent::MachineTypes(found.types)]
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
                // The cloud as a whole is out, which tells nothing of its capacity.
                if self.rentals.contains(number) {
                    self.paused_until = now + RETRY_PAUSE * 4;
                }
                RentalOutcome::CloudUnavailable
            }
            (None, 503 | 400) => RentalOutcome::Refused,
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

/// Whether a 503 is about the pool that was asked for.
fn is_out_of_capacity(body: &[u8]) -> bool {
    wire::decode::<wire::CloudError>(body).is_ok_and(|body| body.error == NO_CAPACITY)
}

#[cfg(test)]
mod tests;
