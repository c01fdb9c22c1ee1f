//! Group commit: a queue orders writes by priority and combines as many as fit into one transaction.
//! One transaction is in flight at a time.

use crate::constants::BODY_MAX;
use crate::ids::{ControllerId, JobId, MachineId};
use crate::store::messages::StoreResponse;
use crate::store::rate_limiter::TokenBucket;
use crate::wire::{self, Transaction, Write};
use foldhash::{HashSet, HashSetExt};
use tokio::time::Instant;

/// Priority of a write when the rate limit does not admit all queued writes; the first variant is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// A user waits for the write.
    Interactive,
    /// Another action waits for the write: the end of a job, the first start on a machine, or an operator's request.
    Blocking,
    /// The write records completed tasks of a job that is not finished.
    Progress,
    /// Nothing waits for the write.
    Background,
}

/// Origin of a write, reported together with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WriteOrigin {
    /// Announcement of the format that this controller reads.
    Version,
    /// Removal of keys that finished jobs no longer need.
    GarbageCollection,
    /// Operator's request with this ticket.
    Operator(u64),
    /// Learned run times of this bucket.
    RuntimeEstimates(u8),
    /// User's request with this ticket.
    User(u64),
    /// Completed tasks of this job.
    Completion(JobId),
    /// Record of a machine on which tasks will be started.
    MachineAdded(MachineId),
    /// Removal of the record of a machine that has terminated.
    MachineRemoved(MachineId),
    /// Machine types: all of them, or those of one key.
    MachineTypes(String),
    /// Message to an unreachable controller, or the chunk of one with this index.
    Relay(ControllerId, usize),
}

/// Compare-and-swap that waits in the queue.
#[derive(Debug, Clone)]
pub struct PendingWrite {
    /// Priority of the write in the queue.
    pub priority: WritePriority,
    /// Origin to report with the outcome.
    pub origin: WriteOrigin,
    /// Preconditions and writes, which are applied together or not at all.
    pub transaction: Transaction,
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied.
    Committed,
    /// A precondition failed. The origin has to read the cache and decide again.
    Conflict,
    /// The write was certainly not executed.
    NotExecuted,
    /// The write was certainly not executed and cannot succeed later: it is malformed or too large for the store.
    Invalid,
    /// The write may have been executed, or may still be executed later.
    Unknown,
}

/// Writes that were combined into one transaction.
#[derive(Debug)]
pub(super) struct Batch {
    writes: Vec<PendingWrite>,
    pub(super) transaction: Transaction,
}

#[derive(Debug)]
struct QueuedWrite {
    write: PendingWrite,
    /// Upper estimate of the write's size in a request, in bytes.
    encoded_len: usize,
}

/// Queue of writes and state of the transaction in flight.
#[derive(Debug)]
pub(super) struct GroupCommit {
    /// Maximum number of writes that the store accepts in one transaction.
    max_operations: usize,
    queue: Vec<QueuedWrite>,
    /// Origins whose writes are queued or in flight. A set, since it is queried for each job with completed tasks.
    pending: HashSet<WriteOrigin>,
    in_flight: bool,
    /// Number of writes that are still to be sent one per transaction, because one of them made the
    /// store reject a whole transaction.
    isolated: usize,
    next_at: Instant,
}

impl GroupCommit {
    pub(super) fn new(max_operations: usize, now: Instant) -> GroupCommit {
        GroupCommit {
            max_operations,
            queue: Vec::new(),
            pending: HashSet::new(),
            in_flight: false,
            isolated: 0,
            next_at: now,
        }
    }

