//! Selects the history that resembles a job and derives a graded run time estimate from it.

use crate::constants::*;
use crate::current::{RunObservations, RunTimeDistribution};
use crate::history::{Prediction, Run};
use crate::keeper::HistoryCache;
use crate::shape;
use crate::value::hash;

/// Properties of a job that are known before it runs.
#[derive(Debug, Clone, Copy)]
pub struct Profile<'a> {
    /// Name of the job, which identifies its run.
    pub job: &'a str,
    /// Class of recurring jobs that the owner assigned the job to.
    pub class: &'a str,
    /// Team that owns the job.
    pub team: &'a str,
    /// Image that the tasks run.
    pub image: &'a str,
    /// Resource request of one task: CPUs, GPUs and memory, in any units that stay the same.
    pub size: [u64; 3],
    /// The owner's estimate of a task's run time, in seconds; 0 for none.
    pub expect_s: f64,
    /// Number of tasks of the job.
    pub tasks: u64,
}

/// Set of earlier jobs that an estimate is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Jobs of the same class, team, image and size.
    Exact,
    /// Jobs of the same class and team.
    Team,
    /// Jobs of the same class.
    Class,
    /// No similar job: the owner's estimate, corrected by the bias of the team's estimates.
    Owner,
}

/// Reliability of an estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// No similar job has finished.
    Unknown,
    /// Too few similar jobs have finished, or their run times differ too much.
    Thin,
    /// Enough jobs of the same class, team, image and size have finished with similar run times.
    Sure,
}

/// Estimate of the mean run time of a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Reliability of the estimate.
    pub grade: Grade,
    /// Set of jobs that the estimate is based on.
    pub level: Level,
    /// 10% quantile in seconds.
    pub p10_s: f64,
    /// Median in seconds.
    pub p50_s: f64,
    /// 90% quantile in seconds.
    pub p90_s: f64,
    /// Distribution of the run times of single tasks.
    pub distribution: RunTimeDistribution,
}

impl Profile<'_> {
    /// Returns the key of the history at a level.
    fn key(&self, level: Level) -> u64 {
        let [cpus, gpus, memory] = self.size.map(u64::to_le_bytes);
        match level {
            Level::Exact => hash(&[
                b"exact",
                self.class.as_bytes(),
                self.team.as_bytes(),
                self.image.as_bytes(),
                &cpus,
                &gpus,
                &memory,
            ]),
            Level::Team => hash(&[b"team", self.class.as_bytes(), self.team.as_bytes()]),
            Level::Class => hash(&[b"class", self.class.as_bytes()]),
            Level::Owner => hash(&[b"owner", self.team.as_bytes()]),
        }
    }

    /// Returns the logarithm of the owner's estimate.
    fn owner(&self) -> Option<f64> {
        (self.expect_s > 0.0).then(|| shape::ln(self.expect_s)).flatten()
    }
}

/// Learns run times from finished jobs and estimates those of other jobs.
#[derive(Debug, Default)]
pub struct Learner {
    /// Histories, and their writes to the store.
    pub cache: HistoryCache,
}

impl Learner {
    /// Returns the prediction with the smallest standard deviation among the levels from the most specific one to the
    /// first with at least [`CHANGE_RUNS`] runs.
    fn predict(&self, profile: &Profile, hour: u32) -> Option<(Level, Prediction)> {
        let owner = profile.owner();
        let mut best: Option<(Level, Prediction)> = None;
        for level in [Level::Exact, Level::Team, Level::Class] {
            let key = profile.key(level);
            let Some(predicted) =
                self.cache.with_history(key, |history| history.predict(hour, owner)).flatten()
            else {
                continue;
            };
            if best.is_none_or(|(_, other)| predicted.sd < other.sd) {
                best = Some((level, predicted));
            }
            if predicted.runs >= CHANGE_RUNS as f64 {
                break;
            }
        }
        best
    }

