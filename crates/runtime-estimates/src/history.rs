//! The last runs of similar jobs and the prediction for their next run.

use crate::constants::*;
use crate::shape;
use serde::{Deserialize, Serialize};

/// Summary of one run of a job, or of the part that one leader observed. Logarithms are in units of 1/512
/// ([`LN_UNITS`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Hours since the epoch of the last observation.
    pub hour: u32,
    /// Hash of the job's name, which identifies the run.
    pub id: u16,
    /// Number of completed tasks.
    pub tasks: u32,
    /// Logarithm of the median run time of the tasks.
    pub ln: i16,
    /// Standard deviation of the logarithms of the tasks' run times.
    pub within: u16,
    /// Logarithm of the owner's estimate, if there was one.
    pub owner: Option<i16>,
}

/// Converts a logarithm to stored units, saturating.
fn units(ln: f64) -> i16 {
    (ln * LN_UNITS).round().clamp(f64::from(i16::MIN), f64::from(i16::MAX)) as i16
}

impl Run {
    /// Creates a run from unscaled logarithms.
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

    /// Combines two leaders' observations of one run, each of its own tasks.
    fn join(&self, other: &Run) -> Run {
        let (own_tasks, other_tasks) =
            (f64::from(self.tasks.max(1)), f64::from(other.tasks.max(1)));
        let other_share = other_tasks / (own_tasks + other_tasks);
        let difference = other.ln() - self.ln();
        let ln = self.ln() + difference * other_share;
        let mean_square =
            self.within().powi(2) * (1.0 - other_share) + other.within().powi(2) * other_share;
        let within =
            (mean_square + difference * difference * other_share * (1.0 - other_share)).sqrt();
        let owner = self.owner.max(other.owner).map(|ln| f64::from(ln) / LN_UNITS);
        let tasks = self.tasks.saturating_add(other.tasks);
        Run::new(self.hour.max(other.hour), self.id, tasks, ln, within, owner)
    }
}

/// Prediction for a future run from its history alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Logarithm of the median run time of its tasks.
    pub ln: f64,
    /// Standard deviation of `ln`.
    pub sd: f64,
    /// Standard deviation of the logarithms of the tasks' run times within the run.
    pub within: f64,
    /// Number of runs that the prediction is based on.
    pub runs: f64,
}

/// The last runs of similar jobs, oldest first, at most [`MAX_RUNS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    runs: Vec<Run>,
}

/// A run as input of the weighted statistics.
struct Sample {
    ln: f64,
    /// Logarithm of the owner's estimate, less the mean of all owner's estimates; 0 if there was none.
    owner: f64,
    weight: f64,
    weekday: u32,
}

/// Converts seconds since the epoch to the hour by which runs are dated.
pub fn hour_of(epoch_s: u64) -> u32 {
    u32::try_from(epoch_s / HOUR_S).unwrap_or(0)
}

/// Returns the weekday of an hour since the epoch, 0 for Sunday; the epoch was a Thursday.
fn weekday(hour: u32) -> u32 {
    (hour / 24 + 4) % 7
}

impl History {
    /// Returns whether no run is known.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
    /// Returns the runs, oldest first.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }
    /// Returns the hour since the epoch of the newest run, 0 if there is none.
    pub fn newest(&self) -> u32 {
        self.runs.last().map_or(0, |run| run.hour)
    }

    /// Adds a run, or joins it with the known observations of the same run. The order of calls does not matter.
    pub fn add(&mut self, run: Run) {
        let run = match self.runs.iter().position(|known| known.id == run.id) {
            Some(index) => self.runs.remove(index).join(&run),
            None => run,
        };
        let index = self.runs.partition_point(|known| (known.hour, known.id) < (run.hour, run.id));
        self.runs.insert(index, run);
        if self.runs.len() > MAX_RUNS {
            self.runs.remove(0);
        }
    }

    /// Adds all runs of `other`, whose observations must not be included here yet.
    pub fn merge(&mut self, other: &History) {
        other.runs.iter().for_each(|run| self.add(*run));
    }

    /// Returns the stored form, in which each hour is the difference to the previous run's.
    pub(crate) fn packed(&self) -> History {
        let mut previous = 0;
        let mut packed = self.clone();
        for run in &mut packed.runs {
            (run.hour, previous) = (run.hour - previous, run.hour);
        }
        packed
    }

