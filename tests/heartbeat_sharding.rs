//! Reports shared out among the controllers, with troubles at the moments in which something passes between them.
//! `docs/scale/design.md` has the sentences that are held here; each names its test.

use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World, seeds_requested};

const BEGIN: u64 = 30_000;
/// All troubles are over by then.
const OVER: u64 = 75_000;

/// A usual day on which the leader shares reports out.
fn day(seed: u64) -> World {
    let mut world = World::with_sharding(seed, CONTROLLERS, false, true);
    jobs(&mut world);
    world.run(BEGIN);
    assert!(
        world.targeted_faults.effects("reports passed on") > 0,
        "reports are not shared, seed {seed}"
    );
    world
}

fn jobs(world: &mut World) {
    for n in 0..3 {
        world.submit_at(3000, n, true, (n == 0).then_some(BEGIN + 4000 + n * 7000));
    }
    for n in 3..24 {
        let at = 9000 + (n - 3) * 2500;
        let abort = (n % 4 == 0).then(|| at + 2000 + (n * 977) % 5000);
        world.submit_at(at, n, false, abort);
    }
}

/// Plays the rest of the day; whatever was broken.
fn end(mut world: World) -> Vec<String> {
    world.run(OVER + 85_000);
    world.check_final_state();
    world.violations
}

fn holds(seeds: std::ops::Range<u64>, troubles: impl Fn(&mut World, u64)) {
    let mut violations = 0;
    for seed in seeds {
        let mut world = day(seed);
        troubles(&mut world, seed);
        let found = end(world);
        if !found.is_empty() {
            violations += 1;
            println!("seed {seed}: {:#?}", &found[..found.len().min(3)]);
        }
    }
    assert_eq!(violations, 0);
}

fn other_than(leader: usize, seed: u64) -> usize {
    (leader + 1 + seed as usize % (CONTROLLERS - 1)) % CONTROLLERS
}

/// A trouble for a while.
fn lasting(world: &mut World, at: u64, ms: u64, trouble: impl Fn(bool) -> Fault) {
    world.at(at, SimEvent::Fault(trouble(true)));
    world.at((at + ms).min(OVER), SimEvent::Fault(trouble(false)));
}

#[test]
fn a_quiet_day_passes_most_reports_on_and_loses_nothing() {
    let mut world = day(1);
    let before = world.targeted_faults.effects("reports passed on");
    world.run(BEGIN + 20_000);
    assert!(world.targeted_faults.effects("reports passed on") > before + 100);
    assert!(world.targeted_faults.effects("commands passed on") > 0);
    assert!(world.targeted_faults.effects("results passed back") > 0);
    assert_eq!(end(world), Vec::<String>::new());
}

/// A controller that passes reports on ends, stands still, is cut from the leader alone, from the store alone, from
/// workers alone, or is back in a fraction of a second.
#[test]
fn whatever_befalls_the_controller_in_between() {
    holds(seeds_requested("0..12"), in_between);
}

fn in_between(world: &mut World, seed: u64) {
    let leader = world.leader();
    let relay = other_than(leader, seed);
    let ms = 500 + (seed * 3301) % 25_000;
    for (n, at) in [BEGIN + 100 + seed * 37, BEGIN + 16_000].into_iter().enumerate() {
        match (seed as usize + n * 5) % 8 {
            0 => world.at(at, SimEvent::Fault(Fault::CrashAndRestart(relay, 60))),
            1 => world.at(at, SimEvent::Fault(Fault::CrashAndRestart(relay, 4000))),
            2 => lasting(world, at, ms.min(9000), |on| Fault::Stall(relay, on)),
            3 => lasting(world, at, ms, Fault::RefusePeerConnections),
            4 => lasting(world, at, ms, |on| Fault::StoreRefuses(relay, on)),
            5 => lasting(world, at, ms, |on| Fault::CutControllerFromWorkers(relay, on)),
            6 => lasting(world, at, ms, |on| Fault::DropOutgoingPeerMessages(relay, on)),
            _ => lasting(world, at, ms, |on| Fault::DropIncomingPeerMessages(relay, on)),
        }
    }
}

/// The leader changes half-way through a batch: it ends, stands still, is refused by the store, is cut off.
#[test]
fn a_leader_that_changes_half_way() {
    holds(seeds_requested("100..112"), leader_changes);
}

fn leader_changes(world: &mut World, seed: u64) {
    world.copied_batches = true;
    for (n, at) in [BEGIN + 100 + seed * 13, BEGIN + 14_000, BEGIN + 28_000].into_iter().enumerate()
    {
        let leader = world.leader();
        let ms = 2000 + (seed * 2203) % 20_000;
        match (seed as usize + n) % 6 {
            0 => world.at(at, SimEvent::Fault(Fault::CrashLeader(60))),
            1 => world.at(at, SimEvent::Fault(Fault::CrashLeader(5000))),
            2 => lasting(world, at, ms.min(9000), |on| Fault::Stall(leader, on)),
            3 => lasting(world, at, ms, |on| Fault::StoreRefuses(leader, on)),
            4 => lasting(world, at, ms, |on| Fault::CutNode(leader, on)),
            _ => lasting(world, at, ms, |on| Fault::IsolateController(leader, on)),
        }
    }
}

