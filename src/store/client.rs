//! Client of the store: decides which request to send next, and applies responses to the cache.

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

/// Time without a response after which the store counts as unavailable.
pub const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(2500);
/// Leader's share of the cluster's rate limit; the followers divide the rest equally.
const LEADER_SHARE: f64 = 0.5;
/// Number of requests within the rate limit that are reserved for renewals of the leader lease, so that
/// the rate limit never delays them. Of the requests that wait for the rate limit, only snapshots use
/// this reserve.
const RESERVED_REQUESTS: f64 = 2.0;

/// Notification of the client to its owner.
#[derive(Debug)]
pub enum StoreEvent {
    /// All keys have been read once.
    Loaded,
    /// The records of these jobs may have changed.
    JobsChanged(Vec<JobId>),
    /// The cache is at least as new as the store was when the read with this ticket was requested.
    Synced(u64),
    /// The outcome of a write is known.
    WriteSettled(WriteOrigin, WriteOutcome),
    /// A response to a request of the election.
    Election {
        /// Request that was sent.
        request: StoreRequest,
        /// Time at which the request was sent.
        sent_at: Instant,
        /// Response of the store.
        response: StoreResponse,
    },
    /// A response to a request for this controller's own lease.
    ControllerLease {
        /// Request that was sent.
        request: StoreRequest,
        /// Time at which the request was sent.
        sent_at: Instant,
        /// Response of the store.
        response: StoreResponse,
    },
}

/// Purpose of a request that has no response yet.
#[derive(Debug)]
enum InFlight {
    Commit(Batch),
    Watch,
    ReadIndex { tickets: Vec<u64>, sent_at: Instant },
    Snapshot,
    Election { request: StoreRequest, sent_at: Instant },
    ControllerLease { request: StoreRequest, sent_at: Instant },
}

/// Store client of one controller process.
pub struct StoreClient {
    /// Cached content of the store.
    pub cache: Cache,
    limits: EffectiveStoreLimits,
    /// Names of all controllers, this one first.
    controllers: Vec<ControllerId>,
    /// Progress of reading all keys; `None` when no snapshot is being read.
    snapshot: Option<Snapshot>,
    requests: TokenBucket,
    writes: TokenBucket,
    group_commit: GroupCommit,
    watch: Watch,
    read_index: ReadIndex,
    in_flight: HashMap<u64, InFlight>,
    last_request_id: u64,
    /// Time of the last response other than `Unavailable` and `Unknown`.
    last_response_at: Option<Instant>,
    /// Time at which the newest answered read-index request was sent. The cache contains everything committed before.
    pub synced_at: Option<Instant>,
    random: StdRng,
    /// Requests that the owner has not sent yet.
    outgoing: VecDeque<OutgoingRequest>,
    /// Events that the owner has not received yet.
    events: VecDeque<StoreEvent>,
}

impl StoreClient {
    /// Creates the client. `names` are those of all controllers, this one first.
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

    /// Adapts the rate limits and the watch to this controller's role: the leader has a larger share
    /// of the rate limit and receives changes sooner.
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

    /// Returns the layout in which values may be written now. The cluster version is the lowest
    /// format that any controller announced. A controller without a version record may run an older
    /// version and counts as format 0. The cluster version only rises, since no controller returns to
    /// an older format unless an operator removes its version record.
    pub fn layout(&self) -> Layout {
        let format = |name| self.cache.versions.get(name).map_or(0, |version| version.value.format);
        let format = self.controllers.iter().map(format).min().unwrap_or(0);
        let limits = &self.limits;
        let value_max = if format == 0 { limits.legacy_value_max } else { limits.value_max };
        let legacy_chunk_tasks = self.cache.jobs.legacy_chunk_tasks();
        Layout { format, legacy_chunk_tasks, max_operations: limits.txn_ops, value_max }
    }

    /// Queues the announcement that this controller reads the newest format, unless it was announced already.
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

    /// Returns the number of writes and reads that are not sent yet.
    pub fn queue_length(&self) -> usize {
        self.group_commit.len() + self.read_index.len()
    }

    /// Returns whether the store has not responded for longer than [`STORE_UNAVAILABLE_AFTER`].
    pub fn is_unavailable(&self, now: Instant) -> bool {
        let elapsed = |at| now.saturating_duration_since(at);
        self.last_response_at.is_none_or(|at| elapsed(at) > STORE_UNAVAILABLE_AFTER)
    }