    /// Restores a history from its stored form, or returns `None` if it is invalid.
    pub(crate) fn unpacked(mut self) -> Option<History> {
        let mut hour = 0u32;
        for run in &mut self.runs {
            hour = hour.checked_add(run.hour)?;
            run.hour = hour;
        }
        self.is_valid().then_some(self)
    }

    /// Returns whether the runs are in order, not too many, and each has tasks.
    pub(crate) fn is_valid(&self) -> bool {
        self.runs.len() <= MAX_RUNS
            && self.runs.iter().all(|run| run.tasks > 0)
            && self.runs.is_sorted_by_key(|run| (run.hour, run.id))
    }

    /// Predicts a run at `hour`. `owner`: logarithm of the owner's estimate. Returns `None` without history.
    pub fn predict(&self, hour: u32, owner: Option<f64>) -> Option<Prediction> {
        let newest = self.runs.len().checked_sub(1)?;
        let owner_lns = self.runs.iter().filter_map(Run::owner);
        let (sum, count) = owner_lns.fold((0.0, 0), |(sum, n), ln| (sum + ln, n + 1));
        let owner_mean = if count > 0 { sum / f64::from(count) } else { owner.unwrap_or(0.0) };
        let weight_ratio = 0.5f64.powf(1.0 / HALF_LIFE_RUNS);
        let mut weight = weight_ratio.powi(newest as i32);
        let mut samples = Vec::with_capacity(MAX_RUNS);
        for run in &self.runs {
            let owner = run.owner().map_or(0.0, |ln| ln - owner_mean);
            samples.push(Sample { ln: run.ln(), owner, weight, weekday: weekday(run.hour) });
            weight /= weight_ratio;
        }
        // Regression on the owner's estimates, and the residuals that they don't explain.
        let slope = owner_slope(&samples);
        let mut residuals: Vec<f64> = samples.iter().map(|s| s.ln - slope * s.owner).collect();
        let first = lasting_change(&residuals);
        let samples = &samples[first..];
        residuals.drain(..first);
        let (mut ln, mut scatter) = robust_center(&residuals, samples);
        let day = weekday(hour);
        let deviations: Vec<f64> = residuals.iter().map(|residual| residual - ln).collect();
        if let Some((shift, weekday_scatter)) = weekday_effect(&deviations, samples, day) {
            ln += shift;
            scatter = scatter.min(weekday_scatter);
        }
        let weights: f64 = samples.iter().map(|s| s.weight).sum();
        let squares: f64 = samples.iter().map(|s| s.weight * s.weight).sum();
        let runs = weights * weights / squares;
        // The fewer runs there are, the more the assumed scatter counts.
        let run_variance = (PRIOR_RUN_SD_WEIGHT * PRIOR_RUN_SD * PRIOR_RUN_SD
            + (runs - 1.0).max(0.0) * scatter * scatter)
            / (PRIOR_RUN_SD_WEIGHT + (runs - 1.0).max(0.0));
        let variance = run_variance * (1.0 + 1.0 / runs) + MIN_RUN_SD * MIN_RUN_SD;
        let tasks: f64 = self.runs.iter().map(|run| f64::from(run.tasks)).sum();
        let within = self.runs.iter().map(|run| run.within().powi(2) * f64::from(run.tasks));
        let within = (within.sum::<f64>() / tasks).sqrt().max(MIN_TASK_SD);
        ln += owner.map_or(0.0, |ln| slope * (ln - owner_mean));
        Some(Prediction { ln, sd: variance.sqrt(), within, runs: samples.len() as f64 })
    }
}

/// Returns the slope of a weighted ridge regression of run times on the owner's estimates, between 0 and 1. Estimates
/// that vary only by chance, or not at all, have a slope near 0.
fn owner_slope(samples: &[Sample]) -> f64 {
    let total: f64 = samples.iter().map(|s| s.weight).sum();
    let mean = |f: fn(&Sample) -> f64| samples.iter().map(|s| s.weight * f(s)).sum::<f64>() / total;
    let (ln, owner) = (mean(|s| s.ln), mean(|s| s.owner));
    let sum = |f: &dyn Fn(&Sample) -> f64| samples.iter().map(f).sum::<f64>();
    let covariance = sum(&|s| s.weight * (s.ln - ln) * (s.owner - owner));
    let owner_variance = sum(&|s| s.weight * (s.owner - owner).powi(2));
    (covariance / (owner_variance + OWNER_RIDGE)).clamp(0.0, 1.0)
}

