//! Gangs start as a whole.

use super::simulated_workers::SimulatedCluster;
use crate::jobs::fixtures::job_spec;
use crate::wire::{JobKind, JobSpec};
use std::sync::Arc;
use std::time::Duration;

/// A gang of which its team's limit left room for a part was started in part; the rest could not start beside that part.
#[test]
fn gang_that_exceeds_its_teams_limit_starts_later_as_a_whole() {
    for gang_size in 2..=3 {
        let mut cluster = SimulatedCluster::of(&[("a", "i-1")]);
        let settings = Arc::make_mut(&mut cluster.leader.scheduler.settings);
        settings.platform.params.teams[0].cpus_max = 13.0;
        let spec = JobSpec { cpus: 6.0, spot: false, ..job_spec("wk-1", 1) };
        let array = cluster.leader.accept(spec);
        cluster.run_times.insert(array, Duration::from_secs(30));
        cluster.run_for(Duration::from_secs(5));
        let kind = JobKind::Gang;
        let spec = JobSpec { kind, cpus: 4.0, spot: false, ..job_spec("wk-2", gang_size) };
        let gang = cluster.leader.accept(spec);
        cluster.run_for(Duration::from_secs(20));
        assert_eq!(cluster.running_on("i-1"), 1, "a part of the gang runs");
        cluster.run_for(Duration::from_secs(70));
        assert!(cluster.is_served(&gang, gang_size as u32));
    }
}
