//! How much work a leader takes on at a time.

use super::fixture::{TestLeader, task_statuses};
use crate::ids::MachineId;
use crate::jobs::JobBody;
use crate::scheduler::planning_clock::{LATE, MIN_PASS_INTERVAL, PACE_ADJUSTMENT_INTERVAL};
use crate::wire::{JobKind, Priority, TaskState, WorkerCommand};
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The thousands of small tasks of a guest's array must not cost the others their leader.
#[test]
fn low_priority_starts_slow_down_where_the_leader_falls_behind() {
    let started = |late: Duration| {
        let mut bench = TestLeader::new();
        for n in 0..100 {
            bench.report(&format!("i-{n}"), vec![]);
        }
        let id = bench.job("wk-1", JobKind::Array, 400);
        let Some(job) = bench.store.cache.jobs.all.get_mut(&id) else { panic!() };
        let JobBody::Live(live) = &mut job.body else { panic!() };
        Arc::make_mut(&mut live.spec).priority = Priority::Low;
        for _ in 0..20 {
            bench.scheduler.adjust_pace(late, bench.now);
            bench.pass(PACE_ADJUSTMENT_INTERVAL);
        }
        bench.scheduler.statistics.starts
    };
    assert_eq!(started(Duration::ZERO), 400);
    let slow = started(LATE * 2);
    assert!((50..200).contains(&slow), "{slow}");
}

/// Counts, not times: reports that say what is known leave no machine to look at, whatever there are of them, and one
/// that leaves something owed leaves itself alone.
#[test]
fn tick_looks_at_no_unchanged_machine() {
    let mut bench = TestLeader::new();
    let names: Vec<String> = (0..40).map(|n| format!("i-{n:02}")).collect();
    for name in &names {
        bench.report(name, vec![]);
    }
    let job = bench.job("wk-1", JobKind::Service, 60);
    (0..3).for_each(|_| bench.pass(MIN_PASS_INTERVAL * 5));
    assert_eq!(bench.scheduler.jobs.progress[&job].placed.len(), 60);
    let mut running = HashMap::new();
    for state in [TaskState::Fetching, TaskState::Running] {
        for name in &names {
            let starts: Vec<WorkerCommand> = bench.scheduler.fleet.machines[&MachineId::new(name)]
                .attempts
                .keys()
                .map(|(task, attempt)| WorkerCommand::Start {
                    task: task.clone(),
                    attempt: *attempt,
                })
                .collect();
            running.insert(name.clone(), task_statuses(&starts, state));
            bench.report(name, running[name].clone());
        }
    }
    bench.pass(MIN_PASS_INTERVAL * 5);
    assert!(
        !bench.scheduler.direct_calls.all_dirty
            && bench.scheduler.direct_calls.dirty_machines.is_empty()
    );
    // As they come all day.
    for name in &names {
        assert_eq!(bench.report(name, running[name].clone()), []);
    }
    assert!(!bench.scheduler.direct_calls.all_dirty);
    assert_eq!(bench.scheduler.direct_calls.dirty_machines, BTreeSet::new());
    // A job that is over has its tasks stopped, and each machine is looked at until it is told.
    bench.scheduler.on_cancellation_acknowledged(std::slice::from_ref(&job), &bench.store.cache);
    let one = &names[0];
    bench.report(one, running[one].clone());
    assert_eq!(bench.scheduler.direct_calls.dirty_machines.len(), 1);
    assert!(!bench.scheduler.has_pending_work(&bench.store.cache));
}