/// Returns the index of the first run after the most significant lasting change, or 0 if there was none.
fn lasting_change(residuals: &[f64]) -> usize {
    let mut best = (CHANGE_STANDARD_ERRORS, 0);
    for index in CHANGE_RUNS..residuals.len().saturating_sub(CHANGE_RUNS - 1) {
        let (old, new) = residuals.split_at(index);
        let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len() as f64;
        let (old_mean, new_mean) = (mean(old), mean(new));
        let step = new_mean - old_mean;
        // Every later run must lie on the new side, so that a single outlier among the last runs is not a change.
        let is_lasting = new.iter().all(|ln| (ln - old_mean) / step > 0.5);
        if step.abs() < CHANGE_MIN_STEP || !is_lasting {
            continue;
        }
        let squares =
            |part: &[f64], mean: f64| part.iter().map(|x| (x - mean).powi(2)).sum::<f64>();
        let degrees_of_freedom = (residuals.len() - 2) as f64;
        let scatter =
            ((squares(old, old_mean) + squares(new, new_mean)) / degrees_of_freedom).sqrt();
        let error =
            scatter.max(MIN_RUN_SD) * (1.0 / old.len() as f64 + 1.0 / new.len() as f64).sqrt();
        let errors = step.abs() / error;
        if errors > best.0 {
            best = (errors, index);
        }
    }
    best.1
}

/// Returns a robust weighted center and scatter, on which single outliers have little influence.
fn robust_center(residuals: &[f64], samples: &[Sample]) -> (f64, f64) {
    let weighted = |f: &dyn Fn(f64) -> f64| -> Vec<(f64, f64)> {
        residuals.iter().zip(samples).map(|(ln, s)| (f(*ln), s.weight)).collect()
    };
    let mut ln = shape::median(&mut weighted(&|ln| ln));
    let median_deviation =
        shape::median(&mut weighted(&|x| (x - ln).abs())) / shape::normal_quantile(0.75);
    let robust_sd = median_deviation.max(MIN_RUN_SD);
    for _ in 0..2 {
        let (mut sum, mut total) = (0.0, 0.0);
        for (x, weight) in weighted(&|x| x) {
            let distance = (x - ln).abs() / (robust_sd * OUTLIER_LIMIT);
            let weight = weight / distance.max(1.0);
            sum += x * weight;
            total += weight;
        }
        ln = sum / total;
    }
    let max_deviation = robust_sd * SCATTER_CLIP;
    let weights: f64 = samples.iter().map(|s| s.weight).sum();
    let squares = weighted(&|x| (x - ln).abs().min(max_deviation).powi(2));
    let scatter = (squares.iter().map(|(x, weight)| x * weight).sum::<f64>() / weights).sqrt();
    (ln, scatter)
}

/// Returns the shift of weekday `day` and the scatter left within weekdays, or `None` if weekdays don't differ
/// significantly.
fn weekday_effect(deviations: &[f64], samples: &[Sample], day: u32) -> Option<(f64, f64)> {
    if deviations.len() < WEEKDAY_RUNS {
        return None;
    }
    let mut days = [(0.0f64, 0.0f64); 7];
    for (deviation, sample) in deviations.iter().zip(samples) {
        let (sum, count) = &mut days[sample.weekday as usize];
        *sum += deviation;
        *count += 1.0;
    }
    // Mean of each weekday, shrunk toward 0 by the weight of one run.
    let shift = |day: usize| days[day].0 / (days[day].1 + 1.0);
    let present_days = days.iter().filter(|(_, count)| *count > 0.0).count() as f64;
    if present_days < 2.0 {
        return None;
    }
    let between: f64 = days.iter().filter(|(_, n)| *n > 0.0).map(|(sum, n)| sum * sum / n).sum();
    let mean = |sample: &Sample| {
        let (sum, count) = days[sample.weekday as usize];
        sum / count
    };
    let within: f64 =
        deviations.iter().zip(samples).map(|(deviation, s)| (deviation - mean(s)).powi(2)).sum();
    let within = within / (deviations.len() as f64 - present_days).max(1.0);
    let ratio = between / (present_days - 1.0) / within.max(MIN_RUN_SD * MIN_RUN_SD);
    (ratio > WEEKDAY_RATIO).then(|| (shift(day as usize), within.sqrt()))
}

#[cfg(test)]
mod tests;
