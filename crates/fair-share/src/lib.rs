//! Who is owed room while there is less than all accepted work asks for.
//!
//! Pure: no I/O, and the time is handed in. Work is told apart by *group*, its class and its team, so that a
//! floor of each group is a floor of each class and of each team. Nothing is kept: what a group has missed still
//! waits, so its records say what it is owed, and two leaders in a row cannot count it twice. Only the recent
//! rate at which work arrives is remembered, and a new leader begins it anew from the records of live jobs.
#![forbid(unsafe_code)]

pub mod constants;

use constants::*;
use ordered_float::OrderedFloat;
use std::collections::BTreeMap;
use std::time::Duration;

/// Room in millionths of a machine; see [`MACHINE`].
pub type Room = u64;

/// What one group has and asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// What its tasks take up now.
    pub held: Room,
    /// What its waiting tasks would take up, as far as their team's limit allows.
    pub waiting: Room,
    /// What it has to hold, on average, to be served as fast as its work arrives.
    pub offered: Room,
    /// It may not use spot machines.
    pub ordinary: bool,
    /// Its team has no guarantee: it gets a floor from what the floors of others leave.
    pub guest: bool,
}

impl Demand {
    /// What it could make use of now.
    pub fn wanted(&self) -> Room {
        self.held.saturating_add(self.waiting)
    }

    /// What it asks for in the long run: no more than it could use, since a job that is nearly done
    /// needs no more than what is left of it.
    pub fn needed(&self) -> Room {
        self.offered.min(self.wanted())
    }
}

/// Machines that are there or surely on their way, in [`Room`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Supply {
    pub ordinary: Room,
    pub spot: Room,
    /// Nothing more can be rented now: every kind refuses, the cloud is out, or controllers can hold no
    /// more machines.
    pub exhausted: bool,
    /// That is not known, but taken to be so: a new leader has asked for nothing yet, and what a predecessor
    /// kept for those below their floors would be gone by the time it knows.
    pub presumed: bool,
}

impl Supply {
    pub fn all(&self) -> Room {
        self.ordinary.saturating_add(self.spot)
    }
}

fn share(of: Room, factor: f64) -> Room {
    (of as f64 * factor) as Room
}

/// By what factor wishes are met where some may use ordinary machines alone: (those, the others).
fn factors(ordinary: Room, any: Room, supply: &Supply) -> (f64, f64) {
    let part = |room: Room, wish: Room| if wish == 0 { 1.0 } else { room as f64 / wish as f64 };
    let even = part(supply.all(), ordinary.saturating_add(any)).min(1.0);
    if share(ordinary, even) <= supply.ordinary {
        return (even, even);
    }
    // They fill the ordinary machines; all the others have is the rest.
    let strict = part(supply.ordinary, ordinary).min(1.0);
    let rest = supply.all().saturating_sub(share(ordinary, strict));
    (strict, part(rest, any).min(1.0))
}

/// The floor of each group: the same share of what each needs, or as much of it as there is for all. Groups
/// of guests come after the others, each with no more than an even part of everything: a flood earns nothing
/// by its size.
pub fn floors<K: Ord + Clone>(
    demands: &BTreeMap<K, Demand>,
    supply: &Supply,
    floor: f64,
) -> BTreeMap<K, Room> {
    let mut left = *supply;
    let mut floors = BTreeMap::new();
    let even = supply.all() / demands.len().max(1) as u64;
    for guests in [false, true] {
        let tier: Vec<(&K, Room, bool)> = demands
            .iter()
            .filter(|(_, demand)| demand.guest == guests)
            .map(|(key, demand)| {
                let needed = if guests { demand.needed().min(even) } else { demand.needed() };
                (key, share(needed, floor), demand.ordinary)
            })
            .collect();
        let wishes = |ordinary: bool| -> Room {
            tier.iter().filter(|(_, _, only)| *only == ordinary).map(|(_, wish, _)| *wish).sum()
        };
        let (strict, open) = factors(wishes(true), wishes(false), &left);
        let (mut ordinary, mut any) = (0, 0);
        for (key, wish, only) in tier {
            let floor = share(wish, if only { strict } else { open });
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

/// How a group stands while room is scarce.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    pub floor: Room,
    pub held: Room,
    /// What it is to get before all others.
    pub owed: Room,
    /// How much of what it holds may make way for others.
    pub spare: Room,
}

impl Standing {
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
        (-age.as_secs_f64() / ARRIVALS_OVER.as_secs_f64()).exp()
    }

    fn forget(&mut self, now: Duration) {
        self.sum *= Self::decay(now.saturating_sub(self.at));
        self.at = self.at.max(now);
    }

    /// Work of so many machine-seconds came, `age` ago.
    fn came(&mut self, work: f64, age: Duration, now: Duration) {
        self.forget(now);
        self.sum += work * Self::decay(age);
        // What came before this average began widens what it is taken over.
        self.since = self.since.min(now.saturating_sub(age));
    }

    fn rate(&self, now: Duration) -> f64 {
        let seen = now.saturating_sub(self.since).max(ARRIVALS_LEAST);
        let weight = ARRIVALS_OVER.as_secs_f64() * (1.0 - Self::decay(seen));
        self.sum * Self::decay(now.saturating_sub(self.at)) / weight
    }
}

/// What a change of the state is told as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    Began,
    Ended,
}

