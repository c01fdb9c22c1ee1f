//! Simulation of the time until a job's last task completes.

use crate::constants::*;
use crate::current::RunTimeDistribution;
use crate::shape;
use ordered_float::OrderedFloat;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Simulated times in seconds until a job completes, in ascending order.
#[derive(Debug, Clone, PartialEq)]
pub struct RemainingTime(Vec<f64>);

impl RemainingTime {
    /// Returns the quantile at `probability`, in seconds.
    pub fn quantile(&self, probability: f64) -> f64 {
        let index = (self.0.len() as f64 * probability) as usize;
        self.0.get(index.min(self.0.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }

    /// Returns the probability that the job takes longer than `left_s` seconds.
    pub fn probability_longer_than(&self, left_s: f64) -> f64 {
        let longer = self.0.len() - self.0.partition_point(|end| *end <= left_s);
        longer as f64 / self.0.len().max(1) as f64
    }
}

/// Simulates the time until the last of a job's tasks completes. `running`: elapsed seconds of each running task;
/// `waiting`: number of tasks that wait for one of `width` slots. The result is deterministic.
pub fn remaining(
    distribution: &RunTimeDistribution,
    running: &[f64],
    waiting: u64,
    width: u64,
) -> RemainingTime {
    let mut random = StdRng::seed_from_u64(waiting);
    let outcomes = (0..SIMULATED_OUTCOMES).map(|outcome| {
        // The medians are evenly spaced quantiles; the run times of the tasks are drawn at random.
        let probability = (outcome as f64 + 0.5) / SIMULATED_OUTCOMES as f64;
        let distribution = RunTimeDistribution {
            ln: distribution.ln + distribution.sd * shape::normal_quantile(probability),
            ..*distribution
        };
        simulate(&distribution, running, waiting, width, &mut random)
    });
    let mut ends: Vec<f64> = outcomes.collect();
    ends.sort_by(f64::total_cmp);
    RemainingTime(ends)
}

/// Simulates one outcome and returns the seconds until the last task completes.
fn simulate(
    distribution: &RunTimeDistribution,
    running: &[f64],
    waiting: u64,
    width: u64,
    random: &mut StdRng,
) -> f64 {
    let within = distribution.within;
    let run_s = |probability: f64| {
        (distribution.ln + within * shape::fast_normal_quantile(probability)).exp()
    };
    // The run time of a running task is drawn from the part of the distribution above its elapsed time.
    let mut ends: BinaryHeap<Reverse<OrderedFloat<f64>>> = running
        .iter()
        .map(|elapsed_s| {
            let elapsed_s = elapsed_s.max(MIN_RUN_S);
            let survival = shape::normal_tail((elapsed_s.ln() - distribution.ln) / within);
            let rest = (run_s(1.0 - survival * random.random::<f64>()) - elapsed_s).max(0.0);
            Reverse(OrderedFloat(rest))
        })
        .collect();
    let width = usize::try_from(width).unwrap_or(usize::MAX).max(1);
    // Only the last tasks are simulated one by one. The time that the earlier ones keep the slots busy is averaged.
    let simulated = waiting.min(SIMULATED_TASKS.max(width.min(SIMULATED_TASKS * 4)) as u64);
    let total = running.len().saturating_add(usize::try_from(waiting).unwrap_or(usize::MAX));
    let slots = width.max(running.len()).min(total);
    let busy = (waiting - simulated) as f64 * distribution.mean_s() / slots.max(1) as f64;
    let mut last: f64 = ends.iter().map(|Reverse(OrderedFloat(end))| *end).fold(0.0, f64::max);
    // Free slots take waiting tasks at once. No more slots are needed than tasks are simulated.
    let free_slots = (slots - ends.len()).min(usize::try_from(simulated).unwrap_or(usize::MAX));
    ends.extend(std::iter::repeat_with(|| Reverse(OrderedFloat(0.0))).take(free_slots));
    for _ in 0..simulated {
        let Some(Reverse(OrderedFloat(start))) = ends.pop() else { break };
        let end = start + run_s(random.random());
        last = last.max(end);
        ends.push(Reverse(OrderedFloat(end)));
    }
    busy + last
}

#[cfg(test)]
mod tests;
