//! Limits on the work that a leader takes on at a time.

use super::fixture::{TestLeader, task_statuses};
use crate::ids::MachineId;
use crate::jobs::JobBody;
use crate::scheduler::planning_clock::{LATE_TICK, MIN_PASS_INTERVAL, PACE_ADJUSTMENT_INTERVAL};
use crate::wire::{JobKind, Priority, TaskState, WorkerCommand};
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Thousands of small tasks of one low-priority array must not overload the leader, on which all
/// users depend.
#[test]
fn low_priority_start_rate_drops_when_the_leader_falls_behind() {
    let count_starts = |late: Duration| {
        let mut leader = TestLeader::new();
        for n in 0..100 {
            leader.heartbeat(&format!("i-{n}"), vec![]);
        }
        let id = leader.job("wk-1", JobKind::Array, 400);
        let Some(job) = leader.store.cache.jobs.all.get_mut(&id) else { panic!() };
        let JobBody::Live(live) = &mut job.body else { panic!() };
        Arc::make_mut(&mut live.spec).priority = Priority::Low;
        for _ in 0..20 {
            leader.scheduler.adjust_pace(late, leader.now);
            leader.pass(PACE_ADJUSTMENT_INTERVAL);
        }
        leader.scheduler.statistics.starts
    };
    assert_eq!(count_starts(Duration::ZERO), 400);
    let starts = count_starts(LATE_TICK * 2);
    assert!((50..200).contains(&starts), "{starts}");
}

/// A leader marks a machine dirty only if it still has to send something to its worker. Heartbeats
/// that confirm the known state mark no machine, however many arrive, and a heartbeat that shows a
/// task to stop marks only its own machine. Counts machines instead of measuring time.
#[test]
fn heartbeats_without_changes_mark_no_machine_dirty() {
    let mut leader = TestLeader::new();
    let names: Vec<String> = (0..40).map(|n| format!("i-{n:02}")).collect();
    for name in &names {
        leader.heartbeat(name, vec![]);
    }
    let job = leader.job("wk-1", JobKind::Service, 60);
    (0..3).for_each(|_| leader.pass(MIN_PASS_INTERVAL * 5));
    assert_eq!(leader.scheduler.jobs.progress[&job].placed.len(), 60);
    let mut reported_statuses = HashMap::new();
    for state in [TaskState::Fetching, TaskState::Running] {
        for name in &names {
            let starts: Vec<WorkerCommand> = leader.scheduler.fleet.machines[&MachineId::new(name)]
                .attempts
                .keys()
                .map(|(task, attempt)| WorkerCommand::Start {
                    task: task.clone(),
                    attempt: *attempt,
                })
                .collect();
            reported_statuses.insert(name.clone(), task_statuses(&starts, state));
            leader.heartbeat(name, reported_statuses[name].clone());
        }
    }
    leader.pass(MIN_PASS_INTERVAL * 5);
    assert!(
        !leader.scheduler.direct_calls.all_dirty
            && leader.scheduler.direct_calls.dirty_machines.is_empty()
    );
    // The usual heartbeats, which confirm the known state.
    for name in &names {
        assert_eq!(leader.heartbeat(name, reported_statuses[name].clone()), []);
    }
    assert!(!leader.scheduler.direct_calls.all_dirty);
    assert_eq!(leader.scheduler.direct_calls.dirty_machines, BTreeSet::new());
    // The tasks of a finished job are stopped, and its machines stay dirty until notified.
    leader.scheduler.on_cancellation_acknowledged(std::slice::from_ref(&job), &leader.store.cache);
    let first_machine = &names[0];
    leader.heartbeat(first_machine, reported_statuses[first_machine].clone());
    assert_eq!(leader.scheduler.direct_calls.dirty_machines.len(), 1);
    assert!(!leader.scheduler.has_pending_work(&leader.store.cache));
}
