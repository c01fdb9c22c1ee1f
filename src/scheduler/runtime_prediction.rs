//! Learns run times from tasks that exit and warns of jobs that will probably miss their deadline.
//!
//! Every use of the learned run times by another module has its own switch in the operators' settings.

use crate::ids::{Amount, JobId, MachineId, Revision, TaskId};
use crate::jobs::{Job, LiveJob};
use crate::placement;
use crate::scheduler::Scheduler;
use crate::scheduler::job_progress::Placement;
use crate::store::ESTIMATES_PREFIX;
use crate::store::{Cache, PendingWrite, StoreClient, WriteOrigin, WriteOutcome, WritePriority};
use crate::wire::JobSpec;
use crate::wire::{JobKind, Precondition, StoreValue, TaskState, Transaction, Write};
use crate::workers::machine::Machine;
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use troutspindle_protocol::operator_api::{JobAtRisk, JobsAtRisk};
use troutspindle_runtime_estimates::{
    Estimate, Grade, Learner, Profile, RunObservations, WriteResult, hour_of, remaining,
};

/// Maximum number of estimates refreshed before a planning pass. Each takes about ten microseconds, so eight passes a
/// second use one fortieth of a small controller's CPU allowance.
const ESTIMATES_PER_PASS: usize = 30;
/// Maximum age of an estimate that decisions use.
const ESTIMATE_MAX_AGE: Duration = Duration::from_secs(5);
/// Run time in seconds below which a retried task that completes is assumed to have returned the result of an earlier
/// attempt.
const RESULT_REPLAY_MAX_S: f64 = 1.0;
/// Maximum number of jobs checked for lateness per round. There are five rounds a second, and each check takes up to a
/// quarter of a millisecond.
const WARNING_CHECKS_PER_ROUND: usize = 3;
/// Probability of lateness from which a warning is issued. With lower values, more than one in ten warnings were wrong
/// in replayed histories.
pub(crate) const WARNING_PROBABILITY: f64 = 0.9;
/// Probability of lateness from which a job is in the operators' list of jobs at risk.
const AT_RISK_PROBABILITY: f64 = 0.5;
/// Number of its tasks that must have completed before a warning is issued for a job without any history.
const WARNING_MIN_TASKS: u32 = 3;

/// The run of one attempt, as far as heartbeats showed it.
#[derive(Debug)]
pub(super) struct ObservedRun {
    /// Run time; `None` if no heartbeat showed the start.
    pub(super) duration: Option<Duration>,
    /// True if the task completed.
    pub(super) completed: bool,
    /// True if the task saved its progress.
    pub(super) saved: bool,
}

/// Observations of a job's run under this leader, and its current estimate.
#[derive(Debug)]
struct JobObservations {
    spec: Arc<JobSpec>,
    request: Amount,
    accepted_ms: u64,
    /// Run times of the job's tasks so far.
    run_times: RunObservations,
    /// Seconds of work that earlier attempts have saved, by task index.
    saved_s: HashMap<u32, f64>,
    /// Latest estimate and the time at which it was made.
    estimate: Option<(Estimate, Instant)>,
    /// Probability of lateness at the last check.
    late_probability: f64,
    /// Seconds from the last check to the median expected end of the job.
    done_in_s: f64,
    /// True if a warning was issued.
    warned: bool,
}

/// Learned run times, and the jobs that are checked for lateness.
#[derive(Debug, Default)]
pub(super) struct RuntimePredictor {
    learner: Learner,
    /// Observations by job. Ordered, so that the same events always have the same effects.
    observations: BTreeMap<JobId, JobObservations>,
    /// Job at which the next round of lateness checks resumes.
    next_checked_job: Option<JobId>,
    /// Position among the live jobs at which the next refresh of estimates resumes.
    next_refresh: usize,
    warned: u64,
    warned_late: u64,
    warned_in_time: u64,
    late_unwarned: u64,
}

