//! Growth and preemption of elastic jobs.

use super::fixture::TestLeader;
use crate::ids::JobId;
use crate::jobs;
use crate::jobs::JobBody;
use crate::wire::{JobKind, Priority, TaskState, TaskStatus, WorkerCommand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An elastic job starts at its minimum width, grows into free capacity, is preempted down to its
/// minimum width for a job of higher priority, and pauses before it grows again.
#[test]
fn elastic_job_grows_into_free_capacity_and_shrinks_to_its_minimum() {
    let mut leader = TestLeader::new();
    let settings = Arc::make_mut(&mut leader.scheduler.settings);
    let class = jobs::fixtures::job_spec("wk-1", 1).class;
    settings.operator.elastic =
        vec![crate::settings::ElasticClass { class, min_width: 2, max_width: 20 }];
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let mut statuses_by_worker: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    // Each worker carries out its commands at once.
    let mut run_one_second = |leader: &mut TestLeader| {
        leader.pass(Duration::from_secs(1));
        for name in names {
            let statuses = statuses_by_worker.entry(name).or_default();
            for command in leader.heartbeat(name, statuses.clone()) {
                match command {
                    WorkerCommand::Start { task, attempt } => statuses.push(TaskStatus {
                        task,
                        attempt,
                        state: TaskState::Running,
                        exit_cause: None,
                        saved: None,
                    }),
                    WorkerCommand::Stop { task, attempt, .. } => {
                        let exited =
                            statuses.iter_mut().find(|t| (&t.task, t.attempt) == (&task, attempt));
                        if let Some(exited) = exited {
                            exited.state = TaskState::Exited;
                            exited.exit_cause = Some("halted".into());
                        }
                    }
                    WorkerCommand::Forget { task, attempt } => {
                        statuses.retain(|t| (&t.task, t.attempt) != (&task, attempt));
                    }
                }
            }
            leader.heartbeat(name, statuses.clone());
        }
    };
    let width = |leader: &TestLeader, id: &JobId| leader.scheduler.jobs.progress[id].placed.len();
    run_one_second(&mut leader);
    let elastic = leader.job("wk-1", JobKind::Array, 40);
    for _ in 0..3 {
        run_one_second(&mut leader);
    }
    assert_eq!(width(&leader, &elastic), 2);
    let mut previous_width = 2;
    for _ in 0..20 {
        run_one_second(&mut leader);
        assert!(width(&leader, &elastic) >= previous_width, "width shrank without preemption");
        previous_width = width(&leader, &elastic);
    }
    // Each growth step takes half of the free capacity that is not kept warm, so some stays free.
    assert!((8..=16).contains(&previous_width), "{previous_width}");
    let production = leader.job("wk-2", JobKind::Service, 14);
    let Some(job) = leader.store.cache.jobs.all.get_mut(&production) else { panic!() };
    let JobBody::Live(live) = &mut job.body else { panic!() };
    Arc::make_mut(&mut live.spec).priority = Priority::Production;
    for _ in 0..4 {
        run_one_second(&mut leader);
    }
    assert_eq!((width(&leader, &production), width(&leader, &elastic)), (14, 2));
    // The job of higher priority is removed, and the elastic job pauses before it grows again.
    leader.store.cache.jobs.all.remove(&production);
    leader.scheduler.jobs.progress.remove(&production);
    leader.scheduler.stop_tasks_of_job(&production);
    for _ in 0..8 {
        run_one_second(&mut leader);
        assert_eq!(width(&leader, &elastic), 2);
    }
    for _ in 0..25 {
        run_one_second(&mut leader);
    }
    assert!(width(&leader, &elastic) >= 8, "{}", width(&leader, &elastic));
}
