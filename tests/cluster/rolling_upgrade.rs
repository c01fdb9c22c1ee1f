//! Controllers are upgraded from the previous version while jobs run.

use crate::dag::submit_dags;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle::wire::{JobKind, Priority};
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World};

/// Upgrades the controllers in the given order; pipelines are submitted and run once all controllers are upgraded.
fn run_rolling_upgrade(seed: u64, order: [usize; CONTROLLERS], faults: &[(u64, Fault)]) {
    let mut world = World::running_previous_version(seed, true);
    world.submit_at(3000, 0, true, None);
    for n in 1..12 {
        world.submit_at(n * 3000, n, false, (n % 4 == 0).then_some(n * 3000 + 6000));
    }
    // So large that its completion marks don't fit into one value; accepted by the old version.
    world.submit_at(2500, 20, false, Some(112_000));
    world.jobs.get_mut(&20).unwrap().spec.tasks = 40_000;
    world.jobs.get_mut(&20).unwrap().spec.priority = Priority::Low;
    for (n, controller) in order.into_iter().enumerate() {
        world.schedule(20_000 + 10_000 * n as u64, SimEvent::Fault(Fault::Upgrade(controller)));
    }
    // Submitted early: dependent jobs are rejected until all controllers are upgraded, and none may start too early.
    submit_dags(&mut world, 30_000, 9);
    world.schedule(52_000, SimEvent::Fault(Fault::TightenStoreLimits));
    for (at_ms, fault) in faults {
        world.schedule(*at_ms, SimEvent::Fault(*fault));
    }
    world.run(19_900);
    let too_large_before = world.too_large;
    world.run(240_000);
    assert!(world.violations.is_empty(), "seed {seed}, {faults:?}: {:#?}", world.violations);
    assert!(world.runs_previous_version == [false; CONTROLLERS] && too_large_before == 0);
    assert_eq!(world.too_large, 0, "seed {seed}, {faults:?}");
    for (number, job) in world.jobs.iter().filter(|(_, job)| job.spec.kind == JobKind::Array) {
        let is_finished = job.completion_confirmed || job.cancellation_confirmed_ms.is_some();
        assert!(is_finished, "seed {seed}, {faults:?}: {number} is not finished");
    }
    assert_eq!(world.running(0), 4, "seed {seed}, {faults:?}");
    // Only the job records remain, however each job finished.
    let remaining: Vec<&String> =
        world.store.keys.keys().filter(|key| key[..4] != *"t/j/" && key[..4] != *"t/a/").collect();
    let is_expected = |key: &&String| ["t/m/", "t/x/", "t/e/"].contains(&&key[..4]);
    assert!(remaining.iter().all(is_expected), "{remaining:?}");
    world.check_stored_estimates();
}

#[test]
fn controllers_are_upgraded_in_any_order() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for (n, order) in orders.into_iter().enumerate() {
        run_rolling_upgrade(300 + n as u64, order, &[]);
    }
}

#[test]
fn jobs_survive_faults_during_a_rolling_upgrade() {
    for seed in 310..334 {
        let random = &mut StdRng::seed_from_u64(seed);
        let controller = random.random_range(0..CONTROLLERS);
        let at = random.random_range(18_000..45_000);
        let end_at = at + random.random_range(3000..20_000);
        let fault: [fn(usize, bool) -> Fault; 6] = [
            |_, on| Fault::StoreOutage(on),
            |_, on| Fault::PartitionZones(on),
            Fault::PartitionController,
            |_, on| Fault::RefusePeerConnections(on),
            Fault::StoreRejects,
            Fault::Stall,
        ];
        let fault = fault[seed as usize % 6];
        let mut faults = vec![(at, fault(controller, true)), (end_at, fault(controller, false))];
        if seed % 2 == 0 {
            faults.extend((0..CONTROLLERS).map(|controller| (35_000, Fault::Crash(controller))));
        }
        let first = random.random_range(0..CONTROLLERS);
        let order = [first, (first + 1) % CONTROLLERS, (first + 2) % CONTROLLERS];
        run_rolling_upgrade(seed, order, &faults);
    }
}