    /// Requests a linearizable read. [`StoreEvent::Synced`] follows once the cache is as new as the store is now.
    pub fn sync(&mut self, ticket: u64) {
        self.read_index.add(ticket);
    }

    /// Requests a linearizable read that is not delayed in order to share a request with other reads,
    /// for example for a change that a user waits for.
    pub fn sync_urgently(&mut self, ticket: u64) {
        self.read_index.add_urgent(ticket);
    }

    /// Queues a write; [`StoreEvent::WriteSettled`] reports its outcome.
    pub fn enqueue(&mut self, write: PendingWrite) {
        self.group_commit.enqueue(write);
    }

    /// Returns whether more writes are queued than fit into two transactions.
    pub fn is_backlogged(&self) -> bool {
        self.group_commit.is_backlogged()
    }

    /// Returns whether a write of this origin is queued or in flight.
    pub fn is_pending(&self, origin: &WriteOrigin) -> bool {
        self.group_commit.is_pending(origin)
    }

    /// Removes and returns the queued writes, as if they had been sent.
    #[cfg(test)]
    pub(crate) fn take_queued_writes(&mut self) -> Vec<PendingWrite> {
        self.group_commit.take_queued()
    }

    /// Sends a request of the election at once, even if the rate limit is exhausted, since such requests are few.
    pub fn send_election_request(&mut self, request: StoreRequest, now: Instant) {
        let purpose = InFlight::Election { request: request.clone(), sent_at: now };
        self.send(request, purpose, now);
    }

    /// Sends a request for this controller's own lease at once, like a request of the election.
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

    /// Removes and returns the next request that the owner has to send.
    pub fn next_request(&mut self) -> Option<OutgoingRequest> {
        self.outgoing.pop_front()
    }

    /// Removes and returns the next event for the owner.
    pub fn next_event(&mut self) -> Option<StoreEvent> {
        self.events.pop_front()
    }

    /// Returns whether there is an event for the owner.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Sends the requests that are due.
    pub fn poll(&mut self, now: Instant) {
        if self.snapshot.is_some() {
            self.poll_snapshot(now);
        } else {
            self.poll_read_index(now);
            self.poll_watch(now);
            self.poll_group_commit(now);
        }
    }

    /// Returns the earliest time at which a queued request could be sent if no response arrives before.
    pub fn next_due(&self) -> Option<Instant> {
        let watches = self.snapshot.is_some() || !self.watch.is_in_flight();
        let watch = watches.then(|| self.watch.next_at());
        let others = [self.read_index.next_due(), self.group_commit.next_due()];
        watch.into_iter().chain(others.into_iter().flatten()).min()
    }

    fn poll_snapshot(&mut self, now: Instant) {
        let Some(snapshot) = &self.snapshot else { return };
        let page_in_flight =
            self.in_flight.values().any(|other| matches!(other, InFlight::Snapshot));
        if !page_in_flight && now >= self.watch.next_at() && self.requests.has(1.0, now) {
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

    /// Handles the response to the request with this id.
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
        self.watch.end();
        match response {
            StoreResponse::Watch(changes) => {
                self.watch.on_success(self.cache.leader.is_some(), now);
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
                self.read_index.on_success(now);
                self.synced_at = self.synced_at.max(Some(sent_at));
                self.apply_changes(changes);
                self.events.extend(tickets.into_iter().map(StoreEvent::Synced));
            }
            other => {
                if matches!(other, StoreResponse::Gone) {
                    self.restart_snapshot();
                }
                let retry_at = self.retry_at(now);
                self.read_index.on_failure(tickets, retry_at);
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
        tracing::info!(rev = %self.cache.rev, "cache is too old for a watch; reading all keys");
        self.snapshot = Some(Snapshot::default());
    }

    fn apply_if_committed(&mut self, request: &StoreRequest, response: &StoreResponse) {
        if let (StoreRequest::Commit(transaction), StoreResponse::Committed(rev)) =
            (request, response)
        {
            self.apply_own_commit(transaction, *rev);
        }
    }

    /// Applies a commit of this controller to the cache at once. The watch delivers it again, which is ignored.
    fn apply_own_commit(&mut self, transaction: &Transaction, rev: Revision) {
        if rev <= self.cache.rev {
            // The watch was faster and may already have delivered later changes.
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

/// Returns the pause before a failed request is repeated, randomized so that controllers do not retry together.
fn retry_pause(random: &mut StdRng) -> Duration {
    RETRY_PAUSE.mul_f64(1.0 + random.random::<f64>() / 2.0)
}
