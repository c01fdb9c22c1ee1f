//! Fair shares of scarce capacity: the floor, the deficit and the preemptible capacity of each group while demand
//! exceeds supply.
//!
//! The crate does no I/O, and callers pass in the current time. A *group* is one class of one team, so a floor for
//! each group is also a floor for each class and each team. Past deficits are not stored: work that was not served
//! is still waiting, so the current demand shows the deficit, and successive leaders cannot count it twice. Only the
//! recent arrival rate is kept, and a new leader rebuilds it from the records of live jobs.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub mod constants;

use constants::{
    ARRIVAL_WINDOW, ENTER_AFTER, EXIT_AFTER, EXIT_THRESHOLD, MIN_ARRIVAL_WINDOW, UNITS_PER_MACHINE,
};
use ordered_float::OrderedFloat;
use std::collections::BTreeMap;
use std::time::Duration;

/// Capacity in millionths of a machine of the largest type; see [`UNITS_PER_MACHINE`].
pub type Capacity = u64;

/// Allocated and requested capacity of one group.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Capacity allocated to the group's tasks now.
    pub allocated: Capacity,
    /// Capacity that the group's waiting tasks would use, bounded by their team's limit.
    pub waiting: Capacity,
    /// Average capacity needed to serve the group's work as fast as it arrives.
    pub offered_load: Capacity,
    /// True if the group may not use spot machines.
    pub ordinary: bool,
    /// True if the group's team has no guarantee. Its floor comes from the capacity that the floors of the other
    /// groups leave.
    pub unguaranteed: bool,
}

impl Demand {
    /// Returns the capacity that the group could use now.
    pub fn usable(&self) -> Capacity {
        self.allocated.saturating_add(self.waiting)
    }

    /// Returns the sustained demand: the offered load, capped at what the group could use now, because a job that is
    /// nearly done needs no more than the rest of its work.
    pub fn needed(&self) -> Capacity {
        self.offered_load.min(self.usable())
    }
}

/// Capacity of the machines that are up or booting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Supply {
    /// Capacity of ordinary machines.
    pub ordinary: Capacity,
    /// Capacity of spot machines.
    pub spot: Capacity,
    /// True if nothing more can be rented now: the cloud refuses every combination of machine type and zone, the cloud
    /// is unavailable, or the controllers cannot manage more machines.
    pub exhausted: bool,
    /// True if the supply is assumed to be exhausted although that is not confirmed: a new leader has not requested
    /// a machine yet, and by the time of the first response it would have given away the capacity that its
    /// predecessor reserved for groups below their floors.
    pub presumed_exhausted: bool,
}

impl Supply {
    /// Returns the capacity of ordinary and spot machines together.
    pub fn total(&self) -> Capacity {
        self.ordinary.saturating_add(self.spot)
    }
}

fn scale(capacity: Capacity, factor: f64) -> Capacity {
    (capacity as f64 * factor) as Capacity
}

/// Fractions of the demand that can be met: of the demand limited to ordinary machines, and of the rest.
struct Coverage {
    ordinary_only: f64,
    any_machine: f64,
}

fn coverage(ordinary: Capacity, any: Capacity, supply: &Supply) -> Coverage {
    let fraction = |available: Capacity, requested: Capacity| {
        if requested == 0 { 1.0 } else { available as f64 / requested as f64 }
    };
    let equal = fraction(supply.total(), ordinary.saturating_add(any)).min(1.0);
    if scale(ordinary, equal) <= supply.ordinary {
        return Coverage { ordinary_only: equal, any_machine: equal };
    }
    // The demand limited to ordinary machines uses all of them, and the other demand gets the rest.
    let ordinary_only = fraction(supply.ordinary, ordinary).min(1.0);
    let rest = supply.total().saturating_sub(scale(ordinary, ordinary_only));
    Coverage { ordinary_only, any_machine: fraction(rest, any).min(1.0) }
}

