//! Renting, returning and listing machines: a core without clock or I/O.

use crate::constants::{HIRE_MAX, RATE_LIMIT_SHARE, RETRY_PAUSE};
use crate::http::{CallError, Method, Request, Response};
use crate::ids::{FencingToken, MachineId};
use crate::store::TokenBucket;
use crate::wire::{
    self, ListedMachine, MachineIds, MachinePage, MachineType, MachineTypes, RentalRequest,
};
use foldhash::{HashMap, HashMapExt};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two listings of the cloud's machines.
pub const LIST_EVERY: Duration = Duration::from_secs(4);
/// Pause between two readings of the machine types and prices.
pub const FLAVORS_EVERY: Duration = Duration::from_secs(60);
/// Count. PROTOCOL's cap on names in one deletion.
pub const DELETE_MAX: usize = 100;
/// What the cloud's 503 says when a type, zone and kind is used up; any other is an outage.
pub const NO_CAPACITY: &str = "no capacity";

/// Type, zone and kind, as indices into the catalogue and the zones, and whether it is spot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachinePool {
    pub flavor: usize,
    pub zone: usize,
    pub spot: bool,
}

#[derive(Debug, Clone)]
pub enum CloudRequest {
    MachineTypes,
    RentalRequest(MachinePool, RentalRequest),
    Delete(Vec<MachineId>),
    List { after: String },
}

#[derive(Debug)]
pub enum CloudEvent {
    MachineTypes(Vec<MachineType>),
    Hired(MachinePool, Vec<MachineId>),
    Refused(MachinePool),
    Deleted(Vec<MachineId>),
    /// A whole listing, and when its first page was asked for.
    ListedMachine(Vec<ListedMachine>, Instant),
}

impl CloudRequest {
    pub fn request(&self) -> Request {
        let post =
            |target: &str, body| Request { method: Method::Post, target: target.to_owned(), body };
        let get = |target: String| Request { method: Method::Get, target, body: Vec::new() };
        match self {
            CloudRequest::MachineTypes => get("/flavors".into()),
            CloudRequest::RentalRequest(_, hire) => post("/hosts", wire::encode(hire)),
            CloudRequest::Delete(machines) => {
                post("/hosts/delete", wire::encode(&MachineIds { machines: machines.clone() }))
            }
            CloudRequest::List { after } if after.is_empty() => get("/hosts?most=500".into()),
            CloudRequest::List { after } => get(format!("/hosts?after={after}&most=500")),
        }
    }
}

struct Open {
    kind: MachinePool,
    hire: RentalRequest,
    next: Instant,
    in_flight: bool,
    /// A request keeps its content once it may have been executed.
    sent: bool,
}

#[derive(Default)]
struct Listing {
    asked: Option<Instant>,
    found: Vec<ListedMachine>,
}

pub struct CloudClient {
    bucket: TokenBucket,
    token: FencingToken,
    counter: u64,
    hires: BTreeMap<u64, Open>,
    deletes: BTreeMap<MachineId, Instant>,
    delete_in_flight: bool,
    listing: Listing,
    list_in_flight: bool,
    list_at: Instant,
    flavors_in_flight: bool,
    flavors_at: Instant,
    calls: HashMap<u64, (CloudRequest, Option<u64>, Instant)>,
    next_call: u64,
    rest_until: Instant,
    /// Its last answer was that it is out as a whole.
    is_out: bool,
    pub out: VecDeque<(u64, CloudRequest)>,
}

impl CloudClient {
    pub fn new(rps: f64, now: Instant) -> CloudClient {
        CloudClient {
            // Other controllers may have spent of the same budget just before.
            bucket: TokenBucket::new(rps * RATE_LIMIT_SHARE, 1.0, now),
            token: FencingToken(0),
            counter: 0,
            hires: BTreeMap::new(),
            deletes: BTreeMap::new(),
            delete_in_flight: false,
            listing: Listing::default(),
            list_in_flight: false,
            list_at: now,
            flavors_in_flight: false,
            flavors_at: now,
            calls: HashMap::new(),
            next_call: 0,
            rest_until: now,
            is_out: false,
            out: VecDeque::new(),
        }
    }

    /// A new leadership: request names carry its token and so are never used twice.
    pub fn lead(&mut self, token: FencingToken, now: Instant) {
        self.token = token;
        self.hires.clear();
        self.deletes.clear();
        self.listing = Listing::default();
        self.list_at = now;
    }

    pub fn hire(&mut self, kind: MachinePool, flavor: &str, zone: &str, count: u32, now: Instant) {
        let mut left = count;
        // Calls are few: what is wanted of a kind while its request waits goes along with it.
        for open in self.hires.values_mut().filter(|open| open.kind == kind && !open.sent) {
            let more = left.min(HIRE_MAX - open.hire.count);
            open.hire.count += more;
            left -= more;
        }
        while left > 0 {
            let count = left.min(HIRE_MAX);
            left -= count;
            self.counter += 1;
            let hire = RentalRequest {
                request: format!("r-{}-{}", self.token, self.counter),
                flavor: flavor.to_owned(),
                zone: zone.to_owned(),
                spot: kind.spot,
                count,
            };
            let open = Open { kind, hire, next: now, in_flight: false, sent: false };
            self.hires.insert(self.counter, open);
        }
    }

    /// Whether the cloud takes no requests at all, as far as its last answer tells.
    pub fn is_out(&self) -> bool {
        self.is_out
    }

    /// Machines of a kind asked for without an answer yet.
    pub fn pending(&self) -> Vec<(MachinePool, u32)> {
        self.hires.values().map(|open| (open.kind, open.hire.count)).collect()
    }

