//! Copies of direct commands that were executed and answered reach the worker again, up to 90 s later, while the leader
//! or machines restart within a second. The tasks have failed, were preempted or were cancelled in between.

use troutspindle::wire::Priority;
use troutspindle_simulation::{CONTROLLERS, Fault, SimEvent, World, seeds_requested};

/// Time in milliseconds at which the first faults begin.
const BEGIN: u64 = 30_000;
/// Time in milliseconds at which a simulation ends, after the last copy has arrived.
const END: u64 = 190_000;

/// Starts a simulation in which copies of direct commands arrive from the beginning, with or without sharding.
fn world_with_repeated_commands(seed: u64) -> World {
    let mut world = World::with_sharding(seed, CONTROLLERS, false, seed % 2 == 1);
    world.inject(Fault::RepeatedCommands(true));
    world
}

/// Submits an array of four tasks that outlast the simulation.
fn submit_long_array(world: &mut World, at_ms: u64, number: u64, cancel_at: Option<u64>) {
    world.submit_at(at_ms, number, false, cancel_at);
    let spec = &mut world.jobs.get_mut(&number).unwrap().spec;
    (spec.tasks, spec.cpus, spec.expect_s) = (4, 2.0, 600.0);
}

/// Restarts the leader, or lets the machines of a zone hang, for less than a second.
fn schedule_short_failures(world: &mut World, seed: u64) {
    let zone = (seed / 3 % 2) as usize;
    for at in [BEGIN, BEGIN + 15_000].map(|at| at + 331 * (seed % 20)) {
        match seed % 3 {
            0 => world.schedule(at, SimEvent::Fault(Fault::CrashLeader(300))),
            1 => {
                world.schedule(at, SimEvent::Fault(Fault::HangWorkers(zone, true)));
                world.schedule(at + 800, SimEvent::Fault(Fault::HangWorkers(zone, false)));
            }
            _ => {}
        }
    }
}

/// Runs the simulations of these seeds and returns those with violations. Panics if a fault took no effect.
fn seeds_with_violations(
    seeds: std::ops::Range<u64>,
    effect: &str,
    jobs: fn(&mut World),
) -> Vec<u64> {
    let mut violated = Vec::new();
    let (runs, mut repeated) = (seeds.end - seeds.start, 0);
    for seed in seeds {
        let mut world = world_with_repeated_commands(seed);
        jobs(&mut world);
        schedule_short_failures(&mut world, seed);
        world.run(END);
        world.check_final_state();
        let faults = &world.targeted_faults;
        repeated +=
            faults.effects("repeated commands") + faults.effects("rejected repeated commands");
        assert!(faults.effects(effect) > 0, "no effect: {effect}, seed {seed}");
        if !world.violations.is_empty() {
            println!("seed {seed}: {:#?}", &world.violations[..world.violations.len().min(3)]);
            violated.push(seed);
        }
    }
    assert!(repeated > 2 * runs, "{repeated} commands were repeated in {runs} runs");
    violated
}

fn submit_failing_arrays(world: &mut World) {
    for number in 0..5 {
        submit_long_array(world, 9000 + 4000 * number, number, None);
        world.jobs.get_mut(&number).unwrap().first_attempts_fail = true;
    }
}

#[test]
fn a_repeated_start_of_a_failed_attempt_does_not_run_beside_the_retry() {
    let seeds = seeds_requested("0..12");
    assert_eq!(seeds_with_violations(seeds, "failed tasks", submit_failing_arrays), [0; 0]);
}

/// Fills the machines with arrays of low priority, which services preempt before there are more machines.
fn submit_preempted_arrays(world: &mut World) {
    world.inject(Fault::Capacity([2, 0]));
    for number in 0..4 {
        submit_long_array(world, 6000, number, None);
        world.jobs.get_mut(&number).unwrap().spec.priority = Priority::Low;
    }
    for number in 4..6 {
        world.submit_at(24_000 + 3000 * number, number, true, None);
        world.jobs.get_mut(&number).unwrap().spec.spread = false;
    }
    world.schedule(45_000, SimEvent::Fault(Fault::Capacity([6, 6])));
}

#[test]
fn a_repeated_start_of_a_preempted_attempt_does_not_run_beside_the_next_one() {
    let seeds = seeds_requested("0..40");
    assert_eq!(seeds_with_violations(seeds, "stopped tasks", submit_preempted_arrays), [0; 0]);
}

fn submit_cancelled_arrays(world: &mut World) {
    for number in 0..5 {
        let at = 9000 + 4000 * number;
        submit_long_array(world, at, number, Some(at + 6000));
    }
}

#[test]
fn a_repeated_start_of_a_cancelled_task_does_not_run_after_its_deadline() {
    let seeds = seeds_requested("0..12");
    assert_eq!(seeds_with_violations(seeds, "stopped tasks", submit_cancelled_arrays), [0; 0]);
}
