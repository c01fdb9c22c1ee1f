//! A seeded history of stand-in jobs, with all that makes estimating hard: heavy tails, weekly rhythm,
//! drift, lasting changes, doubled nights, new classes, names reused for other work, owners who are
//! always wrong, cancelled jobs and killed tasks.

use crate::constants::*;
use crate::past::{PastJob, on_places};
use ordered_float::OrderedFloat;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Normal, NormalError, Poisson};

/// What a class's jobs have in common.
struct Class {
    name: String,
    team: usize,
    image: String,
    size: [u64; 3],
    /// Logarithm of the typical run time of a task.
    ln: f64,
    /// Scatter between runs, and of tasks within one.
    between: f64,
    within: f64,
    /// Share of tasks that take four times as long.
    heavy: f64,
    tasks: f64,
    width: f64,
    /// Jobs a day.
    a_day: f64,
    hour: f64,
    /// By how much it is longer on each weekday.
    weekday: [f64; 7],
    drift_a_day: f64,
    /// A lasting change: on which day, by how much.
    step: Option<(f64, f64)>,
    /// From which day on its name stands for other work.
    reused: Option<f64>,
    from_day: f64,
    /// The owner's error in this class.
    owner: f64,
    due: Option<f64>,
}

fn class(n: usize, teams: usize, days: f64, random: &mut ChaCha8Rng) -> Class {
    let chance = |random: &mut ChaCha8Rng, share: f64| random.random::<f64>() < share;
    let between = |random: &mut ChaCha8Rng, from: f64, to: f64| random.random_range(from..to);
    let mut weekday = [0.0; 7];
    if chance(random, 0.2) {
        let day = random.random_range(0..7);
        weekday[day] = between(random, 0.25, 0.6);
    }
    let drift_a_day = if chance(random, 0.15) { between(random, -0.008, 0.008) } else { 0.0 };
    let step =
        chance(random, 0.15).then(|| (between(random, 0.2, 0.9) * days, between(random, 0.4, 0.9)));
    Class {
        name: format!("class-{n:03}"),
        team: random.random_range(0..teams),
        image: format!("img-{:02}", random.random_range(0..40)),
        size: [random.random_range(1..9), 0, random.random_range(2..33)],
        ln: between(random, 2.5, 6.5),
        between: between(random, 0.02, 0.2) * if chance(random, 0.15) { 2.5 } else { 1.0 },
        within: between(random, 0.05, 0.5),
        heavy: if chance(random, 0.15) { 0.02 } else { 0.0 },
        tasks: between(random, 1.5, 5.0),
        width: between(random, 0.15, 1.2),
        a_day: if chance(random, 0.3) { between(random, 2.0, 8.0) } else { 1.0 },
        hour: between(random, 0.0, 24.0),
        weekday,
        drift_a_day,
        step,
        reused: chance(random, 0.03).then(|| between(random, 0.3, 0.8) * days),
        from_day: if chance(random, 0.2) { between(random, 0.0, 0.9) * days } else { 0.0 },
        owner: between(random, -0.6, 0.6),
        due: chance(random, 0.7).then(|| between(random, 1.1, 1.4)),
    }
}

/// Seconds that the tasks take on so many places.
fn span_s(run_s: impl Iterator<Item = f64>, width: usize) -> f64 {
    let ends = on_places(run_s.map(OrderedFloat), width).map(|(_, end)| end);
    ends.max().unwrap_or_default().into_inner()
}

