//! Dependent jobs (DAGs) during faults.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use troutspindle::ids::JobId;
use troutspindle::wire::Priority;
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, UserJob, World};

/// Submits one pipeline of five jobs every 6 s: a first job, three that depend on it, and a last one that depends on
/// those three. In every third pipeline the first, a middle or the last job is cancelled.
pub(crate) fn submit_dags(world: &mut World, begin: u64, count: u64) {
    for pipeline in 0..count {
        let at = begin + pipeline * 6000;
        let first = 100 + pipeline * 10;
        for stage in 0..5 {
            let number = first + stage;
            let is_cancelled = pipeline % 3 == 1 && stage == [0, 2, 4][pipeline as usize / 3 % 3];
            world.submit_at(at, number, false, is_cancelled.then_some(at + 5000 + 700 * pipeline));
            let depends_on: &[u64] = [&[][..], &[0], &[0], &[0], &[1, 2, 3]][stage as usize];
            let depends_on = depends_on.iter().map(|n| JobId::new(&format!("wk-{}", first + n)));
            let job = world.jobs.get_mut(&number).unwrap();
            job.spec.depends_on = (stage > 0).then(|| depends_on.collect());
            job.spec.due_s = (stage == 4).then_some(40.0);
            job.spec.priority = if stage == 4 { Priority::High } else { Priority::Low };
        }
    }
}

/// Pipelines run during each kind of fault and are cancelled at every stage.
#[test]
fn pipelines_complete_or_are_cancelled_despite_faults() {
    for seed in 340..358 {
        let random = &mut StdRng::seed_from_u64(seed);
        let mut world = World::new(seed);
        submit_dags(&mut world, 5000, 9);
        let controller = random.random_range(0..CONTROLLERS);
        let at = random.random_range(8000..40_000);
        let end_at = at + random.random_range(5000..25_000);
        let faults: [[Fault; 2]; 6] = [
            [Fault::Crash(controller), Fault::ReclaimSpotMachines],
            [Fault::StoreOutage(true), Fault::StoreOutage(false)],
            [Fault::PartitionZones(true), Fault::PartitionZones(false)],
            [
                Fault::PartitionController(controller, true),
                Fault::PartitionController(controller, false),
            ],
            [Fault::PollStorm(true), Fault::Crash(controller)],
            [Fault::StoreRejects(controller, true), Fault::StoreRejects(controller, false)],
        ];
        let [begin_fault, end_fault] = faults[seed as usize % 6];
        world.schedule(at, SimEvent::Fault(begin_fault));
        world.schedule(end_at, SimEvent::Fault(end_fault));
        world.run(170_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        let is_finished =
            |job: &UserJob| job.completion_confirmed || job.cancellation_confirmed_ms.is_some();
        assert!(world.jobs.values().all(is_finished), "seed {seed}");
        // The last jobs of pipelines that no user cancelled have completed.
        assert!(
            (0..9).step_by(3).all(|n| world.jobs[&(104 + n * 10)].completion_confirmed),
            "seed {seed}"
        );
    }
}