/// Batches come late and twice, reports overtake each other on two ways, commands are held up.
#[test]
fn what_comes_late_or_twice_changes_nothing() {
    holds(seeds_requested("200..210"), late_and_twice);
}

fn late_and_twice(world: &mut World, seed: u64) {
    world.copied_batches = true;
    lasting(world, BEGIN + 100, 30_000, Fault::DelayedHeartbeats);
    lasting(world, BEGIN + 3000, 30_000, Fault::DelayedCommands);
    lasting(world, BEGIN + 6000, 20_000, |on| Fault::DropResponsesToWorkers(seed as usize % 2, on));
    world.at(BEGIN + 9000 + seed * 41 % 4000, SimEvent::Fault(Fault::CrashLeader(900)));
}

/// Zones part and join again, with a controller that takes reports on each side.
#[test]
fn parted_zones_join_again() {
    holds(seeds_requested("300..308"), parted);
}

fn parted(world: &mut World, seed: u64) {
    let ms = 4000 + (seed * 1709) % 36_000;
    match seed % 3 {
        0 => lasting(world, BEGIN + 500, ms, Fault::CutZones),
        1 => lasting(world, BEGIN + 500, ms, Fault::IsolateZone),
        _ => lasting(world, BEGIN + 500, ms, Fault::CutWorkers),
    }
    world.at(BEGIN + ms / 2, SimEvent::Fault(Fault::CancelNow(3)));
}

/// Nothing of it before all of a pair know of it: a controller of the version before neither gets such messages nor is
/// sent workers, and the others go on when one is rolled back and forth.
#[test]
fn beside_a_controller_of_the_version_before() {
    for seed in seeds_requested("400..404") {
        let mut world = World::with_sharding(seed, CONTROLLERS, false, true);
        let old = seed as usize % CONTROLLERS;
        world.old[old] = true;
        world.at(1, SimEvent::Fault(Fault::CrashAndRestart(old, 100)));
        jobs(&mut world);
        world.run(BEGIN);
        // Any such message to it would have failed in the world, which knows what that version can read.
        assert!(world.targeted_faults.effects("reports passed on") > 0, "seed {seed}");
        world.at(BEGIN + 2000, SimEvent::Fault(Fault::Upgrade(old)));
        world.at(BEGIN + 12_000, SimEvent::Fault(Fault::CrashLeader(900)));
        assert_eq!(end(world), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
#[ignore = "minutes; SEEDS: from which to which"]
fn hundreds_of_days() {
    let seeds = seeds_requested("1000..1100");
    let troubles = [in_between, leader_changes, late_and_twice, parted];
    for trouble in troubles {
        holds(seeds.clone(), trouble);
    }
}

/// An outage of the store does not send all workers to the leader: reports go on being passed on, about as many as before.
#[test]
fn in_an_outage_of_the_store_reports_are_still_passed_on() {
    for seed in 500..503 {
        let mut world = day(seed);
        let passed = |world: &World| world.targeted_faults.effects("reports passed on");
        let begun = passed(&world);
        world.run(BEGIN + 10_000);
        let usual = passed(&world) - begun;
        world.fault(Fault::Outage(true));
        world.run(BEGIN + 16_000);
        let before = passed(&world);
        world.run(BEGIN + 26_000);
        let in_outage = passed(&world) - before;
        assert!(in_outage > usual / 2, "seed {seed}: {in_outage} of {usual}");
        world.fault(Fault::Outage(false));
        assert_eq!(end(world), Vec::<String>::new(), "seed {seed}");
    }
}

/// Controllers that can't reach each other while the store and the workers reach all of them: the leader goes on hearing
/// workers, which are sent to it. It starts nothing on those that others merely keep alive.
#[test]
fn a_leader_that_only_controllers_can_not_reach_hears_workers_itself() {
    for seed in 600..603 {
        let mut world = day(seed);
        let leader = world.leader();
        let heard = |world: &World| {
            let node = world.nodes[leader].as_ref();
            node.and_then(|node| node.scheduler.as_ref()).map_or(0, |found| found.heartbeats())
        };
        let begun = heard(&world);
        world.run(BEGIN + 10_000);
        let usual = heard(&world) - begun;
        world.fault(Fault::RefusePeerConnections(true));
        world.run(BEGIN + 20_000);
        let before = heard(&world);
        world.run(BEGIN + 30_000);
        let is_cut_off = heard(&world) - before;
        assert!(is_cut_off > usual / 2, "seed {seed}: {is_cut_off} of {usual}");
        world.fault(Fault::RefusePeerConnections(false));
        assert_eq!(end(world), Vec::<String>::new(), "seed {seed}");
    }
}
