//! Generates a seeded history of synthetic jobs with the properties that make estimates hard: heavy tails, weekly
//! variation, drift, lasting changes, nights of doubled inputs, new classes, class names reused for other work, owners
//! with a constant error, cancelled jobs and killed tasks.

use crate::constants::*;
use crate::past::{PastJob, schedule_on_slots};
use ordered_float::OrderedFloat;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Normal, NormalError, Poisson};

/// Properties shared by all jobs of a class.
struct Class {
    name: String,
    team: usize,
    image: String,
    size: [u64; 3],
    /// Logarithm of the typical run time of a task.
    ln_run_s: f64,
    /// Standard deviation of the logarithm of the run time between jobs.
    sd_between_jobs: f64,
    /// Standard deviation of the logarithm of the run time between the tasks of one job.
    sd_within_job: f64,
    /// Share of tasks that take four times as long.
    heavy_share: f64,
    /// Logarithm of the typical number of tasks.
    ln_tasks: f64,
    /// Share of a job's tasks that run at once; above 1, all of them do.
    width_share: f64,
    /// Mean number of jobs per day.
    jobs_per_day: f64,
    /// Hour of submission, for classes with one job per day.
    hour: f64,
    /// Amount added to the logarithm of the run time on each weekday, from Sunday.
    weekday: [f64; 7],
    /// Amount added to the logarithm of the run time per day.
    drift_per_day: f64,
    /// Day of a lasting change, and the amount that it adds to the logarithm of the run time.
    step: Option<(f64, f64)>,
    /// Day from which the class name stands for other work.
    reused_from_day: Option<f64>,
    /// First day on which jobs of the class are submitted.
    from_day: f64,
    /// Error of the owner's estimates in this class, added to the logarithm of the run time.
    owner_error: f64,
    /// Multiple of the longest remembered run that the due time allows, if the class has one.
    due_factor: Option<f64>,
}

/// Draws the properties of one class.
fn draw_class(n: usize, teams: usize, days: f64, random: &mut ChaCha8Rng) -> Class {
    let chance = |random: &mut ChaCha8Rng, share: f64| random.random::<f64>() < share;
    let between = |random: &mut ChaCha8Rng, from: f64, to: f64| random.random_range(from..to);
    let mut weekday = [0.0; 7];
    if chance(random, 0.2) {
        let day = random.random_range(0..7);
        weekday[day] = between(random, 0.25, 0.6);
    }
    let drift_per_day = if chance(random, 0.15) { between(random, -0.008, 0.008) } else { 0.0 };
    let step =
        chance(random, 0.15).then(|| (between(random, 0.2, 0.9) * days, between(random, 0.4, 0.9)));
    Class {
        name: format!("class-{n:03}"),
        team: random.random_range(0..teams),
        image: format!("img-{:02}", random.random_range(0..40)),
        size: [random.random_range(1..9), 0, random.random_range(2..33)],
        ln_run_s: between(random, 2.5, 6.5),
        sd_between_jobs: between(random, 0.02, 0.2) * if chance(random, 0.15) { 2.5 } else { 1.0 },
        sd_within_job: between(random, 0.05, 0.5),
        heavy_share: if chance(random, 0.15) { 0.02 } else { 0.0 },
        ln_tasks: between(random, 1.5, 5.0),
        width_share: between(random, 0.15, 1.2),
        jobs_per_day: if chance(random, 0.3) { between(random, 2.0, 8.0) } else { 1.0 },
        hour: between(random, 0.0, 24.0),
        weekday,
        drift_per_day,
        step,
        reused_from_day: chance(random, 0.03).then(|| between(random, 0.3, 0.8) * days),
        from_day: if chance(random, 0.2) { between(random, 0.0, 0.9) * days } else { 0.0 },
        owner_error: between(random, -0.6, 0.6),
        due_factor: chance(random, 0.7).then(|| between(random, 1.1, 1.4)),
    }
}

/// Returns the time in seconds from the first start to the last end of tasks that run `width` at a time.
fn span_s(run_s: impl Iterator<Item = f64>, width: usize) -> f64 {
    let ends = schedule_on_slots(run_s.map(OrderedFloat), width).map(|(_, end)| end);
    ends.max().unwrap_or_default().into_inner()
}

