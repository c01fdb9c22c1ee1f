use super::{Capacity, Demand, ScarcityChange, ScarcityTracker, Supply, floors, shares_of};
use crate::constants::UNITS_PER_MACHINE;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn demand(allocated: Capacity, waiting: Capacity, ordinary: bool, unguaranteed: bool) -> Demand {
    Demand { allocated, waiting, offered_load: allocated + waiting, ordinary, unguaranteed }
}

/// Reference model: serves all requests of a tier equally, in steps of a thousandth. A request whose machines are used
/// up gets no more, while the others continue.
fn reference_floors(demands: &[Demand], supply: &Supply, floor: f64) -> Vec<f64> {
    let (mut ordinary, mut spot) = (supply.ordinary as f64, supply.spot as f64);
    let equal_part = supply.total() as f64 / demands.len().max(1) as f64;
    let mut allocated = vec![0.0; demands.len()];
    for unguaranteed in [false, true] {
        let requested = |demand: &Demand| {
            let needed = demand.needed() as f64;
            floor * if unguaranteed { needed.min(equal_part.floor()) } else { needed }
        };
        let tier: Vec<usize> =
            (0..demands.len()).filter(|n| demands[*n].unguaranteed == unguaranteed).collect();
        for _ in 0..1000 {
            for ordinary_only in [true, false] {
                for &n in tier.iter().filter(|n| demands[**n].ordinary == ordinary_only) {
                    let step = requested(&demands[n]) / 1000.0;
                    let from_spot = if ordinary_only { 0.0 } else { step.min(spot) };
                    let taken = from_spot + (step - from_spot).min(ordinary);
                    spot -= from_spot;
                    ordinary -= taken - from_spot;
                    allocated[n] += taken;
                }
            }
        }
    }
    allocated
}

fn any_demand() -> impl Strategy<Value = Demand> {
    let capacity = 0u64..40 * UNITS_PER_MACHINE;
    (capacity.clone(), capacity.clone(), capacity, any::<bool>(), prop::bool::weighted(0.2))
        .prop_map(|(allocated, waiting, offered_load, ordinary, unguaranteed)| Demand {
            allocated,
            waiting,
            offered_load,
            ordinary,
            unguaranteed,
        })
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(24),
        ..Default::default()
    })]

    /// Compares floors with the reference model and checks the invariants: floors fit the supply, no floor exceeds the
    /// sustained demand of its group, and deficits and preemptible capacity agree with the floors.
    #[test]
    fn floors_match_the_reference_model_and_never_exceed_supply_or_demand(
        demands in prop::collection::vec(any_demand(), 1..9),
        ordinary in 0u64..150, spot in 0u64..80, floor in 0.1f64..1.0,
    ) {
        let supply = Supply { ordinary: ordinary * UNITS_PER_MACHINE, spot: spot * UNITS_PER_MACHINE, exhausted: true, presumed_exhausted: false };
        let map: BTreeMap<usize, Demand> = demands.iter().copied().enumerate().collect();
        let floors = floors(&map, &supply, floor);
        let reference = reference_floors(&demands, &supply, floor);
        let sum = |ordinary_only: bool| -> u64 {
            floors.iter().filter(|(n, _)| !ordinary_only || demands[**n].ordinary).map(|(_, f)| f).sum()
        };
        prop_assert!(sum(false) <= supply.total() && sum(true) <= supply.ordinary);
        // Tolerance: one step of each group, because the step that uses up the supply is cut short for the groups
        // served last.
        let tolerance = demands.iter().map(Demand::needed).sum::<u64>() as f64 / 1000.0 + 20.0;
        for (n, floor_of) in &floors {
            prop_assert!(*floor_of as f64 <= demands[*n].needed() as f64 * floor + 1.0);
            prop_assert!((*floor_of as f64 - reference[*n]).abs() <= tolerance, "{} {:?} {:?}", n, floors, reference);
        }
        for (n, group_share) in shares_of(&map, &floors) {
            prop_assert!(group_share.deficit <= demands[n].waiting);
            prop_assert!(group_share.deficit == 0 || group_share.preemptible == 0);
            prop_assert!(group_share.allocated - group_share.preemptible <= group_share.floor);
        }
    }
}

fn second(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Returns the demand of one group that uses the whole supply and of one that waits.
fn unequal_demands(waiting: Capacity) -> BTreeMap<&'static str, Demand> {
    [
        ("holds", demand(100 * UNITS_PER_MACHINE, 20 * UNITS_PER_MACHINE, false, false)),
        ("waits", demand(0, waiting, false, false)),
    ]
    .into()
}

fn supply_of_100_machines(exhausted: bool) -> Supply {
    Supply { ordinary: 100 * UNITS_PER_MACHINE, spot: 0, exhausted, presumed_exhausted: false }
}

