//! The state-service client: a core without clock or I/O that owns the cache, the budget, the
//! read-index and the group commit. The actor in [`crate::controller`] carries its calls out.

use crate::constants::{BODY_MAX, STATE_BUDGET, STATE_RETRY};
use crate::drains::DRAIN_PREFIX;
use crate::http::{CallError, Method, Request, Response};
use crate::ids::{ControllerId, FencingToken, JobId, LeaseId, MachineId, Revision};
use crate::jobs::Jobs;
use crate::settings::KeptLimits;
use crate::store::records::{FORMAT, Layout, VERSION_PREFIX, VersionRecord};
use crate::wire::{
    self, CommitResponse, LeaseCreated, LeaseTtl, MachineType, StoreValue, Transaction, Write,
};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

mod cache;
pub mod records;

pub use cache::Cache;

/// Timeout of a commit or read at the state service, which normally answers within 10 ms and
/// now and then within a few hundred.
pub const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a follow waits at the state service.
pub const FOLLOW_WAIT: Duration = Duration::from_secs(8);
/// Pause of a leader after a follow answer: a burst of changes costs at most 10 requests a second, and
/// a submission waits so long for its first look at the most.
pub const FOLLOW_PAUSE: Duration = Duration::from_millis(100);
/// The same for the other controllers, who need news to answer polls (a sync brings it sooner) and to
/// see that nobody leads: an answer of the store costs more than anything else that they do.
pub const FOLLOWER_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two read-index syncs of one process.
pub const SYNC_PAUSE: Duration = Duration::from_millis(120);
/// Added to it where only polls wait, so that more of them share the next: users give a poll 2 s and
/// expect news within 3 s. A submission that names jobs accepted a moment ago has 200 ms.
pub const SYNC_JOINED: Duration = Duration::from_millis(130);
/// A process that has had no answer from the state service for this long counts it as lost.
pub const STATE_LOST: Duration = Duration::from_millis(2500);
/// Share of that budget which the leader takes; followers divide the rest.
pub const LEADER_BUDGET: f64 = 0.5;
/// Rows asked for in one page.
pub const PAGE_ROWS: usize = 500;

/// Everything of ours lies under this prefix, and one follow covers it.
pub const PREFIX: &str = "t/";
pub const LEADER_KEY: &str = "t/a/leader";
pub const TOKEN_KEY: &str = "t/a/token";
pub const MACHINE_TYPES_KEY: &str = "t/a/flavors";
/// Second layout: one machine type to a key, where all of them are too many for one value.
pub const MACHINE_TYPE_PREFIX: &str = "t/a/f/";
pub const MACHINE_PREFIX: &str = "t/m/";
/// heartbeats of the controllers, each attached to a lease: `t/a/p/<node>`.
pub const CONTROLLER_LEASE_PREFIX: &str = "t/a/p/";
/// Run times that were learned: `t/e/<bucket>`. Versions before this one pass them over.
pub const ESTIMATES_PREFIX: &str = "t/e/";
/// Messages between controllers that cannot reach each other: `t/x/<from>/<to>`.
pub const RELAY_PREFIX: &str = "t/x/";

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: ControllerId,
    pub token: FencingToken,
}

/// A machine on which tasks may have been started: the record is committed before the first
/// start and removed once the machine is surely gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub address: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Debug, Clone)]
pub enum StoreRequest {
    Commit(Transaction),
    Watch { after: Revision, wait: Duration },
    Range { after: Option<String> },
    GrantLease(Duration),
    KeepAlive(LeaseId),
    RevokeLease(LeaseId),
}

#[derive(Debug)]
pub enum StoreResponse {
    Committed(Revision),
    Conflict(Vec<String>),
    /// 400: the lease that a write names is over, or the request is malformed.
    Invalid,
    Watch(wire::WatchResponse),
    Range(wire::RangeResponse),
    LeaseGranted(LeaseId),
    Done,
    /// 404 for a lease, 410 for a follow.
    Gone,
    /// Surely not executed: an outage, a budget, or no connection.
    Unavailable,
    /// May have been executed, or may yet be.
    Unknown,
}

