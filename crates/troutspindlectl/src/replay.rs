//! Replays a recorded history in order of time. Each estimate uses only runs that had ended before it.

use crate::constants::*;
use crate::past::{PastJob, schedule_on_slots};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use troutspindle_runtime_estimates::{Grade, Learner, RunObservations, hour_of, remaining};

/// Accuracy of the estimates of one grade.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GradeFigures {
    pub jobs: u64,
    /// Number of outcomes between the 10% and the 90% quantile of the estimate.
    #[serde(rename = "inside")]
    pub within_interval: u64,
    /// Number of medians within a quarter of the outcome.
    #[serde(rename = "right")]
    pub accurate: u64,
    /// Number of owner's estimates within a quarter of the outcome, among the same jobs.
    #[serde(rename = "owner_right")]
    pub owner_accurate: u64,
    /// Number of plain running means of similar jobs within a quarter of the outcome, among the same jobs.
    #[serde(rename = "mean_right")]
    pub mean_accurate: u64,
    /// 50%, 90% and 99% quantiles of the absolute error of the medians, in percent.
    #[serde(rename = "off_percent")]
    pub error_percent: [f64; 3],
    /// Number of outcomes in each twentieth of the estimate's distribution.
    #[serde(rename = "places")]
    pub outcomes_by_quantile: [u64; 20],
    #[serde(skip)]
    errors: Option<Histogram<u64>>,
}

impl GradeFigures {
    /// Records one outcome: its quantile in the estimate's distribution, and the relative errors of the median, the
    /// owner's estimate and the running mean.
    fn add(
        &mut self,
        quantile: f64,
        error: f64,
        owner_error: f64,
        mean_error: Option<f64>,
        within_interval: bool,
    ) {
        self.jobs += 1;
        self.within_interval += u64::from(within_interval);
        self.accurate += u64::from(error.abs() <= ACCURATE_WITHIN);
        self.owner_accurate += u64::from(owner_error.abs() <= ACCURATE_WITHIN);
        self.mean_accurate +=
            u64::from(mean_error.is_some_and(|error| error.abs() <= ACCURATE_WITHIN));
        self.outcomes_by_quantile[((quantile * 20.0) as usize).min(19)] += 1;
        let percent = (error.abs() * 100.0).min(1e6) as u64;
        if self.errors.is_none() {
            self.errors = Histogram::new(3).ok();
        }
        if let Some(errors) = &mut self.errors {
            errors.saturating_record(percent);
            self.error_percent =
                [0.5, 0.9, 0.99].map(|quantile| errors.value_at_quantile(quantile) as f64);
        }
    }
}

/// Counts of late jobs and of the warnings given before their due time.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Warnings {
    /// Number of jobs with a due time that completed.
    pub with_due: u64,
    /// Number of these jobs that completed after their due time.
    pub late: u64,
    /// Number of late jobs with a warning within the first half of their run.
    pub late_warned_by_half: u64,
    /// Number of late jobs with a warning at any time before they were due.
    pub late_warned: u64,
    /// Number of jobs that were late by more than a quarter of the time between submission and due time.
    pub much_late: u64,
    /// Number of these much too late jobs with a warning within the first half of their run.
    pub much_late_warned_by_half: u64,
    /// Number of jobs with a warning that completed in time.
    #[serde(rename = "wrong")]
    pub false_alarms: u64,
}

/// Accuracy of the estimates made once a tenth of a job's tasks, and at least three, had ended.
#[derive(Debug, Clone, Default, Serialize)]
pub struct EarlyEstimates {
    pub jobs: u64,
    /// Number of estimates of the remaining work that were within a quarter of it.
    #[serde(rename = "work_right")]
    pub work_accurate: u64,
    /// Number of estimates of the time from submission to the end that were within a quarter of it.
    #[serde(rename = "end_right")]
    pub end_accurate: u64,
    /// Number of estimates of the remaining time that were within a quarter of it.
    #[serde(rename = "left_right")]
    pub remaining_accurate: u64,
}

/// Results of a replay.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    pub jobs: u64,
    pub cancelled: u64,
    pub observations: u64,
    /// Accuracy by grade of the estimate at submission.
    pub grades: BTreeMap<String, GradeFigures>,
    /// Number of jobs submitted before any task of their class had ended.
    pub without_history: u64,
    /// Number of these jobs whose estimate was graded unknown.
    pub without_history_unknown: u64,
    /// Estimates for arrays of 30 tasks and more on nights of doubled inputs, once a tenth of the tasks had ended.
    pub doubled: EarlyEstimates,
    /// The same estimates for arrays of 30 tasks and more on all other nights.
    pub plain: EarlyEstimates,
    /// Estimates for smaller arrays on nights of doubled inputs; there, three tasks are more than a tenth.
    pub doubled_small: EarlyEstimates,
    /// The same estimates for smaller arrays on all other nights.
    pub plain_small: EarlyEstimates,
    pub warnings: Warnings,
    /// Day number, share of jobs with a sure estimate, and median error of the sure medians in percent.
    pub days: Vec<(u32, f64, f64)>,
    /// Number of histories stored at the end.
    pub histories: usize,
}

