//! Run times: learned from tasks that end, told of jobs that will be late. Every use of them elsewhere
//! has a switch of its own in the operators' settings.

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
    Current, Estimate, Grade, Learner, Profile, Told, hour_of, remaining,
};

/// Count. Estimates found anew before a planning pass, some ten microseconds each: eight passes a second take
/// a fortieth of a small controller's allowance.
const ESTIMATES_PER_PASS: usize = 30;
/// How old an estimate may be that decisions use.
const ESTIMATE_MAX_AGE: Duration = Duration::from_secs(5);
/// Seconds. A task that ran before and is done within this time only gave its result again.
const RESULT_REPLAY_MAX_S: f64 = 1.0;
/// Count. Jobs looked at in one round, five a second, for whether they will be late: each takes up to a
/// quarter of a millisecond.
const WARNING_CHECKS_PER_ROUND: usize = 3;
/// Probability of being late from which on a job is warned of: more than one in ten warnings would be
/// wrong below it, in replayed histories.
pub(crate) const WARNING_PROBABILITY: f64 = 0.9;
/// Probability from which on it stands in the list that operators ask for.
const AT_RISK_PROBABILITY: f64 = 0.5;
/// Count. Tasks that must have ended before a job of which nothing else is known is warned of.
const WARNING_MIN_TASKS: u32 = 3;

/// The run of one attempt, as far as it was seen.
#[derive(Debug)]
pub(super) struct ObservedRun {
    /// How long it ran; not known if its start was not seen.
    pub(super) duration: Option<Duration>,
    /// Whether it ran to its end.
    pub(super) done: bool,
    /// Whether it saved its progress.
    pub(super) saved: bool,
}

/// What was seen of a job's run under this leader.
#[derive(Debug)]
struct Seen {
    spec: Arc<JobSpec>,
    need: Amount,
    accepted_ms: u64,
    shown: Current,
    /// Seconds of work that tasks which ran before have saved.
    saved_s: HashMap<u32, f64>,
    /// What is known by now, and since when.
    known: Option<(Estimate, Instant)>,
    /// Probability of being late when it was last looked at.
    late: f64,
    done_in_s: f64,
    warned: bool,
}

/// Run times as they were learned, and the jobs that are watched for lateness.
#[derive(Debug, Default)]
pub(super) struct RuntimePredictor {
    learner: Learner,
    /// Ordered, so that equal events have equal effects.
    seen: BTreeMap<JobId, Seen>,
    /// Where the round of looks at jobs goes on, and that of estimates before a pass.
    next: Option<JobId>,
    pass_from: usize,
    warned: u64,
    warned_late: u64,
    warned_in_time: u64,
    late_unwarned: u64,
}

fn profile<'a>(id: &'a JobId, spec: &'a JobSpec, need: &Amount) -> Profile<'a> {
    Profile {
        job: id.as_str(),
        class: &spec.class,
        team: &spec.team,
        image: &spec.image,
        size: [need.cpu, need.gpu, need.ram],
        expect_s: spec.expect_s,
        tasks: spec.tasks,
    }
}

impl RuntimePredictor {
    /// A predictor that knows what its predecessors stored.
    pub(super) fn new(cache: &Cache) -> RuntimePredictor {
        let mut learning = RuntimePredictor::default();
        learning.read(cache);
        learning
    }

    /// Takes in what is kept at the store by now.
    fn read(&mut self, cache: &Cache) {
        for (bucket, known) in &cache.estimates {
            let (value, revision) = (known.value.as_deref(), known.revision);
            if let Err(error) = self.learner.keeper.on_kept(*bucket, value, revision.0) {
                // It costs what was learned there, and nothing else.
                tracing::info!(key = %key(*bucket), %error, "runtime estimates unreadable");
            }
        }
    }