impl StoreRequest {
    pub fn request(&self) -> (Request, Duration) {
        let make = |method, target: String, body| (Request { method, target, body }, STATE_TIMEOUT);
        match self {
            StoreRequest::Commit(txn) => make(Method::Post, "/commit".into(), wire::encode(txn)),
            StoreRequest::Watch { after, wait } => {
                let target =
                    format!("/follow?starts={PREFIX}&after={after}&waitMs={}", wait.as_millis());
                let (request, within) = make(Method::Get, target, Vec::new());
                (request, within + *wait)
            }
            StoreRequest::Range { after } => {
                let after = after.as_ref().map(|key| format!("&after={key}")).unwrap_or_default();
                make(
                    Method::Get,
                    format!("/kv?starts={PREFIX}{after}&most={PAGE_ROWS}"),
                    Vec::new(),
                )
            }
            StoreRequest::GrantLease(life) => {
                let body = wire::encode(&LeaseTtl { ttl_ms: life.as_millis() as u64 });
                make(Method::Post, "/leases".into(), body)
            }
            StoreRequest::KeepAlive(lease) => {
                make(Method::Post, format!("/leases/{lease}/touch"), Vec::new())
            }
            StoreRequest::RevokeLease(lease) => {
                make(Method::Delete, format!("/leases/{lease}"), Vec::new())
            }
        }
    }

    pub fn reply(&self, result: Result<Response, CallError>) -> StoreResponse {
        let response = match result {
            Ok(response) => response,
            Err(CallError::NotSent) => return StoreResponse::Unavailable,
            Err(CallError::Unknown) => return StoreResponse::Unknown,
        };
        let read = || -> Option<StoreResponse> {
            Some(match (self, response.status) {
                (StoreRequest::Commit(_), 200) => StoreResponse::Committed(
                    wire::decode::<CommitResponse>(&response.body).ok()?.rev,
                ),
                (StoreRequest::Commit(_), 409) => StoreResponse::Conflict(
                    wire::decode::<CommitResponse>(&response.body).ok()?.failed,
                ),
                (StoreRequest::Commit(_), 400) => StoreResponse::Invalid,
                (StoreRequest::Watch { .. }, 200) => {
                    StoreResponse::Watch(wire::decode(&response.body).ok()?)
                }
                (StoreRequest::Range { .. }, 200) => {
                    StoreResponse::Range(wire::decode(&response.body).ok()?)
                }
                (StoreRequest::GrantLease(_), 200) => StoreResponse::LeaseGranted(
                    wire::decode::<LeaseCreated>(&response.body).ok()?.lease,
                ),
                (StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_), 200..=204) => {
                    StoreResponse::Done
                }
                (_, 404 | 410) => StoreResponse::Gone,
                (_, 429 | 503) => StoreResponse::Unavailable,
                _ => return None,
            })
        };
        read().unwrap_or(StoreResponse::Unknown)
    }
}

/// Whose change an item is: the order of service when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    Interactive,
    /// What somebody waits for: the end of a job, leave to start on a machine, a grant.
    Blocking,
    /// Marks of tasks of a job that goes on.
    Progress,
    Background,
}

/// What asked for a change; handed back with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WriteOrigin {
    /// Which format this controller reads.
    Version,
    /// What is left over of jobs that are over.
    GarbageCollection,
    /// An operator's order, by its ticket.
    Operator(u64),
    /// Run times that were learned, by bucket.
    RuntimeEstimates(u8),
    /// A user's request, by its ticket.
    User(u64),
    Completion(JobId),
    MachineAdded(MachineId),
    MachineRemoved(MachineId),
    /// The machine types: all, or those of one key.
    MachineTypes(String),
    /// A message for a controller out of reach, or a part of one.
    Relay(ControllerId, usize),
}

#[derive(Debug, Clone)]
pub struct PendingWrite {
    pub priority: WritePriority,
    pub origin: WriteOrigin,
    pub transaction: Transaction,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Committed,
    /// A guard failed: read again and think again.
    Conflict,
    /// Surely not done.
    NotExecuted,
    /// Surely not done, and not to be done ever: the service calls it malformed or too large.
    Invalid,
    /// Perhaps done, perhaps yet to be.
    Unknown,
}

