use super::*;

/// Returns log line `n`, one every five seconds; `arrived` is the total array work that has arrived by then.
fn line(n: u32, service: f64, arrived: f64) -> DemandLog {
    let group = |class: &str, allocated: f64, arrived: f64| GroupDemand {
        class: class.into(),
        team: "t".into(),
        service: class == "s",
        ordinary: class == "s",
        allocated,
        waiting: 10.0,
        arrived,
        floor: 0.0,
    };
    let groups = vec![group("s", service, 0.0), group("a", 5.0, arrived)];
    let at_s = f64::from(n) * 5.0;
    DemandLog { at_s, ordinary: 30.0, spot: 10.0, groups, ..DemandLog::default() }
}

/// Demand is 60 machines and capacity 40, so each group can be served two thirds. Alone, the service can use 30 of the
/// 40 machines that it asks for, since 10 are spot machines; the array can be served in full.
#[test]
fn bound_divides_capacity_evenly_and_keeps_services_off_spot_machines() {
    let mut day = Day::default();
    // The second leader counts array work from zero.
    let arrived = |n: u32| f64::from(n % 50 + 1) * 100.0;
    let demand = |n: u32| DemandLog { token: u64::from(n / 50), ..line(n, 30.0, arrived(n)) };
    (0..100).for_each(|n| day.add(f64::from(n) * 5.0, &demand(n)));
    // The first leader has not noticed yet that it lost the lead; its line must be ignored.
    day.add(300.0, &DemandLog { token: 0, ..line(60, 30.0, 1e6) });
    let bound = bound(&day).unwrap();
    assert!((bound.all - 2.0 / 3.0).abs() < 1e-6, "{bound:?}");
    let alone: Vec<f64> = bound.groups.iter().map(|g| (g.alone * 100.0).round()).collect();
    assert_eq!(alone, [100.0, 75.0]);
    let served: Vec<f64> = bound.groups.iter().map(|g| (g.served * 100.0).round()).collect();
    assert_eq!(served, [25.0, 75.0]);
}

/// Work that arrives in a burst waits for free capacity, and none is served before it arrives.
#[test]
fn array_work_is_served_after_arrival_and_never_before() {
    let mut day = Day::default();
    // Work for 100 machines arrives in the last of ten slots; only 40 machines exist.
    let arrived = |n: u32| 500.0 * f64::from(n.saturating_sub(35));
    (0..40).for_each(|n| day.add(f64::from(n) * 5.0, &line(n, 0.0, arrived(n))));
    let late = solve(&day, &[&("a".into(), "t".into())]).unwrap();
    assert!((late - 0.4).abs() < 1e-3, "{late}");
    let mut day = Day::default();
    let arrived = |n: u32| 500.0 * f64::from((n + 1).min(4));
    (0..40).for_each(|n| day.add(f64::from(n) * 5.0, &line(n, 0.0, arrived(n))));
    let early = solve(&day, &[&("a".into(), "t".into())]).unwrap();
    assert!((early - 1.0).abs() < 1e-3, "{early}");
}

#[test]
fn demand_line_is_parsed_from_a_controller_log() {
    let json = serde_json::to_string(&line(3, 30.0, 20.0)).unwrap();
    let text = format!(
        "12.01 n-0 2026-09-21T14:13:20.058006Z  INFO demand by class and team demand={json}\nnoise\n"
    );
    let (before, rest) = text.lines().next().unwrap().split_once(DEMAND_FIELD).unwrap();
    assert_eq!(clock_s(before), Some(14.0 * 3600.0 + 13.0 * 60.0 + 20.058006));
    assert_eq!(serde_json::from_str::<DemandLog>(rest).unwrap(), line(3, 30.0, 20.0));
}
