//! Jobs whose cancellation is acknowledged but not committed yet.

use super::fixture::{TestLeader, task_statuses};
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::wire::{JobKind, TaskState};

/// The leader may know of a cancellation only from an acknowledgement, before the store has it. The exit of one of the
/// job's tasks must not create new progress for the job. Otherwise its other tasks, which run on machines behind a
/// network partition, would be started twice.
#[test]
fn job_with_acknowledged_cancellation_is_never_started_again() {
    let mut leader = TestLeader::new();
    let id = leader.job("wk-1", JobKind::Service, 4);
    leader.heartbeat("i-1", vec![]);
    leader.pass(MIN_PASS_INTERVAL * 5);
    let commands = leader.heartbeat("i-1", vec![]);
    assert_eq!(task_statuses(&commands, TaskState::Running).len(), 4);
    leader.heartbeat("i-1", task_statuses(&commands, TaskState::Running));
    leader.scheduler.on_cancellation_acknowledged(std::slice::from_ref(&id), &leader.store.cache);
    leader.heartbeat("i-1", task_statuses(&commands, TaskState::Exited));
    leader.scheduler.on_jobs(&[id], &leader.store.cache, leader.now);
    for _ in 0..20 {
        leader.pass(MIN_PASS_INTERVAL);
    }
    assert_eq!(leader.scheduler.statistics.starts, 4);
}
