//! Plays a recorded history in order, never looking ahead: each estimate rests on what had ended before.

use crate::constants::*;
use crate::past::{PastJob, on_places};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use troutspindle_runtime_estimates::{Grade, Learner, RunObservations, hour_of, remaining};

/// How estimates of one grade did.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GradeFigures {
    pub jobs: u64,
    /// Outcomes between the 10% and the 90% point.
    pub inside: u64,
    /// Medians within a quarter of the outcome; of the same jobs the owner's estimate, and a plain running
    /// mean of like jobs.
    pub right: u64,
    pub owner_right: u64,
    pub mean_right: u64,
    /// How far medians were off, in percent: 50%, 90% and 99% points.
    pub off_percent: [f64; 3],
    /// Outcomes by where in the estimate's distribution they lay, in twentieths.
    pub places: [u64; 20],
    #[serde(skip)]
    off: Option<Histogram<u64>>,
}

impl GradeFigures {
    fn add(&mut self, share: f64, off: f64, owner: f64, mean: Option<f64>, inside: bool) {
        self.jobs += 1;
        self.inside += u64::from(inside);
        self.right += u64::from(off.abs() <= RIGHT);
        self.owner_right += u64::from(owner.abs() <= RIGHT);
        self.mean_right += u64::from(mean.is_some_and(|off| off.abs() <= RIGHT));
        self.places[((share * 20.0) as usize).min(19)] += 1;
        let percent = (off.abs() * 100.0).min(1e6) as u64;
        if self.off.is_none() {
            self.off = Histogram::new(3).ok();
        }
        if let Some(off) = &mut self.off {
            off.saturating_record(percent);
            self.off_percent = [0.5, 0.9, 0.99].map(|share| off.value_at_quantile(share) as f64);
        }
    }
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct Warnings {
    /// Jobs with a due time that ended, and how many of them late.
    pub with_due: u64,
    pub late: u64,
    /// Late ones warned of by half their run, and at any time before they were due.
    pub late_warned_by_half: u64,
    pub late_warned: u64,
    /// The same of those that were late by more than a quarter of the time they had.
    pub much_late: u64,
    pub much_late_warned_by_half: u64,
    /// Jobs warned of that were in time.
    pub wrong: u64,
}

/// Looks at jobs of which a tenth, three tasks at the least, had ended.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Early {
    pub jobs: u64,
    /// Within a quarter: the work that remained, the time of the end since submission, and the time left.
    pub work_right: u64,
    pub end_right: u64,
    pub left_right: u64,
}

#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    pub jobs: u64,
    pub cancelled: u64,
    pub observations: u64,
    /// By grade at submission.
    pub grades: BTreeMap<String, GradeFigures>,
    /// Jobs of whose class no task had ended before, and how many of them were called unknown.
    pub without_history: u64,
    pub without_history_unknown: u64,
    /// What remained once a tenth of the tasks had ended: on nights of doubled inputs, and on all others.
    /// Arrays of 30 tasks and more, and smaller ones, of which three tasks are more than a tenth.
    pub doubled: Early,
    pub plain: Early,
    pub doubled_small: Early,
    pub plain_small: Early,
    pub warnings: Warnings,
    /// For each day: share of sure ones, and the median error of sure medians in percent.
    pub days: Vec<(u32, f64, f64)>,
    /// Histories that are kept at the end.
    pub histories: usize,
}

/// When each task of a job ran: begin of its last attempt, and end; those before that were stopped.
struct Course {
    begin_s: Vec<f64>,
    last_s: Vec<f64>,
    end_s: Vec<f64>,
    /// Ends in order.
    order_s: Vec<f64>,
    /// When it was cancelled, or when all had ended.
    over_s: f64,
}

fn course(job: &PastJob) -> Course {
    let stopped: HashMap<usize, f64> = job.stopped.iter().copied().collect();
    let places = usize::try_from(job.width).unwrap_or(usize::MAX).min(job.run_s.len());
    let ms = |s: f64| (s * 1000.0) as u64;
    let s = |ms: u64| ms as f64 / 1000.0;
    let before = |task: usize| ms(stopped.get(&task).copied().unwrap_or(0.0));
    let lengths = job.run_s.iter().enumerate().map(|(task, run_s)| before(task) + ms(*run_s));
    let (mut begin_s, mut last_s, mut end_s) = (Vec::new(), Vec::new(), Vec::new());
    for (task, (begin, end)) in on_places(lengths, places).enumerate() {
        begin_s.push(s(begin));
        last_s.push(s(begin + before(task)));
        end_s.push(s(end));
    }
    let mut order_s = end_s.clone();
    order_s.sort_by(f64::total_cmp);
    let over = match job.cancelled {
        Some(share) => (share * (order_s.len() - 1) as f64) as usize,
        None => order_s.len() - 1,
    };
    let over_s = order_s[over];
    Course { begin_s, last_s, end_s, order_s, over_s }
}

