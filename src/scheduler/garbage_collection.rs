//! Removes unused entries from the store, a few at a time and at the lowest write priority.
//!
//! It deletes what finished jobs have in the store besides their records, and the spec chunks of incomplete
//! submissions, and replaces the records of jobs that were cancelled by a dependency with their final ones. A failover
//! loses nothing, because a new leader finds the remaining garbage in the store.

use crate::ids::JobId;
use crate::jobs::{GarbageWrite, OrphanedSpecChunk};
use crate::scheduler::Scheduler;
use crate::store::{PendingWrite, StoreClient, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{Precondition, Transaction, Write};
use foldhash::{HashMap, HashMapExt};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of garbage writes in one transaction; small, so that they delay no other write.
const GARBAGE_WRITES_PER_TRANSACTION: usize = 4;
/// Interval between two such transactions.
const GARBAGE_COLLECTION_INTERVAL: Duration = Duration::from_millis(1000);
/// Time after which the chunks of an incomplete submission are removed. Users retry a submission for one minute.
const ORPHANED_SPEC_AGE: Duration = Duration::from_secs(180);

/// State of garbage collection between two rounds.
pub(super) struct GarbageCollector {
    /// Earliest time of the next round.
    next_round: Instant,
    /// Keys of the transaction in flight.
    keys: Vec<String>,
    /// Time at which chunks that no job uses were first seen, by job.
    orphans: HashMap<JobId, Instant>,
}

impl GarbageCollector {
    /// Creates a collector whose first round is due after one interval.
    pub(super) fn new(now: Instant) -> GarbageCollector {
        GarbageCollector {
            next_round: now + GARBAGE_COLLECTION_INTERVAL,
            keys: Vec::new(),
            orphans: HashMap::new(),
        }
    }
}

impl Scheduler {
    /// Enqueues the removal of some garbage if a round is due and the last transaction is complete.
    pub(super) fn collect_garbage(&mut self, store: &mut StoreClient, now: Instant) {
        if now < self.garbage_collector.next_round
            || store.is_pending(&WriteOrigin::GarbageCollection)
        {
            return;
        }
        self.garbage_collector.next_round = now + GARBAGE_COLLECTION_INTERVAL;
        let max_writes = GARBAGE_WRITES_PER_TRANSACTION.min(store.layout().max_operations);
        let mut writes = store.cache.jobs.garbage(max_writes);
        let mut orphans = HashMap::new();
        for OrphanedSpecChunk { job, key, revision } in store.cache.jobs.orphaned_spec_chunks() {
            let since = self.garbage_collector.orphans.get(&job).copied().unwrap_or(now);
            orphans.insert(job, since);
            if now >= since + ORPHANED_SPEC_AGE && writes.len() < max_writes {
                writes.push(GarbageWrite { write: Write::Delete { key }, revision });
            }
        }
        self.garbage_collector.orphans = orphans;
        if writes.is_empty() {
            return;
        }
        let precondition = |garbage: &GarbageWrite| Precondition {
            key: garbage.write.key().into(),
            rev: garbage.revision,
        };
        let preconditions = std::iter::once(self.term.precondition())
            .chain(writes.iter().map(precondition))
            .collect();
        self.garbage_collector.keys =
            writes.iter().map(|garbage| garbage.write.key().to_owned()).collect();
        let writes = writes.into_iter().map(|garbage| garbage.write).collect();
        let transaction = Transaction { preconditions, writes };
        store.enqueue(PendingWrite {
            priority: WritePriority::Background,
            origin: WriteOrigin::GarbageCollection,
            transaction,
        });
    }

    /// Applies the outcome of a round's transaction.
    pub(super) fn on_garbage_collected(&mut self, outcome: WriteOutcome, store: &mut StoreClient) {
        if outcome == WriteOutcome::Conflict {
            // At least one key has changed since it was cached. The keys are no longer treated as garbage until the
            // next full read of the store shows their state.
            self.garbage_collector.keys.iter().for_each(|key| store.cache.jobs.forget_garbage(key));
        }
    }
}
