//! Controllers, zones and workers are cut off from each other.

use crate::controller_crashes::play_fault;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle::wire::WorkerCommand;
use troutspindle::workers::command_delivery::DirectCall;
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, Worker, World};

/// A zone is cut off from everything for longer than its controller could answer by its last news of
/// the store alone: nothing there is lost, and whatever users are told to be cancelled is gone in time.
/// Whoever asks to cancel what may have tasks there waits; nobody else does.
#[test]
fn an_isolated_zone_keeps_its_tasks_and_outlives_no_cancellation() {
    let (mut inside, mut told_in_the_cut, mut put_off) = (0, 0, 0);
    for seed in 400..416 {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut world = World::new(seed);
        for n in 0..4 {
            // Some are cancelled within a second of the cut, when nobody knows of it yet.
            let near = random.random_range(29_500..31_500);
            let at = if random.random() { near } else { random.random_range(28_000..75_000) };
            world.submit_at(3000, n, true, (n < 3).then_some(at));
        }
        world.submit_at(3000, 4, true, Some(50_000));
        world.jobs.get_mut(&4).unwrap().spec.spread = false;
        world.jobs.get_mut(&4).unwrap().spec.zone = Some("a".into());
        world.run(30_000);
        inside += usize::from(world.leader() == 1);
        world.fault(Fault::IsolateZone(true));
        match seed % 4 {
            // The leader outside ends while the cut lasts; or the one inside does.
            0 => world.at(40_000, SimEvent::Fault(Fault::Crash(2 * (seed as usize / 4 % 2)))),
            1 if seed % 8 == 1 => world.at(45_000, SimEvent::Fault(Fault::Crash(1))),
            2 => {
                world.at(42_000, SimEvent::Fault(Fault::Outage(true)));
                world.at(50_000, SimEvent::Fault(Fault::Outage(false)));
            }
            _ => {}
        }
        world.at(78_000, SimEvent::Fault(Fault::IsolateZone(false)));
        world.run(78_000);
        // What has nothing there was cancelled at once, but for an outage or a new leader.
        let other = &world.jobs[&4];
        if seed % 4 == 3 {
            assert!(other.cancellation_confirmed_ms.is_some() && other.put_off == 0, "seed {seed}");
        }
        put_off += (0..3).map(|n| world.jobs[&n].put_off).sum::<u32>();
        told_in_the_cut +=
            (0..3).filter(|n| world.jobs[n].cancellation_confirmed_ms.is_some()).count();
        world.run(140_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert!((0..3).all(|n| world.jobs[&n].cancellation_confirmed_ms.is_some()), "seed {seed}");
        if seed % 8 != 1 {
            let lost = world.workers.values().filter(|w| w.zone == 1 && w.agent_epoch > 1).count();
            assert_eq!((world.running(3), lost), (4, 0), "seed {seed}");
        }
    }
    // The leader itself was cut off now and then, and cancellations went on in the cut.
    assert!(
        inside > 0 && told_in_the_cut > 16 && put_off > 0,
        "{inside} {told_in_the_cut} {put_off}"
    );
}

#[test]
fn a_controller_is_partitioned_and_returns() {
    for seed in 40..46 {
        let node = seed as usize % 3;
        let faults = [(30_000, Fault::CutNode(node, true)), (55_000, Fault::CutNode(node, false))];
        World::day(seed, &faults);
    }
}

#[test]
fn two_zones_are_partitioned() {
    for seed in 50..56 {
        let faults = [
            (30_000, Fault::CutZones(true)),
            (30_000 + 5000 * (seed - 49), Fault::CutZones(false)),
            (90_000, Fault::Crash(0)),
        ];
        World::day(seed, &faults);
    }
}

#[test]
fn a_partition_between_zones_keeps_running_tasks() {
    play_fault(57, Fault::CutZones(true), Fault::CutZones(false));
}

#[test]
fn workers_that_only_the_leader_can_not_reach_keep_their_tasks() {
    for seed in 93..97 {
        let mut world = World::new(seed);
        world.submit_at(3000, 0, true, None);
        world.run(30_000);
        assert_eq!(world.running(0), 4);
        let busy = |w: &&Worker| !w.tasks.is_empty();
        let before = world.workers.values().filter(busy).count();
        world.fault(Fault::CutWorkers(true));
        world.at(75_000, SimEvent::Fault(Fault::CutWorkers(false)));
        world.run(74_000);
        // They run on where they ran, in the session they had.
        let kept = world.workers.values().filter(busy).filter(|w| w.agent_epoch == 1);
        assert_eq!((world.running(0), kept.count()), (4, before), "seed {seed}");
        world.run(100_000);
        assert_eq!(world.running(0), 4, "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
}

/// A start that the network holds back is delivered when the cut ends, long after its job was
/// cancelled; the session it was meant for must have ended by then.
#[test]
fn a_start_delayed_beyond_its_cancellation_is_not_executed() {
    let mut held = 0;
    for seed in 80..92 {
        let mut world = World::new(seed);
        world.submit_at(3000, 0, true, None);
        // Jobs keep coming, so that some start is on its way when the cut begins.
        for n in 1..16 {
            world.submit_at(24_000 + n * 450, n, n % 2 == 0, Some(30_500 + n * 100));
        }
        world.at(30_000, SimEvent::Fault(Fault::CutZones(true)));
        world.at(90_000, SimEvent::Fault(Fault::CutZones(false)));
        world.run(89_000);
        let start = |due: &&SimEvent| {
            matches!(due, SimEvent::DirectCall(_, _, _, DirectCall::Do(orders))
            if orders.commands.iter().any(|order| matches!(order, WorkerCommand::Start { .. })))
        };
        held += world.held.iter().filter(start).count();
        world.run(110_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
    assert!(held > 0, "no start was held back");
}

/// A leader that comes to lead while a zone is cut off knows only from the store what may run there.
#[test]
fn a_new_leader_starts_nothing_that_may_run_behind_a_partition() {
    for seed in 250..258 {
        let mut world = World::new(seed);
        for n in 0..8 {
            world.submit_at(3000 + n * 1000, n, n % 2 == 0, None);
            // Nothing but the rule keeps these from being started in the other zone.
            world.jobs.get_mut(&n).unwrap().spec.spread = false;
        }
        world.run(28_000);
        let leader = world.leader();
        let from = world.starts;
        world.fault(Fault::CutZones(true));
        world.fault([Fault::Crash, |n| Fault::Stall(n, true)][seed as usize % 2](leader));
        world.at(41_000, SimEvent::Fault(Fault::Stall(leader, false)));
        world.at(60_000, SimEvent::Fault(Fault::CutZones(false)));
        world.submit_at(35_000, 8, false, None);
        world.run(120_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert!(world.starts > from && world.jobs[&8].told_done, "seed {seed}");
        assert!((0..8).step_by(2).all(|n| world.running(n) == 4), "seed {seed}");
    }
}

/// All controllers are restarted, and the first one that leads reaches no worker: it hands over while
/// there is something left of their leases.
#[test]
fn a_new_leader_that_reaches_no_worker_resigns_in_time() {
    let mut deaf_led = 0;
    for seed in 360..366 {
        let mut world = World::new(seed);
        for n in 0..4 {
            world.submit_at(3000, n, true, None);
        }
        world.run(30_000);
        // Leases count from when the old leader ends, so it goes last whoever it is.
        let led = world.leader();
        let deaf = (led + 1) % CONTROLLERS;
        world.fault(Fault::CutControllerFromWorkers(deaf, true));
        for n in 0..CONTROLLERS {
            let crash = Fault::Crash((deaf + n) % CONTROLLERS);
            world.at(30_100 + 1000 * n as u64, SimEvent::Fault(crash));
        }
        world.run(38_000);
        deaf_led += u32::from(world.leader() == deaf);
        world.at(60_000, SimEvent::Fault(Fault::CutControllerFromWorkers(deaf, false)));
        world.run(90_000);
        let lost = world.workers.values().filter(|w| w.agent_epoch > 1).count();
        let running = (0..4).map(|n| world.running(n)).sum::<usize>();
        assert_eq!((running, lost), (16, 0), "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
    assert!(deaf_led > 3, "{deaf_led}");
}
