//! The last runs of jobs that are alike.

use crate::constants::*;
use crate::shape;
use serde::{Deserialize, Serialize};

/// One run of a job, or what one leader saw of it. Logarithms are in 512ths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Hours since the epoch when it was seen last.
    pub hour: u32,
    /// Which job, by a hash of its name.
    pub id: u16,
    /// Tasks that ended.
    pub tasks: u32,
    pub ln: i16,
    pub within: u16,
    /// The owner's estimate, if there was one.
    pub owner: Option<i16>,
}

fn units(ln: f64) -> i16 {
    (ln * LN_UNITS).round().clamp(f64::from(i16::MIN), f64::from(i16::MAX)) as i16
}

impl Run {
    pub fn new(hour: u32, id: u16, tasks: u32, ln: f64, within: f64, owner: Option<f64>) -> Run {
        let within = units(within).max(0) as u16;
        Run { hour, id, tasks, ln: units(ln), within, owner: owner.map(units) }
    }
    fn ln(&self) -> f64 {
        f64::from(self.ln) / LN_UNITS
    }
    fn within(&self) -> f64 {
        f64::from(self.within) / LN_UNITS
    }
    fn owner(&self) -> Option<f64> {
        self.owner.map(|ln| f64::from(ln) / LN_UNITS)
    }

    /// What two leaders saw of one run, each its own tasks.
    fn join(&self, other: &Run) -> Run {
        let (a, b) = (f64::from(self.tasks.max(1)), f64::from(other.tasks.max(1)));
        let share = b / (a + b);
        let off = other.ln() - self.ln();
        let ln = self.ln() + off * share;
        let squares = self.within().powi(2) * (1.0 - share) + other.within().powi(2) * share;
        let within = (squares + off * off * share * (1.0 - share)).sqrt();
        let owner = self.owner.max(other.owner).map(|ln| f64::from(ln) / LN_UNITS);
        let tasks = self.tasks.saturating_add(other.tasks);
        Run::new(self.hour.max(other.hour), self.id, tasks, ln, within, owner)
    }
}

/// What history says of a run to come, before the run shows anything of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Believed {
    /// Logarithm of the typical run time of its tasks.
    pub ln: f64,
    /// Standard deviation of that.
    pub sd: f64,
    /// Scatter of the tasks around it.
    pub within: f64,
    /// How many runs that rests on.
    pub runs: f64,
}

/// The last runs, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    runs: Vec<Run>,
}

/// A run as it is weighed.
struct Sample {
    ln: f64,
    owner: f64,
    weight: f64,
    weekday: u32,
}

/// The hour since the epoch by which runs are dated, of so many seconds.
pub fn hour_of(s: u64) -> u32 {
    u32::try_from(s / HOUR_S).unwrap_or(0)
}

/// Days since the epoch, of which the first was a Thursday.
fn weekday(hour: u32) -> u32 {
    (hour / 24 + 4) % 7
}

