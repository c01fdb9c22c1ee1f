//! Network partitions between controllers, zones and workers.

use crate::controller_crashes::assert_fault_keeps_running_tasks;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle::wire::WorkerCommand;
use troutspindle::workers::command_delivery::DirectCall;
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, Worker, World};

/// A zone is isolated for longer than its controller may answer workers from its last view of the store. No task
/// there is lost, and tasks of jobs confirmed as cancelled stop in time. Only cancellations of jobs that may have
/// tasks in the zone have to wait.
#[test]
fn an_isolated_zone_keeps_its_tasks_and_outlives_no_cancellation() {
    let (mut isolated_leaders, mut confirmed_in_partition, mut postponed) = (0, 0, 0);
    for seed in 400..416 {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut world = World::new(seed);
        for n in 0..4 {
            // Some are cancelled from 0.5 s before to 1.5 s after the partition begins, before any controller has
            // detected it.
            let near_partition = random.random_range(29_500..31_500);
            let at =
                if random.random() { near_partition } else { random.random_range(28_000..75_000) };
            world.submit_at(3000, n, true, (n < 3).then_some(at));
        }
        world.submit_at(3000, 4, true, Some(50_000));
        world.jobs.get_mut(&4).unwrap().spec.spread = false;
        world.jobs.get_mut(&4).unwrap().spec.zone = Some("a".into());
        world.run(30_000);
        isolated_leaders += usize::from(world.leader() == 1);
        world.inject(Fault::IsolateZone(true));
        match seed % 4 {
            // A controller outside the zone crashes during the partition, or the one inside does.
            0 => world.schedule(40_000, SimEvent::Fault(Fault::Crash(2 * (seed as usize / 4 % 2)))),
            1 if seed % 8 == 1 => world.schedule(45_000, SimEvent::Fault(Fault::Crash(1))),
            2 => {
                world.schedule(42_000, SimEvent::Fault(Fault::StoreOutage(true)));
                world.schedule(50_000, SimEvent::Fault(Fault::StoreOutage(false)));
            }
            _ => {}
        }
        world.schedule(78_000, SimEvent::Fault(Fault::IsolateZone(false)));
        world.run(78_000);
        // A job without tasks in the zone is cancelled at once unless there is an outage or a new leader.
        let other = &world.jobs[&4];
        if seed % 4 == 3 {
            assert!(
                other.cancellation_confirmed_ms.is_some() && other.cancellations_postponed == 0,
                "seed {seed}"
            );
        }
        postponed += (0..3).map(|n| world.jobs[&n].cancellations_postponed).sum::<u32>();
        confirmed_in_partition +=
            (0..3).filter(|n| world.jobs[n].cancellation_confirmed_ms.is_some()).count();
        world.run(140_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert!((0..3).all(|n| world.jobs[&n].cancellation_confirmed_ms.is_some()), "seed {seed}");
        if seed % 8 != 1 {
            let lost = world.workers.values().filter(|w| w.zone == 1 && w.agent_epoch > 1).count();
            assert_eq!((world.running(3), lost), (4, 0), "seed {seed}");
        }
    }
    // In some runs the leader itself was isolated, and cancellations were confirmed during the partition.
    assert!(
        isolated_leaders > 0 && confirmed_in_partition > 16 && postponed > 0,
        "{isolated_leaders} {confirmed_in_partition} {postponed}"
    );
}

#[test]
fn jobs_survive_a_partition_of_one_controller() {
    for seed in 40..46 {
        let controller = seed as usize % 3;
        let faults = [
            (30_000, Fault::PartitionController(controller, true)),
            (55_000, Fault::PartitionController(controller, false)),
        ];
        World::day(seed, &faults);
    }
}

#[test]
fn jobs_survive_a_partition_between_zones() {
    for seed in 50..56 {
        let faults = [
            (30_000, Fault::PartitionZones(true)),
            (30_000 + 5000 * (seed - 49), Fault::PartitionZones(false)),
            (90_000, Fault::Crash(0)),
        ];
        World::day(seed, &faults);
    }
}

#[test]
fn a_partition_between_zones_keeps_running_tasks() {
    assert_fault_keeps_running_tasks(57, Fault::PartitionZones(true), Fault::PartitionZones(false));
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
        world.inject(Fault::CutLeaderFromWorkers(true));
        world.schedule(75_000, SimEvent::Fault(Fault::CutLeaderFromWorkers(false)));
        world.run(74_000);
        // Tasks keep running on the same machines under the same agent epoch.
        let kept = world.workers.values().filter(busy).filter(|w| w.agent_epoch == 1);
        assert_eq!((world.running(0), kept.count()), (4, before), "seed {seed}");
        world.run(100_000);
        assert_eq!(world.running(0), 4, "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
}

/// The network delays a start command until the partition ends, long after the job was cancelled. The worker must
/// reject it because the agent epoch it was sent to has ended.
#[test]
fn a_start_delayed_beyond_its_cancellation_is_not_executed() {
    let mut delayed_starts = 0;
    for seed in 80..92 {
        let mut world = World::new(seed);
        world.submit_at(3000, 0, true, None);
        // Jobs are submitted continuously, so that some start command is in flight when the partition begins.
        for n in 1..16 {
            world.submit_at(24_000 + n * 450, n, n % 2 == 0, Some(30_500 + n * 100));
        }
        world.schedule(30_000, SimEvent::Fault(Fault::PartitionZones(true)));
        world.schedule(90_000, SimEvent::Fault(Fault::PartitionZones(false)));
        world.run(89_000);
        let is_start = |due: &&SimEvent| {
            matches!(due, SimEvent::DirectCall(_, _, _, DirectCall::Do(batch))
            if batch.commands.iter().any(|command| matches!(command, WorkerCommand::Start { .. })))
        };
        delayed_starts += world.blocked_messages.iter().filter(is_start).count();
        world.run(110_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
    assert!(delayed_starts > 0, "no start command was delayed");
}

/// A leader elected while a zone is partitioned away knows only from the store which tasks may run there.
#[test]
fn a_new_leader_starts_nothing_that_may_run_behind_a_partition() {
    for seed in 250..258 {
        let mut world = World::new(seed);
        for n in 0..8 {
            world.submit_at(3000 + n * 1000, n, n % 2 == 0, None);
            // Without the spread, only the rule under test prevents starts in the other zone.
            world.jobs.get_mut(&n).unwrap().spec.spread = false;
        }
        world.run(28_000);
        let leader = world.leader();
        let starts_before = world.starts;
        world.inject(Fault::PartitionZones(true));
        world.inject([Fault::Crash, |n| Fault::Stall(n, true)][seed as usize % 2](leader));
        world.schedule(41_000, SimEvent::Fault(Fault::Stall(leader, false)));
        world.schedule(60_000, SimEvent::Fault(Fault::PartitionZones(false)));
        world.submit_at(35_000, 8, false, None);
        world.run(120_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert!(world.starts > starts_before && world.jobs[&8].completion_confirmed, "seed {seed}");
        assert!((0..8).step_by(2).all(|n| world.running(n) == 4), "seed {seed}");
    }
}

/// All controllers restart, and the first new leader reaches no worker. It must resign before the workers' leases
/// expire.
#[test]
fn a_new_leader_that_reaches_no_worker_resigns_in_time() {
    let mut unreachable_leaders = 0;
    for seed in 360..366 {
        let mut world = World::new(seed);
        for n in 0..4 {
            world.submit_at(3000, n, true, None);
        }
        world.run(30_000);
        // Leases run from the end of the old leader, so it crashes last.
        let old_leader = world.leader();
        let unreachable = (old_leader + 1) % CONTROLLERS;
        world.inject(Fault::CutControllerFromWorkers(unreachable, true));
        for n in 0..CONTROLLERS {
            let crash = Fault::Crash((unreachable + n) % CONTROLLERS);
            world.schedule(30_100 + 1000 * n as u64, SimEvent::Fault(crash));
        }
        world.run(38_000);
        unreachable_leaders += u32::from(world.leader() == unreachable);
        world
            .schedule(60_000, SimEvent::Fault(Fault::CutControllerFromWorkers(unreachable, false)));
        world.run(90_000);
        let lost = world.workers.values().filter(|w| w.agent_epoch > 1).count();
        let running = (0..4).map(|n| world.running(n)).sum::<usize>();
        assert_eq!((running, lost), (16, 0), "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
    assert!(unreachable_leaders > 3, "{unreachable_leaders}");
}
