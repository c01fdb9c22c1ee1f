//! Order in which the planner serves waiting jobs.

use crate::ids::TeamId;
use crate::wire::Priority;
use std::collections::BTreeMap;

/// Sort key of a waiting job; the derived order compares the fields from first to last, and false
/// precedes true.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedJob {
    /// Effective priority, which includes the priority inherited from dependent jobs.
    pub priority: Priority,
    /// False for a service whose replicas ran before. These go first, because the capacity freed
    /// for a moved replica could otherwise go to another task while the replica is down.
    pub first_start: bool,
    /// True if the job and its team's older jobs together exceed the team's quota.
    pub over_quota: bool,
    /// True if the job has neither an objective of its class nor a deadline, own or inherited.
    pub without_slo: bool,
    /// True if the job has started as many tasks as its team may run at once. Such a job comes later,
    /// so that a large job doesn't starve the small ones behind it.
    pub reached_team_limit: bool,
    /// Number of missed start objectives, plus one if the latest start for the job's deadline has
    /// passed. Jobs that can still start in time go first.
    pub missed_slos: usize,
    /// Number of tasks; zero for a job that has missed every objective, so that such jobs are served
    /// by age and none waits indefinitely behind smaller jobs that are equally late.
    pub size: u64,
    /// Position among all jobs by age, oldest first.
    pub age_rank: usize,
    /// Team that owns the job.
    pub team: TeamId,
}

/// Key of the positions among which one team's jobs of one priority are reordered.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct TeamPositionsKey {
    priority: Priority,
    team: TeamId,
}

/// Sorts jobs into the order of service. Smaller jobs go first because objectives count jobs, and
/// many small jobs start in the time that one large job takes. The order of [`QueuedJob`] decides the
/// positions that each team gets. Each team's jobs of one priority are then reordered among these
/// positions, without regard to the quota and with missed objectives before the team limit.
pub fn sort_by_service_order(jobs: &mut [QueuedJob]) {
    jobs.sort();
    let mut positions_by_team: BTreeMap<TeamPositionsKey, Vec<usize>> = BTreeMap::new();
    for (position, job) in jobs.iter().enumerate() {
        let key = TeamPositionsKey { priority: job.priority, team: job.team };
        positions_by_team.entry(key).or_default().push(position);
    }
    for positions in positions_by_team.values() {
        let mut team_jobs: Vec<QueuedJob> =
            positions.iter().map(|position| jobs[*position]).collect();
        team_jobs.sort_by_key(|job| {
            (
                job.first_start,
                job.without_slo,
                job.missed_slos,
                job.reached_team_limit,
                job.size,
                job.age_rank,
            )
        });
        for (position, job) in positions.iter().zip(team_jobs) {
            jobs[*position] = job;
        }
    }
}
