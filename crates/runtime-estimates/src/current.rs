//! Observed run times of the current run of a job and the distribution that follows from them and the history.

use crate::constants::*;
use crate::history::Prediction;
use crate::shape;
use std::collections::BTreeMap;

/// Run times of one job's tasks: complete ones of completed tasks, and censored ones of tasks that were stopped,
/// killed or lost and would have run longer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunObservations {
    completed: u32,
    /// Mean logarithm of the complete run times.
    mean: f64,
    /// Sum of squared deviations from the mean.
    squares: f64,
    /// Number of censored run times by bin of [`CENSORED_BIN_WIDTH`].
    censored: BTreeMap<i16, u32>,
}

/// Log-normal distribution of a job's run times, with an uncertain median.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTimeDistribution {
    /// Logarithm of the median run time in seconds.
    pub ln: f64,
    /// Standard deviation of `ln`, the uncertainty of the median.
    pub sd: f64,
    /// Standard deviation of the logarithms of the tasks' run times within the run.
    pub within: f64,
}

impl RunTimeDistribution {
    /// Returns the mean run time of a task in seconds, taking the median as certain.
    pub fn mean_s(&self) -> f64 {
        (self.ln + self.within * self.within / 2.0).exp()
    }

    /// Returns the mean remaining run time in seconds of a task that has run for `ran_s`.
    pub fn mean_remaining_s(&self, ran_s: f64) -> f64 {
        let ran_s = ran_s.max(MIN_RUN_S);
        let z = (ran_s.ln() - self.ln) / self.within;
        let survival = shape::normal_tail(z);
        if survival < 1e-9 {
            // The task has outrun the distribution, and the ratio below would be numerically meaningless: assume a
            // remaining time proportional to the elapsed one.
            return ran_s * self.within;
        }
        (self.mean_s() * shape::normal_tail(z - self.within) / survival - ran_s).max(0.0)
    }
}

impl RunObservations {
    /// Records the run time of a completed task.
    pub fn record_completed(&mut self, run_s: f64) {
        let Some(ln) = shape::ln(run_s) else { return };
        self.completed = self.completed.saturating_add(1);
        let deviation = ln - self.mean;
        self.mean += deviation / f64::from(self.completed);
        self.squares += deviation * (ln - self.mean);
    }

    /// Records how long a task has run that was stopped, killed or lost, or is still running.
    pub fn record_censored(&mut self, run_s: f64) {
        let Some(ln) = shape::ln(run_s) else { return };
        let count = self.censored.entry((ln / CENSORED_BIN_WIDTH).floor() as i16).or_default();
        *count = count.saturating_add(1);
    }

    /// Returns the number of completed tasks.
    pub fn completed_count(&self) -> u32 {
        self.completed
    }

    /// Returns a copy that also counts running tasks as censored. `running`: elapsed seconds per task.
    pub fn with_running(&self, running: &[f64]) -> RunObservations {
        let mut all = self.clone();
        running.iter().for_each(|run_s| all.record_censored(*run_s));
        all
    }

    /// Returns the most probable log-median and standard deviation within the run, given the complete and the
    /// censored run times. `start`: initial log-median; `within`: expected standard deviation; `prior`: expected
    /// log-median and its variance.
    fn fit(&self, start: f64, within: f64, prior: Option<(f64, f64)>) -> (f64, f64) {
        let completed = f64::from(self.completed);
        let (prior_ln, precision) = prior.map_or((0.0, 0.0), |(ln, var)| (ln, 1.0 / var.max(1e-9)));
        let (mut ln, mut variance) = (start, within * within);
        for _ in 0..FIT_ROUNDS {
            let scatter = variance.sqrt();
            // Slope and curvature of the log-likelihood, and the sum of squares, in which censored run times are
            // replaced by their expected complete ones.
            let mut slope = (self.mean - ln) * completed / variance + (prior_ln - ln) * precision;
            let mut curvature = completed / variance + precision;
            let deviation = self.mean - ln;
            let mut squares = self.squares + completed * deviation * deviation;
            let mut count = completed;
            for (bin, n) in &self.censored {
                let z = ((f64::from(*bin) + 0.5) * CENSORED_BIN_WIDTH - ln) / scatter;
                let n = f64::from(*n);
                let expected_z = if z > -4.0 { shape::normal_tail_mean(z) } else { 0.0 };
                slope += n * expected_z / scatter;
                curvature += n * expected_z * (expected_z - z) / variance;
                squares += n * variance * (1.0 + z * expected_z);
                count += n;
            }
            if curvature <= 0.0 {
                return (start, within);
            }
            // Limits the step, since slope and curvature are only valid near the current value.
            ln += (slope / curvature).clamp(-1.0, 1.0);
            variance =
                (PRIOR_TASK_SD_WEIGHT * within * within + squares) / (PRIOR_TASK_SD_WEIGHT + count);
            variance = variance.max(MIN_TASK_SD * MIN_TASK_SD);
        }
        (ln, variance.sqrt())
    }

    /// Returns the distribution that follows from the prior and the observations. Where the two conflict, the
    /// observations prevail: the run may have, say, twice the usual input.
    pub fn distribution(&self, prior: &Prediction) -> RunTimeDistribution {
        let mut variance = prior.sd * prior.sd;
        if self.completed == 0 && self.censored.is_empty() {
            return RunTimeDistribution { ln: prior.ln, sd: prior.sd, within: prior.within };
        }
        if self.completed > 0 {
            let n = f64::from(self.completed);
            let (observed_ln, within) = self.fit(self.mean, prior.within, None);
            let observed_variance = within * within / n;
            let difference = observed_ln - prior.ln;
            if difference * difference / (variance + observed_variance)
                > CONFLICT_STANDARD_ERRORS * CONFLICT_STANDARD_ERRORS
            {
                variance = variance.max(difference * difference - observed_variance);
            }
        }
        let (ln, within) = self.fit(prior.ln, prior.within, Some((prior.ln, variance)));
        let task_variance = within * within;
        // A censored run time carries less information than a complete one.
        let censored_weights = self.censored.iter().map(|(bin, n)| {
            let z = ((f64::from(*bin) + 0.5) * CENSORED_BIN_WIDTH - ln) / within;
            f64::from(*n) * shape::normal_cdf(z) / 2.0
        });
        let weight = task_variance / variance.max(1e-9)
            + f64::from(self.completed)
            + censored_weights.sum::<f64>();
        RunTimeDistribution { ln, sd: (task_variance / weight).sqrt(), within }
    }

    /// Returns log-median, standard deviation and number of completed tasks for the history, or `None` if no task
    /// completed.
    pub(crate) fn summary(&self, prior: Option<&Prediction>) -> Option<(f64, f64, u32)> {
        if self.completed == 0 {
            return None;
        }
        let within = prior.map_or(PRIOR_TASK_SD, |prior| prior.within);
        let (ln, within) = self.fit(self.mean, within, None);
        Some((ln, within, self.completed))
    }
}

#[cfg(test)]
mod tests;