/// What the core tells its owner.
#[derive(Debug)]
pub enum StoreEvent {
    Loaded,
    /// Jobs whose records may have changed.
    JobsChanged(Vec<JobId>),
    /// The cache is at least as new as the store was when the ticket was taken.
    Synced(u64),
    Outcome(WriteOrigin, WriteOutcome),
    /// Answers to the election's own calls.
    Election(StoreRequest, Instant, StoreResponse),
    /// And to those by which this controller shows that it lives.
    ControllerLease(StoreRequest, Instant, StoreResponse),
}

#[derive(Debug)]
enum InFlight {
    Batch { items: Vec<PendingWrite>, txn: Transaction },
    Follow,
    Sync { tickets: Vec<u64>, sent: Instant },
    RangeResponse,
    Election(StoreRequest, Instant),
    ControllerLease(StoreRequest, Instant),
}

/// A bucket that allows bursts of one second's worth.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    room: f64,
    burst: f64,
    at: Instant,
}

impl TokenBucket {
    pub fn new(rate: f64, burst_s: f64, now: Instant) -> TokenBucket {
        TokenBucket { rate, room: rate * burst_s, burst: burst_s, at: now }
    }
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.room = self.room.min(rate * self.burst);
    }
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.room = (self.room + passed * self.rate).min((self.rate * self.burst).max(1.0));
        self.at = now;
    }
    pub fn has(&mut self, n: f64, now: Instant) -> bool {
        self.refill(now);
        // More than a whole bucket is let through when the bucket is full.
        self.room >= n.min((self.rate * self.burst).max(1.0))
    }
    pub fn take(&mut self, n: f64, now: Instant) {
        self.refill(now);
        self.room -= n;
    }
    /// What may be taken now.
    pub fn room(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.room.max(0.0)
    }
}

/// Pages being read after a start, a 410 or an outage.
#[derive(Debug, Default)]
struct Loading {
    after: Option<String>,
    first: Option<Revision>,
    last: Revision,
    machines: HashSet<MachineId>,
    versions: HashSet<ControllerId>,
    heartbeats: HashSet<ControllerId>,
    drains: HashSet<String>,
    leader: bool,
}

pub struct StoreClient {
    pub cache: Cache,
    limits: KeptLimits,
    /// All controllers, this one first.
    names: Vec<ControllerId>,
    loading: Option<Loading>,
    requests: TokenBucket,
    writes: TokenBucket,
    /// What waits to be written, with what it takes in a request.
    items: Vec<(PendingWrite, usize)>,
    /// Whose changes wait or are under way: asked for each job with completions, so often.
    origins: HashSet<WriteOrigin>,
    batch_in_flight: bool,
    /// So many items go one by one: one of them made the service refuse a whole transaction.
    alone: usize,
    batch_after: Instant,
    follow_in_flight: bool,
    follow_after: Instant,
    follow_pause: Duration,
    sync_in_flight: bool,
    sync_after: Instant,
    /// The same where only polls wait.
    sync_joined: Instant,
    sync_wanted: Vec<u64>,
    /// Somebody submits or cancels: the sync that waits is not put off for others to join.
    sync_soon: bool,
    doing: HashMap<u64, InFlight>,
    next_call: u64,
    /// When the service last answered us with anything but a refusal.
    pub last_ok: Option<Instant>,
    /// When the newest sync that was answered had been sent: the cache holds all that was
    /// committed before.
    pub synced_at: Option<Instant>,
    random: StdRng,
    pub calls: VecDeque<(u64, StoreRequest)>,
    pub events: VecDeque<StoreEvent>,
}

impl StoreClient {
    /// The names are those of all controllers, this one first.
    pub fn new(limits: KeptLimits, names: Vec<ControllerId>, seed: u64, now: Instant) -> Self {
        let mut core = StoreClient {
            cache: Cache::new(limits.chunk),
            limits,
            names,
            loading: Some(Loading::default()),
            requests: TokenBucket::new(limits.rps, 1.0, now),
            writes: TokenBucket::new(limits.write_rps, 1.0, now),
            items: Vec::new(),
            origins: HashSet::new(),
            batch_in_flight: false,
            alone: 0,
            batch_after: now,
            follow_in_flight: false,
            follow_after: now,
            follow_pause: FOLLOWER_PAUSE,
            sync_in_flight: false,
            sync_after: now,
            sync_joined: now,
            sync_wanted: Vec::new(),
            sync_soon: false,
            doing: HashMap::new(),
            next_call: 0,
            last_ok: None,
            synced_at: None,
            random: StdRng::seed_from_u64(seed),
            calls: VecDeque::new(),
            events: VecDeque::new(),
        };
        core.set_leading(false, now);
        core
    }

