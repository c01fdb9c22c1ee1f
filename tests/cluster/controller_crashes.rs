//! Controllers crash, restart and stall.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World};

/// Checks that a fault of 25 s, longer than a worker's lease, interrupts no running task.
pub(crate) fn assert_fault_keeps_running_tasks(seed: u64, begin_fault: Fault, end_fault: Fault) {
    let mut world = World::new(seed);
    world.submit_at(3000, 0, true, None);
    world.run(30_000);
    assert_eq!(world.running(0), 4);
    world.inject(begin_fault);
    world.schedule(55_000, SimEvent::Fault(end_fault));
    world.run(80_000);
    // Replicas may be moved by command, but no worker's lease has expired and no busy machine was terminated.
    let lost = world
        .workers
        .values()
        .filter(|w| w.agent_epoch > 1 || (w.terminated && !w.terminated_idle));
    assert_eq!((world.running(0), lost.count()), (4, 0));
}

#[test]
fn all_jobs_finish_without_faults() {
    for seed in 0..4 {
        let world = World::day(seed, &[]);
        assert!(world.starts > 40);
    }
}

#[test]
fn jobs_survive_crashes_of_one_and_of_all_controllers() {
    for seed in 10..16 {
        let all = [Fault::Crash(0), Fault::Crash(1), Fault::Crash(2)];
        let mut faults = vec![(20_000, all[seed as usize % 3]), (33_000, Fault::ReclaimMachine)];
        faults.extend(all.map(|fault| (50_000, fault)));
        World::day(seed, &faults);
    }
}

/// Runs a simulation in which some, most or all controllers restart faster than a failure is detected, several times
/// in a row: during an election, a failover or an outage, with messages to the previous incarnation delivered after
/// the restart.
fn run_quick_restarts(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at_ms = 15_000;
    while at_ms < 100_000 {
        let restart_ms = random.random_range(50..900);
        let controllers: Vec<usize> = match random.random_range(0..4) {
            0 => (0..CONTROLLERS).collect(),
            1 => vec![random.random_range(0..CONTROLLERS)],
            _ => (0..CONTROLLERS).filter(|_| random.random_range(0..2) == 0).collect(),
        };
        faults.extend(
            controllers
                .iter()
                .map(|controller| (at_ms, Fault::CrashAndRestart(*controller, restart_ms))),
        );
        // Restarts them again during the election or while the next leader starts.
        if random.random_range(0..2) == 0 {
            let again = at_ms + restart_ms + random.random_range(100..3500);
            faults.extend(controllers.iter().map(|controller| {
                (again, Fault::CrashAndRestart(*controller, restart_ms / 2 + 50))
            }));
        }
        let (begin_fault, end_fault) = match random.random_range(0..5) {
            0 => (Fault::StoreOutage(true), Fault::StoreOutage(false)),
            1 => (Fault::PartitionZones(true), Fault::PartitionZones(false)),
            2 => (Fault::RefusePeerConnections(true), Fault::RefusePeerConnections(false)),
            3 => (
                Fault::StoreRejects(controllers.first().copied().unwrap_or(0), true),
                Fault::StoreRejects(0, false),
            ),
            _ => (Fault::PollStorm(true), Fault::PollStorm(false)),
        };
        let begin = at_ms.saturating_sub(random.random_range(0..3000));
        faults.extend([(begin, begin_fault), (at_ms + random.random_range(500..6000), end_fault)]);
        at_ms += random.random_range(9000..16_000);
    }
    World::day(seed, &faults);
}

#[test]
fn jobs_survive_controller_restarts_within_a_second() {
    (900..908).for_each(run_quick_restarts);
}

/// `cargo test --release --test cluster -- --ignored`
#[test]
#[ignore = "minutes"]
fn jobs_survive_a_thousand_days_of_quick_restarts() {
    (10_000..11_000).for_each(run_quick_restarts);
}

#[test]
fn jobs_survive_rolling_restarts() {
    for seed in 20..24 {
        let faults: Vec<_> =
            (0..6).map(|n| (20_000 + n * 8000, Fault::Crash(n as usize % 3))).collect();
        World::day(seed, &faults);
    }
}

/// Two of three controllers stall or are switched off. The remaining one must lead and wait for the workers that still
/// contact the others: if it resigned for lack of heartbeats, every worker's lease would expire.
#[test]
fn the_only_remaining_controller_keeps_leading() {
    for seed in 200..208 {
        let mut world = World::new(seed);
        for n in 0..4 {
            world.submit_at(3000, n, true, None);
        }
        world.run(30_000);
        let running = |world: &World| (0..4).map(|n| world.running(n)).sum::<usize>();
        assert_eq!(running(&world), 16);
        let disable: [fn(usize) -> Fault; 2] =
            [|controller| Fault::Stall(controller, true), Fault::SwitchOff];
        let leader = world.leader();
        for controller in [leader, (leader + 1) % CONTROLLERS] {
            world.inject(disable[seed as usize % 2](controller));
            world.schedule(52_000, SimEvent::Fault(Fault::Stall(controller, false)));
        }
        world.run(120_000);
        let lost = world.workers.values().filter(|w| w.agent_epoch > 1).count();
        assert_eq!((running(&world), lost), (16, 0), "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
}

/// Controllers, including the leader, stall for less and for more than each lease, during outages, partitions and
/// cancellations.
#[test]
fn a_stalled_controller_acts_on_no_expired_lease() {
    let others: [fn(usize, bool) -> Fault; 5] = [
        |_, on| Fault::PollStorm(on),
        |_, on| Fault::StoreOutage(on),
        |_, on| Fault::PartitionZones(on),
        Fault::PartitionController,
        Fault::StoreRejects,
    ];
    for seed in 210..240 {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = 12_000;
        while at < 90_000 {
            let controller = random.random_range(0..CONTROLLERS);
            let ms = [700, 1500, 2500, 4000, 9000, 16_000, 30_000][random.random_range(0..7)];
            faults.push((at, Fault::Stall(controller, true)));
            faults.push((at + ms, Fault::Stall(controller, false)));
            at += ms + random.random_range(500..9000);
        }
        let other = others[seed as usize % 5];
        let at = random.random_range(15_000..70_000);
        let controller = random.random_range(0..CONTROLLERS);
        faults.push((at, other(controller, true)));
        faults.push((at + random.random_range(5000..20_000), other(controller, false)));
        if seed >= 225 {
            faults.push((random.random_range(20_000..60_000), Fault::SwitchOff(controller)));
        }
        World::day(seed, &faults);
    }
}
