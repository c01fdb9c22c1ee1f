//! When a job will be done.

use crate::constants::*;
use crate::current::Centre;
use crate::shape;
use ordered_float::OrderedFloat;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// When a job may be done: so many ways in which it may go, the shortest first.
#[derive(Debug, Clone, PartialEq)]
pub struct Rest(Vec<f64>);

impl Rest {
    /// Seconds within which a share of those ways ends.
    pub fn point(&self, share: f64) -> f64 {
        let at = (self.0.len() as f64 * share) as usize;
        self.0.get(at.min(self.0.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }

    /// How probable it is that it takes longer than so many seconds.
    pub fn later_than(&self, left_s: f64) -> f64 {
        let longer = self.0.len() - self.0.partition_point(|end| *end <= left_s);
        longer as f64 / self.0.len().max(1) as f64
    }
}

/// Seconds until the last of a job's tasks ends: those that run, by how long each has run, and so many
/// that wait for one of `width` places. The same question has the same answer.
pub fn remaining(centre: &Centre, running: &[f64], waiting: u64, width: u64) -> Rest {
    let mut random = StdRng::seed_from_u64(waiting);
    let ways = (0..SIMULATED_OUTCOMES).map(|way| {
        // Where the centre is comes evenly spread, what each task takes by chance.
        let share = (way as f64 + 0.5) / SIMULATED_OUTCOMES as f64;
        let at = Centre { ln: centre.ln + centre.sd * shape::point(share), ..*centre };
        played(&at, running, waiting, width, &mut random)
    });
    let mut ends: Vec<f64> = ways.collect();
    ends.sort_by(f64::total_cmp);
    Rest(ends)
}

fn played(centre: &Centre, running: &[f64], waiting: u64, width: u64, random: &mut StdRng) -> f64 {
    let within = centre.within;
    let run_s = |share: f64| (centre.ln + within * shape::quick_point(share)).exp();
    // What runs goes on for as long as those do that ran so long already.
    let mut ends: BinaryHeap<Reverse<OrderedFloat<f64>>> = running
        .iter()
        .map(|ran| {
            let ran = ran.max(MIN_RUN_S);
            let longer = shape::above((ran.ln() - centre.ln) / within);
            let rest = (run_s(1.0 - longer * random.random::<f64>()) - ran).max(0.0);
            Reverse(OrderedFloat(rest))
        })
        .collect();
    let width = usize::try_from(width).unwrap_or(usize::MAX).max(1);
    // Only the last few are played one by one: before them each place is simply busy.
    let played = waiting.min(SIMULATED_TASKS.max(width.min(SIMULATED_TASKS * 4)) as u64);
    let all = running.len().saturating_add(usize::try_from(waiting).unwrap_or(usize::MAX));
    let places = width.max(running.len()).min(all);
    let busy = (waiting - played) as f64 * centre.mean_s() / places.max(1) as f64;
    let mut last: f64 = ends.iter().map(|Reverse(OrderedFloat(end))| *end).fold(0.0, f64::max);
    // Free places take tasks that wait now; no more of them than are played.
    let free = (places - ends.len()).min(usize::try_from(played).unwrap_or(usize::MAX));
    ends.extend(std::iter::repeat_with(|| Reverse(OrderedFloat(0.0))).take(free));
    for _ in 0..played {
        let Some(Reverse(OrderedFloat(free))) = ends.pop() else { break };
        let end = free + run_s(random.random());
        last = last.max(end);
        ends.push(Reverse(OrderedFloat(end)));
    }
    busy + last
}

#[cfg(test)]
mod tests;
