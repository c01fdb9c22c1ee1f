//! The key-value store is out.

use crate::controller_crashes::play_fault;
use troutspindle_simulation::{Fault, World};

#[test]
fn an_outage_of_the_store_alone_and_with_a_crash_of_all_controllers() {
    for seed in 30..36 {
        let mut faults = vec![(30_000, Fault::Outage(true)), (48_000, Fault::Outage(false))];
        if seed % 2 == 0 {
            faults.extend((0..3).map(|n| (44_000, Fault::Crash(n))));
        }
        World::day(seed, &faults);
    }
}

#[test]
fn an_outage_of_the_store_keeps_running_tasks() {
    play_fault(37, Fault::Outage(true), Fault::Outage(false));
}