    /// The leader has the larger part of the budget, and hears of changes sooner.
    pub fn set_leading(&mut self, leading: bool, now: Instant) {
        self.follow_pause = if leading { FOLLOW_PAUSE } else { FOLLOWER_PAUSE };
        let nodes = self.names.len() as f64;
        let share = if nodes <= 1.0 {
            1.0
        } else if leading {
            LEADER_BUDGET
        } else {
            (1.0 - LEADER_BUDGET) / (nodes - 1.0)
        };
        self.requests.set_rate(self.limits.rps * STATE_BUDGET * share, now);
        self.writes.set_rate(self.limits.write_rps * STATE_BUDGET * share, now);
    }

    /// What may be written now. The cluster version is the least format that any controller says it
    /// reads; one that says nothing runs the version before this one, or may. It only rises: no
    /// controller goes back.
    pub fn layout(&self) -> Layout {
        let format = |name| self.cache.versions.get(name).map_or(0, |(v, _)| v.format);
        let format = self.names.iter().map(format).min().unwrap_or(0);
        let limits = &self.limits;
        let value_max = if format == 0 { limits.first_max } else { limits.value_max };
        let (chunk, txn_ops) = (self.cache.jobs.chunk, limits.txn_ops);
        Layout { format, chunk, txn_ops, value_max }
    }

    /// Tells the others once that this controller reads the newest format.
    pub fn publish_version(&mut self) {
        let Some(me) = self.names.first() else { return };
        let told = self.cache.versions.get(me);
        if !self.cache.loaded
            || told.is_some_and(|(told, _)| told.format >= FORMAT)
            || self.is_pending(&WriteOrigin::Version)
        {
            return;
        }
        let key = records::version_key(me);
        let rev = told.map_or(Revision(0), |(_, rev)| *rev);
        let record = VersionRecord { format: FORMAT, chunk: self.cache.jobs.chunk };
        let guards = vec![wire::Precondition { key: key.clone(), rev }];
        let writes = vec![Write::Put { key, data: records::to_value(&record), hold: None }];
        let transaction = Transaction { guards, writes };
        self.enqueue(PendingWrite {
            priority: WritePriority::Interactive,
            origin: WriteOrigin::Version,
            transaction,
        });
    }

