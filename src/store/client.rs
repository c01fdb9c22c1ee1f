//! The store's client: which request goes next, and what a response changes.

use crate::constants::{RATE_LIMIT_SHARE, RETRY_PAUSE};
use crate::ids::{ControllerId, JobId, Revision};
use crate::schema::encoding::to_value;
use crate::schema::keys;
use crate::schema::records::{FORMAT, Layout, VersionRecord};
use crate::settings::EffectiveStoreLimits;
use crate::store::cache::Cache;
use crate::store::group_commit::{
    Batch, GroupCommit, PendingWrite, WriteOrigin, WriteOutcome, WritePriority,
};
use crate::store::messages::{OutgoingRequest, StoreRequest, StoreResponse};
use crate::store::rate_limiter::TokenBucket;
use crate::store::read_index::ReadIndex;
use crate::store::snapshot::Snapshot;
use crate::store::watch::{WATCH_WAIT, Watch};
use crate::wire::{self, Precondition, Transaction, Write};
use foldhash::{HashMap, HashMapExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Without a response for this long, the store counts as unavailable.
pub const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(2500);
/// Share of the cluster's requests that the leader takes; followers divide the rest.
const LEADER_SHARE: f64 = 0.5;
/// Count. Requests of the rate limit that all but snapshots leave free, so that the election's
/// renewals of its lease always find room.
const RESERVED_REQUESTS: f64 = 2.0;

/// What the client tells its owner.
#[derive(Debug)]
pub enum StoreEvent {
    /// All keys have been read once.
    Loaded,
    /// Jobs whose records may have changed.
    JobsChanged(Vec<JobId>),
    /// The cache is at least as new as the store was when the read with this ticket was asked for.
    Synced(u64),
    /// What became of a write.
    WriteSettled(WriteOrigin, WriteOutcome),
    /// A response to a request of the election.
    Election {
        /// What was asked.
        request: StoreRequest,
        /// When it was sent.
        sent_at: Instant,
        /// What the store answered.
        response: StoreResponse,
    },
    /// A response to a request about this controller's own lease.
    ControllerLease {
        /// What was asked.
        request: StoreRequest,
        /// When it was sent.
        sent_at: Instant,
        /// What the store answered.
        response: StoreResponse,
    },
}

/// What a request that has no response yet is for.
#[derive(Debug)]
enum InFlight {
    Commit(Batch),
    Watch,
    ReadIndex { tickets: Vec<u64>, sent_at: Instant },
    Snapshot,
    Election { request: StoreRequest, sent_at: Instant },
    ControllerLease { request: StoreRequest, sent_at: Instant },
}

/// The client of one process.
pub struct StoreClient {
    /// The store's content as far as it is known.
    pub cache: Cache,
    limits: EffectiveStoreLimits,
    /// All controllers, this one first.
    controllers: Vec<ControllerId>,
    /// All keys are being read.
    snapshot: Option<Snapshot>,
    requests: TokenBucket,
    writes: TokenBucket,
    group_commit: GroupCommit,
    watch: Watch,
    read_index: ReadIndex,
    in_flight: HashMap<u64, InFlight>,
    last_request_id: u64,
    /// When the store last responded with anything but a refusal.
    last_response_at: Option<Instant>,
    /// When the newest read index that was answered had been sent: the cache holds all that was
    /// committed before.
    pub synced_at: Option<Instant>,
    random: StdRng,
    /// Requests that the owner has not sent yet.
    outgoing: VecDeque<OutgoingRequest>,
    /// What the owner has not been told yet.
    events: VecDeque<StoreEvent>,
}

impl StoreClient {
    /// The names are those of all controllers, this one first.
    pub fn new(
        limits: EffectiveStoreLimits,
        names: Vec<ControllerId>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut client = StoreClient {
            cache: Cache::new(limits.legacy_chunk_tasks),
            limits,
            controllers: names,
            snapshot: Some(Snapshot::default()),
            requests: TokenBucket::new(limits.rps, 1.0, now),
            writes: TokenBucket::new(limits.write_rps, 1.0, now),
            group_commit: GroupCommit::new(limits.txn_ops, now),
            watch: Watch::new(now),
            read_index: ReadIndex::new(now),
            in_flight: HashMap::new(),
            last_request_id: 0,
            last_response_at: None,
            synced_at: None,
            random: StdRng::seed_from_u64(seed),
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
        };
        client.set_leading(false, now);
        client
    }

    /// The leader has the larger share of the rate limit, and sees changes sooner.
    pub fn set_leading(&mut self, leading: bool, now: Instant) {
        self.watch.set_leading(leading);
        let controllers = self.controllers.len() as f64;
        let share = if controllers <= 1.0 {
            1.0
        } else if leading {
            LEADER_SHARE
        } else {
            (1.0 - LEADER_SHARE) / (controllers - 1.0)
        };
        self.requests.set_rate(self.limits.rps * RATE_LIMIT_SHARE * share, now);
        self.writes.set_rate(self.limits.write_rps * RATE_LIMIT_SHARE * share, now);
    }

    /// What may be written now. The cluster version is the least format that any controller says it
    /// reads; one that says nothing runs an older version, or may. It only rises: no controller
    /// goes back.
    pub fn layout(&self) -> Layout {
        let format = |name| self.cache.versions.get(name).map_or(0, |version| version.value.format);
        let format = self.controllers.iter().map(format).min().unwrap_or(0);
        let limits = &self.limits;
        let value_max = if format == 0 { limits.legacy_value_max } else { limits.value_max };
        let legacy_chunk_tasks = self.cache.jobs.legacy_chunk_tasks();
        Layout { format, legacy_chunk_tasks, max_operations: limits.txn_ops, value_max }
    }

    /// Writes once that this controller reads the newest format.
    pub fn publish_version(&mut self) {
        let Some(me) = self.controllers.first() else { return };
        let known = self.cache.versions.get(me);
        if !self.cache.loaded
            || known.is_some_and(|known| known.value.format >= FORMAT)
            || self.is_pending(&WriteOrigin::Version)
        {
            return;
        }
        let key = keys::version_key(me);
        let rev = known.map_or(Revision(0), |known| known.revision);
        let record = VersionRecord {
            format: FORMAT,
            legacy_chunk_tasks: self.cache.jobs.legacy_chunk_tasks(),
        };
        let preconditions = vec![Precondition { key: key.clone(), rev }];
        let writes = vec![Write::Put { key, data: to_value(&record), lease: None }];
        let transaction = Transaction { preconditions, writes };
        self.enqueue(PendingWrite {
            priority: WritePriority::Interactive,
            origin: WriteOrigin::Version,
            transaction,
        });
    }

    /// How many writes and reads wait to be sent.
    pub fn queue_length(&self) -> usize {
        self.group_commit.len() + self.read_index.len()
    }

    /// Whether the store has not responded for a while.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        let since = |at| now.saturating_duration_since(at);
        self.last_response_at.is_none_or(|at| since(at) > STORE_UNAVAILABLE_AFTER)
    }

    /// Asks for a linearizable read: [`StoreEvent::Synced`] follows once the cache is as new as the
    /// store is now.
    pub fn sync(&mut self, ticket: u64) {
        self.read_index.add(ticket);
    }

    /// The same for a change that a user waits for.
    pub fn sync_soon(&mut self, ticket: u64) {
        self.read_index.add_urgent(ticket);
    }

    /// Queues a write; [`StoreEvent::WriteSettled`] says what became of it.
    pub fn enqueue(&mut self, write: PendingWrite) {
        self.group_commit.enqueue(write);
    }

    /// Whether more writes wait than two transactions hold.
    pub fn is_backlogged(&self) -> bool {
        self.group_commit.is_backlogged()
    }

    /// Whether a write of this origin waits or is in flight.
    pub fn is_pending(&self, origin: &WriteOrigin) -> bool {
        self.group_commit.is_pending(origin)
    }

    /// What waits to be written, as if it had been sent.
    #[cfg(test)]
    pub(crate) fn take_queued_writes(&mut self) -> Vec<PendingWrite> {
        self.group_commit.take_queued()
    }

    /// Sends a request of the election at once, whatever the rate limit says: there are few.
    pub fn send_election_request(&mut self, request: StoreRequest, now: Instant) {
        let purpose = InFlight::Election { request: request.clone(), sent_at: now };
        self.send(request, purpose, now);
    }

    /// The same for a request about this controller's own lease.
    pub fn send_lease_request(&mut self, request: StoreRequest, now: Instant) {
        let purpose = InFlight::ControllerLease { request: request.clone(), sent_at: now };
        self.send(request, purpose, now);
    }

    fn send(&mut self, request: StoreRequest, purpose: InFlight, now: Instant) {
        self.last_request_id += 1;
        self.requests.take(1.0, now);
        self.in_flight.insert(self.last_request_id, purpose);
        self.outgoing.push_back(OutgoingRequest { id: self.last_request_id, request });
    }

    /// The next request that the owner is to send.
    pub fn next_request(&mut self) -> Option<OutgoingRequest> {
        self.outgoing.pop_front()
    }

    /// The next thing that the owner is to be told.
    pub fn next_event(&mut self) -> Option<StoreEvent> {
        self.events.pop_front()
    }

    /// Whether the owner has something to be told.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Sends what is due.
    pub fn poll(&mut self, now: Instant) {
        if self.snapshot.is_some() {
            self.poll_snapshot(now);
        } else {
            self.poll_read_index(now);
            self.poll_watch(now);
            self.poll_group_commit(now);
        }
    }

    /// When something that waits here could go on, if nothing happens before.
    pub fn next_due(&self) -> Option<Instant> {
        let watches = self.snapshot.is_some() || !self.watch.is_in_flight();
        let watch = watches.then(|| self.watch.next_at());
        let others = [self.read_index.next_due(), self.group_commit.next_due()];
        watch.into_iter().chain(others.into_iter().flatten()).min()
    }

    fn poll_snapshot(&mut self, now: Instant) {
        let Some(snapshot) = &self.snapshot else { return };
        let reading = self.in_flight.values().any(|other| matches!(other, InFlight::Snapshot));
        if !reading && now >= self.watch.next_at() && self.requests.has(1.0, now) {
            let after = snapshot.last_key();
            self.send(StoreRequest::Range { after }, InFlight::Snapshot, now);
        }
    }

    fn has_spare_request(&mut self, now: Instant) -> bool {
        self.requests.has(1.0 + RESERVED_REQUESTS, now)
    }

    fn poll_read_index(&mut self, now: Instant) {
        if self.read_index.next_due().is_some_and(|at| now >= at) && self.has_spare_request(now) {
            let purpose = InFlight::ReadIndex { tickets: self.read_index.begin(), sent_at: now };
            let request = StoreRequest::Watch { after: self.cache.rev, wait: Duration::ZERO };
            self.send(request, purpose, now);
        }
    }

    fn poll_watch(&mut self, now: Instant) {
        let due = !self.watch.is_in_flight() && now >= self.watch.next_at();
        if due && self.has_spare_request(now) {
            self.watch.begin();
            let request = StoreRequest::Watch { after: self.cache.rev, wait: WATCH_WAIT };
            self.send(request, InFlight::Watch, now);
        }
    }

    fn poll_group_commit(&mut self, now: Instant) {
        let due = self.group_commit.next_due().is_some_and(|at| now >= at);
        if due
            && self.has_spare_request(now)
            && let Some(batch) = self.group_commit.take_batch(&mut self.writes, now)
        {
            let request = StoreRequest::Commit(batch.transaction.clone());
            self.send(request, InFlight::Commit(batch), now);
        }
    }

    /// Takes in the response to the request with this id.
    pub fn on_response(&mut self, id: u64, response: StoreResponse, now: Instant) {
        let Some(purpose) = self.in_flight.remove(&id) else { return };
        if !matches!(response, StoreResponse::Unavailable | StoreResponse::Unknown) {
            self.last_response_at = Some(now);
        }
        match purpose {
            InFlight::Election { request, sent_at } => {
                self.apply_if_committed(&request, &response);
                self.events.push_back(StoreEvent::Election { request, sent_at, response });
            }
            InFlight::ControllerLease { request, sent_at } => {
                self.apply_if_committed(&request, &response);
                self.events.push_back(StoreEvent::ControllerLease { request, sent_at, response });
            }
            InFlight::Snapshot => self.on_snapshot_page(response, now),
            InFlight::Watch => self.on_watch(response, now),
            InFlight::ReadIndex { tickets, sent_at } => {
                self.on_read_index(tickets, sent_at, response, now);
            }
            InFlight::Commit(batch) => self.on_commit(batch, response, now),
        }
    }

    fn on_watch(&mut self, response: StoreResponse, now: Instant) {
        self.watch.ended();
        match response {
            StoreResponse::Watch(changes) => {
                self.watch.succeeded(self.cache.leader.is_some(), now);
                self.apply_changes(changes);
            }
            StoreResponse::Gone => self.restart_snapshot(),
            _ => {
                let retry_at = self.retry_at(now);
                self.watch.retry_at(retry_at);
            }
        }
    }

    fn on_read_index(
        &mut self,
        tickets: Vec<u64>,
        sent_at: Instant,
        response: StoreResponse,
        now: Instant,
    ) {
        match response {
            StoreResponse::Watch(changes) => {
                self.read_index.succeeded(now);
                self.synced_at = self.synced_at.max(Some(sent_at));
                self.apply_changes(changes);
                self.events.extend(tickets.into_iter().map(StoreEvent::Synced));
            }
            other => {
                if matches!(other, StoreResponse::Gone) {
                    self.restart_snapshot();
                }
                let retry_at = self.retry_at(now);
                self.read_index.failed(tickets, retry_at);
            }
        }
    }

    fn on_commit(&mut self, batch: Batch, response: StoreResponse, now: Instant) {
        if let StoreResponse::Committed(rev) = &response {
            self.apply_own_commit(&batch.transaction, *rev);
        }
        let random = &mut self.random;
        let retry_at = || now + retry_pause(random);
        let events = &mut self.events;
        self.group_commit.on_response(batch, response, retry_at, |origin, outcome| {
            events.push_back(StoreEvent::WriteSettled(origin, outcome));
        });
    }

    fn on_snapshot_page(&mut self, response: StoreResponse, now: Instant) {
        let StoreResponse::Range(page) = response else {
            let retry_at = self.retry_at(now);
            self.watch.retry_at(retry_at);
            return;
        };
        let Some(snapshot) = &mut self.snapshot else { return };
        snapshot.add_page(&page);
        for row in &page.rows {
            self.cache.apply(&row.key, Some(&row.data), row.rev);
        }
        self.report_changed_jobs();
        if page.truncated {
            return;
        }
        if let Some(snapshot) = self.snapshot.take() {
            self.cache.finish_snapshot(&snapshot);
        }
        if !self.cache.loaded {
            self.cache.loaded = true;
            self.events.push_back(StoreEvent::Loaded);
        }
    }

    fn retry_at(&mut self, now: Instant) -> Instant {
        now + retry_pause(&mut self.random)
    }

    fn restart_snapshot(&mut self) {
        tracing::info!(rev = %self.cache.rev, "cache is too old for a watch, reading all keys");
        self.snapshot = Some(Snapshot::default());
    }

    fn apply_if_committed(&mut self, request: &StoreRequest, response: &StoreResponse) {
        if let (StoreRequest::Commit(transaction), StoreResponse::Committed(rev)) =
            (request, response)
        {
            self.apply_own_commit(transaction, *rev);
        }
    }

    /// A commit of ours is in the cache at once; the watch brings it again and is ignored.
    fn apply_own_commit(&mut self, transaction: &Transaction, rev: Revision) {
        if rev <= self.cache.rev {
            // The watch was faster, and may already have brought what came after.
            return;
        }
        for write in &transaction.writes {
            let value = match write {
                Write::Put { data, .. } => Some(data),
                Write::Delete { .. } => None,
            };
            self.cache.apply(write.key(), value, rev);
        }
        self.report_changed_jobs();
    }

    fn apply_changes(&mut self, changes: wire::WatchResponse) {
        for event in changes.events {
            if event.rev <= self.cache.rev {
                continue;
            }
            if let Some(key) = &event.put {
                self.cache.apply(key, event.data.as_ref(), event.rev);
            } else if let Some(key) = &event.delete {
                self.cache.apply(key, None, event.rev);
            }
        }
        self.cache.rev = self.cache.rev.max(changes.rev);
        self.report_changed_jobs();
    }

    fn report_changed_jobs(&mut self) {
        let changed = self.cache.jobs.take_changed();
        if !changed.is_empty() {
            self.events.push_back(StoreEvent::JobsChanged(changed));
        }
    }
}

/// The pause before a failed request is repeated, spread so that controllers don't do so together.
fn retry_pause(random: &mut StdRng) -> Duration {
    RETRY_PAUSE.mul_f64(1.0 + random.random::<f64>() / 2.0)
}