/// Times at which the tasks of a job ran, in seconds since its submission. A task's attempts before the last were
/// stopped.
struct Timeline {
    /// Start of the first attempt of each task.
    start_s: Vec<f64>,
    /// Start of the last attempt of each task.
    last_start_s: Vec<f64>,
    end_s: Vec<f64>,
    /// `end_s` in ascending order.
    sorted_end_s: Vec<f64>,
    /// Time at which the job was cancelled or its last task ended.
    finished_s: f64,
}

/// Schedules a job's tasks, with their stopped attempts, on as many slots as ran at once.
fn timeline(job: &PastJob) -> Timeline {
    let stopped: HashMap<usize, f64> = job.stopped.iter().copied().collect();
    let slots = usize::try_from(job.width).unwrap_or(usize::MAX).min(job.run_s.len());
    let ms = |s: f64| (s * 1000.0) as u64;
    let s = |ms: u64| ms as f64 / 1000.0;
    let stopped_ms = |task: usize| ms(stopped.get(&task).copied().unwrap_or(0.0));
    let lengths = job.run_s.iter().enumerate().map(|(task, run_s)| stopped_ms(task) + ms(*run_s));
    let (mut start_s, mut last_start_s, mut end_s) = (Vec::new(), Vec::new(), Vec::new());
    for (task, (start, end)) in schedule_on_slots(lengths, slots).enumerate() {
        start_s.push(s(start));
        last_start_s.push(s(start + stopped_ms(task)));
        end_s.push(s(end));
    }
    let mut sorted_end_s = end_s.clone();
    sorted_end_s.sort_by(f64::total_cmp);
    let last_index = match job.cancelled {
        Some(share) => (share * (sorted_end_s.len() - 1) as f64) as usize,
        None => sorted_end_s.len() - 1,
    };
    let finished_s = sorted_end_s[last_index];
    Timeline { start_s, last_start_s, end_s, sorted_end_s, finished_s }
}

impl Timeline {
    /// Returns when a tenth of the tasks, and at least three, have ended, or `None` if no task remains by then.
    fn early_s(&self) -> Option<f64> {
        let tasks = self.sorted_end_s.len();
        let early = EARLY_MIN_TASKS.max((tasks as f64 * EARLY_SHARE).ceil() as usize);
        (early < tasks).then(|| self.sorted_end_s[early - 1])
    }

    /// Returns what is known at a time: the observed run times, the time that each running task has run, and the
    /// number of waiting tasks.
    fn state_at(&self, job: &PastJob, at_s: f64) -> (RunObservations, Vec<f64>, u64) {
        let (mut observed, mut running, mut waiting) = (RunObservations::default(), Vec::new(), 0);
        for (task, run_s) in job.run_s.iter().enumerate() {
            let (start, last, end) =
                (self.start_s[task], self.last_start_s[task], self.end_s[task]);
            if start > at_s {
                waiting += 1;
                continue;
            }
            if last > start && last <= at_s {
                observed.record_censored(last - start);
            }
            if end <= at_s {
                observed.record_completed(*run_s);
            } else {
                running.push(at_s - if last <= at_s { last } else { start });
            }
        }
        (observed, running, waiting)
    }
}

/// Event of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The job has finished. Sorts first, so that its run times are learned before any other event of that time.
    Finished,
    /// The evaluation with this index is due.
    Evaluate(usize),
}

/// Job that has been submitted and has not finished.
struct ActiveJob {
    timeline: Timeline,
    /// Times of evaluation in ascending order, in seconds since submission.
    evaluations_s: Vec<f64>,
    /// Time of the warning for this job, if one was given.
    warned_s: Option<f64>,
}