impl History {
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }
    /// Hours since the epoch of its newest run.
    pub fn newest(&self) -> u32 {
        self.runs.last().map_or(0, |run| run.hour)
    }

    /// Adds what a run showed; the order in which runs are added does not matter.
    pub fn add(&mut self, run: Run) {
        let run = match self.runs.iter().position(|known| known.id == run.id) {
            Some(at) => self.runs.remove(at).join(&run),
            None => run,
        };
        let at = self.runs.partition_point(|known| (known.hour, known.id) < (run.hour, run.id));
        self.runs.insert(at, run);
        if self.runs.len() > RUNS {
            self.runs.remove(0);
        }
    }

    /// Takes in all that another one knows, each observation of which is new.
    pub fn merge(&mut self, other: &History) {
        other.runs.iter().for_each(|run| self.add(*run));
    }

    /// As it is stored: hours as distances from the run before.
    pub(crate) fn packed(&self) -> History {
        let mut last = 0;
        let mut packed = self.clone();
        for run in &mut packed.runs {
            (run.hour, last) = (run.hour - last, run.hour);
        }
        packed
    }

    /// Read from what is stored; none if it can't be true.
    pub(crate) fn unpacked(mut self) -> Option<History> {
        let mut last = 0u32;
        for run in &mut self.runs {
            last = last.checked_add(run.hour)?;
            run.hour = last;
        }
        self.is_sane().then_some(self)
    }

    /// What can be true: runs in order, of sane lengths.
    pub(crate) fn is_sane(&self) -> bool {
        self.runs.len() <= RUNS
            && self.runs.iter().all(|run| run.tasks > 0)
            && self.runs.is_sorted_by_key(|run| (run.hour, run.id))
    }

    /// How a run at this hour, of which the owner expects this (as a logarithm), will be.
    pub fn believe(&self, hour: u32, owner: Option<f64>) -> Option<Believed> {
        let newest = self.runs.len().checked_sub(1)?;
        let owners = self.runs.iter().filter_map(Run::owner);
        let (sum, count) = owners.fold((0.0, 0), |(sum, n), ln| (sum + ln, n + 1));
        let middle = if count > 0 { sum / f64::from(count) } else { owner.unwrap_or(0.0) };
        let fade = 0.5f64.powf(1.0 / HALF_LIFE_RUNS);
        let mut weight = fade.powi(newest as i32);
        let mut samples = Vec::with_capacity(RUNS);
        for run in &self.runs {
            let owner = run.owner().map_or(0.0, |ln| ln - middle);
            samples.push(Sample { ln: run.ln(), owner, weight, weekday: weekday(run.hour) });
            weight /= fade;
        }
        // How far the owner's estimates go with what came, and runs as they are beside them.
        let slope = slope(&samples);
        let mut rest: Vec<f64> = samples.iter().map(|s| s.ln - slope * s.owner).collect();
        let cut = change(&rest);
        let samples = &samples[cut..];
        rest.drain(..cut);
        let (mut ln, mut scatter) = centre(&rest, samples);
        let day = weekday(hour);
        let off: Vec<f64> = rest.iter().map(|ln_rest| ln_rest - ln).collect();
        if let Some((shift, rest_scatter)) = weekdays(&off, samples, day) {
            ln += shift;
            scatter = scatter.min(rest_scatter);
        }
        let weights: f64 = samples.iter().map(|s| s.weight).sum();
        let squares: f64 = samples.iter().map(|s| s.weight * s.weight).sum();
        let runs = weights * weights / squares;
        // Less is known of the scatter the fewer runs there were.
        let known = (SCATTER_WEIGHT * SCATTER * SCATTER
            + (runs - 1.0).max(0.0) * scatter * scatter)
            / (SCATTER_WEIGHT + (runs - 1.0).max(0.0));
        let variance = known * (1.0 + 1.0 / runs) + SCATTER_LEAST * SCATTER_LEAST;
        let seen: f64 = self.runs.iter().map(|run| f64::from(run.tasks)).sum();
        let within = self.runs.iter().map(|run| run.within().powi(2) * f64::from(run.tasks));
        let within = (within.sum::<f64>() / seen).sqrt().max(WITHIN_LEAST);
        ln += owner.map_or(0.0, |ln| slope * (ln - middle));
        Some(Believed { ln, sd: variance.sqrt(), within, runs: samples.len() as f64 })
    }
}

/// By how much runs are longer where their owner expected them to be. Estimates that vary by chance
/// alone, or not at all, count for nothing.
fn slope(samples: &[Sample]) -> f64 {
    let total: f64 = samples.iter().map(|s| s.weight).sum();
    let mean = |f: fn(&Sample) -> f64| samples.iter().map(|s| s.weight * f(s)).sum::<f64>() / total;
    let (ln, owner) = (mean(|s| s.ln), mean(|s| s.owner));
    let sum = |f: &dyn Fn(&Sample) -> f64| samples.iter().map(f).sum::<f64>();
    let both = sum(&|s| s.weight * (s.ln - ln) * (s.owner - owner));
    let own = sum(&|s| s.weight * (s.owner - owner).powi(2));
    (both / (own + OWNER_RIDGE)).clamp(0.0, 1.0)
}

