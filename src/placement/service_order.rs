//! The order in which jobs are served.

use crate::ids::TeamId;
use crate::wire::Priority;
use std::collections::BTreeMap;

/// What decides when a job is served; the fields stand in order of weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedJob {
    /// The job's priority, including what it inherits from jobs that depend on it.
    pub priority: Priority,
    /// False for a service whose replicas ran before: a replica that is moved must find the room
    /// that it was moved for, or it is down while another task starts there.
    pub first_start: bool,
    /// It doesn't fit into its team's quota together with the team's earlier jobs.
    pub over_quota: bool,
    /// Its class has no service-level objective.
    pub without_slo: bool,
    /// It has started as many tasks as its team may run at once, so that a large job doesn't
    /// starve the small ones behind it.
    pub had_turn: bool,
    /// Objectives for its start that it has missed: what can still start in time goes first.
    pub missed_slos: usize,
    /// Its number of tasks; zero for a job that has missed every objective, so that such jobs go
    /// by age and none waits for ever behind smaller ones that are just as late.
    pub size: u64,
    /// Its position among all jobs by age, oldest first.
    pub age_rank: usize,
    /// The team that owns it.
    pub team: TeamId,
}

/// A run of jobs within which a team's own order applies.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct TeamTurns {
    priority: Priority,
    team: TeamId,
}

/// Sorts jobs into the order of service: priority, what ran before, quota, turn, missed
/// objectives, then size, because objectives count jobs and many small jobs start in the time that
/// one large one takes. Among teams the quota decides first; which of its jobs a team serves in
/// its turns doesn't depend on the quota.
pub fn sort_by_service_order(jobs: &mut [QueuedJob]) {
    jobs.sort();
    let mut turns: BTreeMap<TeamTurns, Vec<usize>> = BTreeMap::new();
    for (position, job) in jobs.iter().enumerate() {
        let key = TeamTurns { priority: job.priority, team: job.team };
        turns.entry(key).or_default().push(position);
    }
    for positions in turns.values() {
        let mut team_jobs: Vec<QueuedJob> =
            positions.iter().map(|position| jobs[*position]).collect();
        team_jobs.sort_by_key(|job| {
            (
                job.first_start,
                job.without_slo,
                job.missed_slos,
                job.had_turn,
                job.size,
                job.age_rank,
            )
        });
        for (position, job) in positions.iter().zip(team_jobs) {
            jobs[*position] = job;
        }
    }
}
