//! The index of machines by job.

use super::fixture::TestLeader;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::wire::{JobKind, TaskState, TaskStatus};
use std::time::Duration;

/// Every machine with a task of a job is among those noted for it, whether the task was started here or found in a
/// report; and the end of the job stops it there.
#[test]
fn every_machine_with_tasks_of_a_job_is_indexed() {
    let mut bench = TestLeader::new();
    let job = bench.job("wk-1", JobKind::Array, 6);
    let found = TaskStatus {
        task: TaskId::parse("wk-1/5").unwrap(),
        attempt: Attempt(7),
        state: TaskState::Running,
        exit_cause: None,
        saved: None,
    };
    bench.report("i-1", vec![found]);
    for machine in ["i-2", "i-3"] {
        bench.report(machine, Vec::new());
    }
    for _ in 0..3 {
        bench.pass(Duration::from_secs(1));
    }
    let holding = |bench: &TestLeader| {
        let machines = bench.scheduler.fleet.machines.values();
        let with = machines.filter(|m| m.attempts.keys().any(|(task, _)| task.job == job));
        with.map(|machine| machine.id.clone()).collect::<Vec<MachineId>>()
    };
    let with = holding(&bench);
    assert!(with.len() > 1 && with.contains(&MachineId::new("i-1")), "{with:?}");
    let noted = bench.scheduler.jobs.machines.of(&job);
    assert!(with.iter().all(|id| noted.contains(id)), "{with:?} {noted:?}");
    bench.scheduler.stop_tasks_of_job(&job);
    for id in with {
        let entries = &bench.scheduler.fleet.machines[&id].attempts;
        assert!(entries.values().all(|e| e.stop.is_some() || e.state == TaskState::Exited));
    }
}
