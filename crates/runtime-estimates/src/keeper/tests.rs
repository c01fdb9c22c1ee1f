use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const KEY: u64 = 7;

/// The state service, as far as these writes see it: one key, and who leads.
#[derive(Default)]
struct Store {
    value: Option<String>,
    rev: u64,
    leader: u64,
    late: Vec<(u64, Write)>,
}

impl Store {
    fn commit(&mut self, token: u64, write: &Write) -> bool {
        let done = write.rev == self.rev && token == self.leader;
        if done {
            self.value = Some(write.value.clone());
            self.rev += 1;
        }
        done
    }
}

fn seen(keeper: &Keeper) -> BTreeMap<u16, u32> {
    let runs = keeper.look(KEY, |known| known.runs().to_vec()).unwrap_or_default();
    runs.into_iter().map(|run| (run.id, run.tasks)).collect()
}

fn kept(store: &Store) -> BTreeMap<u16, u32> {
    let mut keeper = Keeper::default();
    keeper.on_kept(bucket_of(KEY), store.value.as_deref(), store.rev.max(1)).unwrap();
    seen(&keeper)
}

proptest! {
    /// Leaders come and go, answers are lost, writes are done late or never: what is kept never
    /// counts an observation twice, and what a leader knew to be written is never lost.
    #[test]
    fn nothing_counts_twice(steps in prop::collection::vec((0u8..8, 0u16..6), 1..120)) {
        let mut store = Store { leader: 1, ..Store::default() };
        let mut keeper = Keeper::default();
        let mut token = 1;
        let mut all: BTreeMap<u16, u32> = BTreeMap::new();
        let mut now_ms = 0;
        for (step, id) in steps {
            now_ms += REWRITE_INTERVAL_MS;
            match step {
                0 | 1 => {
                    keeper.add(KEY, Run::new(1, id, 1, 3.0, 0.1, None));
                    *all.entry(id).or_default() += 1;
                }
                2 => {
                    // A new leader knows what is kept, and nothing else.
                    token += 1;
                    store.leader = token;
                    keeper = Keeper::default();
                    keeper.on_kept(bucket_of(KEY), store.value.as_deref(), store.rev).unwrap();
                }
                3 if !store.late.is_empty() => {
                    let (by, write) = store.late.remove(usize::from(id) % store.late.len());
                    store.commit(by, &write);
                }
                4 => {
                    keeper.on_kept(bucket_of(KEY), store.value.as_deref(), store.rev).unwrap();
                }
                _ => {
                    let Some(write) = keeper.poll(token, 16_000, now_ms) else { continue };
                    match step {
                        // Done, and told.
                        5 => {
                            store.commit(token, &write);
                            keeper.on_told(write.bucket, Told::Settled);
                            keeper.on_kept(write.bucket, store.value.as_deref(), store.rev).unwrap();
                        }
                        // Done, and the answer lost.
                        6 => {
                            store.commit(token, &write);
                            keeper.on_told(write.bucket, Told::Unsure);
                        }
                        // Held back by the network.
                        _ => {
                            store.late.push((token, write.clone()));
                            keeper.on_told(write.bucket, Told::Unsure);
                        }
                    }
                }
            }
            for (known, most) in [(kept(&store), &all), (seen(&keeper), &all)] {
                for (id, tasks) in known {
                    prop_assert!(tasks <= most[&id], "run {id} counts {tasks} of {}", most[&id]);
                }
            }
        }
        // Left alone, this leader brings all that it knows to the store.
        let knows = seen(&keeper);
        for _ in 0..4 {
            now_ms += REWRITE_INTERVAL_MS;
            keeper.on_kept(bucket_of(KEY), store.value.as_deref(), store.rev).unwrap();
            if let Some(write) = keeper.poll(token, 16_000, now_ms) {
                store.commit(token, &write);
                keeper.on_told(write.bucket, Told::Settled);
            }
        }
        let there = kept(&store);
        prop_assert!(knows.iter().all(|(id, tasks)| there.get(id) >= Some(tasks)), "{knows:?} {there:?}");
    }
}

#[test]
fn a_later_versions_value_is_left_alone_and_a_damaged_one_replaced() {
    let mut keeper = Keeper::default();
    keeper.add(KEY, Run::new(1, 1, 5, 3.0, 0.1, None));
    let later = keeper.slots[7].delta.clone().encode(9999);
    assert_eq!(keeper.on_kept(7, Some(&later[..later.len() - 3]), 4), Err(Unreadable::Damaged));
    assert_eq!(keeper.poll(1, 9999, 0).map(|write| write.rev), Some(4));
    let mut keeper = Keeper::default();
    keeper.add(KEY, Run::new(1, 1, 5, 3.0, 0.1, None));
    keeper.slots[7].later = true;
    assert_eq!(keeper.poll(1, 9999, 0), None);
    assert_eq!(seen(&keeper).get(&1), Some(&5), "learned all the same, for as long as it leads");
}

#[test]
fn writes_keep_their_pace() {
    let mut keeper = Keeper::default();
    for key in 0..u64::from(BUCKETS) {
        keeper.add(key, Run::new(1, 1, 5, 3.0, 0.1, None));
    }
    let due = |keeper: &mut Keeper, ms: u64| keeper.poll(1, 9999, ms).is_some();
    let written = (0..100).filter(|n| due(&mut keeper, n * 100)).count();
    assert_eq!(written, 20, "two a second");
}
