//! Outages of the replicated key-value store.

use crate::controller_crashes::assert_fault_keeps_running_tasks;
use troutspindle_simulation::{Fault, World};

#[test]
fn jobs_survive_a_store_outage_with_and_without_a_crash_of_all_controllers() {
    for seed in 30..36 {
        let mut faults =
            vec![(30_000, Fault::StoreOutage(true)), (48_000, Fault::StoreOutage(false))];
        if seed % 2 == 0 {
            faults.extend((0..3).map(|n| (44_000, Fault::Crash(n))));
        }
        World::day(seed, &faults);
    }
}

#[test]
fn a_store_outage_keeps_running_tasks() {
    assert_fault_keeps_running_tasks(37, Fault::StoreOutage(true), Fault::StoreOutage(false));
}