fn profile<'a>(id: &'a JobId, spec: &'a JobSpec, request: &Amount) -> Profile<'a> {
    Profile {
        job: id.as_str(),
        class: &spec.class,
        team: &spec.team,
        image: &spec.image,
        size: [request.cpu, request.gpu, request.ram],
        expect_s: spec.expect_s,
        tasks: spec.tasks,
    }
}

impl RuntimePredictor {
    /// Creates a predictor from the estimates that previous leaders stored.
    pub(super) fn new(cache: &Cache) -> RuntimePredictor {
        let mut predictor = RuntimePredictor::default();
        predictor.read_stored(cache);
        predictor
    }

    /// Reads the stored estimates from the cache.
    fn read_stored(&mut self, cache: &Cache) {
        for (bucket, known) in &cache.estimates {
            let (value, revision) = (known.value.as_deref(), known.revision);
            if let Err(error) = self.learner.cache.on_stored_value(*bucket, value, revision.0) {
                // Only the estimates of this bucket are lost.
                tracing::info!(key = %key(*bucket), %error, "runtime estimates unreadable");
            }
        }
    }

    /// Returns the expected remaining run time, in seconds, of a task that has run for `ran_s`; `None` if no estimate
    /// is based on history.
    pub(super) fn remaining_s(&self, id: &JobId, ran_s: f64) -> Option<f64> {
        let (estimate, _) = self.observations.get(id)?.estimate?;
        (estimate.grade > Grade::Unknown).then(|| estimate.distribution.mean_remaining_s(ran_s))
    }

    fn observations_of(&mut self, id: &JobId, live: &LiveJob) -> &mut JobObservations {
        self.observations.entry(id.clone()).or_insert_with(|| JobObservations {
            spec: live.spec.clone(),
            request: live.request,
            accepted_ms: live.accepted_ms,
            run_times: RunObservations::default(),
            saved_s: HashMap::new(),
            estimate: None,
            late_probability: 0.0,
            done_in_s: 0.0,
            warned: false,
        })
    }
}

/// Returns the store key of a bucket of estimates.
pub(crate) fn key(bucket: u8) -> String {
    format!("{ESTIMATES_PREFIX}{bucket:02x}")
}

impl Scheduler {
    fn is_learning(&self) -> bool {
        self.settings.operator.estimates.learn
    }

    /// Records the run of an attempt that completed or was stopped, killed or lost, if its duration is known.
    pub(super) fn record_task_run(
        &mut self,
        task: &TaskId,
        machine: &MachineId,
        live: Option<&LiveJob>,
        run: &ObservedRun,
    ) {
        let Some(live) = live.filter(|live| live.spec.kind != JobKind::Service) else { return };
        // Run times on a machine that may be faulty are not representative.
        let suspect = |m: &Machine| m.faulty || !m.failed_jobs.is_empty();
        if !self.is_learning() || self.fleet.machines.get(machine).is_some_and(suspect) {
            return;
        }
        let Some(run_s) = run.duration.map(|ran| ran.as_secs_f64()) else { return };
        let progress = self.jobs.progress.get(&task.job);
        let is_first = progress.is_none_or(|progress| !progress.retries.contains_key(&task.index));
        let job = self.runtime_predictor.observations_of(&task.job, live);
        let saved_s = job.saved_s.get(&task.index).copied();
        match (run.completed, saved_s) {
            // An earlier attempt had completed, and the machine returned its result without running the task again.
            (true, None) if !is_first && run_s < RESULT_REPLAY_MAX_S => {}
            (true, saved_s) => job.run_times.record_completed(run_s + saved_s.unwrap_or(0.0)),
            (false, saved_s) => {
                let total_s = run_s + saved_s.unwrap_or(0.0);
                job.run_times.record_censored(total_s);
                // The next attempt repeats everything but the saved work.
                let checkpoint_s = live.spec.checkpoint_s;
                if run.saved {
                    job.saved_s.insert(task.index, total_s);
                } else if checkpoint_s > 0.0 {
                    let checkpointed_s =
                        saved_s.unwrap_or(0.0) + (run_s / checkpoint_s).floor() * checkpoint_s;
                    job.saved_s.insert(task.index, checkpointed_s);
                }
            }
        }
    }

