//! Limits on the machines and calls that one controller serves.

use super::fixture::TestLeader;
use crate::admission::MACHINE_BYTES;
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::wire::{JobKind, TaskState, TaskStatus};
use std::collections::BTreeSet;

/// No machine is rented beyond the limit of the controllers, and waiting tasks report this cause.
/// If only a few calls may be in flight at once, all workers are called in turn.
#[test]
fn rentals_and_direct_calls_stay_within_controller_limits() {
    let mut leader = TestLeader::new();
    (0..9).for_each(|n| drop(leader.heartbeat(&format!("i-{n}"), vec![])));
    leader.scheduler.fleet.listed_once = true;
    leader.scheduler.autoscaler.max_machines = 12;
    leader.job("wk-1", JobKind::Array, 400);
    for _ in 0..20 {
        leader.pass(MIN_PASS_INTERVAL * 5);
    }
    let requested: u32 = leader.cloud.pending_rentals().iter().map(|rental| rental.count).sum();
    assert_eq!(requested, 3);
    assert!(
        leader.scheduler.statistics.waiting_by_cause["controllers hold no more machines"] > 300
    );
    leader.scheduler.direct_calls.max_in_flight = 2;
    let mut called: Vec<MachineId> = Vec::new();
    for _ in 0..5 {
        for machine in leader.scheduler.fleet.machines.values_mut() {
            (machine.direct_in_flight, machine.commands_due) = (false, true);
            machine.next_direct_at = leader.now;
        }
        (leader.scheduler.direct_calls.in_flight, leader.scheduler.direct_calls.all_dirty) =
            (0, true);
        leader.scheduler.take_direct_calls();
        leader.scheduler.send_direct_calls(leader.now);
        let calls = leader.scheduler.take_direct_calls();
        assert!(calls.len() <= 2);
        called.extend(calls.into_iter().map(|call| call.machine));
    }
    let distinct: BTreeSet<&MachineId> = called.iter().collect();
    assert_eq!(distinct.len(), 9, "{called:?}");
}

/// Measures the bytes that a leader allocates per machine, from which the maximum number of
/// machines is computed. Each machine has one task per two of its CPUs, there is one job per three
/// tasks, and names and images have a realistic length.
#[test]
fn memory_per_machine_stays_below_the_estimate_behind_the_machine_limit() {
    const MACHINES: usize = 300;
    let mut kept_leader = None;
    let allocations = allocation_counter::measure(|| {
        let mut leader = TestLeader::new();
        for n in 0..MACHINES {
            let task = |index: u32| TaskStatus {
                task: TaskId {
                    job: JobId::new(&format!("wk-{:09}", n * 3 + index as usize / 3)),
                    index,
                },
                attempt: Attempt(u64::from(index) + 1),
                state: TaskState::Running,
                exit_cause: None,
                saved: None,
            };
            (0..3).for_each(|job| {
                drop(leader.job(&format!("wk-{:09}", n * 3 + job), JobKind::Array, 9))
            });
            leader.heartbeat(&format!("i-{n:06}"), (0..8).map(task).collect());
        }
        leader.pass(MIN_PASS_INTERVAL * 5);
        kept_leader = Some(leader);
    });
    let leader = kept_leader.unwrap();
    assert_eq!(
        leader.scheduler.fleet.machines.values().map(|m| m.attempts.len()).sum::<usize>(),
        MACHINES * 8
    );
    let bytes_per_machine = allocations.bytes_current as f64 / MACHINES as f64;
    assert!((2000.0..MACHINE_BYTES).contains(&bytes_per_machine), "{bytes_per_machine}");
}
