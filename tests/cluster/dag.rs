//! Jobs that depend on others, through faults of a day.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle::ids::JobId;
use troutspindle::wire::Priority;
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, UserJob, World};

/// Pipelines of five jobs, one after another: a first one, three that need it and a closing one.
/// Of the last pipelines, first, middle or closing jobs are cancelled.
pub(crate) fn submit_dags(world: &mut World, begin: u64, count: u64) {
    for pipeline in 0..count {
        let at = begin + pipeline * 6000;
        let first = 100 + pipeline * 10;
        for stage in 0..5 {
            let number = first + stage;
            let abort = pipeline % 3 == 1 && stage == [0, 2, 4][pipeline as usize / 3 % 3];
            world.submit_at(at, number, false, abort.then_some(at + 5000 + 700 * pipeline));
            let depends_on: &[u64] = [&[][..], &[0], &[0], &[0], &[1, 2, 3]][stage as usize];
            let depends_on = depends_on.iter().map(|n| JobId::new(&format!("wk-{}", first + n)));
            let job = world.jobs.get_mut(&number).unwrap();
            job.spec.depends_on = (stage > 0).then(|| depends_on.collect());
            job.spec.due_s = (stage == 4).then_some(40.0);
            job.spec.priority = if stage == 4 { Priority::High } else { Priority::Low };
        }
    }
}

/// Pipelines through the troubles of a day, cancelled at every stage.
#[test]
fn dependent_jobs_through_faults() {
    for seed in 340..358 {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut world = World::new(seed);
        submit_dags(&mut world, 5000, 9);
        let node = random.random_range(0..CONTROLLERS);
        let at = random.random_range(8000..40_000);
        let until = at + random.random_range(5000..25_000);
        let faults: [[Fault; 2]; 6] = [
            [Fault::Crash(node), Fault::ReclaimSpotMachines],
            [Fault::Outage(true), Fault::Outage(false)],
            [Fault::CutZones(true), Fault::CutZones(false)],
            [Fault::CutNode(node, true), Fault::CutNode(node, false)],
            [Fault::PollStorm(true), Fault::Crash(node)],
            [Fault::StoreRefuses(node, true), Fault::StoreRefuses(node, false)],
        ];
        let [begins, ends] = faults[seed as usize % 6];
        world.at(at, SimEvent::Fault(begins));
        world.at(until, SimEvent::Fault(ends));
        world.run(170_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        let over = |job: &UserJob| job.told_done || job.cancellation_confirmed_ms.is_some();
        assert!(world.jobs.values().all(over), "seed {seed}");
        // Closing jobs of pipelines that nobody cancelled are done.
        assert!((0..9).step_by(3).all(|n| world.jobs[&(104 + n * 10)].told_done), "seed {seed}");
    }
}
