use super::{Capacity, Demand, ScarcityChange, ScarcityTracker, Supply, floors, shares_of};
use crate::constants::UNITS_PER_MACHINE;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn demand(held: Capacity, waiting: Capacity, ordinary: bool, guest: bool) -> Demand {
    Demand { held, waiting, offered: held + waiting, ordinary, guest }
}

/// The plain model: all wishes of a tier are met evenly, a thousandth at a time, until the machines that
/// some of them need are used up; those go without, the others go on.
fn plain_floors(demands: &[Demand], supply: &Supply, floor: f64) -> Vec<f64> {
    let (mut ordinary, mut spot) = (supply.ordinary as f64, supply.spot as f64);
    let even = supply.all() as f64 / demands.len().max(1) as f64;
    let mut got = vec![0.0; demands.len()];
    for guests in [false, true] {
        let wish = |demand: &Demand| {
            let needed = demand.needed() as f64;
            floor * if guests { needed.min(even.floor()) } else { needed }
        };
        let tier: Vec<usize> = (0..demands.len()).filter(|n| demands[*n].guest == guests).collect();
        for _ in 0..1000 {
            for only in [true, false] {
                for &n in tier.iter().filter(|n| demands[**n].ordinary == only) {
                    let step = wish(&demands[n]) / 1000.0;
                    let from_spot = if only { 0.0 } else { step.min(spot) };
                    let taken = from_spot + (step - from_spot).min(ordinary);
                    spot -= from_spot;
                    ordinary -= taken - from_spot;
                    got[n] += taken;
                }
            }
        }
    }
    got
}

fn any_demand() -> impl Strategy<Value = Demand> {
    let room = 0u64..40 * UNITS_PER_MACHINE;
    (room.clone(), room.clone(), room, any::<bool>(), prop::bool::weighted(0.2)).prop_map(
        |(held, waiting, offered, ordinary, guest)| Demand {
            held,
            waiting,
            offered,
            ordinary,
            guest,
        },
    )
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(24),
        ..Default::default()
    })]

    /// Against the plain model, and what must hold whatever it says: floors exist on the machines that there
    /// are, none is above what its group needs, and what is owed or spare follows from them.
    #[test]
    fn floors_are_those_of_the_plain_model(
        demands in prop::collection::vec(any_demand(), 1..9),
        ordinary in 0u64..150, spot in 0u64..80, floor in 0.1f64..1.0,
    ) {
        let supply = Supply { ordinary: ordinary * UNITS_PER_MACHINE, spot: spot * UNITS_PER_MACHINE, exhausted: true, presumed: false };
        let map: BTreeMap<usize, Demand> = demands.iter().copied().enumerate().collect();
        let floors = floors(&map, &supply, floor);
        let plain = plain_floors(&demands, &supply, floor);
        let sum = |only: bool| -> u64 {
            floors.iter().filter(|(n, _)| !only || demands[**n].ordinary).map(|(_, f)| f).sum()
        };
        prop_assert!(sum(false) <= supply.all() && sum(true) <= supply.ordinary);
        // Steps of a thousandth that are cut short, for each group that the last step served before it.
        let off = demands.iter().map(Demand::needed).sum::<u64>() as f64 / 1000.0 + 20.0;
        for (n, floor_of) in &floors {
            prop_assert!(*floor_of as f64 <= demands[*n].needed() as f64 * floor + 1.0);
            prop_assert!((*floor_of as f64 - plain[*n]).abs() <= off, "{} {:?} {:?}", n, floors, plain);
        }
        for (n, group_share) in shares_of(&map, &floors) {
            prop_assert!(group_share.owed <= demands[n].waiting);
            prop_assert!(group_share.owed == 0 || group_share.preemptible == 0);
            prop_assert!(group_share.held - group_share.preemptible <= group_share.floor);
        }
    }
}

fn second(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// One group that holds all there is, and one that waits.
fn unfair(waiting: Capacity) -> BTreeMap<&'static str, Demand> {
    [
        ("holds", demand(100 * UNITS_PER_MACHINE, 20 * UNITS_PER_MACHINE, false, false)),
        ("waits", demand(0, waiting, false, false)),
    ]
    .into()
}

fn full(exhausted: bool) -> Supply {
    Supply { ordinary: 100 * UNITS_PER_MACHINE, spot: 0, exhausted, presumed: false }
}