    /// Seconds that a task which has run so long still takes, if anything is known of it.
    pub(super) fn remaining_s(&self, id: &JobId, ran_s: f64) -> Option<f64> {
        let (estimate, _) = self.seen.get(id)?.known?;
        (estimate.grade > Grade::Unknown).then(|| estimate.centre.rest_s(ran_s))
    }

    fn seen(&mut self, id: &JobId, live: &LiveJob) -> &mut Seen {
        self.seen.entry(id.clone()).or_insert_with(|| Seen {
            spec: live.spec.clone(),
            need: live.need,
            accepted_ms: live.accepted_ms,
            shown: Current::default(),
            saved_s: HashMap::new(),
            known: None,
            late: 0.0,
            done_in_s: 0.0,
            warned: false,
        })
    }
}

/// The store key of a bucket of estimates.
pub(crate) fn key(bucket: u8) -> String {
    format!("{ESTIMATES_PREFIX}{bucket:02x}")
}

impl Scheduler {
    fn is_learning(&self) -> bool {
        self.settings.operator.estimates.learn
    }

    /// A task ran so long, to its end or until it was stopped, killed or lost. None: it is not known when it
    /// began.
    pub(super) fn record_task_run(
        &mut self,
        task: &TaskId,
        machine: &MachineId,
        live: Option<&LiveJob>,
        run: &ObservedRun,
    ) {
        let Some(live) = live.filter(|live| live.spec.kind != JobKind::Service) else { return };
        // A faulty machine shows nothing about its tasks.
        let faulty = |m: &Machine| m.faulty || !m.failed_jobs.is_empty();
        if !self.is_learning() || self.fleet.machines.get(machine).is_some_and(faulty) {
            return;
        }
        let Some(run_s) = run.duration.map(|ran| ran.as_secs_f64()) else { return };
        let work = self.jobs.progress.get(&task.job);
        let first = work.is_none_or(|work| !work.retries.contains_key(&task.index));
        let seen = self.runtime_predictor.seen(&task.job, live);
        let before_s = seen.saved_s.get(&task.index).copied();
        match (run.done, before_s) {
            // It had run to its end before, and the machine only gave the result again.
            (true, None) if !first && run_s < RESULT_REPLAY_MAX_S => {}
            (true, before_s) => seen.shown.ended(run_s + before_s.unwrap_or(0.0)),
            (false, before_s) => {
                let all_s = run_s + before_s.unwrap_or(0.0);
                seen.shown.cut(all_s);
                // Only what was saved is not run again.
                let every_s = live.spec.checkpoint_s;
                if run.saved {
                    seen.saved_s.insert(task.index, all_s);
                } else if every_s > 0.0 {
                    let kept_s = before_s.unwrap_or(0.0) + (run_s / every_s).floor() * every_s;
                    seen.saved_s.insert(task.index, kept_s);
                }
            }
        }
    }

    /// A job is over, done or cancelled: its run counts, and so does whether it was warned of.
    pub(super) fn record_job_end(&mut self, id: &JobId, cancelled: bool, now: Instant) {
        let Some(seen) = self.runtime_predictor.seen.remove(id) else { return };
        let hour = self.hour(now);
        self.runtime_predictor.learner.learn(
            &profile(id, &seen.spec, &seen.need),
            &seen.shown,
            hour,
        );
        if !cancelled && let Some(due_ms) = self.due_ms(&seen.spec, seen.accepted_ms) {
            let late = self.wall_clock.ms(now) > due_ms;
            let counts = &mut self.runtime_predictor;
            match (seen.warned, late) {
                (true, true) => counts.warned_late += 1,
                (true, false) => counts.warned_in_time += 1,
                (false, true) => counts.late_unwarned += 1,
                (false, false) => {}
            }
        }
    }

    /// What is known of jobs like this one.
    #[cfg(test)]
    pub(super) fn estimate_of(&self, profile: &Profile<'_>) -> Option<Estimate> {
        self.runtime_predictor.learner.estimate(profile, &Current::default(), 0)
    }

    fn hour(&self, now: Instant) -> u32 {
        hour_of(self.wall_clock.ms(now) / 1000)
    }