    pub(super) fn enqueue(&mut self, write: PendingWrite) {
        self.pending.insert(write.origin.clone());
        let position = self.queue.partition_point(|other| other.write.priority <= write.priority);
        // Numbers and names are longer in JSON than in CBOR, but by less than a half.
        let encoded_len = wire::encode(&write.transaction.writes).len() * 3 / 2 + 100;
        self.queue.insert(position, QueuedWrite { write, encoded_len });
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn is_pending(&self, origin: &WriteOrigin) -> bool {
        self.pending.contains(origin)
    }

    /// Returns whether more writes are queued than fit into two transactions.
    pub(super) fn is_backlogged(&self) -> bool {
        self.queue.len() > self.max_operations * 2
    }

    /// Returns the time at which the next transaction may be sent, if a write is queued and no
    /// transaction is in flight.
    pub(super) fn next_due(&self) -> Option<Instant> {
        (!self.in_flight && !self.queue.is_empty()).then_some(self.next_at)
    }

    /// Removes and returns the queued writes, as if they had been sent.
    #[cfg(test)]
    pub(super) fn take_queued(&mut self) -> Vec<PendingWrite> {
        self.pending.clear();
        std::mem::take(&mut self.queue).into_iter().map(|queued| queued.write).collect()
    }

    /// Combines queued writes, in order of priority, into one transaction. Writes to a key that the
    /// transaction already writes wait for the next one.
    pub(super) fn take_batch(&mut self, limiter: &mut TokenBucket, now: Instant) -> Option<Batch> {
        let mut batch = BatchBuilder::new(self.max_operations, self.isolated > 0);
        let mut postponed = Vec::new();
        for queued in std::mem::take(&mut self.queue) {
            // Once a write was postponed and the batch has more than `max_operations` writes, later ones
            // wait as well, so that no write is overtaken forever.
            let closed = !postponed.is_empty() && batch.writes.len() > self.max_operations;
            let operations = batch.operations_with(&queued);
            if batch.accepts(&queued) && !closed && limiter.has(operations as f64, now) {
                batch.add(queued);
            } else {
                postponed.push(queued);
            }
        }
        self.queue = postponed;
        let batch = batch.finish()?;
        self.isolated = self.isolated.saturating_sub(1);
        self.in_flight = true;
        limiter.take(batch.transaction.writes.len() as f64, now);
        Some(batch)
    }

    /// Reports the outcome of each settled write to `on_settled`, and queues the writes again that were not applied
    /// because another write failed. `retry_at` returns the time at which the next transaction may be sent if the
    /// store could not execute this one.
    pub(super) fn on_response(
        &mut self,
        batch: Batch,
        response: StoreResponse,
        retry_at: impl FnOnce() -> Instant,
        mut on_settled: impl FnMut(WriteOrigin, WriteOutcome),
    ) {
        self.in_flight = false;
        match response {
            StoreResponse::Committed(_) => {
                self.settle_all(batch, WriteOutcome::Committed, &mut on_settled)
            }
            StoreResponse::Conflict(failed) => {
                self.settle_conflicts(batch, &failed, &mut on_settled)
            }
            StoreResponse::Invalid if batch.writes.len() > 1 => {
                // The store does not name the malformed write. Writes are sent one by one, so that it does
                // not block the others.
                self.isolated = batch.writes.len();
                batch.writes.into_iter().for_each(|write| self.enqueue(write));
            }
            other => {
                self.next_at = retry_at();
                let outcome = match other {
                    StoreResponse::Unavailable => WriteOutcome::NotExecuted,
                    StoreResponse::Invalid => WriteOutcome::Invalid,
                    _ => WriteOutcome::Unknown,
                };
                if outcome == WriteOutcome::Invalid {
                    let keys: Vec<&str> = batch.transaction.writes.iter().map(Write::key).collect();
                    tracing::error!(?keys, "the store rejects this write permanently");
                }
                self.settle_all(batch, outcome, &mut on_settled);
            }
        }
    }

    fn settle_all(
        &mut self,
        batch: Batch,
        outcome: WriteOutcome,
        on_settled: &mut impl FnMut(WriteOrigin, WriteOutcome),
    ) {
        for write in batch.writes {
            self.pending.remove(&write.origin);
            on_settled(write.origin, outcome);
        }
    }

    fn settle_conflicts(
        &mut self,
        batch: Batch,
        failed_keys: &[String],
        on_settled: &mut impl FnMut(WriteOrigin, WriteOutcome),
    ) {
        for write in batch.writes {
            let preconditions = &write.transaction.preconditions;
            if preconditions.iter().any(|precondition| failed_keys.contains(&precondition.key)) {
                self.pending.remove(&write.origin);
                on_settled(write.origin, WriteOutcome::Conflict);
            } else {
                self.enqueue(write);
            }
        }
    }
}

/// Transaction to which writes are added.
struct BatchBuilder {
    max_operations: usize,
    /// True if the transaction may contain only one pending write.
    single_write: bool,
    writes: Vec<PendingWrite>,
    transaction: Transaction,
    written_keys: HashSet<String>,
    encoded_len: usize,
}

impl BatchBuilder {
    fn new(max_operations: usize, single_write: bool) -> BatchBuilder {
        BatchBuilder {
            max_operations,
            single_write,
            writes: Vec::new(),
            transaction: Transaction { preconditions: Vec::new(), writes: Vec::new() },
            written_keys: HashSet::new(),
            encoded_len: 0,
        }
    }

    fn operations_with(&self, queued: &QueuedWrite) -> usize {
        self.transaction.writes.len() + queued.write.transaction.writes.len()
    }

    fn accepts(&self, queued: &QueuedWrite) -> bool {
        self.has_capacity_for(queued) && !self.overlaps(&queued.write.transaction)
    }

    fn has_capacity_for(&self, queued: &QueuedWrite) -> bool {
        let preconditions =
            self.transaction.preconditions.len() + queued.write.transaction.preconditions.len();
        self.writes.is_empty()
            || (!self.single_write
                && self.operations_with(queued) <= self.max_operations
                && preconditions < self.max_operations * 4
                && self.encoded_len + queued.encoded_len < BODY_MAX / 2)
    }

    /// Returns whether `other` writes a key that this transaction already writes, or expects a key at
    /// another revision. Only one precondition is sent per key, so one of the two revisions would not be checked.
    fn overlaps(&self, other: &Transaction) -> bool {
        let same_key = other.writes.iter().any(|write| self.written_keys.contains(write.key()));
        let mut current = self.transaction.preconditions.iter();
        same_key
            || current.any(|known| {
                other.preconditions.iter().any(|new| new.key == known.key && new.rev != known.rev)
            })
    }

    fn add(&mut self, queued: QueuedWrite) {
        self.encoded_len += queued.encoded_len;
        for write in &queued.write.transaction.writes {
            self.written_keys.insert(write.key().to_owned());
            self.transaction.writes.push(write.clone());
        }
        for new in &queued.write.transaction.preconditions {
            if !self.transaction.preconditions.iter().any(|known| known.key == new.key) {
                self.transaction.preconditions.push(new.clone());
            }
        }
        self.writes.push(queued.write);
    }

    fn finish(self) -> Option<Batch> {
        let BatchBuilder { writes, transaction, .. } = self;
        (!writes.is_empty()).then_some(Batch { writes, transaction })
    }
}