/// Returns the floor of each group: the fraction `floor` of its sustained demand, scaled down equally for all where
/// the supply does not suffice. Groups without a guarantee are served after the others, and the demand of each counts
/// only up to an equal part of the whole supply, so a team without a guarantee gains nothing by submitting more work.
pub fn floors<K: Ord + Clone>(
    demands: &BTreeMap<K, Demand>,
    supply: &Supply,
    floor: f64,
) -> BTreeMap<K, Capacity> {
    let mut remaining = *supply;
    let mut floors = BTreeMap::new();
    let equal_part = supply.total() / demands.len().max(1) as u64;
    for unguaranteed in [false, true] {
        let tier: Vec<(&K, Capacity, bool)> = demands
            .iter()
            .filter(|(_, demand)| demand.unguaranteed == unguaranteed)
            .map(|(key, demand)| {
                let needed =
                    if unguaranteed { demand.needed().min(equal_part) } else { demand.needed() };
                (key, scale(needed, floor), demand.ordinary)
            })
            .collect();
        let requested = |ordinary: bool| -> Capacity {
            tier.iter()
                .filter(|(_, _, ordinary_only)| *ordinary_only == ordinary)
                .map(|(_, request, _)| *request)
                .sum()
        };
        let covered = coverage(requested(true), requested(false), &remaining);
        let (mut ordinary, mut any) = (0, 0);
        for (key, request, ordinary_only) in tier {
            let fraction = if ordinary_only { covered.ordinary_only } else { covered.any_machine };
            let floor = scale(request, fraction);
            *(if ordinary_only { &mut ordinary } else { &mut any }) += floor;
            floors.insert(key.clone(), floor);
        }
        // Groups that may use spot machines are served from those first.
        let beyond_spot = any.saturating_sub(remaining.spot);
        remaining.spot = remaining.spot.saturating_sub(any);
        remaining.ordinary =
            remaining.ordinary.saturating_sub(ordinary.saturating_add(beyond_spot));
    }
    floors
}

/// Share of one group while capacity is scarce.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupShare {
    /// Minimum capacity for the group.
    pub floor: Capacity,
    /// Capacity allocated to the group's tasks.
    pub allocated: Capacity,
    /// Capacity missing to the floor, as far as tasks wait for it. It is served before all other requests.
    pub deficit: Capacity,
    /// Allocated capacity above the floor, which may be preempted for other groups.
    pub preemptible: Capacity,
}

impl GroupShare {
    /// Returns the allocated fraction of the floor, which orders groups below their floors.
    pub fn floor_fraction(&self) -> OrderedFloat<f64> {
        OrderedFloat(self.allocated as f64 / self.floor.max(1) as f64)
    }
}

/// Exponentially weighted average of the arrival rate, in machine-seconds per second.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    weighted_sum: f64,
    since: Duration,
    updated_at: Duration,
}

impl Arrivals {
    fn new(now: Duration) -> Arrivals {
        Arrivals { weighted_sum: 0.0, since: now, updated_at: now }
    }

    fn decay(age: Duration) -> f64 {
        (-age.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }

    fn decay_to(&mut self, now: Duration) {
        self.weighted_sum *= Self::decay(now.saturating_sub(self.updated_at));
        self.updated_at = self.updated_at.max(now);
    }

    /// Records that `work` machine-seconds arrived `age` ago.
    fn record_arrival(&mut self, work: f64, age: Duration, now: Duration) {
        self.decay_to(now);
        self.weighted_sum += work * Self::decay(age);
        // An arrival before the start of the averaged period extends that period.
        self.since = self.since.min(now.saturating_sub(age));
    }

    fn rate(&self, now: Duration) -> f64 {
        let period = now.saturating_sub(self.since).max(MIN_ARRIVAL_WINDOW);
        let weight = ARRIVAL_WINDOW.as_secs_f64() * (1.0 - Self::decay(period));
        self.weighted_sum * Self::decay(now.saturating_sub(self.updated_at)) / weight
    }
}

/// Start or end of scarcity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScarcityChange {
    /// Capacity became scarce.
    Began,
    /// Capacity is no longer scarce.
    Ended,
}

/// Tracks whether capacity is scarce, and the share of each group. All times are measured from one fixed moment.
#[derive(Debug)]
pub struct ScarcityTracker<K> {
    /// Floor of each group, as a fraction of its sustained demand; 0 disables floors and scarcity.
    floor: f64,
    arrivals: BTreeMap<K, Arrivals>,
    /// Time since which sustained demand has exceeded an exhausted supply.
    demand_above_since: Option<Duration>,
    /// Time since which that demand has been below [`EXIT_THRESHOLD`] of the supply, or more could be rented.
    demand_below_since: Option<Duration>,
    scarce_since: Option<Duration>,
    group_shares: BTreeMap<K, GroupShare>,
}