/// Whether room is scarce, and how each group stands; times are since any fixed moment.
#[derive(Debug)]
pub struct Scarcity<K> {
    /// Share of what each group needs that it is to have at the least; 0: nobody is owed anything.
    floor: f64,
    arrivals: BTreeMap<K, Arrivals>,
    /// Since when what is needed has been above, or well below, what there is.
    above: Option<Duration>,
    below: Option<Duration>,
    began: Option<Duration>,
    standings: BTreeMap<K, Standing>,
}

impl<K: Ord + Clone> Scarcity<K> {
    pub fn new(floor: f64) -> Scarcity<K> {
        Scarcity {
            floor,
            arrivals: BTreeMap::new(),
            above: None,
            below: None,
            began: None,
            standings: BTreeMap::new(),
        }
    }

    /// A group's work of so many machine-seconds was accepted, or became ready, `age` ago.
    pub fn came(&mut self, group: &K, work: f64, age: Duration, now: Duration) {
        if self.floor > 0.0 {
            let arrivals = self.arrivals.entry(group.clone()).or_insert(Arrivals::new(now));
            arrivals.came(work, age, now);
        }
    }

    /// What a group has to hold to be served as fast as its work arrives.
    pub fn arriving(&self, group: &K, now: Duration) -> Room {
        self.arrivals.get(group).map_or(0, |arrivals| (arrivals.rate(now) * MACHINE as f64) as Room)
    }

    /// Since when room has been scarce.
    pub fn since(&self) -> Option<Duration> {
        self.began
    }

    /// How a group stands; none while nothing is scarce.
    pub fn standing(&self, group: &K) -> Option<Standing> {
        self.began?;
        Some(self.standings.get(group).copied().unwrap_or_default())
    }

    pub fn standings(&self) -> impl Iterator<Item = (&K, &Standing)> {
        self.standings.iter().filter(|_| self.began.is_some())
    }

    /// Looks at what is asked for beside what there is.
    pub fn look(
        &mut self,
        demands: &BTreeMap<K, Demand>,
        supply: &Supply,
        now: Duration,
    ) -> Option<Turn> {
        if self.floor <= 0.0 {
            return None;
        }
        let needed: Room = demands.values().map(Demand::needed).sum();
        let ordinary = demands.values().filter(|demand| demand.ordinary);
        let ordinary: Room = ordinary.map(Demand::needed).sum();
        let above = |share_of: f64| {
            ordinary > share(supply.ordinary, share_of) || needed > share(supply.all(), share_of)
        };
        let since = |at: Option<Duration>, holds: bool| holds.then(|| at.unwrap_or(now));
        let exhausted = supply.exhausted || supply.presumed;
        self.above = since(self.above, exhausted && above(1.0));
        self.below = since(self.below, !exhausted || !above(LEAVE_BELOW));
        let enter = if supply.presumed { Duration::ZERO } else { ENTER_AFTER };
        let passed = |at: Option<Duration>, least: Duration| at.is_some_and(|at| now >= at + least);
        let turn = match self.began {
            None if passed(self.above, enter) => {
                self.began = Some(now);
                Some(Turn::Began)
            }
            Some(_) if passed(self.below, LEAVE_AFTER) => {
                self.began = None;
                Some(Turn::Ended)
            }
            _ => None,
        };
        self.standings = if self.began.is_some() {
            stand(demands, &floors(demands, supply, self.floor))
        } else {
            BTreeMap::new()
        };
        turn
    }
}

fn stand<K: Ord + Clone>(
    demands: &BTreeMap<K, Demand>,
    floors: &BTreeMap<K, Room>,
) -> BTreeMap<K, Standing> {
    let standing = |(key, demand): (&K, &Demand)| {
        let floor = floors.get(key).copied().unwrap_or(0);
        let owed = floor.saturating_sub(demand.held).min(demand.waiting);
        let spare = demand.held.saturating_sub(floor);
        (key.clone(), Standing { floor, held: demand.held, owed, spare })
    };
    demands.iter().map(standing).collect()
}

#[cfg(test)]
mod tests;