    /// By when a job should be done, by its own due time or the aim of its class, in milliseconds.
    fn due_ms(&self, spec: &JobSpec, accepted_ms: u64) -> Option<u64> {
        let due_s = spec.due_s.filter(|_| self.settings.has_deadline(&spec.class));
        let due_s = due_s.into_iter().chain(self.settings.finish_objective(&spec.class));
        due_s.min_by(f64::total_cmp).map(|s| accepted_ms.saturating_add((s * 1000.0) as u64))
    }

    /// What is known of a job's run times, not older than a few seconds.
    fn estimate(&mut self, id: &JobId, live: &LiveJob, now: Instant) -> Option<Estimate> {
        if live.spec.kind == JobKind::Service || !self.is_learning() {
            return None;
        }
        let known = self.runtime_predictor.seen.get(id).and_then(|seen| seen.known);
        if let Some((estimate, at)) = known
            && now < at + ESTIMATE_MAX_AGE
        {
            return Some(estimate);
        }
        let hour = self.hour(now);
        let running = self.running_s(id, now);
        let seen = self.runtime_predictor.seen(id, live);
        let shown = seen.shown.with_running(&running);
        let profile = profile(id, &live.spec, &live.need);
        let estimate = self.runtime_predictor.learner.estimate(&profile, &shown, hour)?;
        self.runtime_predictor.seen(id, live).known = Some((estimate, now));
        Some(estimate)
    }

    /// Finds out about jobs that decisions ask for, before they are made: a few in each pass, in turn, so
    /// that a guest's thousands of jobs make none long.
    pub(super) fn estimate_all(&mut self, live: &[(&JobId, &LiveJob)], now: Instant) {
        let switches = &self.settings.operator.estimates;
        if !(switches.due || switches.ahead || switches.make_way || switches.drain) {
            return;
        }
        let from = self.runtime_predictor.pass_from % live.len().max(1);
        let stale = |id: &JobId| {
            let known = self.runtime_predictor.seen.get(id).and_then(|seen| seen.known);
            known.is_none_or(|(_, at)| now >= at + ESTIMATE_MAX_AGE)
        };
        let turn = live[from..].iter().chain(&live[..from]).enumerate();
        let arrays = turn.filter(|(_, (_, job))| job.spec.kind != JobKind::Service);
        let due: Vec<_> =
            arrays.filter(|(_, (id, _))| stale(id)).take(ESTIMATES_PER_PASS).collect();
        self.runtime_predictor.pass_from = from + due.last().map_or(0, |(n, _)| n + 1);
        for (_, (id, job)) in due {
            self.estimate(id, job, now);
        }
    }

    /// Seconds that a task of the job takes, where that is known better than its owner says.
    pub(super) fn run_s(&self, id: &JobId, job: &LiveJob, used: bool) -> f64 {
        let known = self.runtime_predictor.seen.get(id).and_then(|seen| seen.known);
        match known.filter(|(estimate, _)| used && estimate.grade > Grade::Unknown) {
            Some((estimate, _)) => estimate.p50_s,
            None => job.spec.expect_s,
        }
    }

    /// For how long each task of the job has been running, in seconds.
    fn running_s(&self, id: &JobId, now: Instant) -> Vec<f64> {
        let Some(work) = self.jobs.progress.get(id) else { return Vec::new() };
        let began = |(index, placed): (&u32, &Placement)| {
            let key = (TaskId { job: id.clone(), index: *index }, placed.attempt);
            let entry = self.fleet.machines.get(&placed.machine)?.attempts.get(&key)?;
            (entry.state == TaskState::Running).then_some(entry.running_since).flatten()
        };
        let began = work.placed.iter().filter_map(began);
        began.map(|at| now.saturating_duration_since(at).as_secs_f64()).collect()
    }