impl<K: Ord + Clone> ScarcityTracker<K> {
    /// Creates a tracker that gives each group a floor of this fraction of its sustained demand.
    pub fn new(floor: f64) -> ScarcityTracker<K> {
        ScarcityTracker {
            floor,
            arrivals: BTreeMap::new(),
            demand_above_since: None,
            demand_below_since: None,
            scarce_since: None,
            group_shares: BTreeMap::new(),
        }
    }

    /// Records that `work` machine-seconds of a group were accepted, or became ready to run, `age` ago.
    pub fn record_arrival(&mut self, group: &K, work: f64, age: Duration, now: Duration) {
        if self.floor > 0.0 {
            let arrivals = self.arrivals.entry(group.clone()).or_insert(Arrivals::new(now));
            arrivals.record_arrival(work, age, now);
        }
    }

    /// Returns the capacity needed to serve a group's work as fast as it arrives.
    pub fn arrival_rate(&self, group: &K, now: Duration) -> Capacity {
        self.arrivals
            .get(group)
            .map_or(0, |arrivals| (arrivals.rate(now) * UNITS_PER_MACHINE as f64) as Capacity)
    }

    /// Returns the time since which capacity has been scarce; `None` while it is not.
    pub fn scarce_since(&self) -> Option<Duration> {
        self.scarce_since
    }

    /// Returns the share of a group; `None` while capacity is not scarce.
    pub fn group_share(&self, group: &K) -> Option<GroupShare> {
        self.scarce_since?;
        Some(self.group_shares.get(group).copied().unwrap_or_default())
    }

    /// Returns the shares of all groups; empty while capacity is not scarce.
    pub fn group_shares(&self) -> impl Iterator<Item = (&K, &GroupShare)> {
        self.group_shares.iter().filter(|_| self.scarce_since.is_some())
    }

    /// Compares demand with supply, updates the shares, and returns the start or end of scarcity if there is one.
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
        let exceeds = |fraction: f64| {
            ordinary > scale(supply.ordinary, fraction) || needed > scale(supply.total(), fraction)
        };
        let since = |start: Option<Duration>, holds: bool| holds.then(|| start.unwrap_or(now));
        let exhausted = supply.exhausted || supply.presumed_exhausted;
        self.demand_above_since = since(self.demand_above_since, exhausted && exceeds(1.0));
        self.demand_below_since =
            since(self.demand_below_since, !exhausted || !exceeds(EXIT_THRESHOLD));
        let enter_after = if supply.presumed_exhausted { Duration::ZERO } else { ENTER_AFTER };
        let has_lasted = |start: Option<Duration>, minimum: Duration| {
            start.is_some_and(|start| now >= start + minimum)
        };
        let change = match self.scarce_since {
            None if has_lasted(self.demand_above_since, enter_after) => {
                self.scarce_since = Some(now);
                Some(ScarcityChange::Began)
            }
            Some(_) if has_lasted(self.demand_below_since, EXIT_AFTER) => {
                self.scarce_since = None;
                Some(ScarcityChange::Ended)
            }
            _ => None,
        };
        self.group_shares = if self.scarce_since.is_some() {
            shares_of(demands, &floors(demands, supply, self.floor))
        } else {
            BTreeMap::new()
        };
        change
    }
}

fn shares_of<K: Ord + Clone>(
    demands: &BTreeMap<K, Demand>,
    floors: &BTreeMap<K, Capacity>,
) -> BTreeMap<K, GroupShare> {
    let group_share = |(key, demand): (&K, &Demand)| {
        let floor = floors.get(key).copied().unwrap_or(0);
        let deficit = floor.saturating_sub(demand.allocated).min(demand.waiting);
        let preemptible = demand.allocated.saturating_sub(floor);
        (key.clone(), GroupShare { floor, allocated: demand.allocated, deficit, preemptible })
    };
    demands.iter().map(group_share).collect()
}

#[cfg(test)]
mod tests;
