//! Limits on best-effort work: each ends by itself.

use super::simulated_workers::{MAX_WAIT, SimulatedCluster};
use crate::jobs::fixtures::job_spec;
use crate::wire::{JobSpec, Priority};
use std::time::Duration;

/// Urgent tasks that end every few seconds kept a best-effort job off the free part of the machine as long as they came.
#[test]
fn best_effort_job_starts_beside_urgent_tasks_that_end_all_the_time() {
    for run_time in [1, 2, 3, 4] {
        let mut cluster = SimulatedCluster::of(&[("a", "i-1")]);
        let urgent = JobSpec { cpus: 6.0, ram_gb: 6.0, spot: false, ..job_spec("wk-1", 400) };
        let urgent = cluster.leader.accept(urgent);
        cluster.run_times.insert(urgent, Duration::from_secs(run_time));
        cluster.run_for(Duration::from_secs(10));
        let spec = JobSpec { priority: Priority::Low, spot: false, ..job_spec("wk-2", 1) };
        let job = cluster.leader.accept(spec);
        cluster.run_for(MAX_WAIT);
        assert!(cluster.is_served(&job, 1), "{run_time}");
        assert!(cluster.completed.len() < 400);
    }
}

/// A best-effort job that spot machines can't run was never started if there was no other machine for it.
#[test]
fn best_effort_job_gets_a_machine_if_there_is_none_that_could_run_it() {
    for (allows_spot, has_spot) in [(false, true), (false, false), (true, false)] {
        let mut cluster = SimulatedCluster::new();
        cluster.keep_no_warm_capacity();
        cluster.leader.scheduler.fleet.listed_once = true;
        let spec = JobSpec { priority: Priority::Low, spot: allows_spot, ..job_spec("wk-1", 3) };
        cluster.leader.accept(spec);
        let end = cluster.leader.now + MAX_WAIT;
        while cluster.leader.now < end {
            if !has_spot {
                cluster.refuse_rentals(&[true]);
            }
            cluster.step();
        }
        let rentals = cluster.leader.cloud.pending_rentals();
        let ordinary = rentals.iter().filter(|rental| !rental.pool.spot);
        let machines: u32 = ordinary.map(|rental| rental.count).sum();
        assert_eq!(machines, 1, "{allows_spot} {has_spot}");
    }
}
