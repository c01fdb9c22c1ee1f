//! How wide elastic jobs run.
//!
//! Pure: no I/O, and the time is handed in. An elastic job has a least width, for which it is served as any
//! job is, and beyond it takes only room that has stayed free for a while. Growers share such room max-min: the
//! narrowest is widened first. One planner decides for all, so two jobs never claim the same room; what
//! keeps them from swapping it back and forth is that growth takes half of what stayed free, and that a job
//! which made way rests.
#![forbid(unsafe_code)]

pub mod constants;

use constants::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Room in whatever unit needs are counted in.
pub type Room = u64;

/// Room as it was lately; times are since any fixed moment.
#[derive(Debug, Default)]
pub struct Settled {
    /// Looks within the while, and the last one before it: some dozens.
    looks: VecDeque<(Duration, Room)>,
}

impl Settled {
    /// So much is free now.
    pub fn see(&mut self, free: Room, now: Duration) {
        self.looks.push_back((now, free));
        while self.looks.get(1).is_some_and(|(at, _)| *at + STAYS_FREE <= now) {
            self.looks.pop_front();
        }
    }

    /// What has been free all the while; nothing before that while has passed.
    pub fn room(&self, now: Duration) -> Room {
        match self.looks.front() {
            Some((first, _)) if *first + STAYS_FREE <= now => {
                self.looks.iter().map(|(_, free)| *free).min().unwrap_or(0)
            }
            _ => 0,
        }
    }
}

/// A job that would take more tasks at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grower {
    /// What one task needs, above nothing.
    pub need: Room,
    /// Tasks that run.
    pub width: u64,
    /// Tasks that it may run at once at the most, and how many wait.
    pub most: u64,
    pub waiting: u64,
}

impl Grower {
    fn wants(&self) -> u64 {
        self.waiting.min(self.most.saturating_sub(self.width))
    }
}

/// By how many tasks each grows into so much room: the narrowest first, all to the same width as far as
/// they want to and the room lasts. The last task goes to whoever stands first among equals.
pub fn share(growers: &[Grower], room: Room) -> Vec<u64> {
    let mut grown = vec![0u64; growers.len()];
    let mut room = room;
    // Up to which width all can be brought: found by halving, since room for one more task of each
    // only gets less as the width rises.
    let cost = |level: u64| -> u128 {
        let each = growers.iter().map(|grower| {
            let grows = level.saturating_sub(grower.width).min(grower.wants());
            u128::from(grows) * u128::from(grower.need.max(1))
        });
        each.sum()
    };
    let highest = growers.iter().map(|grower| grower.width + grower.wants()).max().unwrap_or(0);
    let (mut low, mut high) = (0, highest);
    while low < high {
        let level = low + (high - low).div_ceil(2);
        if cost(level) <= u128::from(room) { low = level } else { high = level - 1 }
    }
    for (grows, grower) in grown.iter_mut().zip(growers) {
        *grows = low.saturating_sub(grower.width).min(grower.wants());
        room -= *grows * grower.need.max(1);
    }
    // What is left widens some of those at that level by one more.
    for (grows, grower) in grown.iter_mut().zip(growers) {
        let narrow = grower.width + *grows <= low;
        if narrow && *grows < grower.wants() && grower.need.max(1) <= room {
            *grows += 1;
            room -= grower.need.max(1);
        }
    }
    grown
}

/// What is remembered of elastic jobs from one planning pass to the next.
#[derive(Debug)]
pub struct Widths<Id> {
    settled: Settled,
    /// Until when jobs that made way rest, and how long that rest is.
    rests: BTreeMap<Id, (Duration, Duration)>,
}

impl<Id> Default for Widths<Id> {
    fn default() -> Self {
        Widths { settled: Settled::default(), rests: BTreeMap::new() }
    }
}

impl<Id: Ord + Clone> Widths<Id> {
    /// A task of the job made way for more urgent work. Who has to make way again soon after a rest rests
    /// twice as long.
    pub fn record_preemption(&mut self, job: &Id, now: Duration) {
        let rest = match self.rests.get(job) {
            Some((until, rest)) if now < *until => *rest,
            Some((_, rest)) => REST_MOST.min(*rest * 2),
            None => REST_AFTER_SHRINK,
        };
        self.rests.insert(job.clone(), (now + rest, rest));
    }

    fn rests(&self, job: &Id, now: Duration) -> bool {
        self.rests.get(job).is_some_and(|(until, _)| now < *until)
    }

    /// By how many tasks each of these jobs may grow now beyond what it is served anyway, with so much
    /// room free.
    pub fn grow(&mut self, jobs: &[(Id, Grower)], free: Room, now: Duration) -> BTreeMap<Id, u64> {
        self.rests.retain(|_, (until, rest)| now < *until + *rest);
        self.settled.see(free, now);
        let room = (self.settled.room(now) as f64 * GROWTH_SHARE) as Room;
        let awake: Vec<&(Id, Grower)> =
            jobs.iter().filter(|(id, _)| !self.rests(id, now)).collect();
        let growers: Vec<Grower> = awake.iter().map(|(_, grower)| *grower).collect();
        let grown = share(&growers, room);
        awake.into_iter().map(|(id, _)| id.clone()).zip(grown).filter(|(_, n)| *n > 0).collect()
    }
}

#[cfg(test)]
mod tests;
