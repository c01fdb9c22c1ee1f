use crate::ids::{JobId, Revision};
use crate::jobs::{
    Acceptance, FinalState, GarbageWrite, Jobs, LiveJob, TaskSet, accept, cancel, complete, dag,
    fixtures,
};
use crate::schema::keys::JOB_PREFIX;
use crate::schema::records::Layout;
use crate::wire::{self, JobSpec, JobStatus, Precondition, StoreValue, Transaction, Write};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn spec(id: &str, tasks: u64) -> Arc<JobSpec> {
    Arc::new(fixtures::job_spec(id, tasks))
}

const LAYOUT: Layout =
    Layout { format: 1, legacy_chunk_tasks: 16_384, max_operations: 4, value_max: 1800 };

fn record(spec: &Arc<JobSpec>, jobs: &Jobs) -> Transaction {
    match accept(spec, 5, &LAYOUT, jobs) {
        Acceptance::JobRecord(transaction) | Acceptance::SpecChunks(transaction) => transaction,
    }
}

/// Stands for the key-value store: each transaction gets the next revision if its preconditions hold.
#[derive(Default)]
struct Store {
    rev: u64,
    keys: BTreeMap<String, (Option<StoreValue>, u64)>,
}

impl Store {
    fn commit(&mut self, transaction: &Transaction, layout: &Layout) -> bool {
        assert!(transaction.writes.len() <= layout.max_operations);
        assert!(transaction.preconditions.len() <= layout.max_operations * 4);
        let rev = |key| self.keys.get(key).filter(|(v, _)| v.is_some()).map_or(0, |(_, r)| *r);
        if transaction.preconditions.iter().any(|guard| rev(&guard.key) != guard.rev.0) {
            return false;
        }
        self.rev += 1;
        for write in &transaction.writes {
            let value = match write {
                Write::Put { data, .. } => Some(data.clone()),
                Write::Delete { .. } => None,
            };
            let fits = value.as_ref().is_none_or(|value| layout.fits(value));
            assert!(fits || !layout.is_second(), "{}", write.key());
            self.keys.insert(write.key().to_owned(), (value, self.rev));
        }
        true
    }
    fn take(&self, jobs: &mut Jobs, key: &str) {
        let (value, rev) = &self.keys[key];
        match (key.strip_prefix(JOB_PREFIX), value) {
            (Some(id), Some(value)) => jobs.apply_record(JobId::new(id), value, Revision(*rev)),
            _ => {
                jobs.apply_auxiliary_key(key, value.as_ref(), Revision(*rev));
            }
        }
    }
    /// What a process finds that reads all keys in this order.
    fn read(&self, order: impl Iterator<Item = usize>) -> Jobs {
        let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
        let there: Vec<&String> =
            self.keys.iter().filter(|(_, (v, _))| v.is_some()).map(|(k, _)| k).collect();
        order.filter_map(|n| there.get(n)).for_each(|key| self.take(&mut jobs, key));
        jobs
    }
}

fn apply(jobs: &mut Jobs, transaction: &Transaction, rev: u64) {
    for write in &transaction.writes {
        let Write::Put { key, data, .. } = write else { continue };
        match key.strip_prefix(JOB_PREFIX) {
            Some(id) => jobs.apply_record(JobId::new(id), data, Revision(rev)),
            None => {
                jobs.apply_auxiliary_key(key, Some(data), Revision(rev));
            }
        }
    }
}

#[test]
fn a_job_is_done_with_its_last_task_in_any_order_and_with_repeats() {
    let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
    let id = JobId::new("wk-1");
    let transaction = record(&spec("wk-1", 40), &jobs);
    apply(&mut jobs, &transaction, 1);
    let mut order: Vec<u32> = (0..40).map(|i| (i * 7) % 40).collect();
    order.extend([3, 3, 39]);
    let mut rev = 1;
    for (nth, task) in order.iter().enumerate() {
        let job = jobs.get(&id).unwrap().clone();
        let Some(done) = complete(&id, &job, &[*task, 99], 0, 7, &LAYOUT) else { continue };
        let transaction = done.transaction;
        rev += 1;
        apply(&mut jobs, &transaction, rev);
        let state = jobs.get(&id).unwrap().final_state();
        assert_eq!(state.is_some(), nth >= 39, "{nth}");
    }
    assert_eq!(
        jobs.get(&id).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Done, completed_tasks: 40 })
    );
}