/// From which run on things are as they are now: the first after a lasting change, if there was one.
fn change(rest: &[f64]) -> usize {
    let mut best = (CHANGE_ERRORS, 0);
    for at in CHANGE_RUNS..rest.len().saturating_sub(CHANGE_RUNS - 1) {
        let (old, new) = rest.split_at(at);
        let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len() as f64;
        let (before, now) = (mean(old), mean(new));
        let step = now - before;
        // All of them, so that one bad night among the last is no change.
        let lasts = new.iter().all(|ln| (ln - before) / step > 0.5);
        if step.abs() < CHANGE_LEAST || !lasts {
            continue;
        }
        let squares =
            |part: &[f64], mean: f64| part.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
        let freedom = (rest.len() - 2) as f64;
        let scatter = ((squares(old, before) + squares(new, now)) / freedom).sqrt();
        let error =
            scatter.max(SCATTER_LEAST) * (1.0 / old.len() as f64 + 1.0 / new.len() as f64).sqrt();
        let errors = step.abs() / error;
        if errors > best.0 {
            best = (errors, at);
        }
    }
    best.1
}

/// Centre and scatter, in which single bad nights count for little.
fn centre(rest: &[f64], samples: &[Sample]) -> (f64, f64) {
    let weighed = |f: &dyn Fn(f64) -> f64| -> Vec<(f64, f64)> {
        rest.iter().zip(samples).map(|(ln, s)| (f(*ln), s.weight)).collect()
    };
    let mut ln = shape::median(&mut weighed(&|ln| ln));
    let off = shape::median(&mut weighed(&|x| (x - ln).abs())) / shape::point(0.75);
    let robust = off.max(SCATTER_LEAST);
    for _ in 0..2 {
        let (mut sum, mut total) = (0.0, 0.0);
        for (x, weight) in weighed(&|x| x) {
            let far = (x - ln).abs() / (robust * OUTLIER);
            let weight = weight / far.max(1.0);
            sum += x * weight;
            total += weight;
        }
        ln = sum / total;
    }
    let most = robust * OUTLIER_SCATTER;
    let weights: f64 = samples.iter().map(|s| s.weight).sum();
    let squares = weighed(&|x| (x - ln).abs().min(most).powi(2));
    let scatter = (squares.iter().map(|(x, weight)| x * weight).sum::<f64>() / weights).sqrt();
    (ln, scatter)
}

/// How much this weekday differs and what scatter is left, if weekdays differ at all.
fn weekdays(off: &[f64], samples: &[Sample], day: u32) -> Option<(f64, f64)> {
    if off.len() < WEEKDAY_RUNS {
        return None;
    }
    let mut days = [(0.0f64, 0.0f64); 7];
    for (off, sample) in off.iter().zip(samples) {
        let (sum, count) = &mut days[sample.weekday as usize];
        *sum += off;
        *count += 1.0;
    }
    // Each day's own mean, pulled to none by one run's worth.
    let shift = |day: usize| days[day].0 / (days[day].1 + 1.0);
    let present = days.iter().filter(|(_, count)| *count > 0.0).count() as f64;
    if present < 2.0 {
        return None;
    }
    let between: f64 = days.iter().filter(|(_, n)| *n > 0.0).map(|(sum, n)| sum * sum / n).sum();
    let mean = |sample: &Sample| {
        let (sum, count) = days[sample.weekday as usize];
        sum / count
    };
    let within: f64 = off.iter().zip(samples).map(|(off, s)| (off - mean(s)).powi(2)).sum();
    let within = within / (off.len() as f64 - present).max(1.0);
    let ratio = between / (present - 1.0) / within.max(SCATTER_LEAST * SCATTER_LEAST);
    (ratio > WEEKDAY_RATIO).then(|| (shift(day as usize), within.sqrt()))
}

#[cfg(test)]
mod tests;
