use super::*;

/// A line each five seconds; `came` is what came in all by then.
fn line(n: u32, service: f64, came: f64) -> DemandLog {
    let group = |class: &str, held: f64, came: f64| GroupDemand {
        class: class.into(),
        team: "t".into(),
        service: class == "s",
        ordinary: class == "s",
        allocated: held,
        waiting: 10.0,
        arrived: came,
        floor: 0.0,
    };
    let groups = vec![group("s", service, 0.0), group("a", 5.0, came)];
    let at_s = f64::from(n) * 5.0;
    DemandLog { at_s, ordinary: 30.0, spot: 10.0, groups, ..DemandLog::default() }
}

/// Sixty asked of forty machines: two thirds each, of which the service's are ordinary ones. Alone the service
/// could have all of its forty but for ten, the array all.
#[test]
fn the_bound_divides_what_there_is_evenly_and_knows_the_kinds() {
    let mut day = Day::default();
    // A second leader counts from nothing.
    let came = |n: u32| f64::from(n % 50 + 1) * 100.0;
    let told = |n: u32| DemandLog { token: u64::from(n / 50), ..line(n, 30.0, came(n)) };
    (0..100).for_each(|n| day.add(f64::from(n) * 5.0, &told(n)));
    // The first has not noticed yet.
    day.add(300.0, &DemandLog { token: 0, ..line(60, 30.0, 1e6) });
    let bound = bound(&day).unwrap();
    assert!((bound.all - 2.0 / 3.0).abs() < 1e-6, "{bound:?}");
    let alone: Vec<f64> = bound.groups.iter().map(|g| (g.alone * 100.0).round()).collect();
    assert_eq!(alone, [100.0, 75.0]);
    let served: Vec<f64> = bound.groups.iter().map(|g| (g.served * 100.0).round()).collect();
    assert_eq!(served, [25.0, 75.0]);
}

/// Work that comes in a burst waits for room; none is done before it came.
#[test]
fn an_array_is_served_later_but_never_sooner() {
    let mut day = Day::default();
    // 100 machines' worth in the last of ten slots, of which 40 fit.
    let came = |n: u32| 500.0 * f64::from(n.saturating_sub(35));
    (0..40).for_each(|n| day.add(f64::from(n) * 5.0, &line(n, 0.0, came(n))));
    let late = solve(&day, &[&("a".into(), "t".into())]).unwrap();
    assert!((late - 0.4).abs() < 1e-3, "{late}");
    let mut day = Day::default();
    let came = |n: u32| 500.0 * f64::from((n + 1).min(4));
    (0..40).for_each(|n| day.add(f64::from(n) * 5.0, &line(n, 0.0, came(n))));
    let early = solve(&day, &[&("a".into(), "t".into())]).unwrap();
    assert!((early - 1.0).abs() < 1e-3, "{early}");
}

#[test]
fn a_log_line_is_read_as_the_controllers_write_it() {
    let json = serde_json::to_string(&line(3, 30.0, 20.0)).unwrap();
    let text = format!(
        "12.01 n-0 2026-09-21T14:13:20.058006Z  INFO demand by class and team demand={json}\nnoise\n"
    );
    let (before, rest) = text.lines().next().unwrap().split_once(DEMAND_FIELD).unwrap();
    assert_eq!(clock_s(before), Some(14.0 * 3600.0 + 13.0 * 60.0 + 20.058006));
    assert_eq!(serde_json::from_str::<DemandLog>(rest).unwrap(), line(3, 30.0, 20.0));
}