/// Replays all jobs, and calls `on_submitted` once for each job that is submitted.
pub fn replay(jobs: &[PastJob], mut on_submitted: impl FnMut()) -> Figures {
    let mut figures = Figures::default();
    let mut learner = Learner::default();
    let mut active: HashMap<usize, ActiveJob> = HashMap::new();
    let mut events: BinaryHeap<Reverse<(u64, Event, usize)>> = BinaryHeap::new();
    let mut classes_with_history: HashSet<&str> = HashSet::new();
    let mut means: HashMap<SimilarityKey, (f64, f64)> = HashMap::new();
    let mut days: BTreeMap<u32, (u64, u64, Vec<f64>)> = BTreeMap::new();
    let ms = |s: f64| (s * 1000.0) as u64;
    let mut next = 0;
    loop {
        let due = events.peek().map(|Reverse((at, ..))| *at);
        let submitted = jobs.get(next).map(|job| ms(job.at_s));
        let Some(now) = due.into_iter().chain(submitted).min() else { break };
        if due == Some(now) {
            let Some(Reverse((_, event, n))) = events.pop() else { break };
            let job = &jobs[n];
            let hour = hour_of(job.at_s as u64);
            match event {
                Event::Finished => {
                    let Some(active_job) = active.remove(&n) else { continue };
                    let (observed, running, _) =
                        active_job.timeline.state_at(job, active_job.timeline.finished_s);
                    // Tasks stopped by a cancellation would have run at least as long as they did.
                    let observed = observed.with_running(&running);
                    figures.observations += (job.run_s.len() + job.stopped.len()) as u64;
                    learner.learn(&job.profile(), &observed, hour);
                    if observed.completed_count() > 0 {
                        classes_with_history.insert(&job.class);
                    }
                    if job.cancelled.is_none() {
                        let known = means.entry(similarity_key(job)).or_default();
                        *known = (known.0 + mean(job), known.1 + 1.0);
                        count_warning(job, &active_job, &mut figures.warnings);
                    }
                }
                Event::Evaluate(evaluation) => {
                    let Some(active_job) = active.get_mut(&n) else { continue };
                    evaluate_at(job, active_job, evaluation, hour, &learner, &mut figures);
                }
            }
            continue;
        }
        let job = &jobs[next];
        let hour = hour_of(job.at_s as u64);
        figures.jobs += 1;
        on_submitted();
        let estimate = learner.estimate(&job.profile(), &RunObservations::default(), hour);
        let grade = estimate.map_or(Grade::Unknown, |estimate| estimate.grade);
        if job.cancelled.is_some() {
            figures.cancelled += 1;
        } else {
            if !classes_with_history.contains(job.class.as_str()) {
                figures.without_history += 1;
                figures.without_history_unknown += u64::from(grade == Grade::Unknown);
            }
            let day = days.entry(((job.at_s - jobs[0].at_s) / DAY_S) as u32).or_default();
            day.0 += 1;
            if let Some(estimate) = estimate {
                let actual = mean(job);
                let error = estimate.p50_s / actual - 1.0;
                let owner_error = job.expect_s / actual - 1.0;
                let mean_error =
                    means.get(&similarity_key(job)).map(|(sum, n)| sum / n / actual - 1.0);
                let within_interval = (estimate.p10_s..=estimate.p90_s).contains(&actual);
                let quantile =
                    quantile_of(&[estimate.p10_s, estimate.p50_s, estimate.p90_s], actual);
                let name = format!("{grade:?}").to_lowercase();
                figures.grades.entry(name).or_default().add(
                    quantile,
                    error,
                    owner_error,
                    mean_error,
                    within_interval,
                );
                if grade == Grade::Sure {
                    day.1 += 1;
                    day.2.push(error.abs() * 100.0);
                }
            }
        }
        let timeline = timeline(job);
        let early_s = timeline.early_s();
        let due_s = job.due_s.unwrap_or(0.0);
        let steps = if due_s > 0.0 { EVALUATIONS_BEFORE_DUE } else { 0 };
        let mut evaluations_s: Vec<f64> = (0..steps)
            .map(|n| due_s * n as f64 / EVALUATIONS_BEFORE_DUE as f64)
            .chain(early_s)
            .collect();
        evaluations_s.sort_by(f64::total_cmp);
        evaluations_s.retain(|s| *s < timeline.finished_s);
        for (evaluation, s) in evaluations_s.iter().enumerate() {
            events.push(Reverse((ms(job.at_s + s), Event::Evaluate(evaluation), next)));
        }
        events.push(Reverse((ms(job.at_s + timeline.finished_s), Event::Finished, next)));
        active.insert(next, ActiveJob { timeline, evaluations_s, warned_s: None });
        next += 1;
    }
    figures.days = days
        .into_iter()
        .map(|(day, (jobs, sure, mut errors))| {
            errors.sort_by(f64::total_cmp);
            let median = errors.get(errors.len() / 2).copied().unwrap_or(0.0);
            (day, sure as f64 / jobs.max(1) as f64, median)
        })
        .collect();
    figures.histories = learner.cache.len();
    figures
}

/// Class, team, image and size: jobs that share them form one running mean.
type SimilarityKey<'a> = (&'a str, &'a str, &'a str, [u64; 3]);

fn similarity_key(job: &PastJob) -> SimilarityKey<'_> {
    (&job.class, &job.team, &job.image, job.size)
}

