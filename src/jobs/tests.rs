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

fn next_transaction(spec: &Arc<JobSpec>, jobs: &Jobs) -> Transaction {
    match accept(spec, 5, &LAYOUT, jobs) {
        Acceptance::JobRecord(transaction) | Acceptance::SpecChunks(transaction) => transaction,
    }
}

/// In-memory store: each transaction gets the next revision if its preconditions hold.
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
        if transaction
            .preconditions
            .iter()
            .any(|precondition| rev(&precondition.key) != precondition.rev.0)
        {
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
    fn apply(&self, jobs: &mut Jobs, key: &str) {
        let (value, rev) = &self.keys[key];
        match (key.strip_prefix(JOB_PREFIX), value) {
            (Some(id), Some(value)) => jobs.apply_record(JobId::new(id), value, Revision(*rev)),
            _ => {
                jobs.apply_auxiliary_key(key, value.as_ref(), Revision(*rev));
            }
        }
    }
    /// Returns the jobs of a process that reads all keys in the given order.
    fn read(&self, order: impl Iterator<Item = usize>) -> Jobs {
        let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
        let existing: Vec<&String> =
            self.keys.iter().filter(|(_, (v, _))| v.is_some()).map(|(k, _)| k).collect();
        order.filter_map(|n| existing.get(n)).for_each(|key| self.apply(&mut jobs, key));
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
fn job_is_done_when_its_last_task_completes_in_any_order_with_repetitions() {
    let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
    let id = JobId::new("wk-1");
    let transaction = next_transaction(&spec("wk-1", 40), &jobs);
    apply(&mut jobs, &transaction, 1);
    let mut order: Vec<u32> = (0..40).map(|i| (i * 7) % 40).collect();
    order.extend([3, 3, 39]);
    let mut rev = 1;
    for (position, task) in order.iter().enumerate() {
        let job = jobs.get(&id).unwrap().clone();
        let Some(done) = complete(&id, &job, &[*task, 99], 0, 7, &LAYOUT) else { continue };
        let transaction = done.transaction;
        rev += 1;
        apply(&mut jobs, &transaction, rev);
        let state = jobs.get(&id).unwrap().final_state();
        assert_eq!(state.is_some(), position >= 39, "{position}");
    }
    assert_eq!(
        jobs.get(&id).unwrap().final_state(),
        Some(FinalState { status: JobStatus::Done, completed_tasks: 40 })
    );
}

#[test]
fn older_revisions_and_changes_to_finished_jobs_are_ignored() {
    let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
    let id = JobId::new("wk-2");
    let first = next_transaction(&spec("wk-2", 2), &jobs);
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

/// Collects garbage until only the job's record remains.
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

/// A large job accepted in the first layout continues in the second, with a value limit that its
/// record would exceed. Any process that reads the store in between sees exactly the completed
/// tasks, and garbage collection removes all keys but the record.
#[test]
fn large_job_continues_in_the_second_layout_without_losing_completed_tasks() {
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
            // A process reads what was committed, in either layout.
            assert_eq!(
                live.completed.iter().collect::<Vec<_>>(),
                committed.iter().collect::<Vec<_>>()
            );
            let from = next;
            next = (next + step).min(tasks as u32);
            // Even rounds leave odd indices for the end, so that all chunks grow more than once.
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
            let unfinished: Vec<u32> =
                reported.iter().copied().filter(|n| !live.is_completed(*n)).collect();
            let Some(done) = complete(&id, jobs.get(&id).unwrap(), &unfinished, 0, 9, &layout)
            else {
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

/// Each transaction fits the limits however many chunks change; later ones write the rest.
#[test]
fn many_changed_chunks_are_committed_in_several_bounded_transactions() {
    let (mut store, id) = (Store::default(), JobId::new("wk-1"));
    let transaction = next_transaction(&spec("wk-1", 100_000), &Jobs::new(16_384));
    assert!(store.commit(&transaction, &LAYOUT));
    let tasks: Vec<u32> = (0..100_000).step_by(1000).collect();
    for round in 0..7 {
        let jobs = store.read(0..store.keys.len());
        let done = complete(&id, jobs.get(&id).unwrap(), &tasks, 0, 9, &LAYOUT).unwrap();
        assert!(!done.finishes_job && store.commit(&done.transaction, &LAYOUT), "{round}");
    }
    let jobs = store.read(0..store.keys.len());
    assert!(complete(&id, jobs.get(&id).unwrap(), &tasks, 0, 9, &LAYOUT).is_none());
    assert_eq!(jobs.get(&id).unwrap().live().unwrap().completed_count(), 100);
}

/// Follows a description larger than a value from the first chunk to garbage collection. A second
/// submission to another process continues with the chunks that the first one wrote.
#[test]
fn description_larger_than_a_value_is_stored_in_chunks() {
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
    assert!(!done.finishes_job && store.commit(&done.transaction, &LAYOUT));
    let end = cancel(&id, jobs.get(&id).unwrap(), 9, &LAYOUT).unwrap();
    assert!(store.commit(&end, &LAYOUT));
    let jobs = store.read(0..store.keys.len());
    assert_eq!(jobs.garbage(1000).len(), store.keys.len() - 1);
}

fn own_priority(job: &LiveJob) -> dag::InheritedPriority {
    let due_ms = job.spec.due_s.map(|due_s| due_s as u64);
    dag::InheritedPriority { priority: job.spec.priority, due_ms }
}

fn duration_ms(job: &LiveJob) -> u64 {
    job.spec.expect_s as u64
}

/// Reference model of inherited priorities: recursion over all jobs that depend on the job.
fn model_inherited(id: &JobId, live: &BTreeMap<&JobId, &LiveJob>) -> dag::InheritedPriority {
    let mut inherited = own_priority(live[id]);
    for (other, job) in live.iter().filter(|(_, job)| job.depends_on().contains(id)) {
        let dependent = model_inherited(other, live);
        inherited.priority = inherited.priority.min(dependent.priority);
        let latest_start_ms = dependent.due_ms.map(|due| due.saturating_sub(duration_ms(job)));
        inherited.due_ms = inherited.due_ms.into_iter().chain(latest_start_ms).min();
    }
    inherited
}

/// Reference model of a job's state, derived recursively from all records: `Some(true)` means
/// cancelled, `Some(false)` done.
fn model_state(
    id: usize,
    depends_on: &[Vec<usize>],
    final_states: &BTreeMap<usize, bool>,
    memo: &mut BTreeMap<usize, Option<bool>>,
) -> Option<bool> {
    if let Some(state) = memo.get(&id) {
        return *state;
    }
    let cancelled = depends_on[id]
        .iter()
        .any(|dependency| model_state(*dependency, depends_on, final_states, memo) == Some(true));
    let state = final_states.get(&id).copied().or(cancelled.then_some(true));
    memo.insert(id, state);
    state
}

/// Compares inherited priorities with the reference model.
fn check_priorities(jobs: &Jobs) -> Result<(), proptest::test_runner::TestCaseError> {
    let live: BTreeMap<&JobId, &LiveJob> =
        jobs.all.iter().filter_map(|(id, job)| Some((id, job.live()?))).collect();
    let inherited = dag::inherit_priorities(&live, own_priority, |_, job| duration_ms(job));
    for (id, job) in &live {
        let found = inherited.get(*id).copied().unwrap_or_else(|| own_priority(job));
        proptest::prop_assert_eq!(found, model_inherited(id, &live), "job {}", id);
    }
    Ok(())
}

/// Returns a job whose priority, due time and duration vary with `which`.
fn job_variant(which: usize, id: &JobId, depends_on: Vec<JobId>) -> Arc<JobSpec> {
    let urgencies = [wire::Priority::High, wire::Priority::Normal, wire::Priority::Low];
    Arc::new(JobSpec {
        depends_on: Some(depends_on),
        priority: urgencies[which % 3],
        due_s: which.is_multiple_of(4).then_some(100.0 + (which * 7 % 50) as f64),
        expect_s: which as f64,
        ..fixtures::job_spec(id.as_str(), 1)
    })
}

/// Turns random edges into an acyclic graph: each job depends only on jobs before it.
fn acyclic_dependencies(edges: &[Vec<usize>]) -> Vec<Vec<usize>> {
    let dependencies = |(n, list): (usize, &Vec<usize>)| {
        let set: BTreeSet<usize> = list.iter().filter(|_| n > 0).map(|m| m % n.max(1)).collect();
        set.into_iter().collect()
    };
    edges.iter().enumerate().map(dependencies).collect()
}

/// Returns the id of the n-th job of a graph. Ids are not in the order of acceptance.
fn graph_job(n: usize) -> JobId {
    JobId::new(&format!("wk-{}", (n * 17) % 41))
}

/// Compares the states of accepted jobs in several processes with the reference model.
fn check_states(
    processes: &[&Jobs],
    accepted: usize,
    depends_on: &[Vec<usize>],
    final_states: &BTreeMap<usize, bool>,
) -> Result<(), proptest::test_runner::TestCaseError> {
    let mut memo = BTreeMap::new();
    for n in 0..accepted {
        let expected = model_state(n, depends_on, final_states, &mut memo);
        for jobs in processes {
            let job = jobs.get(&graph_job(n)).unwrap();
            let state = job.final_state().map(|state| state.status == JobStatus::Cancelled);
            proptest::prop_assert_eq!(state, expected, "job {}", n);
            if let Some(live) = job.live() {
                let unfinished =
                    depends_on[n].iter().filter(|m| final_states.get(m) != Some(&false));
                proptest::prop_assert_eq!(
                    live.unfinished_dependencies as usize,
                    unfinished.count()
                );
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

    /// Compares random job graphs with the reference model, after completions, cancellations,
    /// repetitions, and complete reads of the store in any order.
    #[test]
    fn derived_states_match_the_reference_model(
        edges in proptest::collection::vec(proptest::collection::vec(0usize..40, 0..4), 1..40),
        actions in proptest::collection::vec((0usize..40, 0u8..8), 1..80),
        shuffle in 0usize..40,
    ) {
        let count = edges.len();
        let depends_on = acyclic_dependencies(&edges);
        let name = graph_job;
        let mut store = Store::default();
        let mut jobs = Jobs::new(LAYOUT.legacy_chunk_tasks);
        let mut final_states: BTreeMap<usize, bool> = BTreeMap::new();
        let mut accepted = 0;
        for (which, action) in actions {
            let before = store.keys.clone();
            if accepted < count && action < 4 {
                let dependencies = depends_on[accepted].iter().map(|n| name(*n)).collect();
                let spec = job_variant(which, &name(accepted), dependencies);
                store.commit(&next_transaction(&spec, &jobs), &LAYOUT);
                accepted += 1;
            } else if accepted > 0 {
                let n = which % accepted;
                let job = jobs.get(&name(n)).unwrap().clone();
                let (transaction, final_state) = match (action, job.live()) {
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
                    final_states.extend(final_state.map(|cancelled| (n, cancelled)));
                }
            }
            let new: Vec<String> = store.keys.iter()
                .filter(|(key, value)| before.get(*key) != Some(*value))
                .map(|(key, _)| key.clone()).collect();
            new.iter().for_each(|key| store.apply(&mut jobs, key));
            let total = store.keys.len();
            let reread = store.read((0..total).map(|n| (n + shuffle) % total.max(1)));
            check_priorities(&jobs)?;
            check_states(&[&jobs, &reread], accepted, &depends_on, &final_states)?;
        }
    }
}

/// One cancellation finishes all indirect dependents in a chain of thousands of jobs, and in a
/// layered graph whose number of paths grows exponentially. Each edge must be visited only once.
#[test]
fn cancellation_finishes_long_chains_and_layered_graphs_at_once() {
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
                let transaction = next_transaction(&Arc::new(spec), &jobs);
                apply(&mut jobs, &transaction, 1);
            }
            let live = jobs.all.iter().filter_map(|(id, job)| Some((id, job.live()?))).collect();
            let own = |job: &LiveJob| dag::InheritedPriority {
                priority: job.spec.priority,
                due_ms: job.spec.due_s.map(|due_s| due_s as u64),
            };
            let inherited = dag::inherit_priorities(&live, own, |_, _| 10);
            let first = inherited[&name(0)];
            assert_eq!(first.priority, wire::Priority::Production);
            let layers = if depends_on(4999).len() == 1 { 4999 } else { 999 };
            assert_eq!(first.due_ms, Some(1_000_000 - layers * 10));
            let cancellation = cancel(&name(0), jobs.get(&name(0)).unwrap(), 9, &LAYOUT).unwrap();
            jobs.take_changed();
            apply(&mut jobs, &cancellation, 2);
            let finished = jobs.all.values().filter(|job| job.is_finished()).count();
            let expected = if layers == 999 { 4996 } else { 5000 };
            assert_eq!((finished, jobs.take_changed().len()), (expected, expected));
        }
    }
}