impl Course {
    /// When a tenth of the tasks, three at the least, have ended; none if nothing is left then.
    fn early_s(&self) -> Option<f64> {
        let tasks = self.order_s.len();
        let early = EARLY_LEAST.max((tasks as f64 * EARLY_SHARE).ceil() as usize);
        (early < tasks).then(|| self.order_s[early - 1])
    }

    /// What is known at a time: run times seen, how long each running task has run, and how many wait.
    fn look(&self, job: &PastJob, at_s: f64) -> (RunObservations, Vec<f64>, u64) {
        let (mut shown, mut running, mut waiting) = (RunObservations::default(), Vec::new(), 0);
        for (task, run_s) in job.run_s.iter().enumerate() {
            let (begin, last, end) = (self.begin_s[task], self.last_s[task], self.end_s[task]);
            if begin > at_s {
                waiting += 1;
                continue;
            }
            if last > begin && last <= at_s {
                shown.record_censored(last - begin);
            }
            if end <= at_s {
                shown.record_completed(*run_s);
            } else {
                running.push(at_s - if last <= at_s { last } else { begin });
            }
        }
        (shown, running, waiting)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// It is over: learned before anything else that happens then.
    Over,
    Look(usize),
}

struct Going {
    course: Course,
    looks_s: Vec<f64>,
    /// When it was warned of, if it was.
    warned_s: Option<f64>,
}

/// Plays all jobs. `told` is called with each that was submitted.
pub fn replay(jobs: &[PastJob], mut told: impl FnMut()) -> Figures {
    let mut figures = Figures::default();
    let mut learner = Learner::default();
    let mut going: HashMap<usize, Going> = HashMap::new();
    let mut events: BinaryHeap<Reverse<(u64, What, usize)>> = BinaryHeap::new();
    let mut ended: HashSet<&str> = HashSet::new();
    let mut means: HashMap<Like, (f64, f64)> = HashMap::new();
    let mut days: BTreeMap<u32, (u64, u64, Vec<f64>)> = BTreeMap::new();
    let ms = |s: f64| (s * 1000.0) as u64;
    let mut next = 0;
    loop {
        let due = events.peek().map(|Reverse((at, ..))| *at);
        let submitted = jobs.get(next).map(|job| ms(job.at_s));
        let Some(now) = due.into_iter().chain(submitted).min() else { break };
        if due == Some(now) {
            let Some(Reverse((_, what, n))) = events.pop() else { break };
            let job = &jobs[n];
            let hour = hour_of(job.at_s as u64);
            match what {
                What::Over => {
                    let Some(run) = going.remove(&n) else { continue };
                    let (shown, running, _) = run.course.look(job, run.course.over_s);
                    // What a cancellation stopped ran at least that long.
                    let shown = shown.with_running(&running);
                    figures.observations += (job.run_s.len() + job.stopped.len()) as u64;
                    learner.learn(&job.profile(), &shown, hour);
                    if shown.completed_count() > 0 {
                        ended.insert(&job.class);
                    }
                    if job.cancelled.is_none() {
                        let known = means.entry(like(job)).or_default();
                        *known = (known.0 + mean(job), known.1 + 1.0);
                        warned(job, &run, &mut figures.warnings);
                    }
                }
                What::Look(look) => {
                    let Some(run) = going.get_mut(&n) else { continue };
                    evaluate_at(job, run, look, hour, &learner, &mut figures);
                }
            }
            continue;
        }
        let job = &jobs[next];
        let hour = hour_of(job.at_s as u64);
        figures.jobs += 1;
        told();
        let estimate = learner.estimate(&job.profile(), &RunObservations::default(), hour);
        let grade = estimate.map_or(Grade::Unknown, |estimate| estimate.grade);
        if job.cancelled.is_some() {
            figures.cancelled += 1;
        } else {
            if !ended.contains(job.class.as_str()) {
                figures.without_history += 1;
                figures.without_history_unknown += u64::from(grade == Grade::Unknown);
            }
            let day = days.entry(((job.at_s - jobs[0].at_s) / DAY_S) as u32).or_default();
            day.0 += 1;
            if let Some(estimate) = estimate {
                let truth = mean(job);
                let off = estimate.p50_s / truth - 1.0;
                let owner = job.expect_s / truth - 1.0;
                let plain = means.get(&like(job)).map(|(sum, n)| sum / n / truth - 1.0);
                let inside = (estimate.p10_s..=estimate.p90_s).contains(&truth);
                let share = place(&[estimate.p10_s, estimate.p50_s, estimate.p90_s], truth);
                let name = format!("{grade:?}").to_lowercase();
                figures.grades.entry(name).or_default().add(share, off, owner, plain, inside);
                if grade == Grade::Sure {
                    day.1 += 1;
                    day.2.push(off.abs() * 100.0);
                }
            }
        }
        let course = course(job);
        let early_s = course.early_s();
        let due_s = job.due_s.unwrap_or(0.0);
        let steps = if due_s > 0.0 { LOOKS } else { 0 };
        let mut looks_s: Vec<f64> =
            (0..steps).map(|n| due_s * n as f64 / LOOKS as f64).chain(early_s).collect();
        looks_s.sort_by(f64::total_cmp);
        looks_s.retain(|s| *s < course.over_s);
        for (look, s) in looks_s.iter().enumerate() {
            events.push(Reverse((ms(job.at_s + s), What::Look(look), next)));
        }
        events.push(Reverse((ms(job.at_s + course.over_s), What::Over, next)));
        going.insert(next, Going { course, looks_s, warned_s: None });
        next += 1;
    }
    figures.days = days
        .into_iter()
        .map(|(day, (jobs, sure, mut off))| {
            off.sort_by(f64::total_cmp);
            let middle = off.get(off.len() / 2).copied().unwrap_or(0.0);
            (day, sure as f64 / jobs.max(1) as f64, middle)
        })
        .collect();
    figures.histories = learner.cache.len();
    figures
}

/// Class, team, image and size.
type Like<'a> = (&'a str, &'a str, &'a str, [u64; 3]);