#[test]
fn older_revisions_and_changes_of_finished_jobs_are_ignored() {
    let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
    let id = JobId::new("wk-2");
    let first = record(&spec("wk-2", 2), &jobs);
    apply(&mut jobs, &first, 1);
    let job = jobs.get(&id).unwrap().clone();
    let half = complete(&id, &job, &[0], 0, 7, &LAYOUT).unwrap().transaction;
    apply(&mut jobs, &half, 2);
    apply(&mut jobs, &first, 1);
    assert_eq!(jobs.get(&id).unwrap().live().unwrap().completed_count(), 1);
    let end = cancel(&id, jobs.get(&id).unwrap(), 9, &LAYOUT).unwrap();
    apply(&mut jobs, &end, 4);
    apply(&mut jobs, &half, 9);
    assert_eq!(
        jobs.get(&id).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Cancelled, completed_tasks: 1 })
    );
}

/// Collects garbage until the job's record is all that is left.
fn collect_garbage(store: &mut Store, id: &JobId) -> FinalState {
    let mut state = None;
    while state.is_none_or(|_| store.keys.values().filter(|(v, _)| v.is_some()).count() > 1) {
        let jobs = store.read(0..store.keys.len());
        state = jobs.get(id).unwrap().final_state();
        let (preconditions, writes) = jobs
            .garbage(3)
            .into_iter()
            .map(|GarbageWrite { write, revision: rev }| {
                (Precondition { key: write.key().into(), rev }, write)
            })
            .unzip();
        assert!(store.commit(&Transaction { preconditions, writes }, &LAYOUT));
    }
    state.unwrap()
}

/// A large job that was accepted in the first layout goes on in the second, under limits that
/// its record would break: no completed task is lost or invented, whoever reads the store in
/// between, and nothing is left in the end.
#[test]
fn a_large_job_goes_on_in_the_second_layout_from_any_point() {
    let first = Layout { format: 0, max_operations: 12, value_max: 14_000, ..LAYOUT };
    for (tasks, step, cancelled) in
        [(3000, 700, false), (50_000, 9000, false), (50_000, 9000, true)]
    {
        let mut store = Store::default();
        let id = JobId::new("wk-1");
        let Acceptance::JobRecord(transaction) =
            accept(&spec("wk-1", tasks), 5, &first, &Jobs::new(16_384))
        else {
            panic!()
        };
        assert!(store.commit(&transaction, &first));
        let mut reported: BTreeSet<u32> = BTreeSet::new();
        let mut committed = TaskSet::default();
        let mut next = 0;
        for round in 0.. {
            let jobs = store.read(0..store.keys.len());
            let Some(live) = jobs.get(&id).unwrap().live() else { break };
            // What a process reads is what was committed, in whichever layout.
            assert_eq!(
                live.completed.iter().collect::<Vec<_>>(),
                committed.iter().collect::<Vec<_>>()
            );
            let from = next;
            next = (next + step).min(tasks as u32);
            // Every other one first, so that all chunks grow more than once.
            reported.extend((from..next).filter(|n| round % 2 == 1 || n % 2 == 0));
            if next == tasks as u32 {
                reported.extend(0..next);
            }
            if cancelled && round == 4 {
                assert!(
                    store
                        .commit(&cancel(&id, jobs.get(&id).unwrap(), 9, &LAYOUT).unwrap(), &LAYOUT)
                );
                continue;
            }
            let layout = if round < 2 { first } else { LAYOUT };
            let open: Vec<u32> =
                reported.iter().copied().filter(|n| !live.is_completed(*n)).collect();
            let Some(done) = complete(&id, jobs.get(&id).unwrap(), &open, 0, 9, &layout) else {
                continue;
            };
            assert!(store.commit(&done.transaction, &layout));
            if let Some(live) = store.read(0..store.keys.len()).get(&id).unwrap().live() {
                let new: Vec<u32> =
                    live.completed.iter().filter(|n| !committed.contains(*n)).collect();
                assert!(new.iter().all(|n| reported.contains(n)));
                new.into_iter().for_each(|n| committed.insert(n));
                assert!((0..tasks as u32).all(|n| !committed.contains(n) || live.is_completed(n)));
            }
        }
        let status = if cancelled { JobStatus::Cancelled } else { JobStatus::Done };
        assert_eq!(collect_garbage(&mut store, &id).status, status);
    }
}

