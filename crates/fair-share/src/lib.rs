//! Fair shares of a scarce fleet: what each group is owed while there is less capacity than all accepted work
//! asks for.
//!
//! Pure: no I/O, and the time is handed in. Work is told apart by *group*, its class and its team, so that a
//! floor of each group is a floor of each class and of each team. Nothing is kept: what a group has missed still
//! waits, so its records say what it is owed, and two leaders in a row cannot count it twice. Only the recent
//! rate at which work arrives is remembered, and a new leader begins it anew from the records of live jobs.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub mod constants;

use constants::{
    ARRIVAL_WINDOW, ENTER_AFTER, EXIT_AFTER, EXIT_THRESHOLD, MIN_ARRIVAL_WINDOW, UNITS_PER_MACHINE,
};
use ordered_float::OrderedFloat;
use std::collections::BTreeMap;
use std::time::Duration;

/// Room in millionths of a machine; see [`UNITS_PER_MACHINE`].
pub type Capacity = u64;

/// What one group has and asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// What its tasks take up now.
    pub held: Capacity,
    /// What its waiting tasks would take up, as far as their team's limit allows.
    pub waiting: Capacity,
    /// What it has to hold, on average, to be served as fast as its work arrives.
    pub offered: Capacity,
    /// It may not use spot machines.
    pub ordinary: bool,
    /// Its team has no guarantee: it gets a floor from what the floors of others leave.
    pub guest: bool,
}

impl Demand {
    /// What it could make use of now.
    pub fn wanted(&self) -> Capacity {
        self.held.saturating_add(self.waiting)
    }

    /// What it asks for in the long run: no more than it could use, since a job that is nearly done
    /// needs no more than what is left of it.
    pub fn needed(&self) -> Capacity {
        self.offered.min(self.wanted())
    }
}

/// Machines that are there or surely on their way, in [`Capacity`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Supply {
    /// Ordinary machines.
    pub ordinary: Capacity,
    /// Spot machines.
    pub spot: Capacity,
    /// Nothing more can be rented now: every kind refuses, the cloud is out, or controllers can hold no
    /// more machines.
    pub exhausted: bool,
    /// That is not known, but taken to be so: a new leader has asked for nothing yet, and what a predecessor
    /// kept for those below their floors would be gone by the time it knows.
    pub presumed: bool,
}

impl Supply {
    /// All of it.
    pub fn all(&self) -> Capacity {
        self.ordinary.saturating_add(self.spot)
    }
}

fn share(of: Capacity, factor: f64) -> Capacity {
    (of as f64 * factor) as Capacity
}

/// By what factor demand is met, where some of it may use ordinary machines alone.
struct Coverage {
    ordinary_only: f64,
    any_machine: f64,
}

fn coverage(ordinary: Capacity, any: Capacity, supply: &Supply) -> Coverage {
    let part =
        |room: Capacity, wish: Capacity| if wish == 0 { 1.0 } else { room as f64 / wish as f64 };
    let even = part(supply.all(), ordinary.saturating_add(any)).min(1.0);
    if share(ordinary, even) <= supply.ordinary {
        return Coverage { ordinary_only: even, any_machine: even };
    }
    // They fill the ordinary machines; all the others have is the rest.
    let strict = part(supply.ordinary, ordinary).min(1.0);
    let rest = supply.all().saturating_sub(share(ordinary, strict));
    Coverage { ordinary_only: strict, any_machine: part(rest, any).min(1.0) }
}

/// The floor of each group: the same share of what each needs, or as much of it as there is for all. Groups
/// of guests come after the others, each with no more than an even part of everything: a flood earns nothing
/// by its size.
pub fn floors<K: Ord + Clone>(
    demands: &BTreeMap<K, Demand>,
    supply: &Supply,
    floor: f64,
) -> BTreeMap<K, Capacity> {
    let mut left = *supply;
    let mut floors = BTreeMap::new();
    let even = supply.all() / demands.len().max(1) as u64;
    for guests in [false, true] {
        let tier: Vec<(&K, Capacity, bool)> = demands
            .iter()
            .filter(|(_, demand)| demand.guest == guests)
            .map(|(key, demand)| {
                let needed = if guests { demand.needed().min(even) } else { demand.needed() };
                (key, share(needed, floor), demand.ordinary)
            })
            .collect();
        let wishes = |ordinary: bool| -> Capacity {
            tier.iter().filter(|(_, _, only)| *only == ordinary).map(|(_, wish, _)| *wish).sum()
        };
        let met = coverage(wishes(true), wishes(false), &left);
        let (mut ordinary, mut any) = (0, 0);
        for (key, wish, only) in tier {
            let floor = share(wish, if only { met.ordinary_only } else { met.any_machine });
            *(if only { &mut ordinary } else { &mut any }) += floor;
            floors.insert(key.clone(), floor);
        }
        // What may use spot machines takes those first.
        let beyond = any.saturating_sub(left.spot);
        left.spot = left.spot.saturating_sub(any);
        left.ordinary = left.ordinary.saturating_sub(ordinary.saturating_add(beyond));
    }
    floors
}

/// What a group has and is owed while capacity is scarce.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupShare {
    /// What it is to have at the least.
    pub floor: Capacity,
    /// What its tasks take up.
    pub held: Capacity,
    /// What it is to get before all others.
    pub owed: Capacity,
    /// How much of what it holds may be preempted for others.
    pub preemptible: Capacity,
}

impl GroupShare {
    /// How much of its floor a group has, for the order among those below theirs.
    pub fn reached(&self) -> OrderedFloat<f64> {
        OrderedFloat(self.held as f64 / self.floor.max(1) as f64)
    }
}

