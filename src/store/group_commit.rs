//! Group commit: writes wait in a queue by priority, and as many as fit go in one transaction. One
//! transaction is in flight at a time.

use crate::constants::BODY_MAX;
use crate::ids::{ControllerId, JobId, MachineId};
use crate::store::messages::StoreResponse;
use crate::store::rate_limiter::TokenBucket;
use crate::wire::{self, Transaction, Write};
use foldhash::{HashSet, HashSetExt};
use tokio::time::Instant;

/// The order of service when the rate limit is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// A user's request.
    Interactive,
    /// Something waits for it: the end of a job, a first start on a machine, an operator.
    Blocking,
    /// Completed tasks of a job that goes on.
    Progress,
    /// Nobody waits for it.
    Background,
}

/// What asked for a write; handed back with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WriteOrigin {
    /// The format that this controller reads.
    Version,
    /// Garbage of finished jobs.
    GarbageCollection,
    /// An operator's request, by its ticket.
    Operator(u64),
    /// Learned run times, by bucket.
    RuntimeEstimates(u8),
    /// A user's request, by its ticket.
    User(u64),
    /// Completed tasks of a job.
    Completion(JobId),
    /// A machine on which tasks are to be started.
    MachineAdded(MachineId),
    /// A machine that has terminated.
    MachineRemoved(MachineId),
    /// The machine types: all, or those of one key.
    MachineTypes(String),
    /// A message for a controller out of reach, or a chunk of one.
    Relay(ControllerId, usize),
}

/// A compare-and-swap that waits for its turn.
#[derive(Debug, Clone)]
pub struct PendingWrite {
    /// Which writes go before it.
    pub priority: WritePriority,
    /// What asked for it.
    pub origin: WriteOrigin,
    /// Its preconditions and writes.
    pub transaction: Transaction,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was applied.
    Committed,
    /// A precondition failed: read again and decide again.
    Conflict,
    /// Surely not executed.
    NotExecuted,
    /// Surely not executed and never to be: the store calls it malformed or too large.
    Invalid,
    /// Perhaps executed, perhaps yet to be.
    Unknown,
}

/// Writes that go in one transaction.
#[derive(Debug)]
pub(super) struct Batch {
    writes: Vec<PendingWrite>,
    pub(super) transaction: Transaction,
}

#[derive(Debug)]
struct QueuedWrite {
    write: PendingWrite,
    /// Bytes that it takes in a request, reckoned generously.
    encoded_len: usize,
}

/// The queue of writes.
#[derive(Debug)]
pub(super) struct GroupCommit {
    /// Writes that the store takes in one transaction.
    max_operations: usize,
    queue: Vec<QueuedWrite>,
    /// Whose writes are queued or in flight: asked for each job with completions, so often.
    pending: HashSet<WriteOrigin>,
    in_flight: bool,
    /// So many writes go one by one: one of them made the store reject a whole transaction.
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
        // JSON spells numbers and names longer than CBOR does, but by less than a half.
        let encoded_len = wire::encode(&write.transaction.writes).len() * 3 / 2 + 100;
        self.queue.insert(position, QueuedWrite { write, encoded_len });
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn is_pending(&self, origin: &WriteOrigin) -> bool {
        self.pending.contains(origin)
    }

    /// Whether more waits than two transactions hold.
    pub(super) fn is_backlogged(&self) -> bool {
        self.queue.len() > self.max_operations * 2
    }

    /// When the next transaction may go, if any write waits.
    pub(super) fn next_due(&self) -> Option<Instant> {
        (!self.in_flight && !self.queue.is_empty()).then_some(self.next_at)
    }

    /// What waits to be written, as if it had been sent.
    #[cfg(test)]
    pub(super) fn take_queued(&mut self) -> Vec<PendingWrite> {
        self.pending.clear();
        std::mem::take(&mut self.queue).into_iter().map(|queued| queued.write).collect()
    }

    /// Packs what waits, in order of priority, into one transaction; writes of a key that is
    /// already in it wait for the next.
    pub(super) fn take_batch(&mut self, limiter: &mut TokenBucket, now: Instant) -> Option<Batch> {
        let mut batch = BatchBuilder::new(self.max_operations, self.isolated > 0);
        let mut postponed = Vec::new();
        for queued in std::mem::take(&mut self.queue) {
            // Later writes wait too once one didn't fit, so that none is overtaken for ever.
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

    /// Reports each write that is settled to `on_settled`; those that another one's failure held up are queued
    /// again. `retry_at` says when the next transaction may go if the store couldn't execute this one.
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
                // Malformed as a whole: whichever write it is must not hold up the others.
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
            if preconditions.iter().any(|guard| failed_keys.contains(&guard.key)) {
                self.pending.remove(&write.origin);
                on_settled(write.origin, WriteOutcome::Conflict);
            } else {
                self.enqueue(write);
            }
        }
    }
}

/// A transaction that is being packed.
struct BatchBuilder {
    max_operations: usize,
    /// It holds one write at the most.
    single: bool,
    writes: Vec<PendingWrite>,
    transaction: Transaction,
    written_keys: HashSet<String>,
    encoded_len: usize,
}

impl BatchBuilder {
    fn new(max_operations: usize, single: bool) -> BatchBuilder {
        BatchBuilder {
            max_operations,
            single,
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
        self.has_room_for(queued) && !self.overlaps(&queued.write.transaction)
    }

    fn has_room_for(&self, queued: &QueuedWrite) -> bool {
        let preconditions =
            self.transaction.preconditions.len() + queued.write.transaction.preconditions.len();
        self.writes.is_empty()
            || (!self.single
                && self.operations_with(queued) <= self.max_operations
                && preconditions < self.max_operations * 4
                && self.encoded_len + queued.encoded_len < BODY_MAX / 2)
    }

    /// Whether it writes a key that is written already, or expects a key at another revision:
    /// preconditions of one key are sent once, so one of the two would go unchecked.
    fn overlaps(&self, other: &Transaction) -> bool {
        let same_key = other.writes.iter().any(|write| self.written_keys.contains(write.key()));
        let mut known = self.transaction.preconditions.iter();
        same_key
            || known.any(|guard| {
                other.preconditions.iter().any(|new| new.key == guard.key && new.rev != guard.rev)
            })
    }

    fn add(&mut self, queued: QueuedWrite) {
        self.encoded_len += queued.encoded_len;
        for write in &queued.write.transaction.writes {
            self.written_keys.insert(write.key().to_owned());
            self.transaction.writes.push(write.clone());
        }
        for guard in &queued.write.transaction.preconditions {
            if !self.transaction.preconditions.iter().any(|known| known.key == guard.key) {
                self.transaction.preconditions.push(guard.clone());
            }
        }
        self.writes.push(queued.write);
    }

    fn finish(self) -> Option<Batch> {
        let BatchBuilder { writes, transaction, .. } = self;
        (!writes.is_empty()).then_some(Batch { writes, transaction })
    }
}
