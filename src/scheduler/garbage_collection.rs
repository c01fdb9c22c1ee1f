//! Tidying up at the state service, a few writes at a time and after all else: what jobs that are
//! over left beside their records, records of jobs that are cancelled by what they need, and parts
//! of descriptions whose submission was never finished. A failover loses nothing: what is left is
//! found again in the store.

use crate::ids::JobId;
use crate::jobs::{GarbageWrite, OrphanedSpecChunk};
use crate::scheduler::Scheduler;
use crate::store::{PendingWrite, StoreClient, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{Precondition, Transaction, Write};
use foldhash::{HashMap, HashMapExt};
use std::time::Duration;
use tokio::time::Instant;

/// Count. Writes of tidying up in one transaction: few, so that they hold up nothing.
const GARBAGE_WRITES_PER_TRANSACTION: usize = 4;
/// Pause between two such transactions.
const GARBAGE_COLLECTION_INTERVAL: Duration = Duration::from_millis(1000);
/// A submission of many parts that was not finished within this time is given up, and its parts are
/// removed: users repeat a submission for a minute.
const ORPHANED_SPEC_AGE: Duration = Duration::from_secs(180);

/// What is known of garbage between two rounds.
pub(super) struct GarbageCollector {
    at: Instant,
    /// Keys of the transaction under way.
    keys: Vec<String>,
    /// Since when parts are known that no job uses.
    orphans: HashMap<JobId, Instant>,
}

impl GarbageCollector {
    /// A collector whose first round is one interval away.
    pub(super) fn new(now: Instant) -> GarbageCollector {
        GarbageCollector {
            at: now + GARBAGE_COLLECTION_INTERVAL,
            keys: Vec::new(),
            orphans: HashMap::new(),
        }
    }
}

impl Scheduler {
    /// Removes some garbage, if a round is due and the last one has ended.
    pub(super) fn collect_garbage(&mut self, store: &mut StoreClient, now: Instant) {
        if now < self.garbage_collector.at || store.is_pending(&WriteOrigin::GarbageCollection) {
            return;
        }
        self.garbage_collector.at = now + GARBAGE_COLLECTION_INTERVAL;
        let most = GARBAGE_WRITES_PER_TRANSACTION.min(store.layout().max_operations);
        let mut writes = store.cache.jobs.garbage(most);
        let mut waiting = HashMap::new();
        for OrphanedSpecChunk { job, key, revision } in store.cache.jobs.orphaned_spec_chunks() {
            let since = self.garbage_collector.orphans.get(&job).copied().unwrap_or(now);
            waiting.insert(job, since);
            if now >= since + ORPHANED_SPEC_AGE && writes.len() < most {
                writes.push(GarbageWrite { write: Write::Delete { key }, revision });
            }
        }
        self.garbage_collector.orphans = waiting;
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

    /// Takes in how a round ended.
    pub(super) fn on_garbage_collected(&mut self, outcome: WriteOutcome, store: &mut StoreClient) {
        if outcome == WriteOutcome::Conflict {
            // Something there is not as it was known; the next full reading shows how it is.
            self.garbage_collector.keys.iter().for_each(|key| store.cache.jobs.forget_garbage(key));
        }
    }
}
