//! Limits of what one controller serves.

use super::fixture::TestLeader;
use crate::admission::MACHINE_BYTES;
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::scheduler::planning_clock::MIN_PASS_INTERVAL;
use crate::wire::{JobKind, TaskState, TaskStatus};
use std::collections::BTreeSet;

/// Nothing is rented beyond what controllers can hold, what waits says why, and calls to workers go round
/// where not all may be under way at once.
#[test]
fn rentals_and_calls_stay_within_what_a_controller_can_serve() {
    let mut bench = TestLeader::new();
    (0..9).for_each(|n| drop(bench.report(&format!("i-{n}"), vec![])));
    bench.scheduler.fleet.listed_once = true;
    bench.scheduler.autoscaler.max_machines = 12;
    bench.job("wk-1", JobKind::Array, 400);
    for _ in 0..20 {
        bench.pass(MIN_PASS_INTERVAL * 5);
    }
    let asked: u32 = bench.cloud.pending_rentals().iter().map(|rental| rental.count).sum();
    assert_eq!(asked, 3);
    assert!(bench.scheduler.statistics.waiting_by_cause["controllers hold no more machines"] > 300);
    bench.scheduler.direct_calls.max_in_flight = 2;
    let mut called: Vec<MachineId> = Vec::new();
    for _ in 0..5 {
        for machine in bench.scheduler.fleet.machines.values_mut() {
            (machine.direct_in_flight, machine.commands_due) = (false, true);
            machine.next_direct_at = bench.now;
        }
        (bench.scheduler.direct_calls.in_flight, bench.scheduler.direct_calls.all_dirty) =
            (0, true);
        bench.scheduler.take_direct_calls();
        bench.scheduler.send_direct_calls(bench.now);
        let calls = bench.scheduler.take_direct_calls();
        assert!(calls.len() <= 2);
        called.extend(calls.into_iter().map(|call| call.machine));
    }
    let different: BTreeSet<&MachineId> = called.iter().collect();
    assert_eq!(different.len(), 9, "{called:?}");
}

/// Bytes that a leader holds for a machine, by which the ceiling of machines reckons: counted, with a task for each two
/// CPUs of it, a job for each three tasks, and names and images of some length.
#[test]
fn machine_takes_less_memory_than_the_limit_assumes() {
    const MACHINES: usize = 300;
    let mut held = None;
    let info = allocation_counter::measure(|| {
        let mut bench = TestLeader::new();
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
                drop(bench.job(&format!("wk-{:09}", n * 3 + job), JobKind::Array, 9))
            });
            bench.report(&format!("i-{n:06}"), (0..8).map(task).collect());
        }
        bench.pass(MIN_PASS_INTERVAL * 5);
        held = Some(bench);
    });
    let bench = held.unwrap();
    assert_eq!(
        bench.scheduler.fleet.machines.values().map(|m| m.attempts.len()).sum::<usize>(),
        MACHINES * 8
    );
    let each = info.bytes_current as f64 / MACHINES as f64;
    assert!((2000.0..MACHINE_BYTES).contains(&each), "{each}");
}
