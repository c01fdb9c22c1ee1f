//! How wide elastic jobs run.
//!
//! Pure: no I/O, and the time is handed in. An elastic job has a minimum width, for which it is served as any
//! job is, and beyond it takes only capacity that has stayed free for a while. Such capacity is shared max-min: the
//! narrowest job is widened first. One planner decides for all, so two jobs never claim the same capacity; what
//! keeps them from swapping it back and forth is that growth takes half of what stayed free, and that a job
//! that was preempted backs off.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub mod constants;

use constants::{GROWTH_SHARE, MAX_PREEMPTION_BACKOFF, PREEMPTION_BACKOFF, STABLE_AFTER};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Capacity in whatever unit needs are counted in.
pub type Capacity = u64;

/// Capacity that stayed free; times are since any fixed moment.
#[derive(Debug, Default)]
pub struct StableCapacity {
    /// Samples of the last [`STABLE_AFTER`], and the last one before.
    samples: VecDeque<(Duration, Capacity)>,
}

impl StableCapacity {
    /// Records how much is free now.
    pub fn observe(&mut self, free: Capacity, now: Duration) {
        self.samples.push_back((now, free));
        while self.samples.get(1).is_some_and(|(at, _)| *at + STABLE_AFTER <= now) {
            self.samples.pop_front();
        }
    }

    /// What has been free for all of [`STABLE_AFTER`].
    pub fn available(&self, now: Duration) -> Capacity {
        match self.samples.front() {
            Some((first, _)) if *first + STABLE_AFTER <= now => {
                self.samples.iter().map(|(_, free)| *free).min().unwrap_or(0)
            }
            _ => 0,
        }
    }
}

/// A job that would take more tasks at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ElasticJob {
    /// What one task needs, above nothing.
    pub need: Capacity,
    /// Tasks that run.
    pub width: u64,
    /// Tasks that it may run at once.
    pub most: u64,
    /// Tasks that wait.
    pub waiting: u64,
}

impl ElasticJob {
    fn wants(&self) -> u64 {
        self.waiting.min(self.most.saturating_sub(self.width))
    }
}

/// By how many tasks each grows into so much room: the narrowest first, all to the same width as far as
/// they want to and the room lasts. The last task goes to whoever stands first among equals.
pub fn share(elastic_jobs: &[ElasticJob], room: Capacity) -> Vec<u64> {
    let mut grown = vec![0u64; elastic_jobs.len()];
    let mut room = room;
    // Up to which width all can be brought: found by halving, since room for one more task of each
    // only gets less as the width rises.
    let cost = |level: u64| -> u128 {
        let each = elastic_jobs.iter().map(|elastic_job| {
            let grows = level.saturating_sub(elastic_job.width).min(elastic_job.wants());
            u128::from(grows) * u128::from(elastic_job.need.max(1))
        });
        each.sum()
    };
    let highest = elastic_jobs
        .iter()
        .map(|elastic_job| elastic_job.width + elastic_job.wants())
        .max()
        .unwrap_or(0);
    let (mut low, mut high) = (0, highest);
    while low < high {
        let level = low + (high - low).div_ceil(2);
        if cost(level) <= u128::from(room) { low = level } else { high = level - 1 }
    }
    for (grows, elastic_job) in grown.iter_mut().zip(elastic_jobs) {
        *grows = low.saturating_sub(elastic_job.width).min(elastic_job.wants());
        room -= *grows * elastic_job.need.max(1);
    }
    // What is left widens some of those at that level by one more.
    for (grows, elastic_job) in grown.iter_mut().zip(elastic_jobs) {
        let narrow = elastic_job.width + *grows <= low;
        if narrow && *grows < elastic_job.wants() && elastic_job.need.max(1) <= room {
            *grows += 1;
            room -= elastic_job.need.max(1);
        }
    }
    grown
}

/// A pause in growing.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Duration,
    length: Duration,
}

/// What is remembered of elastic jobs from one planning pass to the next.
#[derive(Debug)]
pub struct WidthPlanner<Id> {
    stable_capacity: StableCapacity,
    /// Jobs that were preempted and do not grow yet.
    backoffs: BTreeMap<Id, Backoff>,
}

impl<Id> Default for WidthPlanner<Id> {
    fn default() -> Self {
        WidthPlanner { stable_capacity: StableCapacity::default(), backoffs: BTreeMap::new() }
    }
}

impl<Id: Ord + Clone> WidthPlanner<Id> {
    /// Records that a task of the job was preempted. A job that is preempted again soon after its backoff backs
    /// off for twice as long.
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

    /// By how many tasks each of these jobs may grow now beyond its minimum width, with so much capacity free.
    pub fn grow(
        &mut self,
        jobs: &[(Id, ElasticJob)],
        free: Capacity,
        now: Duration,
    ) -> BTreeMap<Id, u64> {
        self.backoffs.retain(|_, backoff| now < backoff.until + backoff.length);
        self.stable_capacity.observe(free, now);
        let room = (self.stable_capacity.available(now) as f64 * GROWTH_SHARE) as Capacity;
        let eligible: Vec<&(Id, ElasticJob)> =
            jobs.iter().filter(|(id, _)| !self.backs_off(id, now)).collect();
        let elastic_jobs: Vec<ElasticJob> =
            eligible.iter().map(|(_, elastic_job)| *elastic_job).collect();
        let grown = share(&elastic_jobs, room);
        eligible.into_iter().map(|(id, _)| id.clone()).zip(grown).filter(|(_, n)| *n > 0).collect()
    }
}

#[cfg(test)]
mod tests;
