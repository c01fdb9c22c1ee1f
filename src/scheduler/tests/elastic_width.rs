//! Elastic jobs.

use super::fixture::TestLeader;
use crate::ids::JobId;
use crate::jobs;
use crate::jobs::JobBody;
use crate::wire::{JobKind, Priority, TaskState, TaskStatus, WorkerCommand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An elastic job starts at its least width, takes room that stayed free, makes way down to its least for
/// what is more urgent, and does not come back at once.
#[test]
fn elastic_job_grows_into_free_capacity_and_shrinks_to_its_minimum() {
    let mut bench = TestLeader::new();
    let settings = Arc::make_mut(&mut bench.scheduler.settings);
    let class = jobs::fixtures::job_spec("wk-1", 1).class;
    settings.operator.elastic = vec![crate::settings::ElasticClass { class, least: 2, most: 20 }];
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let mut running: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    // Each worker does at once what it is told.
    let mut second = |bench: &mut TestLeader| {
        bench.pass(Duration::from_secs(1));
        for name in names {
            let here = running.entry(name).or_default();
            for order in bench.report(name, here.clone()) {
                match order {
                    WorkerCommand::Start { task, attempt } => here.push(TaskStatus {
                        task,
                        attempt,
                        state: TaskState::Running,
                        exit_cause: None,
                        saved: None,
                    }),
                    WorkerCommand::Stop { task, attempt, .. } => {
                        let ended =
                            here.iter_mut().find(|t| (&t.task, t.attempt) == (&task, attempt));
                        if let Some(ended) = ended {
                            ended.state = TaskState::Exited;
                            ended.exit_cause = Some("halted".into());
                        }
                    }
                    WorkerCommand::Forget { task, attempt } => {
                        here.retain(|t| (&t.task, t.attempt) != (&task, attempt));
                    }
                }
            }
            bench.report(name, here.clone());
        }
    };
    let width = |bench: &TestLeader, id: &JobId| bench.scheduler.jobs.progress[id].placed.len();
    second(&mut bench);
    let wide = bench.job("wk-1", JobKind::Array, 40);
    for _ in 0..3 {
        second(&mut bench);
    }
    assert_eq!(width(&bench, &wide), 2);
    let mut before = 2;
    for _ in 0..20 {
        second(&mut bench);
        assert!(width(&bench, &wide) >= before, "it never turns back by itself");
        before = width(&bench, &wide);
    }
    // All but what is kept warm and what a half of a half leaves.
    assert!((8..=16).contains(&before), "{before}");
    let urgent = bench.job("wk-2", JobKind::Service, 14);
    let Some(job) = bench.store.cache.jobs.all.get_mut(&urgent) else { panic!() };
    let JobBody::Live(live) = &mut job.body else { panic!() };
    Arc::make_mut(&mut live.spec).priority = Priority::Production;
    for _ in 0..4 {
        second(&mut bench);
    }
    assert_eq!((width(&bench, &urgent), width(&bench, &wide)), (14, 2));
    // The urgent one is gone, and the elastic one rests before it grows again.
    bench.store.cache.jobs.all.remove(&urgent);
    bench.scheduler.jobs.progress.remove(&urgent);
    bench.scheduler.stop_tasks_of_job(&urgent);
    for _ in 0..8 {
        second(&mut bench);
        assert_eq!(width(&bench, &wide), 2);
    }
    for _ in 0..25 {
        second(&mut bench);
    }
    assert!(width(&bench, &wide) >= 8, "{}", width(&bench, &wide));
}