    /// Learns from the run of a finished job. Unless the job was cancelled, counts whether it was late and whether a
    /// warning had been issued.
    pub(super) fn record_job_end(&mut self, id: &JobId, cancelled: bool, now: Instant) {
        let Some(job) = self.runtime_predictor.observations.remove(id) else { return };
        let hour = self.hour(now);
        self.runtime_predictor.learner.learn(
            &profile(id, &job.spec, &job.request),
            &job.run_times,
            hour,
        );
        if !cancelled && let Some(due_ms) = self.due_ms(&job.spec, job.accepted_ms) {
            let late = self.wall_clock.ms(now) > due_ms;
            let counts = &mut self.runtime_predictor;
            match (job.warned, late) {
                (true, true) => counts.warned_late += 1,
                (true, false) => counts.warned_in_time += 1,
                (false, true) => counts.late_unwarned += 1,
                (false, false) => {}
            }
        }
    }

    /// Returns the estimate for jobs with this profile.
    #[cfg(test)]
    pub(super) fn estimate_of(&self, profile: &Profile<'_>) -> Option<Estimate> {
        self.runtime_predictor.learner.estimate(profile, &RunObservations::default(), 0)
    }

    fn hour(&self, now: Instant) -> u32 {
        hour_of(self.wall_clock.ms(now) / 1000)
    }

    /// Returns the deadline in milliseconds of the time of day: the earlier of the job's due time, which counts only if
    /// its class has deadlines, and the finish objective of its class.
    fn due_ms(&self, spec: &JobSpec, accepted_ms: u64) -> Option<u64> {
        let due_s = spec.due_s.filter(|_| self.settings.has_deadline(&spec.class));
        let due_s = due_s.into_iter().chain(self.settings.finish_objective(&spec.class));
        due_s
            .min_by(f64::total_cmp)
            .map(|due_s| accepted_ms.saturating_add((due_s * 1000.0) as u64))
    }

    /// Returns a job's estimate, recomputed if it is older than `ESTIMATE_MAX_AGE`; `None` for services and while
    /// learning is switched off.
    fn estimate(&mut self, id: &JobId, live: &LiveJob, now: Instant) -> Option<Estimate> {
        if live.spec.kind == JobKind::Service || !self.is_learning() {
            return None;
        }
        let latest = self.runtime_predictor.observations.get(id).and_then(|job| job.estimate);
        if let Some((estimate, at)) = latest
            && now < at + ESTIMATE_MAX_AGE
        {
            return Some(estimate);
        }
        let hour = self.hour(now);
        let running = self.running_s(id, now);
        let job = self.runtime_predictor.observations_of(id, live);
        let run_times = job.run_times.with_running(&running);
        let profile = profile(id, &live.spec, &live.request);
        let estimate = self.runtime_predictor.learner.estimate(&profile, &run_times, hour)?;
        self.runtime_predictor.observations_of(id, live).estimate = Some((estimate, now));
        Some(estimate)
    }

    /// Refreshes the estimates that the decisions of a planning pass use. Each pass refreshes a limited number, in
    /// turn, so that a user's thousands of jobs don't prolong any pass.
    pub(super) fn refresh_estimates(&mut self, live: &[(&JobId, &LiveJob)], now: Instant) {
        let switches = &self.settings.operator.estimates;
        if !(switches.due || switches.ahead || switches.make_way || switches.drain) {
            return;
        }
        let start = self.runtime_predictor.next_refresh % live.len().max(1);
        let is_stale = |id: &JobId| {
            let latest = self.runtime_predictor.observations.get(id).and_then(|job| job.estimate);
            latest.is_none_or(|(_, at)| now >= at + ESTIMATE_MAX_AGE)
        };
        let rotated = live[start..].iter().chain(&live[..start]).enumerate();
        let batch_jobs = rotated.filter(|(_, (_, job))| job.spec.kind != JobKind::Service);
        let stale: Vec<_> =
            batch_jobs.filter(|(_, (id, _))| is_stale(id)).take(ESTIMATES_PER_PASS).collect();
        self.runtime_predictor.next_refresh =
            start + stale.last().map_or(0, |(position, _)| position + 1);
        for (_, (id, job)) in stale {
            self.estimate(id, job, now);
        }
    }