#[test]
fn refusals_that_come_and_go_are_no_scarcity_and_its_end_is_not_told_by_a_pause() {
    let mut scarcity = ScarcityTracker::new(0.5);
    // Every other second something can be rented.
    for s in 0..60 {
        assert_eq!(
            scarcity.update(&unfair(60 * UNITS_PER_MACHINE), &full(s % 2 == 0), second(s)),
            None
        );
        assert_eq!(scarcity.group_share(&"waits"), None);
    }
    let turns: Vec<_> = (60..70)
        .map(|s| scarcity.update(&unfair(60 * UNITS_PER_MACHINE), &full(true), second(s)))
        .collect();
    assert_eq!(turns.iter().flatten().collect::<Vec<_>>(), [&ScarcityChange::Began]);
    let group_share = scarcity.group_share(&"waits").unwrap();
    assert_eq!(
        (group_share.floor, group_share.owed),
        (30 * UNITS_PER_MACHINE, 30 * UNITS_PER_MACHINE)
    );
    assert_eq!(scarcity.group_share(&"holds").unwrap().preemptible, 40 * UNITS_PER_MACHINE);
    // A burst pauses for less than its end takes.
    for s in 70..82 {
        assert_eq!(scarcity.update(&BTreeMap::new(), &full(true), second(s)), None);
    }
    scarcity.update(&unfair(60 * UNITS_PER_MACHINE), &full(true), second(82));
    assert!(scarcity.since().is_some());
    let turns: Vec<_> =
        (83..120).map(|s| scarcity.update(&unfair(0), &full(false), second(s))).collect();
    assert_eq!(turns.iter().flatten().collect::<Vec<_>>(), [&ScarcityChange::Ended]);
    assert_eq!(scarcity.group_share(&"waits"), None);
}

/// Nobody is owed anything by a floor of nothing, whatever happens.
#[test]
fn without_a_floor_nothing_is_scarce() {
    let mut scarcity = ScarcityTracker::new(0.0);
    for s in 0..100 {
        scarcity.record_arrival(&"waits", 1e6, Duration::ZERO, second(s));
        assert_eq!(
            scarcity.update(&unfair(1000 * UNITS_PER_MACHINE), &full(true), second(s)),
            None
        );
        assert!(scarcity.group_shares().next().is_none());
    }
}

/// Steady work is known after a while; a leader that begins from the records of what is still live knows
/// no more than its predecessor, and has caught up two averages later.
#[test]
fn arrivals_are_averaged_and_a_successor_counts_none_twice() {
    let mut first = ScarcityTracker::new(0.5);
    let mut next = ScarcityTracker::new(0.5);
    for s in 0..900u64 {
        let now = second(s);
        first.record_arrival(&"a", 20.0, Duration::ZERO, now);
        if s >= 600 {
            next.record_arrival(&"a", 20.0, Duration::ZERO, now);
        }
        if s == 600 {
            // Half of the last minute's jobs are still live.
            (0..30).for_each(|n| next.record_arrival(&"a", 20.0, second(n * 2), now));
        }
        let rate = |scarcity: &ScarcityTracker<_>| {
            scarcity.arrival_rate(&"a", now) as f64 / UNITS_PER_MACHINE as f64
        };
        if s > 300 {
            assert!((17.0..23.0).contains(&rate(&first)), "{s}: {}", rate(&first));
        }
        assert!(rate(&next) <= rate(&first) * 1.15 + 1.0, "{s}: {}", rate(&next));
        if s > 840 {
            assert!(rate(&next) > rate(&first) * 0.8, "{s}: {}", rate(&next));
        }
    }
}

/// A guest's flood gets nothing of what others' floors take, and no more than an even part of the rest.
#[test]
fn a_guest_s_flood_earns_nothing_by_its_size() {
    let mut demands = unfair(60 * UNITS_PER_MACHINE);
    demands.insert("guest", demand(0, 1_000_000 * UNITS_PER_MACHINE, false, true));
    let supply = full(true);
    let with = floors(&demands, &supply, 0.5);
    assert_eq!((with["holds"], with["waits"]), (60 * UNITS_PER_MACHINE, 30 * UNITS_PER_MACHINE));
    assert!(with["guest"] <= 10 * UNITS_PER_MACHINE);
    let tight = Supply { ordinary: 45 * UNITS_PER_MACHINE, ..supply };
    let tight = floors(&demands, &tight, 0.5);
    assert_eq!(
        (tight["holds"], tight["waits"], tight["guest"]),
        (30 * UNITS_PER_MACHINE, 15 * UNITS_PER_MACHINE, 0)
    );
}

/// A new leader that finds more asked for than there is goes on as its predecessor did, until the cloud tells
/// otherwise.
#[test]
fn a_new_leader_presumes_what_its_predecessor_knew() {
    let presumed = Supply { presumed: true, ..full(false) };
    let mut scarcity = ScarcityTracker::new(0.5);
    assert_eq!(
        scarcity.update(&unfair(60 * UNITS_PER_MACHINE), &presumed, second(0)),
        Some(ScarcityChange::Began)
    );
    // It rents what it asks for, so that it was wrong.
    let turns: Vec<_> = (1..40)
        .map(|s| scarcity.update(&unfair(60 * UNITS_PER_MACHINE), &full(false), second(s)))
        .collect();
    assert_eq!(turns.iter().flatten().collect::<Vec<_>>(), [&ScarcityChange::Ended]);
    let mut scarcity = ScarcityTracker::new(0.5);
    assert_eq!(
        scarcity.update(
            &unfair(0),
            &Supply { ordinary: 200 * UNITS_PER_MACHINE, ..presumed },
            second(0)
        ),
        None
    );
}