/// However many chunks change, each transaction fits the limits, and the rest follows.
#[test]
fn many_changed_chunks_are_committed_a_few_at_a_time() {
    let (mut store, id) = (Store::default(), JobId::new("wk-1"));
    let transaction = record(&spec("wk-1", 100_000), &Jobs::new(16_384));
    assert!(store.commit(&transaction, &LAYOUT));
    let tasks: Vec<u32> = (0..100_000).step_by(1000).collect();
    for round in 0..7 {
        let jobs = store.read(0..store.keys.len());
        let done = complete(&id, jobs.get(&id).unwrap(), &tasks, 0, 9, &LAYOUT).unwrap();
        assert!(!done.ends && store.commit(&done.transaction, &LAYOUT), "{round}");
    }
    let jobs = store.read(0..store.keys.len());
    assert!(complete(&id, jobs.get(&id).unwrap(), &tasks, 0, 9, &LAYOUT).is_none());
    assert_eq!(jobs.get(&id).unwrap().live().unwrap().completed_count(), 100);
}

/// A description larger than a value, from the first chunk to garbage collection; a second submission
/// elsewhere goes on with what the first one wrote.
#[test]
fn a_description_larger_than_a_value_is_stored_in_chunks() {
    let mut long = fixtures::job_spec("wk-9", 2000);
    long.depends_on = Some((0..900).map(|n| JobId::new(&format!("wk-{n:06}"))).collect());
    long.machine_types = Some((0..32).map(|n| format!("{n}{}", "é".repeat(99))).collect());
    let (long, id) = (Arc::new(long), JobId::new("wk-9"));
    let mut store = Store::default();
    let mut steps = 0;
    loop {
        let jobs = store.read((0..store.keys.len()).rev());
        assert!(jobs.get(&id).is_none());
        steps += 1;
        match accept(&long, 5, &LAYOUT, &jobs) {
            Acceptance::SpecChunks(transaction) => assert!(store.commit(&transaction, &LAYOUT)),
            Acceptance::JobRecord(transaction) => {
                assert!(store.commit(&transaction, &LAYOUT));
                break;
            }
        }
    }
    assert!(steps > 4);
    for backward in [false, true] {
        let order: Vec<usize> = (0..store.keys.len()).collect();
        let order = order.iter().copied();
        let order: Vec<usize> = if backward { order.rev().collect() } else { order.collect() };
        let jobs = store.read(order.into_iter());
        let live = jobs.get(&id).unwrap().live().unwrap();
        assert_eq!(live.spec, long);
        assert_eq!(jobs.orphaned_spec_chunks().count(), 0);
    }
    let jobs = store.read(0..store.keys.len());
    let done = complete(&id, jobs.get(&id).unwrap(), &[1, 1999], 0, 9, &LAYOUT).unwrap();
    assert!(!done.ends && store.commit(&done.transaction, &LAYOUT));
    let end = cancel(&id, jobs.get(&id).unwrap(), 9, &LAYOUT).unwrap();
    assert!(store.commit(&end, &LAYOUT));
    let jobs = store.read(0..store.keys.len());
    assert_eq!(jobs.garbage(1000).len(), store.keys.len() - 1);
}

fn own_priority(job: &LiveJob) -> dag::InheritedPriority {
    let due_ms = job.spec.due_s.map(|due_s| due_s as u64);
    dag::InheritedPriority { urgency: job.spec.priority, due_ms }
}

fn duration_ms(job: &LiveJob) -> u64 {
    job.spec.expect_s as u64
}

/// The plain model of what is inherited: by recursion over all that depend on the job.
fn plain_inherited(id: &JobId, live: &BTreeMap<&JobId, &LiveJob>) -> dag::InheritedPriority {
    let mut inherited = own_priority(live[id]);
    for (other, job) in live.iter().filter(|(_, job)| job.depends_on().contains(id)) {
        let after = plain_inherited(other, live);
        inherited.urgency = inherited.urgency.min(after.urgency);
        let begin = after.due_ms.map(|due| due.saturating_sub(duration_ms(job)));
        inherited.due_ms = inherited.due_ms.into_iter().chain(begin).min();
    }
    inherited
}