/// Jobs of so many classes over so many days, in order of submission. `told` is called with each
/// class done.
pub fn generate(seed: u64, days: u32, classes: usize, mut told: impl FnMut()) -> Vec<PastJob> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let days_f = f64::from(days);
    let teams = (classes / 12).max(2);
    // Owners of one team share a habit.
    let habits: Vec<f64> = (0..teams).map(|_| random.random_range(-0.5..0.7)).collect();
    let mut jobs = Vec::new();
    for n in 0..classes {
        let mut class = class(n, teams, days_f, &mut random);
        for day in 0..days {
            let day_f = f64::from(day);
            if day_f < class.from_day {
                continue;
            }
            if class.reused.is_some_and(|from| day_f >= from) {
                class.reused = None;
                class.ln = random.random_range(2.5..6.5);
                class.image = format!("img-{:02}", random.random_range(40..60));
                class.size[0] += 3;
            }
            let runs = if class.a_day > 1.0 {
                Poisson::new(class.a_day).map_or(1, |often| often.sample(&mut random) as usize)
            } else {
                1
            };
            let doubled_night = random.random::<f64>() < 0.02;
            for run in 0..runs {
                let spread = if runs > 1 {
                    random.random_range(0.0..DAY_S)
                } else {
                    600.0 * random.random::<f64>()
                };
                let at_s = HISTORY_START_S
                    + day_f * DAY_S
                    + class.hour * 3600.0 * f64::from(u8::from(runs == 1))
                    + spread;
                jobs.push(job(&class, (n, day, run), at_s, doubled_night, &habits, &mut random));
            }
        }
        told();
    }
    jobs.sort_by(|a, b| a.at_s.total_cmp(&b.at_s).then_with(|| a.job.cmp(&b.job)));
    jobs
}

/// Seconds that one task takes; some take four times as long as others.
fn task(times: &Result<LogNormal<f64>, NormalError>, heavy: f64, random: &mut ChaCha8Rng) -> f64 {
    let run_s = times.as_ref().map_or(1.0, |times| times.sample(random));
    if random.random::<f64>() < heavy { run_s * 4.0 } else { run_s }
}

fn job(
    class: &Class,
    (n, day, run): (usize, u32, usize),
    at_s: f64,
    doubled: bool,
    habits: &[f64],
    random: &mut ChaCha8Rng,
) -> PastJob {
    // The epoch's first day was a Thursday, the fourth from Sunday.
    let weekday = ((at_s / DAY_S) as usize + 4) % 7;
    let mut usual = class.ln + class.weekday[weekday] + class.drift_a_day * f64::from(day);
    if let Some((from, by)) = class.step
        && f64::from(day) >= from
    {
        usual += by;
    }
    let normal =
        |sd: f64, random: &mut ChaCha8Rng| Normal::new(0.0, sd).map_or(0.0, |d| d.sample(random));
    let ln = usual + normal(class.between, random) + if doubled { 2f64.ln() } else { 0.0 };
    let tasks = (class.tasks + normal(0.15, random)).exp().round().clamp(1.0, 400.0) as usize;
    let width = ((tasks as f64 * class.width).round() as usize).clamp(1, tasks);
    let times = LogNormal::new(ln, class.within);
    let run_s: Vec<f64> =
        (0..tasks).map(|_| (task(&times, class.heavy, random) * 10.0).round() / 10.0).collect();
    let mut stopped = Vec::new();
    for (task, run_s) in run_s.iter().enumerate() {
        if random.random::<f64>() < 0.02 {
            stopped.push((task, (run_s * random.random::<f64>() * 10.0).round() / 10.0));
        }
    }
    // Owners know what a job usually takes, give or take their habit, and write round numbers.
    let guess = (usual + habits[class.team] + class.owner + normal(0.1, random)).exp();
    let expect_s = (guess / 5.0).ceil() * 5.0;
    // Due times come from experience: the longest of the nights that its owner remembers, and some more.
    let due_s = class.due.map(|more| {
        let times = LogNormal::new(usual, class.within);
        let mut spans: Vec<f64> = (0..DUE_TIME_SAMPLES)
            .map(|_| {
                let run_s: Vec<f64> =
                    (0..tasks).map(|_| task(&times, class.heavy, random)).collect();
                span_s(run_s.into_iter(), width)
            })
            .collect();
        spans.sort_by(f64::total_cmp);
        (spans[DUE_TIME_SAMPLES - 1] * more).round()
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
