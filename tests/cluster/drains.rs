//! Operators drain zones and controllers.

use troutspindle::drains::DrainRecord;
use troutspindle::ids::{JobId, Revision};
use troutspindle::schema::keys;
use troutspindle::store::StoreResponse;
use troutspindle::wire;
use troutspindle::wire::{JobKind, TaskState, Write};
use troutspindle_protocol::operator_api::DrainKind;
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World};

/// An operator's order, as any controller would write it, or its end.
fn drain_request(world: &mut World, kind: DrainKind, name: &str, by_ms: Option<u64>, on: bool) {
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

/// Tasks that hold room in a zone.
fn tasks_in_zone(world: &World, zone: usize) -> usize {
    let here = world.workers.values().filter(|w| w.zone == zone && !w.gone);
    let tasks = here.flat_map(|w| w.tasks.values());
    tasks.filter(|running| running.state != TaskState::Exited).count()
}

/// Replicas leave a zone one at a time, arrays end there or by the time that was set, nothing new starts
/// there, and when the drain is over the zone is used again; whoever leads meanwhile.
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
        drain_request(&mut world, DrainKind::Zone, "a", Some(40_000), true);
        if seed % 2 == 0 {
            let leader = world.leader();
            world.at(53_000, SimEvent::Fault(Fault::Crash(leader)));
        }
        let mut until = 50_000;
        while tasks_in_zone(&world, 0) > 0 {
            until += 200;
            assert!(until <= 100_000, "seed {seed}: {}", tasks_in_zone(&world, 0));
            world.run(until);
            for service in 0..3 {
                assert!(world.running(service) >= 3, "seed {seed}, {until}: service {service}");
            }
        }
        world.run(110_000);
        assert_eq!(tasks_in_zone(&world, 0), 0, "seed {seed}");
        assert!(tasks_in_zone(&world, 1) >= 12, "seed {seed}");
        drain_request(&mut world, DrainKind::Zone, "a", None, false);
        // With zone b to be left, all goes back to a.
        drain_request(&mut world, DrainKind::Zone, "b", None, true);
        world.run(240_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert_eq!(tasks_in_zone(&world, 1), 0, "seed {seed}");
        for (number, job) in &world.jobs {
            let service = job.spec.kind == JobKind::Service;
            assert!(
                job.told_done || service && world.running(*number) == 4,
                "seed {seed}: {number}"
            );
        }
    }
}

/// A service that is spread over two zones can't leave one of them: it runs on as it is, and what
/// remains is told. While the other zone is cut off nothing moves at all.
#[test]
fn a_drain_without_capacity_elsewhere_stops_nothing_and_reports_it() {
    for (seed, is_partitioned) in [(710, false), (711, true)] {
        let mut world = World::new(seed);
        world.submit_at(3000, 0, true, None);
        world.submit_at(3000, 1, true, None);
        world.jobs.get_mut(&1).unwrap().spec.spread = false;
        world.run(40_000);
        // The leader stays on the side of the zone that is to be left.
        if is_partitioned {
            world.fault(Fault::IsolateZone(true));
        }
        drain_request(&mut world, DrainKind::Zone, "a", Some(20_000), true);
        world.run(52_000);
        let spread = JobId::new("wk-0");
        let here = world.workers.values().filter(|w| w.zone == 0 && !w.gone);
        let stayed = here.flat_map(|w| w.tasks.keys()).filter(|task| task.job == spread).count();
        assert_eq!((stayed, world.running(0)), (2, 4), "seed {seed}");
        if !is_partitioned {
            let node = world.nodes[world.leader()].as_ref().unwrap();
            let told = node.scheduler.as_ref().unwrap().drains(&node.store.cache, world.now());
            assert_eq!((told.drains[0].remaining, told.drains[0].stuck), (Some(2), Some(2)));
            assert_eq!(world.running(1), 4);
        }
        if is_partitioned {
            world.fault(Fault::IsolateZone(false));
        }
        world.run(110_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert_eq!((world.running(0), world.running(1)), (4, 4), "seed {seed}");
    }
}

/// A drained leader hands over in a moment and nobody loses work; the next one that is drained does the
/// same, and the last one left leads on, drained or not.
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
        let mut until = 30_000;
        world.run(until);
        let mut led = Vec::new();
        for _ in 0..CONTROLLERS {
            let leader = world.leader();
            led.push(leader);
            drain_request(&mut world, DrainKind::Controller, &format!("n-{leader}"), None, true);
            for _ in 0..50 {
                until += 200;
                world.run(until);
                assert_eq!((world.running(0), world.running(1)), (4, 4), "seed {seed}, {until}");
            }
            let next = world.leader();
            assert_eq!(next == leader, led.len() == CONTROLLERS, "seed {seed}: {led:?}, {next}");
        }
        // In the end a drained one that crashes is no loss, and undrained ones lead again.
        for node in 0..CONTROLLERS {
            drain_request(&mut world, DrainKind::Controller, &format!("n-{node}"), None, false);
        }
        world.at(until + 1000, SimEvent::Fault(Fault::Crash(led[CONTROLLERS - 1])));
        world.run(150_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert!(world.jobs.values().skip(2).all(|job| job.told_done), "seed {seed}");
    }
}
