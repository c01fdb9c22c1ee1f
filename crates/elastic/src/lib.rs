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
    pub fn made_way(&mut self, job: &Id, now: Duration) {
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn s(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    proptest! {
        /// Against the plain way: one task at a time to the narrowest that wants one and fits.
        #[test]
        fn room_is_shared_as_one_task_at_a_time_would(
            widths in prop::collection::vec((0u64..30, 0u64..40, 0u64..30), 0..8),
            need in 1u64..5, room in 0u64..200
        ) {
            let growers: Vec<Grower> = widths
                .iter()
                .map(|(width, most, waiting)| Grower { need, width: *width, most: *most, waiting: *waiting })
                .collect();
            let mut plain = vec![0u64; growers.len()];
            let mut left = room;
            loop {
                let open = |n: &usize| plain[*n] < growers[*n].wants() && need <= left;
                let narrowest = (0..growers.len()).filter(open).min_by_key(|n| growers[*n].width + plain[*n]);
                let Some(n) = narrowest else { break };
                plain[n] += 1;
                left -= need;
            }
            prop_assert_eq!(share(&growers, room), plain);
        }

        /// Of whatever sizes, nobody gets more than it wants and all together no more than there is; and
        /// nobody is widened beyond one who is narrower, wants more and would fit into what it got.
        #[test]
        fn nobody_takes_what_there_is_not(
            growers in prop::collection::vec((1u64..50, 0u64..1000, 0u64..1000, any::<u64>()), 0..12),
            room in any::<u64>()
        ) {
            let growers: Vec<Grower> = growers
                .iter()
                .map(|(need, width, most, waiting)| Grower { need: *need, width: *width, most: *most, waiting: *waiting })
                .collect();
            let grown = share(&growers, room);
            let taken: u128 = grown.iter().zip(&growers).map(|(n, g)| u128::from(*n) * u128::from(g.need)).sum();
            prop_assert!(taken <= u128::from(room));
            for (n, grower) in grown.iter().zip(&growers) {
                prop_assert!(*n <= grower.wants());
                for (m, other) in grown.iter().zip(&growers) {
                    let wider = *n > 1 && grower.width + n > other.width + m + 2;
                    prop_assert!(!wider || *m == other.wants() || other.need > grower.need, "{growers:?} {grown:?}");
                }
            }
        }

        /// Room that stayed free is the least that was seen within the while.
        #[test]
        fn what_stays_free_is_the_least_lately(looks in prop::collection::vec((0u64..2000, 0u64..100), 1..60)) {
            let mut settled = Settled::default();
            let mut seen: Vec<(Duration, u64)> = Vec::new();
            let mut now = Duration::ZERO;
            for (ms, free) in looks {
                now += Duration::from_millis(ms);
                settled.see(free, now);
                seen.push((now, free));
                // Also that of the last look before the while began.
                let first = seen.iter().rposition(|(at, _)| *at + STAYS_FREE <= now);
                let plain = first.map_or(0, |first| seen[first..].iter().map(|(_, free)| *free).min().unwrap());
                prop_assert_eq!(settled.room(now), plain);
            }
        }
    }

    /// Two jobs that both want all of the room that comes free, and a guest that takes some of it back now
    /// and then: each changes its direction only where the guest makes it.
    #[test]
    fn two_growers_never_swap_room_back_and_forth() {
        let mut widths: Widths<u8> = Widths::default();
        let mut width = [4u64, 4];
        let mut direction = [0i8; 2];
        let mut turns = [0; 2];
        let mut shrinks = 0;
        let all = 64u64;
        for step in 0..2500u64 {
            let now = s(step as f64 * 0.2);
            // Thirty seconds at first, then six times for six seconds with seven between.
            let pulse = (400..790).contains(&step) && (step - 400) % 65 < 30;
            let guest = if (150..300).contains(&step) || pulse { 30 } else { 0 };
            // The guest takes its room at once, from the widest first.
            while width.iter().sum::<u64>() + guest > all {
                let widest = usize::from(width[1] > width[0]);
                width[widest] -= 1;
                widths.made_way(&(widest as u8), now);
                turns[widest] += u32::from(direction[widest] > 0);
                direction[widest] = -1;
                shrinks += 1;
            }
            let free = all - guest - width.iter().sum::<u64>();
            let grower = |n: usize| Grower { need: 1, width: width[n], most: 60, waiting: 100 };
            let grown = widths.grow(&[(0, grower(0)), (1, grower(1))], free, now);
            for (id, more) in grown {
                let n = usize::from(id);
                width[n] += more;
                turns[n] += u32::from(direction[n] < 0);
                direction[n] = 1;
            }
        }
        assert!(shrinks > 0);
        // Without any rest each of the guest's seven visits turns both jobs twice.
        assert!(turns.iter().all(|turns| *turns <= 8), "{turns:?}");
        assert!(width[0].abs_diff(width[1]) <= 1 && width.iter().sum::<u64>() >= 60, "{width:?}");
    }

    #[test]
    fn room_that_comes_and_goes_is_left_alone() {
        let mut widths: Widths<u8> = Widths::default();
        let grower = Grower { need: 1, width: 1, most: 50, waiting: 50 };
        for step in 0..100u64 {
            let free = if step % 20 == 0 { 0 } else { 30 };
            assert!(widths.grow(&[(0, grower)], free, s(step as f64 * 0.2)).is_empty(), "{step}");
        }
        // What stayed is taken by half, then by half of the rest.
        let mut grown = BTreeMap::new();
        for step in 100..150u64 {
            grown = widths.grow(&[(0, grower)], 30, s(step as f64 * 0.2));
        }
        assert_eq!(grown.get(&0), Some(&15));
    }
}