/// The plain model: what a job's state is, worked out anew from all records, by recursion.
fn plain_state(
    id: usize,
    depends_on: &[Vec<usize>],
    ended: &BTreeMap<usize, bool>,
    memo: &mut BTreeMap<usize, Option<bool>>,
) -> Option<bool> {
    if let Some(state) = memo.get(&id) {
        return *state;
    }
    // Some(true): cancelled, Some(false): done.
    let cancelled =
        depends_on[id].iter().any(|need| plain_state(*need, depends_on, ended, memo) == Some(true));
    let state = ended.get(&id).copied().or(cancelled.then_some(true));
    memo.insert(id, state);
    state
}

/// What is inherited against the plain model.
fn check_priorities(jobs: &Jobs) -> Result<(), proptest::test_runner::TestCaseError> {
    let live: BTreeMap<&JobId, &LiveJob> =
        jobs.all.iter().filter_map(|(id, job)| Some((id, job.live()?))).collect();
    let inherited = dag::inherit_priorities(&live, own_priority, |_, job| duration_ms(job));
    for (id, job) in &live {
        let found = inherited.get(*id).copied().unwrap_or_else(|| own_priority(job));
        proptest::prop_assert_eq!(found, plain_inherited(id, &live), "job {}", id);
    }
    Ok(())
}

/// A job whose priority, due time and duration vary with a number.
fn submitted(which: usize, id: &JobId, depends_on: Vec<JobId>) -> Arc<JobSpec> {
    let urgencies = [wire::Priority::High, wire::Priority::Normal, wire::Priority::Low];
    Arc::new(JobSpec {
        depends_on: Some(depends_on),
        priority: urgencies[which % 3],
        due_s: which.is_multiple_of(4).then_some(100.0 + (which * 7 % 50) as f64),
        expect_s: which as f64,
        ..fixtures::job_spec(id.as_str(), 1)
    })
}

/// Of a random graph: the jobs that each one depends on, all before it.
fn acyclic(edges: &[Vec<usize>]) -> Vec<Vec<usize>> {
    let before = |(n, list): (usize, &Vec<usize>)| {
        let set: BTreeSet<usize> = list.iter().filter(|_| n > 0).map(|m| m % n.max(1)).collect();
        set.into_iter().collect()
    };
    edges.iter().enumerate().map(before).collect()
}

/// The id of a graph's n-th job: not in the order of acceptance.
fn graph_job(n: usize) -> JobId {
    JobId::new(&format!("wk-{}", (n * 17) % 41))
}

