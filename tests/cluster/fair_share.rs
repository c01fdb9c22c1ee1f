//! Fair shares under scarcity, and recovery from overload.

use std::collections::VecDeque;
use troutspindle::controller::Controller;
use troutspindle_simulation::{CONTROLLERS, FLOOR, Fault, SimEvent, World, settings};

/// Runs four machines with demand for six: services request all of them, may preempt arrays and are never preempted,
/// but are submitted and cancelled over time. Returns the fraction of the early arrays that completed, and the
/// fraction of requested replicas that ran from second 60 on, once there was free capacity.
fn scarce_day(seed: u64, floor: f64, faults: &[(u64, Fault)]) -> (f64, f64) {
    let mut world = World::new(seed);
    world.floor = floor;
    for controller in 0..CONTROLLERS {
        world.controllers[controller] = Controller::new(
            settings(CONTROLLERS, controller, false, floor),
            seed * 10,
            world.wall(),
        )
        .ok();
    }
    world.capacity = [2, 0];
    let services: Vec<u64> = (100..125).collect();
    for n in &services {
        let at = 3000 + (n - 100) * 11_000;
        world.submit_at(at, *n, true, Some(at + 50_000));
    }
    for n in 5..45 {
        world.submit_at(n * 4000, n, false, None);
    }
    for (at_ms, fault) in faults {
        world.schedule(*at_ms, SimEvent::Fault(*fault));
    }
    let (mut running, mut requested) = (0, 0);
    for second in 0..200 {
        world.run(second * 1000);
        for n in services.iter().filter(|_| second >= 60) {
            let job = &world.jobs[n];
            if job.accepted && job.cancellation_confirmed_ms.is_none() {
                running += world.running(*n);
                requested += 4;
            }
        }
    }
    assert!(world.violations.is_empty(), "seed {seed}, {faults:?}: {:#?}", world.violations);
    // Arrays submitted in the last 40 s may still run.
    let completed = (5..40).filter(|n| world.jobs[n].completion_confirmed).count();
    (completed as f64 / 35.0, running as f64 / requested as f64)
}

/// At least half of each class is served under any sequence of leaders.
#[test]
fn no_class_starves_under_scarcity() {
    let (completed, _) = scarce_day(1, 0.0, &[]);
    assert!(
        completed < 0.35,
        "by priority alone services should leave arrays almost nothing: {completed}"
    );
    let crash_all: Vec<_> = (0..CONTROLLERS).map(|n| (70_000, Fault::Crash(n))).collect();
    let all = [
        vec![],
        vec![(50_000, Fault::Crash(0)), (80_000, Fault::Crash(1)), (110_000, Fault::Crash(2))],
        crash_all,
        vec![(1000, Fault::StoreOutage(true)), (25_000, Fault::StoreOutage(false))],
        vec![(20_000, Fault::CloudOutage(true)), (90_000, Fault::CloudOutage(false))],
    ];
    for (n, faults) in all.iter().enumerate() {
        let (completed, running) = scarce_day(n as u64, FLOOR, faults);
        assert!(completed >= 0.5 && running >= 0.5, "{faults:?}: done {completed}, up {running}");
    }
}

/// The load exceeds what all controllers together can process: worker and leader leases expire and clients retry. Once
/// the load drops, a leader, all replicas and the queued jobs must be back within a bounded time.
#[test]
fn the_cluster_recovers_within_20_s_after_an_overload() {
    for (seed, cost) in [(2, 200), (3, 400)] {
        let mut world = World::new(seed);
        for n in 0..4 {
            world.submit_at(3000, n, true, None);
        }
        for n in 4..24 {
            world.submit_at(n * 3000, n, false, None);
        }
        for (at_ms, fault) in [
            (30_000, Fault::EventCost(cost)),
            (30_000, Fault::PollStorm(true)),
            (70_000, Fault::EventCost(0)),
            (70_000, Fault::PollStorm(false)),
        ] {
            world.schedule(at_ms, SimEvent::Fault(fault));
        }
        world.run(69_000);
        let longest = world.event_queues.iter().map(VecDeque::len).max().unwrap();
        let down = (0..4).any(|n| world.running(n) < 4);
        let wait_ms = longest as u64 * cost;
        assert!(
            wait_ms > 3000 || down,
            "cost {cost}: not overloaded, longest queue has {longest} events"
        );
        world.run(90_000);
        let running: Vec<usize> = (0..4).map(|n| world.running(n)).collect();
        assert_eq!(running, [4; 4], "cost {cost}: 20 s after it");
        world.run(160_000);
        assert!(world.violations.is_empty(), "cost {cost}: {:#?}", world.violations);
        assert!((4..24).all(|n| world.jobs[&n].completion_confirmed), "cost {cost}");
    }
}
