//! Index of the machines on which each job may have tasks.

use super::fixture::TestLeader;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::wire::{JobKind, TaskState, TaskStatus};
use std::time::Duration;

/// The index contains every machine with a task of the job, whether the task was started by this leader or adopted from
/// a heartbeat. The end of the job stops the tasks on all of them.
#[test]
fn every_machine_with_tasks_of_a_job_is_indexed() {
    let mut leader = TestLeader::new();
    let job = leader.job("wk-1", JobKind::Array, 6);
    let adopted = TaskStatus {
        task: TaskId::parse("wk-1/5").unwrap(),
        attempt: Attempt(7),
        state: TaskState::Running,
        exit_cause: None,
        saved: None,
    };
    leader.heartbeat("i-1", vec![adopted]);
    for machine in ["i-2", "i-3"] {
        leader.heartbeat(machine, Vec::new());
    }
    for _ in 0..3 {
        leader.pass(Duration::from_secs(1));
    }
    let machines_with_tasks = |leader: &TestLeader| {
        let machines = leader.scheduler.fleet.machines.values();
        let matching = machines.filter(|m| m.attempts.keys().any(|(task, _)| task.job == job));
        matching.map(|machine| machine.id.clone()).collect::<Vec<MachineId>>()
    };
    let expected = machines_with_tasks(&leader);
    assert!(expected.len() > 1 && expected.contains(&MachineId::new("i-1")), "{expected:?}");
    let indexed = leader.scheduler.jobs.machines.of(&job);
    assert!(expected.iter().all(|id| indexed.contains(id)), "{expected:?} {indexed:?}");
    leader.scheduler.stop_tasks_of_job(&job);
    for id in expected {
        let entries = &leader.scheduler.fleet.machines[&id].attempts;
        assert!(entries.values().all(|e| e.stop.is_some() || e.state == TaskState::Exited));
    }
}