    pub fn queue_length(&self) -> usize {
        self.items.len() + self.sync_wanted.len()
    }

    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.last_ok.is_none_or(|at| now.saturating_duration_since(at) > STATE_LOST)
    }

    fn call(&mut self, call: StoreRequest, doing: InFlight, now: Instant) {
        self.next_call += 1;
        self.requests.take(1.0, now);
        self.doing.insert(self.next_call, doing);
        self.calls.push_back((self.next_call, call));
    }

    /// Asks that the ticket be told once the cache is as new as the store is now.
    pub fn sync(&mut self, ticket: u64) {
        self.sync_wanted.push(ticket);
    }

    /// The same for a change that a user waits for.
    pub fn sync_soon(&mut self, ticket: u64) {
        self.sync_soon = true;
        self.sync(ticket);
    }

    /// When the sync that is wanted may go.
    fn sync_due(&self) -> Instant {
        if self.sync_soon { self.sync_after } else { self.sync_joined }
    }

    pub fn enqueue(&mut self, item: PendingWrite) {
        self.origins.insert(item.origin.clone());
        let at = self.items.partition_point(|(other, _)| other.priority <= item.priority);
        // JSON spells numbers and names longer than CBOR does, but by less than a half.
        let size = wire::encode(&item.transaction.writes).len() * 3 / 2 + 100;
        self.items.insert(at, (item, size));
    }

    /// Whether the budget is short: more waits than two transactions hold.
    pub fn is_backlogged(&self) -> bool {
        self.items.len() > self.limits.txn_ops * 2
    }

    pub fn is_pending(&self, origin: &WriteOrigin) -> bool {
        self.origins.contains(origin)
    }

    /// What waits to be written, as if it had been sent.
    #[cfg(test)]
    pub(crate) fn take_items(&mut self) -> Vec<PendingWrite> {
        self.origins.clear();
        std::mem::take(&mut self.items).into_iter().map(|(item, _)| item).collect()
    }

    fn settle(&mut self, origin: WriteOrigin, outcome: WriteOutcome) {
        self.origins.remove(&origin);
        self.events.push_back(StoreEvent::Outcome(origin, outcome));
    }

    /// The election's calls go first and are never held for the budget: there are few.
    pub fn send_election_request(&mut self, call: StoreRequest, now: Instant) {
        self.call(call.clone(), InFlight::Election(call, now), now);
    }

    /// heartbeats are as few.
    pub fn send_lease_request(&mut self, call: StoreRequest, now: Instant) {
        self.call(call.clone(), InFlight::ControllerLease(call, now), now);
    }

    pub fn poll(&mut self, now: Instant) {
        if let Some(loading) = &self.loading {
            let idle = !self.doing.values().any(|doing| matches!(doing, InFlight::RangeResponse));
            if idle && now >= self.follow_after && self.requests.has(1.0, now) {
                let after = loading.after.clone();
                self.call(StoreRequest::Range { after }, InFlight::RangeResponse, now);
            }
            return;
        }
        // Renewals, which the election sends itself, must always find room.
        let spare = 2.0;
        if !self.sync_in_flight
            && !self.sync_wanted.is_empty()
            && now >= self.sync_due()
            && self.requests.has(1.0 + spare, now)
        {
            self.sync_in_flight = true;
            self.sync_soon = false;
            let tickets = std::mem::take(&mut self.sync_wanted);
            let call = StoreRequest::Watch { after: self.cache.rev, wait: Duration::ZERO };
            self.call(call, InFlight::Sync { tickets, sent: now }, now);
        }
        if !self.follow_in_flight && now >= self.follow_after && self.requests.has(1.0 + spare, now)
        {
            self.follow_in_flight = true;
            let call = StoreRequest::Watch { after: self.cache.rev, wait: FOLLOW_WAIT };
            self.call(call, InFlight::Follow, now);
        }
        if !self.batch_in_flight
            && !self.items.is_empty()
            && now >= self.batch_after
            && self.requests.has(1.0 + spare, now)
        {
            self.send_batch(now);
        }
    }

    /// Packs what waits, in order of rank, into one transaction; items that touch a key already
    /// in it wait for the next.
    fn send_batch(&mut self, now: Instant) {
        let mut txn = Transaction { guards: Vec::new(), writes: Vec::new() };
        let mut taken: Vec<PendingWrite> = Vec::new();
        let mut left: Vec<(PendingWrite, usize)> = Vec::new();
        let mut keys: HashSet<String> = HashSet::new();
        let mut bytes = 0usize;
        for (item, size) in std::mem::take(&mut self.items) {
            let ops = txn.writes.len() + item.transaction.writes.len();
            let fits = taken.is_empty()
                || (self.alone == 0
                    && ops <= self.limits.txn_ops
                    && txn.guards.len() + item.transaction.guards.len() < self.limits.txn_ops * 4
                    && bytes + size < BODY_MAX / 2);
            // Later items wait too once one didn't fit, so that none is overtaken for ever.
            let shares = item.transaction.writes.iter().any(|write| keys.contains(write.key()));
            // Guards of one key are sent once: two that differ would have one of them unchecked.
            let clashes = item.transaction.guards.iter().any(|guard| {
                txn.guards.iter().any(|other| other.key == guard.key && other.rev != guard.rev)
            });
            if !fits || shares || clashes || (!left.is_empty() && taken.len() > self.limits.txn_ops)
            {
                left.push((item, size));
                continue;
            }
            if !self.writes.has(ops as f64, now) {
                left.push((item, size));
                continue;
            }
            bytes += size;
            for write in &item.transaction.writes {
                keys.insert(write.key().to_owned());
                txn.writes.push(write.clone());
            }
            for guard in &item.transaction.guards {
                if !txn.guards.iter().any(|g| g.key == guard.key) {
                    txn.guards.push(guard.clone());
                }
            }
            taken.push(item);
        }
        self.items = left;
        if taken.is_empty() {
            return;
        }
        self.alone = self.alone.saturating_sub(1);
        self.writes.take(txn.writes.len() as f64, now);
        self.batch_in_flight = true;
        self.call(StoreRequest::Commit(txn.clone()), InFlight::Batch { items: taken, txn }, now);
    }

    /// When something that waits here could go on, if nothing happens before.
    pub fn next_due(&self) -> Option<Instant> {
        let mut due = Vec::with_capacity(3);
        if self.loading.is_some() || !self.follow_in_flight {
            due.push(self.follow_after);
        }
        if !self.sync_in_flight && !self.sync_wanted.is_empty() {
            due.push(self.sync_due());
        }
        if !self.batch_in_flight && !self.items.is_empty() {
            due.push(self.batch_after);
        }
        due.into_iter().min()
    }

    fn pause(&mut self) -> Duration {
        STATE_RETRY.mul_f64(1.0 + self.random.random::<f64>() / 2.0)
    }

    pub fn on_response(&mut self, id: u64, reply: StoreResponse, now: Instant) {
        let Some(doing) = self.doing.remove(&id) else { return };
        if !matches!(reply, StoreResponse::Unavailable | StoreResponse::Unknown) {
            self.last_ok = Some(now);
        }
        match doing {
            InFlight::Election(call, sent) => {
                if let (StoreRequest::Commit(txn), StoreResponse::Committed(rev)) = (&call, &reply)
                {
                    self.apply_own(txn, *rev);
                }
                self.events.push_back(StoreEvent::Election(call, sent, reply));
            }
            InFlight::ControllerLease(call, sent) => {
                if let (StoreRequest::Commit(txn), StoreResponse::Committed(rev)) = (&call, &reply)
                {
                    self.apply_own(txn, *rev);
                }
                self.events.push_back(StoreEvent::ControllerLease(call, sent, reply));
            }
            InFlight::RangeResponse => self.on_page(reply, now),
            InFlight::Follow => {
                self.follow_in_flight = false;
                match reply {
                    StoreResponse::Watch(news) => {
                        // Who leads next is found out from here.
                        let led = self.cache.leader.is_some();
                        let pause = if led { self.follow_pause } else { FOLLOW_PAUSE };
                        self.follow_after = now + pause;
                        self.take_news(news);
                    }
                    StoreResponse::Gone => self.reload(),
                    _ => self.follow_after = now + self.pause(),
                }
            }
            InFlight::Sync { tickets, sent } => {
                self.sync_in_flight = false;
                match reply {
                    StoreResponse::Watch(news) => {
                        self.sync_after = now + SYNC_PAUSE;
                        self.sync_joined = self.sync_after + SYNC_JOINED;
                        self.synced_at = self.synced_at.max(Some(sent));
                        self.take_news(news);
                        for ticket in tickets {
                            self.events.push_back(StoreEvent::Synced(ticket));
                        }
                    }
                    other => {
                        if matches!(other, StoreResponse::Gone) {
                            self.reload();
                        }
                        self.sync_after = now + self.pause();
                        self.sync_joined = self.sync_after;
                        self.sync_wanted.extend(tickets);
                    }
                }
            }
            InFlight::Batch { items, txn } => {
                self.batch_in_flight = false;
                match reply {
                    StoreResponse::Committed(rev) => {
                        self.apply_own(&txn, rev);
                        for item in items {
                            self.settle(item.origin, WriteOutcome::Committed);
                        }
                    }
                    StoreResponse::Conflict(failed) => {
                        for item in items {
                            let guards = &item.transaction.guards;
                            if guards.iter().any(|guard| failed.contains(&guard.key)) {
                                self.settle(item.origin, WriteOutcome::Conflict);
                            } else {
                                self.enqueue(item);
                            }
                        }
                    }
                    StoreResponse::Invalid if items.len() > 1 => {
                        // Malformed as a whole: whichever item it is must not hold up the others.
                        self.alone = items.len();
                        for item in items {
                            self.enqueue(item);
                        }
                    }
                    other => {
                        self.batch_after = now + self.pause();
                        let outcome = match other {
                            StoreResponse::Unavailable => WriteOutcome::NotExecuted,
                            StoreResponse::Invalid => WriteOutcome::Invalid,
                            _ => WriteOutcome::Unknown,
                        };
                        if outcome == WriteOutcome::Invalid {
                            let keys: Vec<&str> = txn.writes.iter().map(Write::key).collect();
                            tracing::error!(?keys, "the state service refuses this for good");
                        }
                        for item in items {
                            self.settle(item.origin, outcome);
                        }
                    }
                }
            }
        }
    }

    /// A commit of ours is in the cache at once; the follow brings it again and is ignored.
    fn apply_own(&mut self, txn: &Transaction, rev: Revision) {
        if rev <= self.cache.rev {
            // The follow was faster, and may already have brought what came after.
            return;
        }
        for write in &txn.writes {
            let value = match write {
                Write::Put { data, .. } => Some(data),
                Write::Delete { .. } => None,
            };
            self.cache.take(write.key(), value, rev);
        }
        self.tell_changed();
    }

    fn take_news(&mut self, news: wire::WatchResponse) {
        for transaction in news.news {
            if transaction.rev <= self.cache.rev {
                continue;
            }
            if let Some(key) = &transaction.put {
                self.cache.take(key, transaction.data.as_ref(), transaction.rev);
            } else if let Some(key) = &transaction.delete {
                self.cache.take(key, None, transaction.rev);
            }
        }
        self.cache.rev = self.cache.rev.max(news.rev);
        self.tell_changed();
    }

    fn tell_changed(&mut self) {
        let changed = self.cache.jobs.take_changed();
        if !changed.is_empty() {
            self.events.push_back(StoreEvent::JobsChanged(changed));
        }
    }

    fn reload(&mut self) {
        tracing::info!(rev = %self.cache.rev, "cache is too old, reading all keys again");
        self.loading = Some(Loading::default());
    }

    fn on_page(&mut self, reply: StoreResponse, now: Instant) {
        let StoreResponse::Range(page) = reply else {
            self.follow_after = now + self.pause();
            return;
        };
        let Some(loading) = &mut self.loading else { return };
        loading.first.get_or_insert(page.rev);
        loading.last = page.rev;
        loading.after = page.rows.last().map(|row| row.key.clone()).or(loading.after.take());
        for row in &page.rows {
            if let Some(id) = row.key.strip_prefix(MACHINE_PREFIX) {
                loading.machines.insert(MachineId::new(id));
            }
            if let Some(node) = row.key.strip_prefix(VERSION_PREFIX) {
                loading.versions.insert(ControllerId::new(node));
            }
            if let Some(node) = row.key.strip_prefix(CONTROLLER_LEASE_PREFIX) {
                loading.heartbeats.insert(ControllerId::new(node));
            }
            if row.key.starts_with(DRAIN_PREFIX) {
                loading.drains.insert(row.key.clone());
            }
            loading.leader |= row.key == LEADER_KEY;
            self.cache.take(&row.key, Some(&row.data), row.rev);
        }
        self.tell_changed();
        if page.truncated {
            return;
        }
        // What was cached before this reading and isn't there any more has been removed. Keys
        // written meanwhile have newer revisions and stay. The follow goes on from the first
        // page's revision, so that whatever changed between pages comes again.
        let Some(loading) = self.loading.take() else { return };
        let first = loading.first.unwrap_or(page.rev);
        let keep = |id: &MachineId, rev: Revision| loading.machines.contains(id) || rev > first;
        self.cache.machines.retain(|id, (_, rev)| keep(id, *rev));
        self.cache.versions.retain(|n, (_, rev)| loading.versions.contains(n) || *rev > first);
        self.cache
            .controller_leases
            .retain(|n, rev| loading.heartbeats.contains(n) || *rev > first);
        self.cache.drains.retain(|k, (_, rev)| loading.drains.contains(k) || *rev > first);
        self.cache.drain_keys.retain(|k, rev| loading.drains.contains(k) || *rev > first);
        if !loading.leader && self.cache.leader.as_ref().is_some_and(|(_, rev)| *rev <= first) {
            self.cache.leader = None;
        }
        self.cache.rev = first;
        if !self.cache.loaded {
            self.cache.loaded = true;
            self.events.push_back(StoreEvent::Loaded);
        }
    }
}

#[cfg(test)]
mod tests;
