//! Jobs whose cancellation is acknowledged and not committed yet.

use super::fixture::{TestLeader, task_statuses};
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::wire::{JobKind, TaskState};

/// The end of a task of a job that is known to be cancelled only by word of mouth must not
/// make the job new work: its other tasks, silent behind a cut, would be started twice.
#[test]
fn job_with_acknowledged_cancellation_is_never_started_again() {
    let mut bench = TestLeader::new();
    let id = bench.job("wk-1", JobKind::Service, 4);
    bench.report("i-1", vec![]);
    bench.pass(MIN_PASS_INTERVAL * 5);
    let orders = bench.report("i-1", vec![]);
    assert_eq!(task_statuses(&orders, TaskState::Running).len(), 4);
    bench.report("i-1", task_statuses(&orders, TaskState::Running));
    bench.scheduler.on_cancellation_acknowledged(std::slice::from_ref(&id), &bench.store.cache);
    bench.report("i-1", task_statuses(&orders, TaskState::Exited));
    bench.scheduler.on_jobs(&[id], &bench.store.cache, bench.now);
    for _ in 0..20 {
        bench.pass(MIN_PASS_INTERVAL);
    }
    assert_eq!(bench.scheduler.statistics.starts, 4);
}