#[test]
fn scarcity_needs_continuous_exhaustion_and_outlasts_a_pause_in_demand() {
    let mut scarcity = ScarcityTracker::new(0.5);
    // A machine can be rented in every other second.
    for s in 0..60 {
        assert_eq!(
            scarcity.update(
                &unequal_demands(60 * UNITS_PER_MACHINE),
                &supply_of_100_machines(s % 2 == 0),
                second(s)
            ),
            None
        );
        assert_eq!(scarcity.group_share(&"waits"), None);
    }
    let changes: Vec<_> = (60..70)
        .map(|s| {
            scarcity.update(
                &unequal_demands(60 * UNITS_PER_MACHINE),
                &supply_of_100_machines(true),
                second(s),
            )
        })
        .collect();
    assert_eq!(changes.iter().flatten().collect::<Vec<_>>(), [&ScarcityChange::Began]);
    let group_share = scarcity.group_share(&"waits").unwrap();
    assert_eq!(
        (group_share.floor, group_share.deficit),
        (30 * UNITS_PER_MACHINE, 30 * UNITS_PER_MACHINE)
    );
    assert_eq!(scarcity.group_share(&"holds").unwrap().preemptible, 40 * UNITS_PER_MACHINE);
    // Demand pauses for less than `EXIT_AFTER`.
    for s in 70..82 {
        assert_eq!(
            scarcity.update(&BTreeMap::new(), &supply_of_100_machines(true), second(s)),
            None
        );
    }
    scarcity.update(
        &unequal_demands(60 * UNITS_PER_MACHINE),
        &supply_of_100_machines(true),
        second(82),
    );
    assert!(scarcity.scarce_since().is_some());
    let changes: Vec<_> = (83..120)
        .map(|s| scarcity.update(&unequal_demands(0), &supply_of_100_machines(false), second(s)))
        .collect();
    assert_eq!(changes.iter().flatten().collect::<Vec<_>>(), [&ScarcityChange::Ended]);
    assert_eq!(scarcity.group_share(&"waits"), None);
}

#[test]
fn capacity_is_never_scarce_with_a_floor_of_zero() {
    let mut scarcity = ScarcityTracker::new(0.0);
    for s in 0..100 {
        scarcity.record_arrival(&"waits", 1e6, Duration::ZERO, second(s));
        assert_eq!(
            scarcity.update(
                &unequal_demands(1000 * UNITS_PER_MACHINE),
                &supply_of_100_machines(true),
                second(s)
            ),
            None
        );
        assert!(scarcity.group_shares().next().is_none());
    }
}

/// The average follows a steady arrival rate. A new leader that starts from the records of live jobs must not count
/// work twice and estimate a higher rate than its predecessor, and reaches that rate after two time constants.
#[test]
fn arrival_rate_after_failover_is_not_overestimated_and_converges() {
    let mut predecessor = ScarcityTracker::new(0.5);
    let mut successor = ScarcityTracker::new(0.5);
    for s in 0..900u64 {
        let now = second(s);
        predecessor.record_arrival(&"a", 20.0, Duration::ZERO, now);
        if s >= 600 {
            successor.record_arrival(&"a", 20.0, Duration::ZERO, now);
        }
        if s == 600 {
            // Half of the jobs of the last minute are still live.
            (0..30).for_each(|n| successor.record_arrival(&"a", 20.0, second(n * 2), now));
        }
        let rate = |scarcity: &ScarcityTracker<_>| {
            scarcity.arrival_rate(&"a", now) as f64 / UNITS_PER_MACHINE as f64
        };
        if s > 300 {
            assert!((17.0..23.0).contains(&rate(&predecessor)), "{s}: {}", rate(&predecessor));
        }
        assert!(rate(&successor) <= rate(&predecessor) * 1.15 + 1.0, "{s}: {}", rate(&successor));
        if s > 840 {
            assert!(rate(&successor) > rate(&predecessor) * 0.8, "{s}: {}", rate(&successor));
        }
    }
}

/// However much a team without a guarantee submits, it gets nothing from the floors of others and at most an equal part
/// of the supply.
#[test]
fn floor_of_a_team_without_guarantee_does_not_grow_with_its_demand() {
    let mut demands = unequal_demands(60 * UNITS_PER_MACHINE);
    demands.insert("guest", demand(0, 1_000_000 * UNITS_PER_MACHINE, false, true));
    let supply = supply_of_100_machines(true);
    let floors_of_all = floors(&demands, &supply, 0.5);
    assert_eq!(
        (floors_of_all["holds"], floors_of_all["waits"]),
        (60 * UNITS_PER_MACHINE, 30 * UNITS_PER_MACHINE)
    );
    assert!(floors_of_all["guest"] <= 10 * UNITS_PER_MACHINE);
    let tight = Supply { ordinary: 45 * UNITS_PER_MACHINE, ..supply };
    let tight = floors(&demands, &tight, 0.5);
    assert_eq!(
        (tight["holds"], tight["waits"], tight["guest"]),
        (30 * UNITS_PER_MACHINE, 15 * UNITS_PER_MACHINE, 0)
    );
}

/// A new leader whose demand exceeds supply treats capacity as scarce at once, as its predecessor may have, until the
/// cloud shows that machines can be rented.
#[test]
fn new_leader_presumes_scarcity_until_machines_can_be_rented() {
    let presumed = Supply { presumed_exhausted: true, ..supply_of_100_machines(false) };
    let mut scarcity = ScarcityTracker::new(0.5);
    assert_eq!(
        scarcity.update(&unequal_demands(60 * UNITS_PER_MACHINE), &presumed, second(0)),
        Some(ScarcityChange::Began)
    );
    // The cloud rents out machines, so the presumption was wrong.
    let changes: Vec<_> = (1..40)
        .map(|s| {
            scarcity.update(
                &unequal_demands(60 * UNITS_PER_MACHINE),
                &supply_of_100_machines(false),
                second(s),
            )
        })
        .collect();
    assert_eq!(changes.iter().flatten().collect::<Vec<_>>(), [&ScarcityChange::Ended]);
    let mut scarcity = ScarcityTracker::new(0.5);
    assert_eq!(
        scarcity.update(
            &unequal_demands(0),
            &Supply { ordinary: 200 * UNITS_PER_MACHINE, ..presumed },
            second(0)
        ),
        None
    );
}
