//! Controllers crash, restart and stall.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World};

/// A trouble of 25 s, longer than a worker's lease, that must not cost running work.
pub(crate) fn play_fault(seed: u64, begins: Fault, ends: Fault) {
    let mut world = World::new(seed);
    world.submit_at(3000, 0, true, None);
    world.run(30_000);
    assert_eq!(world.running(0), 4);
    world.fault(begins);
    world.at(55_000, SimEvent::Fault(ends));
    world.run(80_000);
    // Replicas may be moved by command, but no machine has lost its lease or been given up.
    let lost =
        world.workers.values().filter(|w| w.agent_epoch > 1 || (w.gone && !w.tasks_left_empty));
    assert_eq!((world.running(0), lost.count()), (4, 0));
}

#[test]
fn a_day_without_faults() {
    for seed in 0..4 {
        let world = World::day(seed, &[]);
        assert!(world.starts > 40);
    }
}

#[test]
fn crashes_of_one_controller_and_of_all() {
    for seed in 10..16 {
        let all = [Fault::Crash(0), Fault::Crash(1), Fault::Crash(2)];
        let mut faults = vec![(20_000, all[seed as usize % 3]), (33_000, Fault::ReclaimMachine)];
        faults.extend(all.map(|fault| (50_000, fault)));
        World::day(seed, &faults);
    }
}

/// Controllers end and are back before anybody has noticed: some, most or all, several times in a row, in the midst
/// of an election, a take-over, an outage, and with messages of the life before held back until after it.
fn play_restarts(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut t = 15_000;
    while t < 100_000 {
        let back = random.random_range(50..900);
        let nodes: Vec<usize> = match random.random_range(0..4) {
            0 => (0..CONTROLLERS).collect(),
            1 => vec![random.random_range(0..CONTROLLERS)],
            _ => (0..CONTROLLERS).filter(|_| random.random_range(0..2) == 0).collect(),
        };
        faults.extend(nodes.iter().map(|node| (t, Fault::CrashAndRestart(*node, back))));
        // Again while they look for a leader, or while the next one takes over.
        if random.random_range(0..2) == 0 {
            let again = t + back + random.random_range(100..3500);
            faults.extend(
                nodes.iter().map(|node| (again, Fault::CrashAndRestart(*node, back / 2 + 50))),
            );
        }
        let (begins, ends) = match random.random_range(0..5) {
            0 => (Fault::Outage(true), Fault::Outage(false)),
            1 => (Fault::CutZones(true), Fault::CutZones(false)),
            2 => (Fault::RefusePeerConnections(true), Fault::RefusePeerConnections(false)),
            3 => (
                Fault::StoreRefuses(nodes.first().copied().unwrap_or(0), true),
                Fault::StoreRefuses(0, false),
            ),
            _ => (Fault::PollStorm(true), Fault::PollStorm(false)),
        };
        let begin = t.saturating_sub(random.random_range(0..3000));
        faults.extend([(begin, begins), (t + random.random_range(500..6000), ends)]);
        t += random.random_range(9000..16_000);
    }
    World::day(seed, &faults);
}

#[test]
fn controllers_restart_within_a_fraction_of_a_second() {
    (900..908).for_each(play_restarts);
}

/// `cargo test --release --test cluster -- --ignored`
#[test]
#[ignore = "minutes"]
fn a_thousand_days_of_quick_restarts() {
    (10_000..11_000).for_each(play_restarts);
}

#[test]
fn rolling_restarts() {
    for seed in 20..24 {
        let faults: Vec<_> =
            (0..6).map(|n| (20_000 + n * 8000, Fault::Crash(n as usize % 3))).collect();
        World::day(seed, &faults);
    }
}

/// Two of three controllers stand still or are switched off: the one left leads, and waits for the
/// workers that still ask the others. It once gave up for want of reports, and every lease ran out.
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
        let off: [fn(usize) -> Fault; 2] = [|node| Fault::Stall(node, true), Fault::Down];
        let leader = world.leader();
        for node in [leader, (leader + 1) % CONTROLLERS] {
            world.fault(off[seed as usize % 2](node));
            world.at(52_000, SimEvent::Fault(Fault::Stall(node, false)));
        }
        world.run(120_000);
        let lost = world.workers.values().filter(|w| w.agent_epoch > 1).count();
        assert_eq!((running(&world), lost), (16, 0), "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
    }
}

/// Controllers stand still for less and for more than each lease, the leader among them, in the
/// midst of outages, cuts and cancellations.
#[test]
fn a_stalled_controller_acts_on_no_expired_lease() {
    let others: [fn(usize, bool) -> Fault; 5] = [
        |_, on| Fault::PollStorm(on),
        |_, on| Fault::Outage(on),
        |_, on| Fault::CutZones(on),
        Fault::CutNode,
        Fault::StoreRefuses,
    ];
    for seed in 210..240 {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = 12_000;
        while at < 90_000 {
            let node = random.random_range(0..CONTROLLERS);
            let ms = [700, 1500, 2500, 4000, 9000, 16_000, 30_000][random.random_range(0..7)];
            faults.push((at, Fault::Stall(node, true)));
            faults.push((at + ms, Fault::Stall(node, false)));
            at += ms + random.random_range(500..9000);
        }
        let other = others[seed as usize % 5];
        let at = random.random_range(15_000..70_000);
        let node = random.random_range(0..CONTROLLERS);
        faults.push((at, other(node, true)));
        faults.push((at + random.random_range(5000..20_000), other(node, false)));
        if seed >= 225 {
            faults.push((random.random_range(20_000..60_000), Fault::Down(node)));
        }
        World::day(seed, &faults);
    }
}
