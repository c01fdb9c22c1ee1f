use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const KEY: u64 = 7;

/// Model of the store with a single key and the fencing token of the leader.
#[derive(Default)]
struct Store {
    value: Option<String>,
    rev: u64,
    leader: u64,
    /// Writes delayed by the network, with the fencing token of their sender.
    delayed: Vec<(u64, BucketWrite)>,
}

impl Store {
    fn commit(&mut self, token: u64, write: &BucketWrite) -> bool {
        let committed = write.rev == self.rev && token == self.leader;
        if committed {
            self.value = Some(write.value.clone());
            self.rev += 1;
        }
        committed
    }
}

fn known_tasks(cache: &HistoryCache) -> BTreeMap<u16, u32> {
    let runs = cache.with_history(KEY, |history| history.runs().to_vec()).unwrap_or_default();
    runs.into_iter().map(|run| (run.id, run.tasks)).collect()
}

fn stored_tasks(store: &Store) -> BTreeMap<u16, u32> {
    let mut cache = HistoryCache::default();
    cache.on_stored_value(bucket_of(KEY), store.value.as_deref(), store.rev.max(1)).unwrap();
    known_tasks(&cache)
}

proptest! {
    /// With leader changes, lost responses and writes that are executed late or never, the stored histories must never
    /// count an observation twice, and every observation that the last leader knows must reach the store.
    #[test]
    fn observations_never_count_twice_and_reach_the_store(steps in prop::collection::vec((0u8..8, 0u16..6), 1..120)) {
        let mut store = Store { leader: 1, ..Store::default() };
        let mut cache = HistoryCache::default();
        let mut token = 1;
        let mut observed: BTreeMap<u16, u32> = BTreeMap::new();
        let mut now_ms = 0;
        for (step, id) in steps {
            now_ms += REWRITE_INTERVAL_MS;
            match step {
                0 | 1 => {
                    cache.add(KEY, Run::new(1, id, 1, 3.0, 0.1, None));
                    *observed.entry(id).or_default() += 1;
                }
                2 => {
                    // A new leader knows only the stored value.
                    token += 1;
                    store.leader = token;
                    cache = HistoryCache::default();
                    cache.on_stored_value(bucket_of(KEY), store.value.as_deref(), store.rev).unwrap();
                }
                3 if !store.delayed.is_empty() => {
                    let (sender, write) = store.delayed.remove(usize::from(id) % store.delayed.len());
                    store.commit(sender, &write);
                }
                4 => {
                    cache.on_stored_value(bucket_of(KEY), store.value.as_deref(), store.rev).unwrap();
                }
                _ => {
                    let Some(write) = cache.poll(token, 16_000, now_ms) else { continue };
                    match step {
                        // Executed, and the response arrives.
                        5 => {
                            store.commit(token, &write);
                            cache.on_write_result(write.bucket, WriteResult::Settled);
                            cache.on_stored_value(write.bucket, store.value.as_deref(), store.rev).unwrap();
                        }
                        // Executed, and the response is lost.
                        6 => {
                            store.commit(token, &write);
                            cache.on_write_result(write.bucket, WriteResult::Unknown);
                        }
                        // Delayed by the network.
                        _ => {
                            store.delayed.push((token, write.clone()));
                            cache.on_write_result(write.bucket, WriteResult::Unknown);
                        }
                    }
                }
            }
            for (counted, limit) in [(stored_tasks(&store), &observed), (known_tasks(&cache), &observed)] {
                for (id, tasks) in counted {
                    prop_assert!(tasks <= limit[&id], "run {id} counts {tasks} of {}", limit[&id]);
                }
            }
        }
        // Without further faults this leader must write all that it knows to the store.
        let known = known_tasks(&cache);
        for _ in 0..4 {
            now_ms += REWRITE_INTERVAL_MS;
            cache.on_stored_value(bucket_of(KEY), store.value.as_deref(), store.rev).unwrap();
            if let Some(write) = cache.poll(token, 16_000, now_ms) {
                store.commit(token, &write);
                cache.on_write_result(write.bucket, WriteResult::Settled);
            }
        }
        let stored = stored_tasks(&store);
        prop_assert!(known.iter().all(|(id, tasks)| stored.get(id) >= Some(tasks)), "{known:?} {stored:?}");
    }
}

#[test]
fn values_of_later_layout_are_kept_and_corrupted_ones_replaced() {
    let mut cache = HistoryCache::default();
    cache.add(KEY, Run::new(1, 1, 5, 3.0, 0.1, None));
    let value = cache.buckets[7].unwritten.clone().encode(9999);
    assert_eq!(
        cache.on_stored_value(7, Some(&value[..value.len() - 3]), 4),
        Err(DecodeError::Corrupted)
    );
    assert_eq!(cache.poll(1, 9999, 0).map(|write| write.rev), Some(4));
    let mut cache = HistoryCache::default();
    cache.add(KEY, Run::new(1, 1, 5, 3.0, 0.1, None));
    cache.buckets[7].has_later_layout = true;
    assert_eq!(cache.poll(1, 9999, 0), None);
    assert_eq!(
        known_tasks(&cache).get(&1),
        Some(&5),
        "observations must be used for as long as this leader's term lasts"
    );
}

#[test]
fn writes_are_limited_to_two_per_second() {
    let mut cache = HistoryCache::default();
    for key in 0..u64::from(BUCKETS) {
        cache.add(key, Run::new(1, 1, 5, 3.0, 0.1, None));
    }
    let is_due = |cache: &mut HistoryCache, ms: u64| cache.poll(1, 9999, ms).is_some();
    let written = (0..100).filter(|n| is_due(&mut cache, n * 100)).count();
    assert_eq!(written, 20, "two writes per second in ten seconds");
}