    /// Returns the expected run time of a task in seconds: the learned median if `use_learned` is set and the estimate
    /// is based on history, otherwise the run time that the job's owner expects.
    pub(super) fn run_s(&self, id: &JobId, job: &LiveJob, use_learned: bool) -> f64 {
        let latest = self.runtime_predictor.observations.get(id).and_then(|job| job.estimate);
        match latest.filter(|(estimate, _)| use_learned && estimate.grade > Grade::Unknown) {
            Some((estimate, _)) => estimate.p50_s,
            None => job.spec.expect_s,
        }
    }

    /// Returns the seconds for which each running task of the job has been running.
    fn running_s(&self, id: &JobId, now: Instant) -> Vec<f64> {
        let Some(progress) = self.jobs.progress.get(id) else { return Vec::new() };
        let running_since = |(index, placed): (&u32, &Placement)| {
            let key = (TaskId { job: id.clone(), index: *index }, placed.attempt);
            let entry = self.fleet.machines.get(&placed.machine)?.attempts.get(&key)?;
            (entry.state == TaskState::Running).then_some(entry.running_since).flatten()
        };
        let started = progress.placed.iter().filter_map(running_since);
        started.map(|at| now.saturating_duration_since(at).as_secs_f64()).collect()
    }

    /// Checks a few live jobs, in turn, and warns of those that will probably miss their deadline.
    pub(super) fn warn_of_late_jobs(&mut self, cache: &Cache, now: Instant) {
        if !self.settings.operator.estimates.warn {
            return;
        }
        let resume_from = self.runtime_predictor.next_checked_job.take();
        let ids: Vec<JobId> = match &resume_from {
            Some(id) => self
                .jobs
                .progress
                .range(id.clone()..)
                .take(WARNING_CHECKS_PER_ROUND)
                .map(|(id, _)| id.clone())
                .collect(),
            None => self.jobs.progress.keys().take(WARNING_CHECKS_PER_ROUND).cloned().collect(),
        };
        if ids.len() == WARNING_CHECKS_PER_ROUND
            && let Some(last) = ids.last()
        {
            self.runtime_predictor.next_checked_job =
                self.jobs.progress.range(last.clone()..).nth(1).map(|(id, _)| id.clone());
        }
        for id in ids {
            self.check_lateness(&id, cache, now);
        }
    }

    fn check_lateness(&mut self, id: &JobId, cache: &Cache, now: Instant) {
        let Some(live) = self.live(cache, id).filter(|live| live.is_ready()) else { return };
        let Some(due_ms) = self.due_ms(&live.spec, live.accepted_ms) else { return };
        let Some(estimate) = self.estimate(id, live, now) else { return };
        let left_s = (due_ms as f64 - self.wall_clock.ms(now) as f64) / 1000.0;
        let running = self.running_s(id, now);
        let Some(progress) = self.jobs.progress.get(id) else { return };
        let placed = progress.placed.len();
        let waiting = progress.waiting(live) + (placed - running.len().min(placed)) as u64;
        // Waiting tasks are assumed to start as soon as their team's limit allows.
        let team =
            self.settings.platform.params.teams.iter().find(|team| team.name == live.spec.team);
        let width =
            team.map_or(u64::MAX, |team| placement::max_copies(&team.limit(), &live.request));
        let remaining_run = remaining(&estimate.distribution, &running, waiting, width);
        let late = remaining_run.probability_longer_than(left_s);
        let done_in_s = remaining_run.quantile(0.5);
        let ended = live.completed_count();
        let job = self.runtime_predictor.observations_of(id, live);
        job.late_probability = late;
        job.done_in_s = done_in_s;
        let has_evidence =
            estimate.grade > Grade::Unknown || job.run_times.completed_count() >= WARNING_MIN_TASKS;
        if has_evidence && left_s > 0.0 && late >= WARNING_PROBABILITY && !job.warned {
            job.warned = true;
            self.runtime_predictor.warned += 1;
            let grade = estimate.grade;
            tracing::info!(job = %id, class = live.spec.class, late, left_s, done_in_s, ended, ?grade, "job likely to miss its deadline");
        }
    }

