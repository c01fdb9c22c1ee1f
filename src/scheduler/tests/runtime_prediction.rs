//! Run times that are learned, stored and read by a successor.

use super::fixture::{TestLeader, task_statuses};
use crate::ids::{JobId, Revision};
use crate::jobs::Job;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::schema::{encoding, records};
use crate::store::{Versioned, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{JobKind, TaskState, TaskStatus, Write};
use std::sync::Arc;
use std::time::Duration;

/// A leader that learns run times.
fn learning_leader() -> TestLeader {
    let mut bench = TestLeader::new();
    let settings = Arc::make_mut(&mut bench.scheduler.settings);
    settings.operator.estimates.learn = true;
    bench
}

/// An array of four tasks that are started and run for so long; what the worker shows in the end.
fn run_array(bench: &mut TestLeader, id: &str, run_s: u64) -> Vec<TaskStatus> {
    bench.report("i-1", vec![]);
    bench.job(id, JobKind::Array, 4);
    bench.pass(MIN_PASS_INTERVAL * 5);
    let orders = bench.report("i-1", vec![]);
    assert_eq!(task_statuses(&orders, TaskState::Fetching).len(), 4);
    bench.report("i-1", task_statuses(&orders, TaskState::Fetching));
    bench.now += Duration::from_secs(7);
    bench.report("i-1", task_statuses(&orders, TaskState::Running));
    bench.now += Duration::from_secs(run_s);
    let mut ended = task_statuses(&orders, TaskState::Exited);
    ended.iter_mut().for_each(|task| task.exit_cause = Some("done".into()));
    ended
}

fn finish_job(bench: &mut TestLeader, id: &str) {
    let done = records::JobRecord {
        phase: records::JobPhase::Done,
        completed_count: 4,
        ..records::JobRecord::live(1, None)
    };
    let rev = Revision(bench.store.cache.rev.0.max(10) + 1);
    bench.store.cache.jobs.apply_record(JobId::new(id), &encoding::to_value(&done), rev);
    bench.scheduler.on_jobs(&[JobId::new(id)], &bench.store.cache, bench.now);
}

/// What the store would hold after all writes that are due were done.
fn write_estimates(bench: &mut TestLeader) -> usize {
    let mut written = 0;
    for n in 0..40 {
        bench.now += Duration::from_millis(300);
        bench.scheduler.store_estimates(&mut bench.store, bench.now);
        for item in bench.store.take_queued_writes() {
            let (WriteOrigin::RuntimeEstimates(bucket), [Write::Put { data, .. }]) =
                (&item.origin, &item.transaction.writes[..])
            else {
                continue;
            };
            assert_eq!(item.priority, WritePriority::Background);
            let text = data.as_text().map(str::to_owned);
            bench.store.cache.estimates.insert(*bucket, Versioned::new(text, Revision(100 + n)));
            bench.scheduler.on_outcome(&item.origin, WriteOutcome::Committed, &mut bench.store);
            written += 1;
        }
    }
    written
}

fn estimated_run_s(bench: &mut TestLeader, id: &str) -> Option<f64> {
    let id = bench.job(id, JobKind::Array, 4);
    let live = bench.store.cache.jobs.get(&id).and_then(Job::live).unwrap();
    let spec = &live.spec;
    let profile = troutspindle_runtime_estimates::Profile {
        job: "x",
        class: &spec.class,
        team: &spec.team,
        image: &spec.image,
        size: [live.need.cpu, live.need.gpu, live.need.ram],
        expect_s: 0.0,
        tasks: 4,
    };
    bench.scheduler.estimate_of(&profile).map(|estimate| estimate.p50_s)
}

#[test]
fn successor_reads_estimates_and_damage_costs_only_what_it_hits() {
    let mut bench = learning_leader();
    let ended = run_array(&mut bench, "wk-1", 30);
    // Shown twice, counted once.
    bench.report("i-1", ended.clone());
    bench.report("i-1", ended);
    finish_job(&mut bench, "wk-1");
    let known = estimated_run_s(&mut bench, "wk-2").unwrap();
    assert!((known - 30.0).abs() < 2.5, "{known}");
    // Exact, team, class and owner, in as many values at the most.
    assert!((1..=4).contains(&write_estimates(&mut bench)));
    assert_eq!(write_estimates(&mut bench), 0, "nothing new, nothing written");
    let mut next = learning_leader();
    next.store.cache.estimates = bench.store.cache.estimates.clone();
    next.scheduler.store_estimates(&mut next.store, next.now);
    assert!((estimated_run_s(&mut next, "wk-2").unwrap() - known).abs() < 0.5);
    let mut damaged = learning_leader();
    for (bucket, known) in &bench.store.cache.estimates {
        let text = known.value.as_ref().map(|text| text[..text.len() / 2].to_owned());
        damaged.store.cache.estimates.insert(*bucket, Versioned::new(text, known.revision));
    }
    damaged.scheduler.store_estimates(&mut damaged.store, damaged.now);
    assert_eq!(estimated_run_s(&mut damaged, "wk-2"), None);
    run_array(&mut damaged, "wk-3", 1);
}

/// It is not known when a task began that was found running, so its end tells nothing.
#[test]
fn adopted_task_teaches_no_wrong_runtime() {
    let mut first = learning_leader();
    let ended = run_array(&mut first, "wk-1", 300);
    let mut bench = learning_leader();
    bench.job("wk-1", JobKind::Array, 4);
    let running = ended.iter().cloned().map(|task| TaskStatus {
        state: TaskState::Running,
        exit_cause: None,
        ..task
    });
    bench.report("i-1", running.collect());
    bench.now += Duration::from_secs(2);
    bench.report("i-1", ended);
    finish_job(&mut bench, "wk-1");
    assert_eq!(estimated_run_s(&mut bench, "wk-2"), None);
}
