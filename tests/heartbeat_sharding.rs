//! Heartbeat sharding: workers send heartbeats to all controllers, which relay them to the leader. Faults occur while
//! messages pass between controllers. `docs/scale/design.md` states the rules checked here; each names its test.

use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World, seeds_requested};

/// Time in milliseconds at which the faults begin.
const BEGIN: u64 = 30_000;
/// Time in milliseconds by which all faults have ended.
const FAULTS_END: u64 = 75_000;

/// Runs a simulation with heartbeat sharding up to [`BEGIN`].
fn start_with_sharding(seed: u64) -> World {
    let mut world = World::with_sharding(seed, CONTROLLERS, false, true);
    submit_jobs(&mut world);
    world.run(BEGIN);
    assert!(
        world.targeted_faults.effects("heartbeats relayed") > 0,
        "heartbeats are not sharded, seed {seed}"
    );
    world
}

fn submit_jobs(world: &mut World) {
    for n in 0..3 {
        world.submit_at(3000, n, true, (n == 0).then_some(BEGIN + 4000 + n * 7000));
    }
    for n in 3..24 {
        let at = 9000 + (n - 3) * 2500;
        let cancel_at = (n % 4 == 0).then(|| at + 2000 + (n * 977) % 5000);
        world.submit_at(at, n, false, cancel_at);
    }
}

/// Runs the rest of the simulation and returns all violations.
fn finish(mut world: World) -> Vec<String> {
    world.run(FAULTS_END + 85_000);
    world.check_final_state();
    world.violations
}

