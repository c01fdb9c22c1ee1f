//! Waiting tasks as placement requests, in order of service.
//!
//! Reads the jobs and what the pass has observed; counts in the statistics why tasks wait, and
//! requests another pass where the start rate bounds them.

use super::{FleetView, JobsView, waiting_cause};
use crate::ids::{JobId, TeamId};
use crate::jobs::LiveJob;
use crate::placement::{PlacementRequest, QueuedJob, ScaleOutPolicy, max_copies};
use crate::scheduler::Scheduler;
use crate::scheduler::fair_share::FairShareWeight;
use crate::scheduler::placement_requests::RequestContext;
use crate::store::Cache;
use crate::wire::{JobKind, Priority};
use tokio::time::Instant;

/// A job's request for room.
pub(in crate::scheduler) struct JobRequest {
    /// The job.
    pub(in crate::scheduler) job: JobId,
    /// What it requests.
    pub(in crate::scheduler) request: PlacementRequest,
    /// How it is ranked while capacity is scarce.
    pub(in crate::scheduler) weight: Option<FairShareWeight>,
}

impl JobRequest {
    /// Splits off a request for `count` of the tasks.
    pub(in crate::scheduler) fn take(&mut self, count: u32) -> JobRequest {
        let request = PlacementRequest { count, ..self.request.clone() };
        self.request.count -= count;
        JobRequest { job: self.job.clone(), request, weight: self.weight }
    }
}

/// Tasks of a request that are still to be started.
pub(in crate::scheduler) struct WaitingTasks {
    /// The job.
    pub(in crate::scheduler) job: JobId,
    /// How many of its tasks.
    pub(in crate::scheduler) remaining: u32,
    /// How the request was ranked while capacity is scarce.
    pub(in crate::scheduler) weight: Option<FairShareWeight>,
    /// The request, if other tasks may be preempted for it.
    pub(in crate::scheduler) preemptor: Option<PlacementRequest>,
}

impl WaitingTasks {
    /// All tasks of a request.
    pub(super) fn of(job: &JobRequest) -> WaitingTasks {
        let request = &job.request;
        let may_preempt =
            request.priority <= Priority::High && request.scale_out == ScaleOutPolicy::Any;
        WaitingTasks {
            job: job.job.clone(),
            remaining: request.count,
            weight: job.weight,
            preemptor: may_preempt.then(|| request.clone()),
        }
    }
}

/// All requests of a pass, in order of service.
pub(in crate::scheduler) struct DemandQueue {
    /// What jobs request.
    pub(in crate::scheduler) requests: Vec<JobRequest>,
    /// Room to be kept for tasks to come. It comes last and nothing is started in it.
    pub(in crate::scheduler) reservations: Vec<PlacementRequest>,
    /// When the first retry backoff ends.
    pub(in crate::scheduler) next_backoff_expiry: Option<Instant>,
}

impl Scheduler {
    /// Turns what waits into placement requests.
    pub(super) fn collect_demand(
        &mut self,
        jobs: &JobsView<'_>,
        fleet: &FleetView,
        cache: &Cache,
        now: Instant,
    ) -> DemandQueue {
        let growth = self.elastic_growth(&jobs.ready, now);
        let mut context = RequestContext { fleet, next_backoff_expiry: None, now };
        let mut requests: Vec<JobRequest> = Vec::new();
        // Elastic jobs beyond their minimum width come after all that is served as usual.
        let mut grown: Vec<JobRequest> = Vec::new();
        self.statistics.waiting_by_cause.clear();
        for QueuedJob { age_rank, over_quota, team, .. } in &jobs.queue {
            let (id, job) = jobs.ready[*age_rank];
            let limit = self.start_limit(id, job, *team, &context);
            let width = self.elastic_limit(id, job, &growth, limit);
            let Some(mut request) = self.job_request(id, job, width.max_starts, &mut context)
            else {
                continue;
            };
            request.slo_slack_s = self.slo_slack_s(id, job, *over_quota, now);
            if width.is_growth {
                request.scale_out = ScaleOutPolicy::Nothing;
                grown.push(JobRequest { job: id.clone(), request, weight: None });
            } else {
                let weight = self.fair_share_weight(id, job, &request);
                requests.push(JobRequest { job: id.clone(), request, weight });
            }
        }
        let next_backoff_expiry = context.next_backoff_expiry;
        self.prioritize_owed(&mut requests, &fleet.capacities);
        requests.extend(grown);
        let mut reservations = Vec::new();
        self.reserve_for_upcoming(&mut reservations, &jobs.upcoming, cache, &fleet.capacities);
        self.reserve_warm_room(&mut reservations, fleet);
        DemandQueue { requests, reservations, next_backoff_expiry }
    }

    /// How many tasks of a job may start at most, by its team's limit and the rate of low-priority
    /// starts.
    fn start_limit(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        team: TeamId,
        context: &RequestContext<'_>,
    ) -> u64 {
        let within_limit = max_copies(&context.fleet.team_headroom[team.index()], &job.need);
        let waiting = self.jobs.progress[id].waiting(job);
        if within_limit < waiting {
            self.statistics.add_waiting(waiting_cause::TEAM_LIMIT, waiting - within_limit);
        }
        if self.urgency(id, job) != Priority::Low || job.spec.kind != JobKind::Array {
            return within_limit;
        }
        let within_rate = self.start_pacer.low_priority_starts.available(context.now) as u64;
        let startable = within_limit.min(waiting);
        if within_rate >= startable {
            return within_limit;
        }
        self.statistics.add_waiting(waiting_cause::START_RATE, startable - within_rate);
        self.planning_clock.pass_requested = true;
        within_rate
    }
}
