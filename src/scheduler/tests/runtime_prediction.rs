//! Learned run times: recording, storing, and reading by a successor.

use super::fixture::{TestLeader, task_statuses};
use crate::ids::{JobId, Revision};
use crate::jobs::Job;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::schema::{encoding, records};
use crate::store::{Versioned, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::{JobKind, TaskState, TaskStatus, Write};
use std::sync::Arc;
use std::time::Duration;

fn learning_leader() -> TestLeader {
    let mut leader = TestLeader::new();
    let settings = Arc::make_mut(&mut leader.scheduler.settings);
    settings.operator.estimates.learn = true;
    leader
}

/// Runs an array of four tasks for `run_s` seconds and returns their completed statuses, not yet reported.
fn run_array(leader: &mut TestLeader, id: &str, run_s: u64) -> Vec<TaskStatus> {
    leader.heartbeat("i-1", vec![]);
    leader.job(id, JobKind::Array, 4);
    leader.pass(MIN_PASS_INTERVAL * 5);
    let commands = leader.heartbeat("i-1", vec![]);
    assert_eq!(task_statuses(&commands, TaskState::Fetching).len(), 4);
    leader.heartbeat("i-1", task_statuses(&commands, TaskState::Fetching));
    leader.now += Duration::from_secs(7);
    leader.heartbeat("i-1", task_statuses(&commands, TaskState::Running));
    leader.now += Duration::from_secs(run_s);
    let mut completed = task_statuses(&commands, TaskState::Exited);
    completed.iter_mut().for_each(|task| task.exit_cause = Some("done".into()));
    completed
}

fn finish_job(leader: &mut TestLeader, id: &str) {
    let done = records::JobRecord {
        phase: records::JobPhase::Done,
        completed_count: 4,
        ..records::JobRecord::live(1, None)
    };
    let rev = Revision(leader.store.cache.rev.0.max(10) + 1);
    leader.store.cache.jobs.apply_record(JobId::new(id), &encoding::to_value(&done), rev);
    leader.scheduler.on_jobs(&[JobId::new(id)], &leader.store.cache, leader.now);
}

/// Commits all estimate writes that are due to the cache and returns their number.
fn write_estimates(leader: &mut TestLeader) -> usize {
    let mut written = 0;
    for n in 0..40 {
        leader.now += Duration::from_millis(300);
        leader.scheduler.store_estimates(&mut leader.store, leader.now);
        for item in leader.store.take_queued_writes() {
            let (WriteOrigin::RuntimeEstimates(bucket), [Write::Put { data, .. }]) =
                (&item.origin, &item.transaction.writes[..])
            else {
                continue;
            };
            assert_eq!(item.priority, WritePriority::Background);
            let text = data.as_text().map(str::to_owned);
            leader.store.cache.estimates.insert(*bucket, Versioned::new(text, Revision(100 + n)));
            leader.scheduler.on_outcome(&item.origin, WriteOutcome::Committed, &mut leader.store);
            written += 1;
        }
    }
    written
}

fn estimated_run_s(leader: &mut TestLeader, id: &str) -> Option<f64> {
    let id = leader.job(id, JobKind::Array, 4);
    let live = leader.store.cache.jobs.get(&id).and_then(Job::live).unwrap();
    let spec = &live.spec;
    let profile = troutspindle_runtime_estimates::Profile {
        job: "x",
        class: &spec.class,
        team: &spec.team,
        image: &spec.image,
        size: [live.request.cpu, live.request.gpu, live.request.ram],
        expect_s: 0.0,
        tasks: 4,
    };
    leader.scheduler.estimate_of(&profile).map(|estimate| estimate.p50_s)
}

/// A successor reads the stored estimates. Damaged values are ignored, and learning continues without them.
#[test]
fn successor_reads_stored_estimates_and_ignores_damaged_ones() {
    let mut leader = learning_leader();
    let completed = run_array(&mut leader, "wk-1", 30);
    // Two heartbeats report the same completions, which must count only once.
    leader.heartbeat("i-1", completed.clone());
    leader.heartbeat("i-1", completed);
    finish_job(&mut leader, "wk-1");
    let known = estimated_run_s(&mut leader, "wk-2").unwrap();
    assert!((known - 30.0).abs() < 2.5, "{known}");
    // One entry each for the exact profile, team, class and owner: at most four values.
    assert!((1..=4).contains(&write_estimates(&mut leader)));
    assert_eq!(write_estimates(&mut leader), 0, "nothing new was learned");
    let mut successor = learning_leader();
    successor.store.cache.estimates = leader.store.cache.estimates.clone();
    successor.scheduler.store_estimates(&mut successor.store, successor.now);
    assert!((estimated_run_s(&mut successor, "wk-2").unwrap() - known).abs() < 0.5);
    let mut damaged = learning_leader();
    for (bucket, known) in &leader.store.cache.estimates {
        let text = known.value.as_ref().map(|text| text[..text.len() / 2].to_owned());
        damaged.store.cache.estimates.insert(*bucket, Versioned::new(text, known.revision));
    }
    damaged.scheduler.store_estimates(&mut damaged.store, damaged.now);
    assert_eq!(estimated_run_s(&mut damaged, "wk-2"), None);
    run_array(&mut damaged, "wk-3", 1);
}

/// The start time of an adopted task is unknown, so no run time may be learned from its completion.
#[test]
fn adopted_task_adds_no_runtime() {
    let mut predecessor = learning_leader();
    let completed = run_array(&mut predecessor, "wk-1", 300);
    let mut leader = learning_leader();
    leader.job("wk-1", JobKind::Array, 4);
    let running = completed.iter().cloned().map(|task| TaskStatus {
        state: TaskState::Running,
        exit_cause: None,
        ..task
    });
    leader.heartbeat("i-1", running.collect());
    leader.now += Duration::from_secs(2);
    leader.heartbeat("i-1", completed);
    finish_job(&mut leader, "wk-1");
    assert_eq!(estimated_run_s(&mut leader, "wk-2"), None);
}
