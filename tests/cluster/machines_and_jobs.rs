//! Faults of machines, of the cloud and of jobs.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle::wire::JobKind;
use troutspindle_simulation::{CONTROLLERS, DEFAULT_CAPACITY, Fault, SimEvent, UserJob, World};

/// Faults that operators of large deployments reported in addition to those in the other tests, each alone and
/// together with the next one.
#[test]
fn jobs_survive_faults_of_the_cloud_of_machines_and_of_single_controllers() {
    let faults_by_number: [fn(usize, bool) -> Fault; 7] = [
        Fault::StoreRejects,
        |_, on| Fault::CloudOutage(on),
        |_, on| Fault::Capacity(if on { [2, 2] } else { DEFAULT_CAPACITY }),
        |_, on| Fault::FailedBoots(on),
        |_, on| Fault::RefusePeerConnections(on),
        Fault::SlowController,
        |_, on| Fault::SlowMachines(on),
    ];
    for seed in 100..114 {
        let controller = seed as usize % CONTROLLERS;
        let (first, second) =
            (faults_by_number[seed as usize % 7], faults_by_number[(seed as usize + 1) % 7]);
        let mut faults =
            vec![(12_000, first(controller, true)), (40_000, first(controller, false))];
        if seed >= 107 {
            faults
                .extend([(20_000, second(controller, true)), (45_000, second(controller, false))]);
            faults.push((25_000, Fault::ReclaimSpotMachines));
        }
        World::day(seed, &faults);
    }
}

/// Jobs that fail on every machine must not disturb the others, and must not finish before their user cancels them.
#[test]
fn jobs_that_always_fail_do_not_disturb_others() {
    let mut starts = 0;
    for seed in 240..246 {
        let mut world = World::new(seed);
        for n in 0..16 {
            let always_fails = n % 4 == 1;
            world.submit_at(3000 + n * 1500, n, n % 5 == 4, always_fails.then_some(70_000));
            world.jobs.get_mut(&n).unwrap().always_fails = always_fails;
        }
        world.schedule(30_000, SimEvent::Fault(Fault::Crash(seed as usize % CONTROLLERS)));
        world.run(150_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        let is_finished =
            |job: &UserJob| job.completion_confirmed || job.cancellation_confirmed_ms.is_some();
        let is_array = |job: &&UserJob| job.spec.kind == JobKind::Array;
        assert!(world.jobs.values().filter(is_array).all(is_finished), "seed {seed}");
        starts += world.starts;
    }
    // Starts per day vary from 90 to 157 (over 100 seeds of this version and the previous one, both with a mean
    // of 112), so the sum is bounded.
    assert!(starts < 6 * 130, "{starts}");
}

#[test]
fn a_burst_of_jobs_is_served_within_its_teams_quota() {
    for seed in 120..124 {
        let mut world = World::new(seed);
        world.submit_at(3000, 0, true, None);
        for n in 1..60 {
            world.submit_at(20_000 + n * 50, n, false, None);
        }
        world.schedule(30_000, SimEvent::Fault(Fault::Crash(seed as usize % CONTROLLERS)));
        world.run(170_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        assert!(world.jobs.values().skip(1).all(|job| job.completion_confirmed), "seed {seed}");
    }
}

#[test]
fn jobs_survive_several_faults_at_once() {
    for seed in 60..72 {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..5 {
            let at = random.random_range(15_000..80_000);
            let end_at = at + random.random_range(3000..25_000);
            let controller = random.random_range(0..CONTROLLERS);
            match random.random_range(0..5) {
                0 => faults.push((at, Fault::Crash(controller))),
                1 => faults.extend([
                    (at, Fault::PartitionController(controller, true)),
                    (end_at, Fault::PartitionController(controller, false)),
                ]),
                2 => faults.extend([
                    (at, Fault::PartitionZones(true)),
                    (end_at, Fault::PartitionZones(false)),
                ]),
                3 => faults
                    .extend([(at, Fault::StoreOutage(true)), (end_at, Fault::StoreOutage(false))]),
                _ => faults.push((at, Fault::ReclaimMachine)),
            }
        }
        World::day(seed, &faults);
    }
}