/// Returns the mean run time of the job's tasks in seconds, at least 0.05.
fn mean(job: &PastJob) -> f64 {
    (job.run_s.iter().sum::<f64>() / job.run_s.len() as f64).max(0.05)
}

/// Returns the share of an estimate's distribution that lies below an outcome. The logarithm of the run time is taken
/// as normally distributed on each side of the median, with a deviation of its own.
fn quantile_of([p10, p50, p90]: &[f64; 3], actual: f64) -> f64 {
    let distance = actual.ln() - p50.ln();
    let side = if distance < 0.0 { p50.ln() - p10.ln() } else { p90.ln() - p50.ln() };
    troutspindle_runtime_estimates::normal_cdf(distance / (side / 1.2816).max(1e-6))
}

/// Evaluates the estimate for a job at one of its evaluation times, and records a warning if it will probably be late.
fn evaluate_at(
    job: &PastJob,
    active_job: &mut ActiveJob,
    evaluation: usize,
    hour: u32,
    learner: &Learner,
    figures: &mut Figures,
) {
    let at_s = active_job.evaluations_s[evaluation];
    let tasks = job.run_s.len();
    let is_early = job.cancelled.is_none() && active_job.timeline.early_s() == Some(at_s);
    let due_s = job.due_s.filter(|due_s| active_job.warned_s.is_none() && at_s < *due_s);
    if !is_early && due_s.is_none() {
        return;
    }
    let (observed, running, waiting) = active_job.timeline.state_at(job, at_s);
    let all = observed.with_running(&running);
    let Some(estimate) = learner.estimate(&job.profile(), &all, hour) else { return };
    let remaining_time = remaining(&estimate.distribution, &running, waiting, job.width);
    if is_early {
        let actual_s = active_job.timeline.finished_s - at_s;
        // Remaining work in seconds: the waiting tasks, and the rest of the running ones.
        let unfinished = (0..tasks).filter(|task| active_job.timeline.end_s[*task] > at_s);
        let rest = |task: usize| {
            (active_job.timeline.end_s[task] - active_job.timeline.start_s[task].max(at_s)).max(0.0)
        };
        let actual_work_s: f64 = unfinished.map(rest).sum();
        let centre = &estimate.distribution;
        let running_s: f64 =
            running.iter().map(|elapsed_s| centre.mean_remaining_s(*elapsed_s)).sum();
        let work_s = waiting as f64 * centre.mean_s() + running_s;
        let accurate = |estimated: f64, actual: f64| {
            u64::from((estimated / actual - 1.0).abs() <= ACCURATE_WITHIN)
        };
        // Where a tenth is less than three tasks, few tasks remain (one or two), and chance dominates the result.
        let small = (tasks as f64) * EARLY_SHARE < EARLY_MIN_TASKS as f64;
        let early = match (job.doubled, small) {
            (true, false) => &mut figures.doubled,
            (false, false) => &mut figures.plain,
            (true, true) => &mut figures.doubled_small,
            (false, true) => &mut figures.plain_small,
        };
        early.jobs += 1;
        early.work_accurate += accurate(work_s, actual_work_s);
        early.end_accurate +=
            accurate(at_s + remaining_time.quantile(0.5), active_job.timeline.finished_s);
        early.remaining_accurate += accurate(remaining_time.quantile(0.5), actual_s);
    }
    // A job without history gets no warning before enough of its own run times have been observed.
    let known =
        estimate.grade > Grade::Unknown || observed.completed_count() as usize >= EARLY_MIN_TASKS;
    if let Some(due_s) = due_s
        && known
        && remaining_time.probability_longer_than(due_s - at_s) >= WARNING_PROBABILITY
    {
        active_job.warned_s = Some(at_s);
    }
}

/// Counts a completed job, its lateness and its warning.
fn count_warning(job: &PastJob, active_job: &ActiveJob, warnings: &mut Warnings) {
    let Some(due_s) = job.due_s else { return };
    let is_late = active_job.timeline.finished_s > due_s;
    warnings.with_due += 1;
    warnings.late += u64::from(is_late);
    let is_much_late = active_job.timeline.finished_s > due_s * MUCH_LATE_FACTOR;
    warnings.much_late += u64::from(is_much_late);
    match active_job.warned_s {
        Some(at_s) if is_late => {
            let by_half = u64::from(at_s <= active_job.timeline.finished_s * USEFUL_WARNING_SHARE);
            warnings.late_warned += 1;
            warnings.late_warned_by_half += by_half;
            warnings.much_late_warned_by_half += by_half * u64::from(is_much_late);
        }
        Some(_) => warnings.false_alarms += 1,
        None => {}
    }
}

#[cfg(test)]
mod tests;
