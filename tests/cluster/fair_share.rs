//! More work than capacity.

use std::collections::VecDeque;
use troutspindle::controller::Controller;
use troutspindle_simulation::{CONTROLLERS, FLOOR, Fault, SimEvent, World, settings};

/// Four machines for what asks for six: services want all of them, may stop arrays and may not be stopped, but come
/// and go. Gives of arrays that came in time how many were done, and the share of replicas that ran, once there was
/// room, of those that were asked for.
fn scarce_day(seed: u64, floor: f64, faults: &[(u64, Fault)]) -> (f64, f64) {
    let mut world = World::new(seed);
    world.floor = floor;
    for node in 0..CONTROLLERS {
        world.nodes[node] =
            Controller::new(settings(CONTROLLERS, node, false, floor), seed * 10, world.wall())
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
    for (t, fault) in faults {
        world.at(*t, SimEvent::Fault(*fault));
    }
    let (mut up, mut wanted) = (0, 0);
    for s in 0..200 {
        world.run(s * 1000);
        for n in services.iter().filter(|_| s >= 60) {
            let job = &world.jobs[n];
            if job.accepted && job.cancellation_confirmed_ms.is_none() {
                up += world.running(*n);
                wanted += 4;
            }
        }
    }
    assert!(world.violations.is_empty(), "seed {seed}, {faults:?}: {:#?}", world.violations);
    // Those of the last 40 s may still run.
    let done = (5..40).filter(|n| world.jobs[n].told_done).count();
    (done as f64 / 35.0, up as f64 / wanted as f64)
}

/// Half of each class is served whoever leads, and whenever it began.
#[test]
fn no_class_starves_under_scarcity() {
    let (done, _) = scarce_day(1, 0.0, &[]);
    assert!(done < 0.35, "by priority alone services leave nothing: {done}");
    let crash_all: Vec<_> = (0..CONTROLLERS).map(|n| (70_000, Fault::Crash(n))).collect();
    let all = [
        vec![],
        vec![(50_000, Fault::Crash(0)), (80_000, Fault::Crash(1)), (110_000, Fault::Crash(2))],
        crash_all,
        vec![(1000, Fault::Outage(true)), (25_000, Fault::Outage(false))],
        vec![(20_000, Fault::CloudOutage(true)), (90_000, Fault::CloudOutage(false))],
    ];
    for (n, faults) in all.iter().enumerate() {
        let (done, up) = scarce_day(n as u64, FLOOR, faults);
        assert!(done >= 0.5 && up >= 0.5, "{faults:?}: done {done}, up {up}");
    }
}

/// More to do than all controllers together can: leases of workers and leaders run out, everybody asks again. Once
/// the cause is gone nothing of it may stay: a leader, all replicas and the jobs that waited are back in a bounded time.
#[test]
fn an_overload_leaves_nothing_behind() {
    for (seed, cost) in [(2, 200), (3, 400)] {
        let mut world = World::new(seed);
        for n in 0..4 {
            world.submit_at(3000, n, true, None);
        }
        for n in 4..24 {
            world.submit_at(n * 3000, n, false, None);
        }
        for (t, fault) in [
            (30_000, Fault::EventCost(cost)),
            (30_000, Fault::PollStorm(true)),
            (70_000, Fault::EventCost(0)),
            (70_000, Fault::PollStorm(false)),
        ] {
            world.at(t, SimEvent::Fault(fault));
        }
        world.run(69_000);
        let longest = world.lines.iter().map(VecDeque::len).max().unwrap();
        let down = (0..4).any(|n| world.running(n) < 4);
        let wait_ms = longest as u64 * cost;
        assert!(wait_ms > 3000 || down, "cost {cost}: it was no overload, {longest} in line");
        world.run(90_000);
        let up: Vec<usize> = (0..4).map(|n| world.running(n)).collect();
        assert_eq!(up, [4; 4], "cost {cost}: 20 s after it");
        world.run(160_000);
        assert!(world.violations.is_empty(), "cost {cost}: {:#?}", world.violations);
        assert!((4..24).all(|n| world.jobs[&n].told_done), "cost {cost}");
    }
}
