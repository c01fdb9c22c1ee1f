use super::*;
use proptest::prelude::*;

fn nightly(levels: &[f64]) -> History {
    let mut history = History::default();
    for (day, run_s) in levels.iter().enumerate() {
        history.add(Run::new(day as u32 * 24, day as u16, 20, run_s.ln(), 0.2, None));
    }
    history
}

fn predicted(levels: &[f64]) -> (f64, f64) {
    let prediction = nightly(levels).predict(levels.len() as u32 * 24, None).unwrap();
    (prediction.ln.exp(), prediction.sd)
}

#[test]
fn outliers_have_little_effect_and_a_lasting_change_replaces_older_runs() {
    let mut levels = vec![60.0, 63.0, 58.0, 61.0, 59.0, 62.0, 60.0, 57.0, 61.0, 60.0];
    levels.push(120.0);
    assert!((predicted(&levels).0 - 60.0).abs() < 4.0);
    levels.push(118.0);
    assert!(predicted(&levels).0 < 80.0, "two outliers must not count as a lasting change");
    levels.push(121.0);
    let (run_s, sd) = predicted(&levels);
    assert!((run_s - 120.0).abs() < 6.0, "{run_s}");
    assert!(sd > 0.1, "three runs must leave a wide uncertainty: {sd}");
}

/// Estimates that are always half of the run time must lead to accurate predictions once the bias is known. Constant
/// estimates carry no information and must leave a wide uncertainty.
#[test]
fn proportional_owner_estimates_are_corrected_and_constant_ones_ignored() {
    let mut history = History::default();
    let mut constant = History::default();
    for n in 0..20u32 {
        let run_s = 20.0 * 1.35f64.powi((n * 7 % 11) as i32);
        let owner = run_s * 0.5 * if n % 2 == 0 { 1.05 } else { 0.95 };
        history.add(Run::new(n, n as u16, 9, run_s.ln(), 0.2, Some(owner.ln())));
        constant.add(Run::new(n, n as u16, 9, run_s.ln(), 0.2, Some(60f64.ln())));
    }
    let corrected = history.predict(20, Some(100f64.ln())).unwrap();
    assert!((corrected.ln.exp() / 200.0 - 1.0).abs() < 0.15, "{}", corrected.ln.exp());
    assert!(corrected.sd < 0.25, "{corrected:?}");
    let uninformed = constant.predict(20, Some(60f64.ln())).unwrap();
    assert!(uninformed.sd > 0.5, "{uninformed:?}");
}

#[test]
fn differing_weekdays_are_predicted_separately() {
    let levels: Vec<f64> = (0..21u32)
        .map(|day| if weekday(day * 24) == 1 { 90.0 } else { 60.0 + f64::from(day % 3) })
        .collect();
    let history = nightly(&levels);
    let on = |day: u32| history.predict(day * 24, None).unwrap().ln.exp();
    let monday = (21..28).find(|day| weekday(day * 24) == 1).unwrap();
    assert!(on(monday) > 78.0, "{}", on(monday));
    assert!((on(monday + 1) - 61.0).abs() < 4.0, "{}", on(monday + 1));
}

proptest! {
    /// Two leaders' histories must merge to the same runs in either order, and must match a model that keeps every
    /// observation: all tasks of each run, at its newest hour.
    #[test]
    fn histories_merged_in_either_order_match_all_observations(
        observations in prop::collection::vec((0u32..60, 0u16..40, 1u32..30, 2.0f64..6.0, any::<bool>()), 1..80)
    ) {
        let (mut first, mut second) = (History::default(), History::default());
        let mut all: std::collections::BTreeMap<u16, Vec<(u32, f64, u32)>> = Default::default();
        for (hour, id, tasks, ln, by_first) in &observations {
            // Both leaders observe the same run at nearly the same hour.
            let hour = *hour / 30 + u32::from(*id);
            let run = Run::new(hour, *id, *tasks, *ln, 0.1, None);
            let known = all.entry(*id).or_default();
            known.push((*tasks, run.ln(), hour));
            if *by_first { first.add(run) } else { second.add(run) }
        }
        // The model is exact only if neither history has discarded a run.
        prop_assume!(all.len() <= MAX_RUNS);
        let mut first_then_second = first.clone();
        first_then_second.merge(&second);
        let mut second_then_first = second;
        second_then_first.merge(&first);
        prop_assert_eq!(first_then_second.runs.len(), all.len());
        for (a, b) in first_then_second.runs.iter().zip(&second_then_first.runs) {
            prop_assert_eq!((a.id, a.hour, a.tasks), (b.id, b.hour, b.tasks));
            let known = &all[&a.id];
            let tasks: u32 = known.iter().map(|(n, ..)| n).sum();
            let mean = known.iter().map(|(n, ln, _)| f64::from(*n) * ln).sum::<f64>() / f64::from(tasks);
            prop_assert_eq!(a.tasks, tasks);
            prop_assert_eq!(a.hour, known.iter().map(|(.., hour)| *hour).max().unwrap());
            // Each join rounds to 1/512.
            let error = known.len() as f64 / LN_UNITS;
            prop_assert!((a.ln() - mean).abs() <= error && (b.ln() - mean).abs() <= error);
        }
    }

    /// Predictions must be finite for any observations, also invalid ones.
    #[test]
    fn predictions_are_finite_for_any_runs(
        runs in prop::collection::vec((any::<u32>(), any::<u16>(), 1u32.., any::<i16>(), any::<u16>(), any::<Option<i16>>()), 1..40),
        owner in prop::option::of(-10.0f64..20.0), hour in any::<u32>()
    ) {
        let mut history = History::default();
        for (hour, id, tasks, ln, within, owner) in runs {
            history.add(Run { hour, id, tasks, ln, within, owner });
        }
        prop_assert!(history.is_valid());
        let prediction = history.predict(hour, owner).unwrap();
        prop_assert!([prediction.ln, prediction.sd, prediction.within].iter().all(|x| x.is_finite()));
    }
}
