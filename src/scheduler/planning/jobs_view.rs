//! A planning pass's view of the jobs: which are ready, and their order of service.
//!
//! Reads the jobs and the settings; updates run time estimates and inherited priorities.

use super::UnconfirmedMachines;
use crate::ids::{Amount, JobId, TeamId};
use crate::jobs::LiveJob;
use crate::placement::{QueuedJob, max_copies, sort_by_service_order};
use crate::scheduler::Scheduler;
use crate::store::Cache;
use crate::wire::JobKind;
use tokio::time::Instant;

/// The live jobs as a pass sees them.
pub(in crate::scheduler) struct JobsView<'a> {
    /// Jobs whose dependencies are met, oldest first. All other jobs start nothing and don't count
    /// towards limits and quotas.
    pub(in crate::scheduler) ready: Vec<(&'a JobId, &'a LiveJob)>,
    /// Jobs expected to be ready by the time a machine rented now is up, soonest first.
    pub(in crate::scheduler) upcoming: Vec<JobId>,
    /// The ready jobs in order of service.
    pub(in crate::scheduler) queue: Vec<QueuedJob>,
    /// Resources that a team's waiting tasks would use if a previous leader had started all of
    /// them, indexed by team.
    pub(super) maybe_used: Vec<Amount>,
}

/// The ready jobs in order of service, with each team's possible usage of unconfirmed machines.
struct ServiceQueue {
    queue: Vec<QueuedJob>,
    maybe_used: Vec<Amount>,
}

impl Scheduler {
    /// Collects the jobs that the pass may serve.
    pub(super) fn observe_jobs<'a>(
        &mut self,
        unconfirmed: &UnconfirmedMachines,
        cache: &'a Cache,
        now: Instant,
    ) -> JobsView<'a> {
        let live_job = |id| {
            let (id, job) = cache.jobs.all.get_key_value(id)?;
            Some((id, job.live()?))
        };
        let mut jobs: Vec<(&JobId, &LiveJob)> =
            self.jobs.progress.keys().filter_map(live_job).collect();
        self.refresh_estimates(&jobs, now);
        self.inherit_priorities(&jobs);
        let upcoming = self.upcoming_jobs(&jobs, now);
        jobs.retain(|(_, job)| job.is_ready());
        jobs.sort_by(|a, b| (a.1.eligible_ms(), a.0).cmp(&(b.1.eligible_ms(), b.0)));
        let ServiceQueue { queue, maybe_used } =
            self.service_queue(&jobs, !unconfirmed.is_empty(), now);
        JobsView { ready: jobs, upcoming, queue, maybe_used }
    }

    fn service_queue(
        &self,
        jobs: &[(&JobId, &LiveJob)],
        has_unconfirmed: bool,
        now: Instant,
    ) -> ServiceQueue {
        let teams = &self.settings.platform.params.teams;
        let mut requested = vec![Amount::default(); teams.len()];
        let mut maybe_used = vec![Amount::default(); teams.len()];
        let mut queue: Vec<QueuedJob> = Vec::new();
        for (age_rank, (id, job)) in jobs.iter().enumerate() {
            let Some(&team) = self.teams.get(&job.spec.team) else { continue };
            requested[team] = requested[team].plus(&job.request.times(job.spec.tasks));
            let over_quota = !requested[team].fits(&teams[team].guarantee());
            queue.push(QueuedJob {
                over_quota,
                age_rank,
                team: TeamId::new(team),
                ..self.queued_job(id, job, team, now)
            });
            let progress = &self.jobs.progress[*id];
            if progress.predates_term && has_unconfirmed {
                let resources = job.request.times(progress.waiting(job));
                maybe_used[team] = maybe_used[team].plus(&resources);
            }
        }
        sort_by_service_order(&mut queue);
        ServiceQueue { queue, maybe_used }
    }

    /// Returns a job's queue entry without its age rank and quota, which depend on other jobs.
    fn queued_job(&self, id: &JobId, job: &LiveJob, team: usize, now: Instant) -> QueuedJob {
        let spec = &job.spec;
        let progress = &self.jobs.progress[id];
        let started = job.completed_count() + progress.placed.len() as u64;
        let team_limit = self.settings.platform.params.teams[team].limit();
        let waiting_time = progress.waited(now);
        let (deadlines, missed_deadlines) = self.due_objectives(id, job, now);
        let slos = self.settings.start_objectives(&spec.class).count() + deadlines;
        let missed_slos =
            self.settings.missed_start_objectives(&spec.class, waiting_time) + missed_deadlines;
        let missed_all = missed_slos > 0 && missed_slos == slos;
        QueuedJob {
            priority: self.effective_priority(id, job),
            first_start: spec.kind != JobKind::Service || progress.retries.is_empty(),
            over_quota: false,
            without_slo: !self.has_objective(id, job),
            reached_team_limit: started >= max_copies(&team_limit, &job.request),
            missed_slos,
            size: if missed_all { 0 } else { spec.tasks },
            age_rank: 0,
            team: TeamId::new(team),
        }
    }
}
