//! When a job will be done.

use crate::constants::*;
use crate::current::Centre;
use crate::shape;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Evenly spread shares that look like chance: each the golden ratio further.
fn shares() -> impl Iterator<Item = f64> {
    (1u32..).map(|n| (f64::from(n) * 0.618_033_988_749_895).fract())
}

/// A time that can be put in order.
#[derive(PartialEq)]
struct At(f64);
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &At) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Seconds until the last of a job's tasks ends: those that run, by how long each has run, and so many
/// that wait for one of `width` places. At the 10, 50 and 90% points of where the centre may be.
pub fn remaining(centre: &Centre, running: &[f64], waiting: u64, width: u64) -> [f64; 3] {
    [0.1, 0.5, 0.9].map(|share| {
        let at = Centre { ln: centre.ln + centre.sd * shape::point(share), ..*centre };
        played(&at, running, waiting, width)
    })
}

fn played(centre: &Centre, running: &[f64], waiting: u64, width: u64) -> f64 {
    let mut shares = shares();
    let mut share = move || shares.next().unwrap_or(0.5);
    let within = centre.within;
    let run_s = |share: f64| (centre.ln + within * shape::point(share)).exp();
    // What runs goes on for as long as those do that ran so long already.
    let mut ends: BinaryHeap<Reverse<At>> = running
        .iter()
        .map(|ran| {
            let ran = ran.max(SHORTEST_S);
            let longer = shape::above((ran.ln() - centre.ln) / within);
            let rest = (run_s(1.0 - longer * (1.0 - share())) - ran).max(0.0);
            Reverse(At(rest))
        })
        .collect();
    let width = usize::try_from(width).unwrap_or(usize::MAX).max(1);
    // Only the last few are played one by one: before them each place is simply busy.
    let played = waiting.min(PLAYED.max(width) as u64);
    let places =
        width.min(running.len().saturating_add(usize::try_from(waiting).unwrap_or(usize::MAX)));
    let busy = (waiting - played) as f64 * centre.mean_s() / places.max(1) as f64;
    while ends.len() < places && (ends.len() as u64) < running.len() as u64 + waiting {
        // A free place: a task that waits takes it now.
        ends.push(Reverse(At(0.0)));
    }
    let mut last: f64 = ends.iter().map(|Reverse(At(end))| *end).fold(0.0, f64::max);
    for _ in 0..played {
        let Some(Reverse(At(free))) = ends.pop() else { break };
        let end = free + run_s(share());
        last = last.max(end);
        ends.push(Reverse(At(end)));
    }
    busy + last
}

#[cfg(test)]
mod tests {
    use super::*;

    fn centre(within: f64) -> Centre {
        Centre { ln: 60f64.ln(), sd: 0.1, within }
    }

    #[test]
    fn equal_tasks_end_in_rounds() {
        let [_, one, _] = remaining(&centre(0.02), &[], 8, 4);
        assert!((one / 120.0 - 1.0).abs() < 0.08, "{one}");
        let [_, odd, _] = remaining(&centre(0.02), &[], 9, 4);
        assert!((odd / 180.0 - 1.0).abs() < 0.08, "{odd}");
        let [low, half, high] = remaining(&centre(0.02), &[45.0; 4], 0, 4);
        assert!(low < half && half < high && (half - 15.0).abs() < 4.0, "{low} {half} {high}");
    }

    /// What is reckoned as a stream ends when the same tasks played one by one do.
    #[test]
    fn a_large_array_ends_when_its_tasks_played_one_by_one_do() {
        let mut ends = vec![0.0f64; 40];
        for (n, share) in shares().take(20_000).enumerate() {
            let _ = n;
            let free = ends.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1)).unwrap().0;
            ends[free] += (60f64.ln() + 0.5 * shape::point(share)).exp();
        }
        let last = ends.iter().copied().fold(0.0, f64::max);
        let [_, half, _] = remaining(&centre(0.5), &[], 20_000, 40);
        assert!((half / last - 1.0).abs() < 0.02, "{half} {last}");
    }

    #[test]
    fn a_job_of_any_size_is_reckoned_at_once() {
        let [_, half, _] = remaining(&centre(0.5), &[1.0; 50], u64::MAX / 2, 64);
        assert!(half.is_finite() && half > 1e15);
        assert_eq!(remaining(&centre(0.5), &[], 0, 0), [0.0; 3]);
    }
}