    /// Looks at a few jobs with a due time, in turn, and warns of those that will probably miss it.
    pub(super) fn warn_of_late_jobs(&mut self, cache: &Cache, now: Instant) {
        if !self.settings.operator.estimates.warn {
            return;
        }
        let after = self.runtime_predictor.next.take();
        let ids: Vec<JobId> = match &after {
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
            self.runtime_predictor.next =
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
        let Some(work) = self.jobs.progress.get(id) else { return };
        let waiting =
            work.waiting(live) + (work.placed.len() - running.len().min(work.placed.len())) as u64;
        // What waits is taken to find room as its team's limit allows.
        let team =
            self.settings.platform.params.teams.iter().find(|team| team.name == live.spec.team);
        let width = team.map_or(u64::MAX, |team| placement::max_copies(&team.limit(), &live.need));
        let rest = remaining(&estimate.centre, &running, waiting, width);
        let late = rest.later_than(left_s);
        let done_in_s = rest.point(0.5);
        let ended = live.completed_count();
        let seen = self.runtime_predictor.seen(id, live);
        seen.late = late;
        seen.done_in_s = done_in_s;
        let known = estimate.grade > Grade::Unknown || seen.shown.count() >= WARNING_MIN_TASKS;
        if known && left_s > 0.0 && late >= WARNING_PROBABILITY && !seen.warned {
            seen.warned = true;
            self.runtime_predictor.warned += 1;
            let grade = estimate.grade;
            tracing::info!(job = %id, class = live.spec.class, late, left_s, done_in_s, ended, ?grade, "job likely to miss its deadline");
        }
    }

    /// Writes what was learned, after all else.
    pub(super) fn store_estimates(&mut self, store: &mut StoreClient, now: Instant) {
        if !self.is_learning() {
            return;
        }
        self.runtime_predictor.read(&store.cache);
        if store.is_backlogged() {
            return;
        }
        // The quotes of a text are part of its value.
        let most = store.layout().value_max.saturating_sub(2);
        let now_ms = now.saturating_duration_since(self.term.started_at).as_millis() as u64;
        let Some(write) =
            self.runtime_predictor.learner.keeper.poll(self.term.token.0, most, now_ms)
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

    /// Takes in how a write of estimates ended.
    pub(super) fn on_estimates_written(&mut self, bucket: u8, outcome: WriteOutcome) {
        let told = match outcome {
            WriteOutcome::Committed | WriteOutcome::Conflict => Told::Settled,
            WriteOutcome::NotExecuted | WriteOutcome::Unknown => Told::Unsure,
            WriteOutcome::Invalid => Told::Invalid,
        };
        self.runtime_predictor.learner.keeper.on_told(bucket, told);
    }

    /// What operators are told.
    pub fn at_risk(&self, cache: &Cache, now: Instant) -> JobsAtRisk {
        let risky = |(id, seen): (&JobId, &Seen)| {
            let live = cache.jobs.get(id).and_then(Job::live)?;
            let due_ms = self.due_ms(&seen.spec, live.accepted_ms)?;
            let (estimate, _) = seen.known?;
            (seen.late >= AT_RISK_PROBABILITY).then(|| JobAtRisk {
                job: id.clone(),
                class: seen.spec.class.clone(),
                team: seen.spec.team.clone(),
                late_probability: seen.late,
                due_in_s: (due_ms as f64 - self.wall_clock.ms(now) as f64) / 1000.0,
                done_in_s: seen.done_in_s,
                done_tasks: live.completed_count(),
                tasks: seen.spec.tasks,
                grade: format!("{:?}", estimate.grade).to_lowercase(),
            })
        };
        let mut jobs: Vec<JobAtRisk> =
            self.runtime_predictor.seen.iter().filter_map(risky).collect();
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

    /// Warnings so far, and how they turned out: late, in time, and late ones not warned of.
    pub(super) fn warnings(&self) -> [u64; 4] {
        let counts = &self.runtime_predictor;
        [counts.warned, counts.warned_late, counts.warned_in_time, counts.late_unwarned]
    }
}