/// How fast work arrives, in machine-seconds a second, forgetting what came long ago.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    sum: f64,
    since: Duration,
    at: Duration,
}

impl Arrivals {
    fn new(now: Duration) -> Arrivals {
        Arrivals { sum: 0.0, since: now, at: now }
    }

    fn decay(age: Duration) -> f64 {
        (-age.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }

    fn forget(&mut self, now: Duration) {
        self.sum *= Self::decay(now.saturating_sub(self.at));
        self.at = self.at.max(now);
    }

    /// Work of so many machine-seconds came, `age` ago.
    fn record_arrival(&mut self, work: f64, age: Duration, now: Duration) {
        self.forget(now);
        self.sum += work * Self::decay(age);
        // What came before this average began widens what it is taken over.
        self.since = self.since.min(now.saturating_sub(age));
    }

    fn rate(&self, now: Duration) -> f64 {
        let seen = now.saturating_sub(self.since).max(MIN_ARRIVAL_WINDOW);
        let weight = ARRIVAL_WINDOW.as_secs_f64() * (1.0 - Self::decay(seen));
        self.sum * Self::decay(now.saturating_sub(self.at)) / weight
    }
}

/// A change between enough and scarce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScarcityChange {
    /// Capacity became scarce.
    Began,
    /// It is scarce no longer.
    Ended,
}

/// Whether capacity is scarce, and the share of each group; times are since any fixed moment.
#[derive(Debug)]
pub struct ScarcityTracker<K> {
    /// Share of what each group needs that it is to have at the least; 0: nobody is owed anything.
    floor: f64,
    arrivals: BTreeMap<K, Arrivals>,
    /// Since when what is needed has been above, or well below, what there is.
    above: Option<Duration>,
    below: Option<Duration>,
    began: Option<Duration>,
    group_shares: BTreeMap<K, GroupShare>,
}

impl<K: Ord + Clone> ScarcityTracker<K> {
    /// A tracker that owes each group this share of what it needs.
    pub fn new(floor: f64) -> ScarcityTracker<K> {
        ScarcityTracker {
            floor,
            arrivals: BTreeMap::new(),
            above: None,
            below: None,
            began: None,
            group_shares: BTreeMap::new(),
        }
    }

    /// A group's work of so many machine-seconds was accepted, or became ready, `age` ago.
    pub fn record_arrival(&mut self, group: &K, work: f64, age: Duration, now: Duration) {
        if self.floor > 0.0 {
            let arrivals = self.arrivals.entry(group.clone()).or_insert(Arrivals::new(now));
            arrivals.record_arrival(work, age, now);
        }
    }

    /// What a group has to hold to be served as fast as its work arrives.
    pub fn arrival_rate(&self, group: &K, now: Duration) -> Capacity {
        self.arrivals
            .get(group)
            .map_or(0, |arrivals| (arrivals.rate(now) * UNITS_PER_MACHINE as f64) as Capacity)
    }

    /// Since when capacity has been scarce.
    pub fn since(&self) -> Option<Duration> {
        self.began
    }

    /// The share of a group; `None` while nothing is scarce.
    pub fn group_share(&self, group: &K) -> Option<GroupShare> {
        self.began?;
        Some(self.group_shares.get(group).copied().unwrap_or_default())
    }

    /// All shares; none while nothing is scarce.
    pub fn group_shares(&self) -> impl Iterator<Item = (&K, &GroupShare)> {
        self.group_shares.iter().filter(|_| self.began.is_some())
    }

    /// Compares what is asked for with what there is.
    pub fn update(
        &mut self,
        demands: &BTreeMap<K, Demand>,
        supply: &Supply,
        now: Duration,
    ) -> Option<ScarcityChange> {
        if self.floor <= 0.0 {
            return None;
        }
        let needed: Capacity = demands.values().map(Demand::needed).sum();
        let ordinary = demands.values().filter(|demand| demand.ordinary);
        let ordinary: Capacity = ordinary.map(Demand::needed).sum();
        let above = |share_of: f64| {
            ordinary > share(supply.ordinary, share_of) || needed > share(supply.all(), share_of)
        };
        let since = |at: Option<Duration>, holds: bool| holds.then(|| at.unwrap_or(now));
        let exhausted = supply.exhausted || supply.presumed;
        self.above = since(self.above, exhausted && above(1.0));
        self.below = since(self.below, !exhausted || !above(EXIT_THRESHOLD));
        let enter = if supply.presumed { Duration::ZERO } else { ENTER_AFTER };
        let passed = |at: Option<Duration>, least: Duration| at.is_some_and(|at| now >= at + least);
        let turn = match self.began {
            None if passed(self.above, enter) => {
                self.began = Some(now);
                Some(ScarcityChange::Began)
            }
            Some(_) if passed(self.below, EXIT_AFTER) => {
                self.began = None;
                Some(ScarcityChange::Ended)
            }
            _ => None,
        };
        self.group_shares = if self.began.is_some() {
            shares_of(demands, &floors(demands, supply, self.floor))
        } else {
            BTreeMap::new()
        };
        turn
    }
}

fn shares_of<K: Ord + Clone>(
    demands: &BTreeMap<K, Demand>,
    floors: &BTreeMap<K, Capacity>,
) -> BTreeMap<K, GroupShare> {
    let group_share = |(key, demand): (&K, &Demand)| {
        let floor = floors.get(key).copied().unwrap_or(0);
        let owed = floor.saturating_sub(demand.held).min(demand.waiting);
        let preemptible = demand.held.saturating_sub(floor);
        (key.clone(), GroupShare { floor, held: demand.held, owed, preemptible })
    };
    demands.iter().map(group_share).collect()
}

#[cfg(test)]
mod tests;