/// What processes derived of the accepted jobs against the plain model.
fn check_states(
    processes: &[&Jobs],
    accepted: usize,
    depends_on: &[Vec<usize>],
    ended: &BTreeMap<usize, bool>,
) -> Result<(), proptest::test_runner::TestCaseError> {
    let mut memo = BTreeMap::new();
    for n in 0..accepted {
        let plain = plain_state(n, depends_on, ended, &mut memo);
        for jobs in processes {
            let job = jobs.get(&graph_job(n)).unwrap();
            let state = job.final_state().map(|state| state.status == JobStatus::Cancelled);
            proptest::prop_assert_eq!(state, plain, "job {}", n);
            if let Some(live) = job.live() {
                let open = depends_on[n].iter().filter(|m| ended.get(m) != Some(&false));
                proptest::prop_assert_eq!(live.unfinished_dependencies as usize, open.count());
            }
        }
    }
    Ok(())
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 60, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..Default::default()
    })]

    /// Random graphs of jobs with completions, cancellations, repeats, and processes that read
    /// everything anew in any order, against the plain model.
    #[test]
    fn derived_states_are_those_of_the_plain_model(
        edges in proptest::collection::vec(proptest::collection::vec(0usize..40, 0..4), 1..40),
        acts in proptest::collection::vec((0usize..40, 0u8..8), 1..80),
        shuffle in 0usize..40,
    ) {
        let count = edges.len();
        let depends_on = acyclic(&edges);
        let name = graph_job;
        let mut store = Store::default();
        let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
        let mut ended: BTreeMap<usize, bool> = BTreeMap::new();
        let mut accepted = 0;
        for (which, act) in acts {
            let before = store.keys.clone();
            if accepted < count && act < 4 {
                let dependencies = depends_on[accepted].iter().map(|n| name(*n)).collect();
                let spec = submitted(which, &name(accepted), dependencies);
                store.commit(&record(&spec, &jobs), &LAYOUT);
                accepted += 1;
            } else if accepted > 0 {
                let n = which % accepted;
                let job = jobs.get(&name(n)).unwrap().clone();
                let (transaction, end) = match (act, job.live()) {
                    (5, _) => (cancel(&name(n), &job, 9, &LAYOUT), Some(true)),
                    (6.., Some(live)) if live.is_ready() => {
                        let done = complete(&name(n), &job, &[0], 0, 9, &LAYOUT);
                        (done.map(|done| done.transaction), Some(false))
                    }
                    // Garbage collection changes no state.
                    _ => {
                        let transaction = jobs.garbage(2).pop().map(|GarbageWrite { write, revision: rev }| Transaction {
                            preconditions: vec![Precondition { key: write.key().into(), rev }],
                            writes: vec![write],
                        });
                        (transaction, None)
                    }
                };
                if let Some(transaction) = transaction
                    && store.commit(&transaction, &LAYOUT)
                {
                    ended.extend(end.map(|cancelled| (n, cancelled)));
                }
            }
            let new: Vec<String> = store.keys.iter()
                .filter(|(key, value)| before.get(*key) != Some(*value))
                .map(|(key, _)| key.clone()).collect();
            new.iter().for_each(|key| store.take(&mut jobs, key));
            let total = store.keys.len();
            let again = store.read((0..total).map(|n| (n + shuffle) % total.max(1)));
            check_priorities(&jobs)?;
            check_states(&[&jobs, &again], accepted, &depends_on, &ended)?;
        }
    }
}

/// Thousands in a row and a graph with an astronomical number of ways through it: one
/// cancellation ends them all, and each edge is walked once.
#[test]
fn long_chains_and_wide_graphs_end_at_once() {
    let layered = |n: usize| -> Vec<usize> {
        let layer = n / 5;
        if layer == 0 { vec![] } else { (0..5).map(|k| (layer - 1) * 5 + k).collect() }
    };
    let chain = |n: usize| if n == 0 { vec![] } else { vec![n - 1] };
    let graphs: [fn(usize) -> Vec<usize>; 2] = [chain, layered];
    for depends_on in graphs {
        for backward in [false, true] {
            let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
            let name = |n: usize| JobId::new(&format!("wk-{n}"));
            let mut order: Vec<usize> = (0..5000).collect();
            if backward {
                order.reverse();
            }
            for n in order {
                let mut spec = fixtures::job_spec(name(n).as_str(), 1);
                spec.priority =
                    if n == 4999 { wire::Priority::Production } else { wire::Priority::Low };
                spec.due_s = Some(if n == 4999 { 1e6 } else { 2e6 });
                spec.depends_on = Some(depends_on(n).into_iter().map(name).collect());
                let transaction = record(&Arc::new(spec), &jobs);
                apply(&mut jobs, &transaction, 1);
            }
            let live = jobs.all.iter().filter_map(|(id, job)| Some((id, job.live()?))).collect();
            let own = |job: &LiveJob| dag::InheritedPriority {
                urgency: job.spec.priority,
                due_ms: job.spec.due_s.map(|due_s| due_s as u64),
            };
            let inherited = dag::inherit_priorities(&live, own, |_, _| 10);
            let first = inherited[&name(0)];
            assert_eq!(first.urgency, wire::Priority::Production);
            let layers = if depends_on(4999).len() == 1 { 4999 } else { 999 };
            assert_eq!(first.due_ms, Some(1_000_000 - layers * 10));
            let end = cancel(&name(0), jobs.get(&name(0)).unwrap(), 9, &LAYOUT).unwrap();
            jobs.take_changed();
            apply(&mut jobs, &end, 2);
            let finished = jobs.all.values().filter(|job| job.is_finished()).count();
            let all = if layers == 999 { 4996 } else { 5000 };
            assert_eq!((finished, jobs.take_changed().len()), (all, all));
        }
    }
}
