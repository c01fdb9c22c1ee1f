//! Tidying up at the state service, a few writes at a time and after all else: what jobs that are
//! over left beside their records, records of jobs that are cancelled by what they need, and parts
//! of descriptions whose submission was never finished. A take-over loses nothing: what is left is
//! found again in the store.

use super::*;

pub(super) struct Tidy {
    at: Instant,
    /// Keys of the transaction under way.
    keys: Vec<String>,
    /// Since when parts are known that no job uses.
    orphans: HashMap<JobId, Instant>,
}

impl Tidy {
    pub fn new(now: Instant) -> Tidy {
        Tidy { at: now + TIDY_EVERY, keys: Vec::new(), orphans: HashMap::new() }
    }
}

impl Scheduler {
    pub(super) fn tidy_up(&mut self, state: &mut StoreClient, now: Instant) {
        if now < self.tidy.at || state.is_pending(&WriteOrigin::GarbageCollection) {
            return;
        }
        self.tidy.at = now + TIDY_EVERY;
        let most = TIDY_WRITES.min(state.layout().txn_ops);
        let mut writes = state.cache.jobs.garbage(most);
        let mut waiting = HashMap::new();
        for (id, key, rev) in state.cache.jobs.orphaned_spec_chunks() {
            let since = self.tidy.orphans.get(id).copied().unwrap_or(now);
            waiting.insert(id.clone(), since);
            if now >= since + ORPHAN_AFTER && writes.len() < most {
                writes.push((Write::Delete { key }, rev));
            }
        }
        self.tidy.orphans = waiting;
        if writes.is_empty() {
            return;
        }
        let guard =
            |(write, rev): &(Write, Revision)| Precondition { key: write.key().into(), rev: *rev };
        let guards = std::iter::once(self.leader_guard()).chain(writes.iter().map(guard)).collect();
        self.tidy.keys = writes.iter().map(|(write, _)| write.key().to_owned()).collect();
        let writes = writes.into_iter().map(|(write, _)| write).collect();
        let transaction = Transaction { guards, writes };
        state.enqueue(PendingWrite {
            priority: WritePriority::Background,
            origin: WriteOrigin::GarbageCollection,
            transaction,
        });
    }

    pub(super) fn tidied(&mut self, outcome: WriteOutcome, state: &mut StoreClient) {
        if outcome == WriteOutcome::Conflict {
            // Something there is not as it was known; the next full reading shows how it is.
            self.tidy.keys.iter().for_each(|key| state.cache.jobs.forget_garbage(key));
        }
    }
}
