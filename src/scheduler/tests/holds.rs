//! Short holds on starts and rentals: each ends by itself.

use super::simulated_workers::SimulatedCluster;
use crate::ids::{JobId, MachineId};
use crate::jobs::fixtures::job_spec;
use crate::scheduler::consolidation::CONSOLIDATION_INTERVAL;
use crate::wire::{JobKind, JobSpec};
use std::time::Duration;

/// Time within which each of these holds has to end.
const MAX_HOLD: Duration = Duration::from_secs(15);

/// Checks that machines for a new job are not requested at once, but within [`MAX_HOLD`].
fn assert_rents_after_a_hold(mut cluster: SimulatedCluster) {
    cluster.leader.job("wk-1", JobKind::Service, 1);
    cluster.step();
    assert_eq!(cluster.requested_machines(), 0);
    cluster.run_for(MAX_HOLD);
    assert!(cluster.requested_machines() > 0);
}

/// A new leader waits for the cloud's list before it rents machines, but not for ever.
#[test]
fn new_leader_rents_machines_although_the_cloud_lists_none() {
    let mut cluster = SimulatedCluster::new();
    cluster.keep_no_warm_capacity();
    assert_rents_after_a_hold(cluster);
}

/// A pool that refused a rental is asked again.
#[test]
fn pools_that_refused_a_rental_are_asked_again() {
    let mut cluster = SimulatedCluster::new();
    cluster.keep_no_warm_capacity();
    cluster.leader.scheduler.fleet.listed_once = true;
    cluster.run_for(MAX_HOLD);
    cluster.refuse_rentals(&[true, false]);
    assert_rents_after_a_hold(cluster);
}

/// A machine that is emptied but keeps a task takes others again.
#[test]
fn machine_that_was_not_emptied_takes_tasks_again() {
    let mut cluster = SimulatedCluster::of(&[("a", "i-1")]);
    cluster.leader.job("wk-1", JobKind::Service, 1);
    cluster.run_for(Duration::from_secs(5));
    let now = cluster.leader.now;
    let machines = &mut cluster.leader.scheduler.fleet.machines;
    machines.get_mut(&MachineId::new("i-1")).unwrap().last_consolidated = Some(now);
    let job = cluster.leader.job("wk-2", JobKind::Service, 1);
    cluster.run_for(CONSOLIDATION_INTERVAL / 2);
    assert!(!cluster.is_served(&job, 1));
    cluster.run_for(MAX_HOLD - CONSOLIDATION_INTERVAL / 2);
    assert!(cluster.is_served(&job, 1));
}

/// A machine takes tasks again once its worker no longer reports a notice.
#[test]
fn machine_whose_reclaim_notice_was_withdrawn_takes_tasks_again() {
    let mut cluster = SimulatedCluster::of(&[("a", "i-1")]);
    cluster.run_for(Duration::from_secs(5));
    cluster.notice_s = Some(60.0);
    cluster.step();
    let spec = JobSpec { kind: JobKind::Service, spot: false, ..job_spec("wk-1", 1) };
    let job: JobId = cluster.leader.accept(spec);
    cluster.run_for(MAX_HOLD);
    assert!(!cluster.is_served(&job, 1));
    cluster.notice_s = None;
    cluster.run_for(MAX_HOLD);
    assert!(cluster.is_served(&job, 1));
}