    /// Enqueues a write of learned estimates at the lowest priority, if one is due and the store is not backlogged.
    pub(super) fn store_estimates(&mut self, store: &mut StoreClient, now: Instant) {
        if !self.is_learning() {
            return;
        }
        self.runtime_predictor.read_stored(&store.cache);
        if store.is_backlogged() {
            return;
        }
        // The two quotes around the text count towards the size of the value.
        let max_bytes = store.layout().value_max.saturating_sub(2);
        let now_ms = now.saturating_duration_since(self.term.started_at).as_millis() as u64;
        let Some(write) =
            self.runtime_predictor.learner.cache.poll(self.term.token.0, max_bytes, now_ms)
        else {
            return;
        };
        let key = key(write.bucket);
        let preconditions = vec![
            Precondition { key: key.clone(), rev: Revision(write.rev) },
            self.term.precondition(),
        ];
        let writes = vec![Write::Put { key, data: StoreValue::from(write.value), lease: None }];
        let transaction = Transaction { preconditions, writes };
        store.enqueue(PendingWrite {
            priority: WritePriority::Background,
            origin: WriteOrigin::RuntimeEstimates(write.bucket),
            transaction,
        });
    }

    /// Applies the outcome of a write of estimates.
    pub(super) fn on_estimates_written(&mut self, bucket: u8, outcome: WriteOutcome) {
        let write_outcome = match outcome {
            WriteOutcome::Committed | WriteOutcome::Conflict => WriteResult::Settled,
            WriteOutcome::NotExecuted | WriteOutcome::Unknown => WriteResult::Unknown,
            WriteOutcome::Invalid => WriteResult::Invalid,
        };
        self.runtime_predictor.learner.cache.on_write_result(bucket, write_outcome);
    }

    /// Returns the jobs that may miss their deadline, the most probable first, and the counts of warnings.
    pub fn at_risk(&self, cache: &Cache, now: Instant) -> JobsAtRisk {
        let job_at_risk = |(id, job): (&JobId, &JobObservations)| {
            let live = cache.jobs.get(id).and_then(Job::live)?;
            let due_ms = self.due_ms(&job.spec, live.accepted_ms)?;
            let (estimate, _) = job.estimate?;
            (job.late_probability >= AT_RISK_PROBABILITY).then(|| JobAtRisk {
                job: id.clone(),
                class: job.spec.class.clone(),
                team: job.spec.team.clone(),
                late_probability: job.late_probability,
                due_in_s: (due_ms as f64 - self.wall_clock.ms(now) as f64) / 1000.0,
                done_in_s: job.done_in_s,
                done_tasks: live.completed_count(),
                tasks: job.spec.tasks,
                grade: format!("{:?}", estimate.grade).to_lowercase(),
            })
        };
        let mut jobs: Vec<JobAtRisk> =
            self.runtime_predictor.observations.iter().filter_map(job_at_risk).collect();
        jobs.sort_by(|a, b| {
            b.late_probability
                .total_cmp(&a.late_probability)
                .then(a.due_in_s.total_cmp(&b.due_in_s))
        });
        let counts = &self.runtime_predictor;
        JobsAtRisk {
            leader: self.settings.platform.host_name.to_string(),
            jobs,
            warned: counts.warned,
            warned_late: counts.warned_late,
            warned_in_time: counts.warned_in_time,
            late_unwarned: counts.late_unwarned,
        }
    }

    /// Returns the counts of warnings, of warned jobs that were late, of warned jobs that were in time, and of late
    /// jobs without a warning.
    pub(super) fn warnings(&self) -> [u64; 4] {
        let counts = &self.runtime_predictor;
        [counts.warned, counts.warned_late, counts.warned_in_time, counts.late_unwarned]
    }
}
