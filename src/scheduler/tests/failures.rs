//! Failures of jobs and of machines told apart.

use super::fixture::{TestLeader, failed_statuses, task_statuses};
use crate::ids::JobId;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::scheduler::reconciliation::SUCCESS_AFTER_RUNNING;
use crate::wire::{JobKind, TaskState, TaskStatus};
use std::collections::BTreeMap;

/// Jobs submitted with a mistake once cost 247 good machines their place, and were tried 2,354
/// times on them.
#[test]
fn faulty_jobs_cost_no_machine_its_place_and_are_retried_rarely() {
    let mut bench = TestLeader::new();
    let machines = ["i-1", "i-2", "i-3", "i-4"];
    machines.iter().for_each(|machine| drop(bench.report(machine, vec![])));
    for id in ["wk-1", "wk-2", "wk-3"] {
        bench.job(id, JobKind::Array, 16);
    }
    for _ in 0..400 {
        bench.pass(MIN_PASS_INTERVAL);
        for machine in machines {
            let orders = bench.report(machine, vec![]);
            bench.report(machine, failed_statuses(&orders));
        }
    }
    assert!(bench.scheduler.fleet.machines.values().all(|m| !m.faulty));
    assert!(
        (48..80).contains(&bench.scheduler.statistics.starts),
        "{}",
        bench.scheduler.statistics.starts
    );
    // One that does well after all goes on with all its tasks at once.
    let before = bench.scheduler.statistics.starts;
    let mut running = Vec::new();
    while running.is_empty() {
        bench.pass(MIN_PASS_INTERVAL);
        running = task_statuses(&bench.report("i-1", vec![]), TaskState::Running);
    }
    bench.report("i-1", running.clone());
    bench.pass(SUCCESS_AFTER_RUNNING + MIN_PASS_INTERVAL);
    bench.report("i-1", running);
    for _ in 0..10 {
        machines[1..].iter().for_each(|machine| drop(bench.report(machine, vec![])));
        bench.pass(MIN_PASS_INTERVAL);
    }
    assert!(
        bench.scheduler.statistics.starts >= before + 15,
        "{} {before}",
        bench.scheduler.statistics.starts
    );
}

/// While mistaken jobs are about, a faulty machine is still found: by what does well elsewhere.
#[test]
fn faulty_machine_is_found_by_jobs_that_succeed_elsewhere() {
    let mut bench = TestLeader::new();
    for (id, tasks) in [("wk-1", 8), ("wk-2", 24), ("wk-3", 8)] {
        bench.job(id, JobKind::Array, tasks);
    }
    let is_job_faulty = |task: &TaskStatus| task.task.job == JobId::new("wk-3");
    let mut held: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    for step in 0..200 {
        bench.pass(MIN_PASS_INTERVAL);
        for machine in ["i-1", "i-2", "i-3", "i-4"] {
            let tasks = held.remove(machine).unwrap_or_default();
            let orders = bench.report(machine, tasks.clone());
            let mut tasks = [tasks, task_statuses(&orders, TaskState::Running)].concat();
            tasks.retain(|task| task.state == TaskState::Running);
            for task in tasks.iter_mut().filter(|task| machine == "i-1" || is_job_faulty(task)) {
                (task.state, task.exit_cause) = (TaskState::Exited, Some("error".into()));
            }
            held.insert(machine, tasks);
        }
        if step == 50 {
            assert!(bench.scheduler.fleet.machines.values().all(|m| !m.faulty));
        }
    }
    let faulty: Vec<bool> = bench.scheduler.fleet.machines.values().map(|m| m.faulty).collect();
    assert_eq!(faulty, [true, false, false, false]);
}

/// A trial of one task would leave a gang's other tasks out.
#[test]
fn gang_that_fails_everywhere_is_retried_as_a_whole() {
    let mut bench = TestLeader::new();
    bench.job("wk-1", JobKind::Gang, 6);
    for step in 0..300 {
        bench.pass(MIN_PASS_INTERVAL);
        for machine in ["i-1", "i-2", "i-3", "i-4"] {
            let orders = bench.report(machine, vec![]);
            bench.report(machine, failed_statuses(&orders));
        }
        assert_eq!(bench.scheduler.statistics.starts % 6, 0, "step {step}");
    }
    let evidence = &bench.scheduler.jobs.progress[&JobId::new("wk-1")].failures;
    assert!(
        evidence.is_job_faulty() && bench.scheduler.statistics.starts >= 18,
        "{}",
        bench.scheduler.statistics.starts
    );
}
