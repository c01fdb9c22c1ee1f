//! Plans the width of elastic jobs, which is the number of tasks that run at the same time.
//!
//! The crate does no I/O, and callers pass in the current time. Up to its minimum width, an elastic job is scheduled
//! like any other job; beyond it, the job grows only into capacity that has been free for [`constants::STABLE_AFTER`].
//! That capacity is divided by max-min fairness: the narrowest job grows first. One planner decides for all jobs, so
//! two jobs never claim the same capacity. They do not take it from each other in turns either, because one round
//! of growth takes only [`constants::GROWTH_SHARE`] of it and a preempted job backs off.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub mod constants;

use constants::{GROWTH_SHARE, MAX_PREEMPTION_BACKOFF, PREEMPTION_BACKOFF, STABLE_AFTER};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Capacity, in the unit of [`ElasticJob::task_request`].
pub type Capacity = u64;

/// Tracks the capacity that stays free. All times are measured from one fixed moment.
#[derive(Debug, Default)]
pub struct StableCapacity {
    /// Free capacity by time: the samples within the last [`STABLE_AFTER`], and the last one before.
    samples: VecDeque<(Duration, Capacity)>,
}

impl StableCapacity {
    /// Records the capacity that is free now.
    pub fn observe(&mut self, free: Capacity, now: Duration) {
        self.samples.push_back((now, free));
        while self.samples.get(1).is_some_and(|(at, _)| *at + STABLE_AFTER <= now) {
            self.samples.pop_front();
        }
    }

    /// Returns the capacity that has been free for all of [`STABLE_AFTER`].
    pub fn available(&self, now: Duration) -> Capacity {
        match self.samples.front() {
            Some((first, _)) if *first + STABLE_AFTER <= now => {
                self.samples.iter().map(|(_, free)| *free).min().unwrap_or(0)
            }
            _ => 0,
        }
    }
}

/// Job that can run more tasks at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ElasticJob {
    /// Resource request of one task; must not be 0.
    pub task_request: Capacity,
    /// Number of tasks that run.
    pub width: u64,
    /// Maximum width.
    pub max_width: u64,
    /// Number of tasks that wait.
    pub waiting: u64,
}

impl ElasticJob {
    /// Returns the number of tasks by which the job can grow.
    fn max_growth(&self) -> u64 {
        self.waiting.min(self.max_width.saturating_sub(self.width))
    }
}

/// Returns the number of tasks by which each job grows into the capacity. All jobs grow to the same width, the
/// narrowest first, as far as their maxima and the capacity allow. Among equally narrow jobs, the first in the list
/// gets the last task.
pub fn share(elastic_jobs: &[ElasticJob], capacity: Capacity) -> Vec<u64> {
    let mut growth = vec![0u64; elastic_jobs.len()];
    let mut remaining = capacity;
    // Binary search for the largest width that all jobs can reach. It applies because the cost never falls as the
    // width rises.
    let cost = |level: u64| -> u128 {
        let each = elastic_jobs.iter().map(|elastic_job| {
            let added = level.saturating_sub(elastic_job.width).min(elastic_job.max_growth());
            u128::from(added) * u128::from(elastic_job.task_request.max(1))
        });
        each.sum()
    };
    let highest = elastic_jobs
        .iter()
        .map(|elastic_job| elastic_job.width + elastic_job.max_growth())
        .max()
        .unwrap_or(0);
    let (mut low, mut high) = (0, highest);
    while low < high {
        let level = low + (high - low).div_ceil(2);
        if cost(level) <= u128::from(remaining) { low = level } else { high = level - 1 }
    }
    for (added, elastic_job) in growth.iter_mut().zip(elastic_jobs) {
        *added = low.saturating_sub(elastic_job.width).min(elastic_job.max_growth());
        remaining -= *added * elastic_job.task_request.max(1);
    }
    // The remaining capacity widens some of the jobs at that level by one more task.
    for (added, elastic_job) in growth.iter_mut().zip(elastic_jobs) {
        let is_at_level = elastic_job.width + *added <= low;
        if is_at_level
            && *added < elastic_job.max_growth()
            && elastic_job.task_request.max(1) <= remaining
        {
            *added += 1;
            remaining -= elastic_job.task_request.max(1);
        }
    }
    growth
}

/// Time during which a preempted job does not grow.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Duration,
    length: Duration,
}

/// State of elastic jobs that is kept from one planning pass to the next.
#[derive(Debug)]
pub struct WidthPlanner<Id> {
    stable_capacity: StableCapacity,
    /// Backoffs of preempted jobs. An expired one is kept for as long again, so that the next one can be doubled.
    backoffs: BTreeMap<Id, Backoff>,
}

impl<Id> Default for WidthPlanner<Id> {
    fn default() -> Self {
        WidthPlanner { stable_capacity: StableCapacity::default(), backoffs: BTreeMap::new() }
    }
}

impl<Id: Ord + Clone> WidthPlanner<Id> {
    /// Records that a task of the job was preempted. If that happens soon after the previous backoff, the new one is
    /// twice as long.
    pub fn record_preemption(&mut self, job: &Id, now: Duration) {
        let length = match self.backoffs.get(job) {
            Some(backoff) if now < backoff.until => backoff.length,
            Some(backoff) => MAX_PREEMPTION_BACKOFF.min(backoff.length * 2),
            None => PREEMPTION_BACKOFF,
        };
        self.backoffs.insert(job.clone(), Backoff { until: now + length, length });
    }

    fn backs_off(&self, job: &Id, now: Duration) -> bool {
        self.backoffs.get(job).is_some_and(|backoff| now < backoff.until)
    }

    /// Returns the number of tasks by which each job may grow now beyond its minimum width, given the free capacity.
    /// Jobs that may not grow are left out.
    pub fn grow(
        &mut self,
        jobs: &[(Id, ElasticJob)],
        free: Capacity,
        now: Duration,
    ) -> BTreeMap<Id, u64> {
        self.backoffs.retain(|_, backoff| now < backoff.until + backoff.length);
        self.stable_capacity.observe(free, now);
        let capacity = (self.stable_capacity.available(now) as f64 * GROWTH_SHARE) as Capacity;
        let eligible: Vec<&(Id, ElasticJob)> =
            jobs.iter().filter(|(id, _)| !self.backs_off(id, now)).collect();
        let elastic_jobs: Vec<ElasticJob> =
            eligible.iter().map(|(_, elastic_job)| *elastic_job).collect();
        let growth = share(&elastic_jobs, capacity);
        eligible.into_iter().map(|(id, _)| id.clone()).zip(growth).filter(|(_, n)| *n > 0).collect()
    }
}

#[cfg(test)]
mod tests;