fn assert_no_violations(seeds: std::ops::Range<u64>, faults: impl Fn(&mut World, u64)) {
    let mut violations = 0;
    for seed in seeds {
        let mut world = start_with_sharding(seed);
        world.inject(Fault::RepeatedCommands(seed % 2 == 1));
        faults(&mut world, seed);
        let found = finish(world);
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

/// Schedules a fault that lasts `ms`, at most until [`FAULTS_END`].
fn lasting(world: &mut World, at: u64, ms: u64, fault: impl Fn(bool) -> Fault) {
    world.schedule(at, SimEvent::Fault(fault(true)));
    world.schedule((at + ms).min(FAULTS_END), SimEvent::Fault(fault(false)));
}

#[test]
fn most_heartbeats_are_relayed_and_none_is_lost_without_faults() {
    let mut world = start_with_sharding(1);
    let before = world.targeted_faults.effects("heartbeats relayed");
    world.run(BEGIN + 20_000);
    assert!(world.targeted_faults.effects("heartbeats relayed") > before + 100);
    assert!(world.targeted_faults.effects("commands relayed") > 0);
    assert!(world.targeted_faults.effects("command results returned") > 0);
    assert_eq!(finish(world), Vec::<String>::new());
}

/// A controller that relays heartbeats crashes, stalls, restarts within a fraction of a second, or is partitioned from
/// the leader, the store or the workers only.
#[test]
fn no_rule_is_violated_by_faults_of_the_relaying_controller() {
    assert_no_violations(seeds_requested("0..12"), relay_faults);
}

fn relay_faults(world: &mut World, seed: u64) {
    let leader = world.leader();
    let relay = other_than(leader, seed);
    let ms = 500 + (seed * 3301) % 25_000;
    // The first fault begins before FAULTS_END, where a fault that lasts would otherwise end before it begins.
    let first = BEGIN + 100 + (seed % 1200) * 37;
    for (n, at) in [first, BEGIN + 16_000].into_iter().enumerate() {
        match (seed as usize + n * 5) % 8 {
            0 => world.schedule(at, SimEvent::Fault(Fault::CrashAndRestart(relay, 60))),
            1 => world.schedule(at, SimEvent::Fault(Fault::CrashAndRestart(relay, 4000))),
            2 => lasting(world, at, ms.min(9000), |on| Fault::Stall(relay, on)),
            3 => lasting(world, at, ms, Fault::RefusePeerConnections),
            4 => lasting(world, at, ms, |on| Fault::StoreRejects(relay, on)),
            5 => lasting(world, at, ms, |on| Fault::CutControllerFromWorkers(relay, on)),
            6 => lasting(world, at, ms, |on| Fault::DropOutgoingPeerMessages(relay, on)),
            _ => lasting(world, at, ms, |on| Fault::DropIncomingPeerMessages(relay, on)),
        }
    }
}

/// The leader changes while a batch is in flight: it crashes, stalls, is rejected by the store, or is partitioned.
#[test]
fn no_rule_is_violated_when_the_leader_changes_during_a_batch() {
    assert_no_violations(seeds_requested("100..112"), leader_faults);
}

fn leader_faults(world: &mut World, seed: u64) {
    world.duplicated_batches = true;
    for (n, at) in [BEGIN + 100 + seed * 13, BEGIN + 14_000, BEGIN + 28_000].into_iter().enumerate()
    {
        let leader = world.leader();
        let ms = 2000 + (seed * 2203) % 20_000;
        match (seed as usize + n) % 6 {
            0 => world.schedule(at, SimEvent::Fault(Fault::CrashLeader(60))),
            1 => world.schedule(at, SimEvent::Fault(Fault::CrashLeader(5000))),
            2 => lasting(world, at, ms.min(9000), |on| Fault::Stall(leader, on)),
            3 => lasting(world, at, ms, |on| Fault::StoreRejects(leader, on)),
            4 => lasting(world, at, ms, |on| Fault::PartitionController(leader, on)),
            _ => lasting(world, at, ms, |on| Fault::IsolateController(leader, on)),
        }
    }
}

/// Batches arrive late and twice, heartbeats on two routes arrive out of order, and commands are delayed.
#[test]
fn delayed_and_duplicated_messages_violate_no_rule() {
    assert_no_violations(seeds_requested("200..210"), delays_and_duplicates);
}

fn delays_and_duplicates(world: &mut World, seed: u64) {
    world.duplicated_batches = true;
    lasting(world, BEGIN + 100, 30_000, Fault::DelayedHeartbeats);
    lasting(world, BEGIN + 3000, 30_000, Fault::DelayedCommands);
    lasting(world, BEGIN + 6000, 20_000, |on| Fault::DropResponsesToWorkers(seed as usize % 2, on));
    world.schedule(BEGIN + 9000 + seed * 41 % 4000, SimEvent::Fault(Fault::CrashLeader(900)));
}

/// Zones are partitioned and reconnected, with a controller that receives heartbeats on each side.
#[test]
fn no_rule_is_violated_by_a_partition_between_zones() {
    assert_no_violations(seeds_requested("300..308"), zone_partitions);
}

fn zone_partitions(world: &mut World, seed: u64) {
    let ms = 4000 + (seed * 1709) % 36_000;
    match seed % 3 {
        0 => lasting(world, BEGIN + 500, ms, Fault::PartitionZones),
        1 => lasting(world, BEGIN + 500, ms, Fault::IsolateZone),
        _ => lasting(world, BEGIN + 500, ms, Fault::CutLeaderFromWorkers),
    }
    world.schedule(BEGIN + ms / 2, SimEvent::Fault(Fault::CancelNow(3)));
}

/// Sharding is used only between controllers that both support it: one of the previous version neither receives such
/// messages nor is assigned workers, and the others continue while it is upgraded.
#[test]
fn a_controller_of_the_previous_version_takes_no_part_in_sharding() {
    for seed in seeds_requested("400..404") {
        let mut world = World::with_sharding(seed, CONTROLLERS, false, true);
        let old = seed as usize % CONTROLLERS;
        world.runs_previous_version[old] = true;
        world.schedule(1, SimEvent::Fault(Fault::CrashAndRestart(old, 100)));
        submit_jobs(&mut world);
        world.run(BEGIN);
        // The simulation panics on any message that the previous version cannot read.
        assert!(world.targeted_faults.effects("heartbeats relayed") > 0, "seed {seed}");
        world.schedule(BEGIN + 2000, SimEvent::Fault(Fault::Upgrade(old)));
        world.schedule(BEGIN + 12_000, SimEvent::Fault(Fault::CrashLeader(900)));
        assert_eq!(finish(world), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
#[ignore = "takes minutes; SEEDS is the range of seeds"]
fn no_rule_is_violated_in_hundreds_of_runs() {
    let seeds = seeds_requested("1000..1100");
    let faults = [relay_faults, leader_faults, delays_and_duplicates, zone_partitions];
    for fault in faults {
        assert_no_violations(seeds.clone(), fault);
    }
}

/// A store outage does not redirect all workers to the leader: heartbeats are relayed at about the same rate.
#[test]
fn heartbeats_are_still_relayed_during_a_store_outage() {
    for seed in 500..503 {
        let mut world = start_with_sharding(seed);
        let relayed = |world: &World| world.targeted_faults.effects("heartbeats relayed");
        let at_begin = relayed(&world);
        world.run(BEGIN + 10_000);
        let baseline = relayed(&world) - at_begin;
        world.inject(Fault::StoreOutage(true));
        world.run(BEGIN + 16_000);
        let before = relayed(&world);
        world.run(BEGIN + 26_000);
        let in_outage = relayed(&world) - before;
        assert!(in_outage > baseline / 2, "seed {seed}: {in_outage} of {baseline}");
        world.inject(Fault::StoreOutage(false));
        assert_eq!(finish(world), Vec::<String>::new(), "seed {seed}");
    }
}

/// Controllers cannot reach each other, but the store and all workers can reach every controller. Workers are
/// redirected to the leader, which keeps receiving their heartbeats and starts nothing on workers that only others
/// keep alive.
#[test]
fn a_leader_that_no_controller_can_reach_receives_heartbeats_directly() {
    for seed in 600..603 {
        let mut world = start_with_sharding(seed);
        let leader = world.leader();
        let received = |world: &World| {
            let controller = world.controllers[leader].as_ref();
            controller
                .and_then(|controller| controller.scheduler.as_ref())
                .map_or(0, |scheduler| scheduler.heartbeats())
        };
        let at_begin = received(&world);
        world.run(BEGIN + 10_000);
        let baseline = received(&world) - at_begin;
        world.inject(Fault::RefusePeerConnections(true));
        world.run(BEGIN + 20_000);
        let before = received(&world);
        world.run(BEGIN + 30_000);
        let during_fault = received(&world) - before;
        assert!(during_fault > baseline / 2, "seed {seed}: {during_fault} of {baseline}");
        world.inject(Fault::RefusePeerConnections(false));
        assert_eq!(finish(world), Vec::<String>::new(), "seed {seed}");
    }
}
