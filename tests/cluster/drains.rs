//! Operators drain zones and controllers.

use troutspindle::drains::DrainRecord;
use troutspindle::ids::{JobId, Revision};
use troutspindle::schema::keys;
use troutspindle::store::StoreResponse;
use troutspindle::wire;
use troutspindle::wire::{JobKind, TaskState, Write};
use troutspindle_protocol::operator_api::DrainKind;
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World};

/// Writes an operator's drain record as any controller would, or deletes it if `on` is false.
fn set_drain(world: &mut World, kind: DrainKind, name: &str, by_ms: Option<u64>, on: bool) {
    let key = keys::drain_key(kind, name);
    let rev = world.store.keys.get(&key).map_or(Revision(0), |(_, rev, _)| Revision(*rev));
    let at_ms = world.wall().ms(world.now());
    let (author, reason) = ("an operator".into(), "new floor".into());
    let by_ms = by_ms.map(|ms| at_ms + ms);
    let record = DrainRecord { kind, name: name.into(), by_ms, at_ms, author, reason };
    let put = Write::Put {
        key: key.clone(),
        data: troutspindle::schema::encoding::to_value(&record),
        lease: None,
    };
    let write = if on { put } else { Write::Delete { key: key.clone() } };
    let txn = wire::Transaction {
        preconditions: vec![wire::Precondition { key, rev }],
        writes: vec![write],
    };
    assert!(matches!(world.commit(txn), StoreResponse::Committed(_)));
}

/// Number of tasks with an allocation in a zone.
fn tasks_in_zone(world: &World, zone: usize) -> usize {
    let workers_here = world.workers.values().filter(|w| w.zone == zone && !w.terminated);
    let tasks = workers_here.flat_map(|w| w.tasks.values());
    tasks.filter(|task| task.state != TaskState::Exited).count()
}

/// Replicas leave the drained zone one at a time, arrays complete there or are evicted by the deadline, and nothing new
/// starts there. After the drain the zone is used again. A leader crash during the drain changes none of this.
#[test]
fn a_drained_zone_is_evicted_without_a_service_going_down() {
    for seed in 700..706 {
        let mut world = World::new(seed);
        for n in 0..3 {
            world.submit_at(3000, n, true, None);
            world.jobs.get_mut(&n).unwrap().spec.spread = false;
        }
        for n in 3..30 {
            world.submit_at(n * 4000, n, false, None);
        }
        world.run(50_000);
        set_drain(&mut world, DrainKind::Zone, "a", Some(40_000), true);
        if seed % 2 == 0 {
            let leader = world.leader();
            world.schedule(53_000, SimEvent::Fault(Fault::Crash(leader)));
        }
        let mut now_ms = 50_000;
        while tasks_in_zone(&world, 0) > 0 {
            now_ms += 200;
            assert!(now_ms <= 100_000, "seed {seed}: {}", tasks_in_zone(&world, 0));
            world.run(now_ms);
            for service in 0..3 {
                assert!(world.running(service) >= 3, "seed {seed}, {now_ms}: service {service}");
            }
        }
        world.run(110_000);
        assert_eq!(tasks_in_zone(&world, 0), 0, "seed {seed}");
        assert!(tasks_in_zone(&world, 1) >= 12, "seed {seed}");
        set_drain(&mut world, DrainKind::Zone, "a", None, false);
        // Draining zone b moves all tasks back to zone a.
        set_drain(&mut world, DrainKind::Zone, "b", None, true);
        world.run(240_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert_eq!(tasks_in_zone(&world, 1), 0, "seed {seed}");
        for (number, job) in &world.jobs {
            let service = job.spec.kind == JobKind::Service;
            assert!(
                job.completion_confirmed || service && world.running(*number) == 4,
                "seed {seed}: {number}"
            );
        }
    }
}

/// A service spread over two zones cannot leave one of them: it keeps running, and the drain reports the remaining
/// tasks as stuck. While the other zone is partitioned away, no task moves.
#[test]
fn a_drain_without_capacity_elsewhere_stops_nothing_and_reports_it() {
    for (seed, is_partitioned) in [(710, false), (711, true)] {
        let mut world = World::new(seed);
        world.submit_at(3000, 0, true, None);
        world.submit_at(3000, 1, true, None);
        world.jobs.get_mut(&1).unwrap().spec.spread = false;
        world.run(40_000);
        // The leader stays on the side of the drained zone.
        if is_partitioned {
            world.inject(Fault::IsolateZone(true));
        }
        set_drain(&mut world, DrainKind::Zone, "a", Some(20_000), true);
        world.run(52_000);
        let spread = JobId::new("wk-0");
        let workers_here = world.workers.values().filter(|w| w.zone == 0 && !w.terminated);
        let remaining =
            workers_here.flat_map(|w| w.tasks.keys()).filter(|task| task.job == spread).count();
        assert_eq!((remaining, world.running(0)), (2, 4), "seed {seed}");
        if !is_partitioned {
            let controller = world.controllers[world.leader()].as_ref().unwrap();
            let report =
                controller.scheduler.as_ref().unwrap().drains(&controller.store.cache, world.now());
            assert_eq!((report.drains[0].remaining, report.drains[0].stuck), (Some(2), Some(2)));
            assert_eq!(world.running(1), 4);
        }
        if is_partitioned {
            world.inject(Fault::IsolateZone(false));
        }
        world.run(110_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert_eq!((world.running(0), world.running(1)), (4, 4), "seed {seed}");
    }
}

/// A drained leader resigns at once without interrupting tasks, and so does its successor when drained. The last
/// controller keeps leading although it is drained.
#[test]
fn drained_controllers_fail_over_until_one_is_left() {
    for seed in 720..724 {
        let mut world = World::new(seed);
        for n in 0..2 {
            world.submit_at(3000, n, true, None);
        }
        for n in 2..24 {
            world.submit_at(n * 3000, n, false, None);
        }
        let mut now_ms = 30_000;
        world.run(now_ms);
        let mut leaders = Vec::new();
        for _ in 0..CONTROLLERS {
            let leader = world.leader();
            leaders.push(leader);
            set_drain(&mut world, DrainKind::Controller, &format!("n-{leader}"), None, true);
            for _ in 0..50 {
                now_ms += 200;
                world.run(now_ms);
                assert_eq!((world.running(0), world.running(1)), (4, 4), "seed {seed}, {now_ms}");
            }
            let next = world.leader();
            assert_eq!(
                next == leader,
                leaders.len() == CONTROLLERS,
                "seed {seed}: {leaders:?}, {next}"
            );
        }
        // After all drains end, the last leader may crash: the others lead again.
        for controller in 0..CONTROLLERS {
            set_drain(&mut world, DrainKind::Controller, &format!("n-{controller}"), None, false);
        }
        world.schedule(now_ms + 1000, SimEvent::Fault(Fault::Crash(leaders[CONTROLLERS - 1])));
        world.run(150_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert!(world.jobs.values().skip(2).all(|job| job.completion_confirmed), "seed {seed}");
    }
}
