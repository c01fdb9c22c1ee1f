//! Preemption of tasks for tasks of higher priority.

use super::fixture::{TestLeader, task_statuses};
use crate::ids::MachineId;
use crate::jobs::JobBody;
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::scheduler::preemption::MISSING_IMAGE_COST_S;
use crate::wire::{JobKind, Priority, TaskState};
use crate::workers::machine::Machine;
use std::sync::Arc;
use std::time::Duration;

/// Preemption doesn't repeat minutes of work to start a task on a machine that has its image:
/// preferring such machines at any cost made an array lose 242 s of work.
#[test]
fn preemption_chooses_the_least_lost_work_even_on_a_machine_without_the_image() {
    let mut leader = TestLeader::new();
    let fill = |leader: &mut TestLeader, machine: &str, id: &str, image: &str| {
        leader.heartbeat(machine, vec![]);
        leader.job(id, JobKind::Array, 4);
        leader.pass(MIN_PASS_INTERVAL * 5);
        let commands = leader.heartbeat(machine, vec![]);
        let statuses = task_statuses(&commands, TaskState::Running);
        assert_eq!(statuses.len(), 4);
        leader.heartbeat(machine, statuses.clone());
        let machine_state =
            leader.scheduler.fleet.machines.get_mut(&MachineId::new(machine)).unwrap();
        machine_state.images = vec![Arc::from(image)];
        machine_state.image_ids = Default::default();
        statuses
    };
    let first_statuses = fill(&mut leader, "i-1", "wk-1", "i");
    let run_time = Duration::from_secs_f64(MISSING_IMAGE_COST_S * 2.0);
    for entry in leader.scheduler.fleet.machines.values_mut().flat_map(|m| m.attempts.values_mut())
    {
        entry.running_since = leader.now.checked_sub(run_time);
    }
    fill(&mut leader, "i-2", "wk-2", "other");
    leader.heartbeat("i-1", first_statuses);
    let id = leader.job("wk-3", JobKind::Service, 1);
    let Some(job) = leader.store.cache.jobs.all.get_mut(&id) else { panic!() };
    let JobBody::Live(live) = &mut job.body else { panic!() };
    Arc::make_mut(&mut live.spec).priority = Priority::Production;
    leader.pass(MIN_PASS_INTERVAL * 5);
    let has_stop = |machine: &Machine| machine.attempts.values().any(|e| e.stop.is_some());
    let stopped: Vec<_> = leader.scheduler.fleet.machines.values().map(has_stop).collect();
    assert_eq!(stopped, [false, true]);
}