/// Generates the jobs of a number of classes over a number of days, in order of submission. Calls `on_class_done` once
/// after each class.
pub fn generate(
    seed: u64,
    days: u32,
    classes: usize,
    mut on_class_done: impl FnMut(),
) -> Vec<PastJob> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let days_f = f64::from(days);
    let teams = (classes / 12).max(2);
    // The owners of one team share a constant error of their estimates.
    let team_errors: Vec<f64> = (0..teams).map(|_| random.random_range(-0.5..0.7)).collect();
    let mut jobs = Vec::new();
    for n in 0..classes {
        let mut class = draw_class(n, teams, days_f, &mut random);
        for day in 0..days {
            let day_f = f64::from(day);
            if day_f < class.from_day {
                continue;
            }
            if class.reused_from_day.is_some_and(|from| day_f >= from) {
                class.reused_from_day = None;
                class.ln_run_s = random.random_range(2.5..6.5);
                class.image = format!("img-{:02}", random.random_range(40..60));
                class.size[0] += 3;
            }
            let job_count = if class.jobs_per_day > 1.0 {
                Poisson::new(class.jobs_per_day)
                    .map_or(1, |jobs_per_day| jobs_per_day.sample(&mut random) as usize)
            } else {
                1
            };
            let doubled_night = random.random::<f64>() < 0.02;
            for run in 0..job_count {
                let spread = if job_count > 1 {
                    random.random_range(0.0..DAY_S)
                } else {
                    600.0 * random.random::<f64>()
                };
                let at_s = HISTORY_START_S
                    + day_f * DAY_S
                    + class.hour * 3600.0 * f64::from(u8::from(job_count == 1))
                    + spread;
                jobs.push(draw_job(
                    &class,
                    (n, day, run),
                    at_s,
                    doubled_night,
                    &team_errors,
                    &mut random,
                ));
            }
        }
        on_class_done();
    }
    jobs.sort_by(|a, b| a.at_s.total_cmp(&b.at_s).then_with(|| a.job.cmp(&b.job)));
    jobs
}

/// Draws the run time of one task in seconds. The given share of tasks takes four times as long.
fn draw_task(
    times: &Result<LogNormal<f64>, NormalError>,
    heavy_share: f64,
    random: &mut ChaCha8Rng,
) -> f64 {
    let run_s = times.as_ref().map_or(1.0, |times| times.sample(random));
    if random.random::<f64>() < heavy_share { run_s * 4.0 } else { run_s }
}

/// Draws one job of a class.
fn draw_job(
    class: &Class,
    (n, day, run): (usize, u32, usize),
    at_s: f64,
    doubled: bool,
    team_errors: &[f64],
    random: &mut ChaCha8Rng,
) -> PastJob {
    // Weekdays count from Sunday as 0. The first day of the epoch was a Thursday, day 4.
    let weekday = ((at_s / DAY_S) as usize + 4) % 7;
    let mut usual_ln =
        class.ln_run_s + class.weekday[weekday] + class.drift_per_day * f64::from(day);
    if let Some((from, by)) = class.step
        && f64::from(day) >= from
    {
        usual_ln += by;
    }
    let normal =
        |sd: f64, random: &mut ChaCha8Rng| Normal::new(0.0, sd).map_or(0.0, |d| d.sample(random));
    let ln_run_s =
        usual_ln + normal(class.sd_between_jobs, random) + if doubled { 2f64.ln() } else { 0.0 };
    let tasks = (class.ln_tasks + normal(0.15, random)).exp().round().clamp(1.0, 400.0) as usize;
    let width = ((tasks as f64 * class.width_share).round() as usize).clamp(1, tasks);
    let times = LogNormal::new(ln_run_s, class.sd_within_job);
    let run_s: Vec<f64> = (0..tasks)
        .map(|_| (draw_task(&times, class.heavy_share, random) * 10.0).round() / 10.0)
        .collect();
    let mut stopped = Vec::new();
    for (task, run_s) in run_s.iter().enumerate() {
        if random.random::<f64>() < 0.02 {
            stopped.push((task, (run_s * random.random::<f64>() * 10.0).round() / 10.0));
        }
    }
    // Owners know the usual run time up to a constant and a small random error, and round it up to a multiple of
    // five seconds.
    let estimate_s =
        (usual_ln + team_errors[class.team] + class.owner_error + normal(0.1, random)).exp();
    let expect_s = (estimate_s / 5.0).ceil() * 5.0;
    // The due time is the longest of several simulated earlier runs, times a margin, as an owner would set it from
    // experience.
    let due_s = class.due_factor.map(|factor| {
        let times = LogNormal::new(usual_ln, class.sd_within_job);
        let mut spans: Vec<f64> = (0..DUE_TIME_SAMPLES)
            .map(|_| {
                let run_s: Vec<f64> =
                    (0..tasks).map(|_| draw_task(&times, class.heavy_share, random)).collect();
                span_s(run_s.into_iter(), width)
            })
            .collect();
        spans.sort_by(f64::total_cmp);
        (spans[DUE_TIME_SAMPLES - 1] * factor).round()
    });
    PastJob {
        job: format!("wk-{n:03}-{day:02}-{run}"),
        class: class.name.clone(),
        team: format!("team-{:02}", class.team),
        image: class.image.clone(),
        size: class.size,
        at_s: at_s.round(),
        expect_s,
        due_s,
        width: width as u64,
        run_s,
        stopped,
        cancelled: (random.random::<f64>() < 0.04).then(|| random.random::<f64>()),
        doubled,
    }
}

#[cfg(test)]
mod tests;
