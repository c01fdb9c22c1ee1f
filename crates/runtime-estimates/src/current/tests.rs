use super::*;

const BELIEVED: Believed = Believed { ln: 4.0, sd: 0.12, within: 0.3, runs: 10.0 };

/// Of an array whose tasks all started together the shortest end first.
#[test]
fn the_first_to_end_are_not_taken_for_all() {
    let truth = |n: usize| (4.0 + 0.3 * shape::point((n as f64 + 0.5) / 60.0)).exp();
    let now = truth(11);
    let mut current = Current::default();
    (0..12).for_each(|n| current.ended(truth(n)));
    let running = [now; 48];
    let seen = current.with_running(&running).centre(&BELIEVED);
    assert!((seen.ln - 4.0).abs() < 0.1, "{seen:?}");
    let naive = current.centre(&BELIEVED);
    assert!(naive.ln < 3.8, "{naive:?}");
}

#[test]
fn a_night_of_doubled_inputs_shows_in_its_first_tasks() {
    let mut current = Current::default();
    for run in [95.0, 110.0, 124.0] {
        current.ended(run);
    }
    let seen = current.centre(&BELIEVED);
    assert!((seen.ln - 109.0f64.ln()).abs() < 0.2, "{seen:?}");
    // And before any ended, in how long they have been running.
    let running = Current::default().with_running(&[100.0; 20]).centre(&BELIEVED);
    assert!(running.ln > 4.15, "{running:?}");
}

#[test]
fn hostile_run_times_are_no_run_times() {
    let mut current = Current::default();
    for run in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        current.ended(run);
        current.cut(run);
    }
    assert_eq!(current, Current::default());
}