fn like(job: &PastJob) -> Like<'_> {
    (&job.class, &job.team, &job.image, job.size)
}

fn mean(job: &PastJob) -> f64 {
    (job.run_s.iter().sum::<f64>() / job.run_s.len() as f64).max(0.05)
}

/// Which share of an estimate's distribution lies below an outcome: normal on either side of its median.
fn place([p10, p50, p90]: &[f64; 3], truth: f64) -> f64 {
    let off = truth.ln() - p50.ln();
    let side = if off < 0.0 { p50.ln() - p10.ln() } else { p90.ln() - p50.ln() };
    troutspindle_runtime_estimates::normal_cdf(off / (side / 1.2816).max(1e-6))
}

fn evaluate_at(
    job: &PastJob,
    run: &mut Going,
    look: usize,
    hour: u32,
    learner: &Learner,
    figures: &mut Figures,
) {
    let at_s = run.looks_s[look];
    let tasks = job.run_s.len();
    let is_early = job.cancelled.is_none() && run.course.early_s() == Some(at_s);
    let due_s = job.due_s.filter(|due_s| run.warned_s.is_none() && at_s < *due_s);
    if !is_early && due_s.is_none() {
        return;
    }
    let (shown, running, waiting) = run.course.look(job, at_s);
    let all = shown.with_running(&running);
    let Some(estimate) = learner.estimate(&job.profile(), &all, hour) else { return };
    let left = remaining(&estimate.distribution, &running, waiting, job.width);
    if is_early {
        let truth_s = run.course.over_s - at_s;
        // Seconds of work: what waits, and the rest of what runs.
        let open = (0..tasks).filter(|task| run.course.end_s[*task] > at_s);
        let rest =
            |task: usize| (run.course.end_s[task] - run.course.begin_s[task].max(at_s)).max(0.0);
        let truth_work: f64 = open.map(rest).sum();
        let centre = &estimate.distribution;
        let running_s: f64 = running.iter().map(|ran| centre.mean_remaining_s(*ran)).sum();
        let work = waiting as f64 * centre.mean_s() + running_s;
        let right = |told: f64, truth: f64| u64::from((told / truth - 1.0).abs() <= RIGHT);
        // Where a tenth is less than three tasks, what is left is one or two tasks and their chance.
        let small = (tasks as f64) * EARLY_SHARE < EARLY_LEAST as f64;
        let early = match (job.doubled, small) {
            (true, false) => &mut figures.doubled,
            (false, false) => &mut figures.plain,
            (true, true) => &mut figures.doubled_small,
            (false, true) => &mut figures.plain_small,
        };
        early.jobs += 1;
        early.work_right += right(work, truth_work);
        early.end_right += right(at_s + left.quantile(0.5), run.course.over_s);
        early.left_right += right(left.quantile(0.5), truth_s);
    }
    // What nothing is known of is not warned of before it shows itself.
    let known = estimate.grade > Grade::Unknown || shown.completed_count() as usize >= EARLY_LEAST;
    if let Some(due_s) = due_s
        && known
        && left.probability_longer_than(due_s - at_s) >= WARN_FROM
    {
        run.warned_s = Some(at_s);
    }
}

fn warned(job: &PastJob, run: &Going, warnings: &mut Warnings) {
    let Some(due_s) = job.due_s else { return };
    let is_late = run.course.over_s > due_s;
    warnings.with_due += 1;
    warnings.late += u64::from(is_late);
    let much = run.course.over_s > due_s * MUCH_LATE;
    warnings.much_late += u64::from(much);
    match run.warned_s {
        Some(at_s) if is_late => {
            let by_half = u64::from(at_s <= run.course.over_s * WARN_BY);
            warnings.late_warned += 1;
            warnings.late_warned_by_half += by_half;
            warnings.much_late_warned_by_half += by_half * u64::from(much);
        }
        Some(_) => warnings.wrong += 1,
        None => {}
    }
}

#[cfg(test)]
mod tests;
