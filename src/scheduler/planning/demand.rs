//! Waiting tasks as placement requests, in order of service.
//!
//! Reads the jobs and the pass's observations. Counts in the statistics why tasks wait, and
//! requests another pass if the start rate limits them.

use super::{FleetView, JobsView, waiting_cause};
use crate::ids::{JobId, TeamId};
use crate::jobs::LiveJob;
use crate::placement::{PlacementRequest, PreemptionPolicy, QueuedJob, ScaleOutPolicy, max_copies};
use crate::scheduler::Scheduler;
use crate::scheduler::fair_share::FairShareRank;
use crate::scheduler::placement_requests::RequestContext;
use crate::store::Cache;
use crate::wire::{JobKind, Priority};
use tokio::time::Instant;

/// A job's request for capacity.
pub(in crate::scheduler) struct JobRequest {
    /// Identifier of the requesting job.
    pub(in crate::scheduler) job: JobId,
    /// Resources, constraints and number of tasks.
    pub(in crate::scheduler) request: PlacementRequest,
    /// Rank of the request while capacity is scarce; `None` otherwise.
    pub(in crate::scheduler) rank: Option<FairShareRank>,
}

impl JobRequest {
    /// Splits off a request for `count` of the tasks, and removes these from this request.
    pub(in crate::scheduler) fn take(&mut self, count: u32) -> JobRequest {
        let request = PlacementRequest { count, ..self.request.clone() };
        self.request.count -= count;
        // The job tries one task at a time on a machine that is its last resort.
        let last_resort = std::mem::take(&mut self.request.last_resort_machines);
        self.request.excluded_machines.extend(last_resort);
        JobRequest { job: self.job.clone(), request, rank: self.rank }
    }
}

/// Tasks of a request that are not started yet.
pub(in crate::scheduler) struct WaitingTasks {
    /// Identifier of the job that the tasks belong to.
    pub(in crate::scheduler) job: JobId,
    /// Number of tasks not started yet.
    pub(in crate::scheduler) remaining: u32,
    /// Rank of the request while capacity is scarce; `None` otherwise.
    pub(in crate::scheduler) rank: Option<FairShareRank>,
    /// The request; `None` if no other tasks may be preempted for it.
    pub(in crate::scheduler) preemptor: Option<PlacementRequest>,
}

impl WaitingTasks {
    /// Returns all tasks of a request as waiting.
    pub(super) fn of(job: &JobRequest) -> WaitingTasks {
        let request = &job.request;
        let may_preempt = request.priority <= Priority::High
            && request.scale_out == ScaleOutPolicy::Any
            && request.preemption != PreemptionPolicy::Nowhere;
        let mut preemptor = may_preempt.then(|| request.clone());
        if let Some(preemptor) = preemptor.as_mut()
            && request.preemption == PreemptionPolicy::NotOnLastResort
        {
            preemptor.excluded_machines.extend(&request.last_resort_machines);
        }
        WaitingTasks { job: job.job.clone(), remaining: request.count, rank: job.rank, preemptor }
    }
}

/// All requests of a pass, in order of service.
pub(in crate::scheduler) struct DemandQueue {
    /// Requests of jobs.
    pub(in crate::scheduler) requests: Vec<JobRequest>,
    /// Reservations of capacity for future tasks. They are placed after all jobs' requests, and no
    /// task starts in that capacity.
    pub(in crate::scheduler) reservations: Vec<PlacementRequest>,
    /// Time at which the first retry backoff expires.
    pub(in crate::scheduler) next_backoff_expiry: Option<Instant>,
}

impl Scheduler {
    /// Turns waiting tasks into placement requests.
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
        // Growth of elastic jobs beyond their minimum width, placed after all regular requests.
        let mut growth_requests: Vec<JobRequest> = Vec::new();
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
                growth_requests.push(JobRequest { job: id.clone(), request, rank: None });
            } else {
                let rank = self.fair_share_rank(id, job, &request);
                requests.push(JobRequest { job: id.clone(), request, rank });
            }
        }
        let next_backoff_expiry = context.next_backoff_expiry;
        self.prioritize_below_floor(&mut requests, &fleet.capacities);
        requests.extend(growth_requests);
        let mut reservations = Vec::new();
        self.reserve_for_upcoming(&mut reservations, &jobs.upcoming, cache, &fleet.capacities);
        self.reserve_warm_capacity(&mut reservations, fleet);
        DemandQueue { requests, reservations, next_backoff_expiry }
    }

    /// Returns the maximum number of a job's tasks that may start, given its team's limit and the
    /// start rate of low-priority tasks.
    fn start_limit(
        &mut self,
        id: &JobId,
        job: &LiveJob,
        team: TeamId,
        context: &RequestContext<'_>,
    ) -> u64 {
        let within_limit = max_copies(&context.fleet.team_headroom[team.index()], &job.request);
        let waiting = self.jobs.progress[id].waiting(job);
        if within_limit < waiting {
            self.statistics.add_waiting(waiting_cause::TEAM_LIMIT, waiting - within_limit);
        }
        if self.effective_priority(id, job) != Priority::Low || job.spec.kind != JobKind::Array {
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