    /// Returns a prediction from the owner's estimate, corrected by the bias of the team's estimates.
    fn predict_from_owner(&self, profile: &Profile, hour: u32) -> Option<Prediction> {
        let owner = profile.owner()?;
        let bias = self
            .cache
            .with_history(profile.key(Level::Owner), |history| history.predict(hour, None));
        Some(match bias.flatten() {
            Some(bias) => Prediction { ln: owner + bias.ln, ..bias },
            None => {
                Prediction { ln: owner, sd: PRIOR_RUN_SD * 2.0, within: PRIOR_TASK_SD, runs: 0.0 }
            }
        })
    }

    /// Estimates the mean run time of a job's tasks from its history and the observations of its current run. Returns
    /// `None` if there is neither a history nor an owner's estimate.
    pub fn estimate(
        &self,
        profile: &Profile,
        observations: &RunObservations,
        hour: u32,
    ) -> Option<Estimate> {
        let (level, prior) = match self.predict(profile, hour) {
            Some(prediction) => prediction,
            None => (Level::Owner, self.predict_from_owner(profile, hour)?),
        };
        Some(self.grade(level, &prior, observations, profile.tasks))
    }

    /// Combines a prediction with the observations and grades the result.
    fn grade(
        &self,
        level: Level,
        prior: &Prediction,
        observations: &RunObservations,
        tasks: u64,
    ) -> Estimate {
        let distribution = observations.distribution(prior);
        let (ln, sd) = mean_of_tasks(&distribution, tasks);
        let well_founded = is_well_founded(level, prior, sd);
        // Once tasks of the run completed, errors of past predictions carry little information.
        let (p10, p90) = match observations.completed_count() {
            0 => self.cache.error_quantiles(usize::from(!well_founded)),
            _ => (shape::normal_quantile(0.1), shape::normal_quantile(0.9)),
        };
        let (low, high) = (ln + p10 * sd, ln + p90 * sd);
        let grade = match level {
            Level::Owner => Grade::Unknown,
            Level::Exact if well_founded && high - low <= SURE_WIDTH => Grade::Sure,
            _ => Grade::Thin,
        };
        Estimate {
            grade,
            level,
            p10_s: low.exp(),
            p50_s: ln.exp(),
            p90_s: high.exp(),
            distribution,
        }
    }

    /// Adds the observations of a job's run, complete or partial, to the histories after they have ended.
    pub fn learn(&mut self, profile: &Profile, observations: &RunObservations, hour: u32) {
        let prior = self.predict(profile, hour);
        let Some((ln, within, tasks)) =
            observations.summary(prior.as_ref().map(|(_, prior)| prior))
        else {
            return;
        };
        if let Some((level, prior)) = &prior {
            let predicted = RunObservations::default().distribution(prior);
            let (expected, sd) = mean_of_tasks(&predicted, u64::from(tasks));
            let well_founded = is_well_founded(*level, prior, sd);
            let z = (ln + within * within / 2.0 - expected) / sd;
            self.cache.add_error(profile.key(Level::Exact), usize::from(!well_founded), z);
        }
        let id = hash(&[profile.job.as_bytes()]) as u16;
        let owner = profile.owner();
        let run = Run::new(hour, id, tasks, ln, within, owner);
        for level in [Level::Exact, Level::Team, Level::Class] {
            self.cache.add(profile.key(level), run);
        }
        if let Some(owner) = owner {
            let bias = Run::new(hour, id, tasks, ln - owner, within, None);
            self.cache.add(profile.key(Level::Owner), bias);
        }
    }
}

/// Returns whether a prediction is based on enough runs that differ little. Errors of such predictions are counted
/// separately from others.
fn is_well_founded(level: Level, prior: &Prediction, sd: f64) -> bool {
    level == Level::Exact
        && prior.runs >= SURE_RUNS
        && sd * 2.0 * shape::normal_quantile(0.9) <= SURE_WIDTH
}

/// Returns the logarithm of the mean run time of `tasks` tasks, and its standard deviation.
fn mean_of_tasks(distribution: &RunTimeDistribution, tasks: u64) -> (f64, f64) {
    let task_variance = distribution.within * distribution.within;
    let sampling_variance = task_variance.exp_m1() / tasks.max(1) as f64;
    (
        distribution.ln + task_variance / 2.0,
        (distribution.sd * distribution.sd + sampling_variance).sqrt(),
    )
}

#[cfg(test)]
mod tests;
