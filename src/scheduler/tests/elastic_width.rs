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
    let mut bench = TestLeader::new();
    let settings = Arc::make_mut(&mut bench.scheduler.settings);
    let class = jobs::fixtures::job_spec("wk-1", 1).class;
    settings.operator.elastic =
        vec![crate::settings::ElasticClass { class, min_width: 2, max_width: 20 }];
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let mut statuses_by_worker: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    // Each worker carries out its commands at once.
    let mut run_one_second = |bench: &mut TestLeader| {
        bench.pass(Duration::from_secs(1));
        for name in names {
            let statuses = statuses_by_worker.entry(name).or_default();
            for command in bench.report(name, statuses.clone()) {
                match command {
                    WorkerCommand::Start { task, attempt } => statuses.push(TaskStatus {
                        task,
                        attempt,
                        state: TaskState::Running,
                        why: None,
                        saved: None,
                    }),
                    WorkerCommand::Stop { task, attempt, .. } => {
                        let exited =
                            statuses.iter_mut().find(|t| (&t.task, t.attempt) == (&task, attempt));
                        if let Some(exited) = exited {
                            exited.state = TaskState::Exited;
                            exited.why = Some("halted".into());
                        }
                    }
                    WorkerCommand::Forget { task, attempt } => {
                        statuses.retain(|t| (&t.task, t.attempt) != (&task, attempt));
                    }
                }
            }
            bench.report(name, statuses.clone());
        }
    };
    let width = |bench: &TestLeader, id: &JobId| bench.scheduler.jobs.progress[id].placed.len();
    run_one_second(&mut bench);
    let elastic = bench.job("wk-1", JobKind::Array, 40);
    for _ in 0..3 {
        run_one_second(&mut bench);
    }
    assert_eq!(width(&bench, &elastic), 2);
    let mut previous_width = 2;
    for _ in 0..20 {
        run_one_second(&mut bench);
        assert!(width(&bench, &elastic) >= previous_width, "width shrank without preemption");
        previous_width = width(&bench, &elastic);
    }
    // Each growth step takes half of the free capacity that is not kept warm, so some stays free.
    assert!((8..=16).contains(&previous_width), "{previous_width}");
    let production = bench.job("wk-2", JobKind::Service, 14);
    let Some(job) = bench.store.cache.jobs.all.get_mut(&production) else { panic!() };
    let JobBody::Live(live) = &mut job.body else { panic!() };
    Arc::make_mut(&mut live.spec).urgency = Priority::Production;
    for _ in 0..4 {
        run_one_second(&mut bench);
    }
    assert_eq!((width(&bench, &production), width(&bench, &elastic)), (14, 2));
    // The job of higher priority is removed, and the elastic job pauses before it grows again.
    bench.store.cache.jobs.all.remove(&production);
    bench.scheduler.jobs.progress.remove(&production);
    bench.scheduler.stop_tasks_of_job(&production);
    for _ in 0..8 {
        run_one_second(&mut bench);
        assert_eq!(width(&bench, &elastic), 2);
    }
    for _ in 0..25 {
        run_one_second(&mut bench);
    }
    assert!(width(&bench, &elastic) >= 8, "{}", width(&bench, &elastic));
}