    pub fn delete(&mut self, machine: &MachineId, now: Instant) {
        self.deletes.entry(machine.clone()).or_insert(now);
    }

    fn send(&mut self, call: CloudRequest, hire: Option<u64>, now: Instant) {
        self.bucket.take(1.0, now);
        self.next_call += 1;
        self.calls.insert(self.next_call, (call.clone(), hire, now));
        self.out.push_back((self.next_call, call));
    }

    /// Sends what is due. A follower only reads the machine types.
    pub fn poll(&mut self, leading: bool, now: Instant) {
        if now < self.rest_until {
            return;
        }
        if leading {
            if !self.delete_in_flight && self.bucket.has(1.0, now) {
                let due: Vec<MachineId> = self
                    .deletes
                    .iter()
                    .filter(|(_, at)| **at <= now)
                    .map(|(id, _)| id.clone())
                    .take(DELETE_MAX)
                    .collect();
                if !due.is_empty() {
                    self.delete_in_flight = true;
                    self.send(CloudRequest::Delete(due), None, now);
                }
            }
            let mut due: Vec<(u32, u64)> = self
                .hires
                .iter()
                .filter(|(_, open)| !open.in_flight && open.next <= now)
                .map(|(n, open)| (open.hire.count, *n))
                .collect();
            due.sort_by_key(|(count, n)| (Reverse(*count), *n));
            for (_, n) in due {
                if !self.bucket.has(1.0, now) {
                    break;
                }
                if let Some(open) = self.hires.get_mut(&n) {
                    open.in_flight = true;
                    open.sent = true;
                    let call = CloudRequest::RentalRequest(open.kind, open.hire.clone());
                    self.send(call, Some(n), now);
                }
            }
            if !self.list_in_flight && now >= self.list_at && self.bucket.has(1.0, now) {
                self.list_in_flight = true;
                self.listing.asked.get_or_insert(now);
                let after = self.listing.found.last();
                let after = after.map(|m| m.machine.to_string()).unwrap_or_default();
                self.send(CloudRequest::List { after }, None, now);
            }
        }
        if !self.flavors_in_flight && now >= self.flavors_at && self.bucket.has(1.0, now) {
            self.flavors_in_flight = true;
            self.send(CloudRequest::MachineTypes, None, now);
        }
    }

    pub fn on_response(
        &mut self,
        id: u64,
        reply: Result<Response, CallError>,
        now: Instant,
    ) -> Vec<CloudEvent> {
        let Some((call, hire, _)) = self.calls.remove(&id) else { return Vec::new() };
        let status = reply.as_ref().map(|r| r.status).unwrap_or(0);
        let body = reply.map(|r| r.body).unwrap_or_default();
        let mut events = Vec::new();
        match status {
            200 => self.is_out = false,
            503 => self.is_out = !no_capacity(&body),
            _ => {}
        }
        if status == 429 {
            self.rest_until = now + RETRY_PAUSE;
        }
        match call {
            CloudRequest::MachineTypes => {
                self.flavors_in_flight = false;
                self.flavors_at = now + RETRY_PAUSE * 4;
                if status == 200
                    && let Ok(found) = wire::decode::<MachineTypes>(&body)
                {
                    self.flavors_at = now + FLAVORS_EVERY;
                    events.push(CloudEvent::MachineTypes(found.flavors));
                }
            }
            CloudRequest::RentalRequest(kind, _) => {
                let Some(n) = hire else { return events };
                if !self.hires.contains_key(&n) {
                    return events;
                }
                if status == 200
                    && let Ok(found) = wire::decode::<MachineIds>(&body)
                {
                    let asked = self.hires.remove(&n).map_or(0, |open| open.hire.count as usize);
                    let short = found.machines.len() < asked;
                    events.push(CloudEvent::Hired(kind, found.machines));
                    if short {
                        events.push(CloudEvent::Refused(kind));
                    }
                } else if status == 503 && !no_capacity(&body) {
                    // The cloud as a whole is out; that tells nothing of what it has.
                    self.hires.remove(&n);
                    self.rest_until = now + RETRY_PAUSE * 4;
                } else if status == 503 || status == 400 {
                    self.hires.remove(&n);
                    events.push(CloudEvent::Refused(kind));
                } else if let Some(open) = self.hires.get_mut(&n) {
                    // Perhaps executed: the same name again gets the same machines.
                    open.in_flight = false;
                    open.next = now + RETRY_PAUSE * 2;
                }
            }
            CloudRequest::Delete(machines) => {
                self.delete_in_flight = false;
                if status == 200 {
                    for machine in &machines {
                        self.deletes.remove(machine);
                    }
                    events.push(CloudEvent::Deleted(machines));
                } else {
                    for machine in &machines {
                        if let Some(at) = self.deletes.get_mut(machine) {
                            *at = now + RETRY_PAUSE * 2;
                        }
                    }
                }
            }
            CloudRequest::List { .. } => {
                self.list_in_flight = false;
                match wire::decode::<MachinePage>(&body) {
                    Ok(page) if status == 200 => {
                        let more = page.truncated && !page.machines.is_empty();
                        self.listing.found.extend(page.machines);
                        if !more {
                            let listing = std::mem::take(&mut self.listing);
                            self.list_at = now + LIST_EVERY;
                            events.push(CloudEvent::ListedMachine(
                                listing.found,
                                listing.asked.unwrap_or(now),
                            ));
                        }
                    }
                    _ => self.list_at = now + RETRY_PAUSE * 4,
                }
            }
        }
        events
    }
}

/// Whether a 503 is about the kind asked for.
fn no_capacity(body: &[u8]) -> bool {
    wire::decode::<wire::CloudError>(body).is_ok_and(|body| body.error == NO_CAPACITY)
}

#[cfg(test)]
mod tests;
