use super::*;
use proptest::prelude::*;

fn nightly(levels: &[f64]) -> History {
    let mut history = History::default();
    for (day, run_s) in levels.iter().enumerate() {
        history.add(Run::new(day as u32 * 24, day as u16, 20, run_s.ln(), 0.2, None));
    }
    history
}

fn after(levels: &[f64]) -> (f64, f64) {
    let believed = nightly(levels).believe(levels.len() as u32 * 24, None).unwrap();
    (believed.ln.exp(), believed.sd)
}

#[test]
fn a_bad_night_changes_little_and_a_lasting_change_replaces_what_was() {
    let mut levels = vec![60.0, 63.0, 58.0, 61.0, 59.0, 62.0, 60.0, 57.0, 61.0, 60.0];
    levels.push(120.0);
    assert!((after(&levels).0 - 60.0).abs() < 4.0);
    levels.push(118.0);
    assert!(after(&levels).0 < 80.0, "two bad nights are no change yet");
    levels.push(121.0);
    let (run_s, sd) = after(&levels);
    assert!((run_s - 120.0).abs() < 6.0, "{run_s}");
    assert!(sd > 0.1, "three runs are not much: {sd}");
}

/// An owner who is always late by half is right once that is known; one who writes the same each
/// time, or anything, says nothing.
#[test]
fn the_owners_bias_is_learned() {
    let mut history = History::default();
    let mut constant = History::default();
    for n in 0..20u32 {
        let run_s = 20.0 * 1.35f64.powi((n * 7 % 11) as i32);
        let owner = run_s * 0.5 * if n % 2 == 0 { 1.05 } else { 0.95 };
        history.add(Run::new(n, n as u16, 9, run_s.ln(), 0.2, Some(owner.ln())));
        constant.add(Run::new(n, n as u16, 9, run_s.ln(), 0.2, Some(60f64.ln())));
    }
    let told = history.believe(20, Some(100f64.ln())).unwrap();
    assert!((told.ln.exp() / 200.0 - 1.0).abs() < 0.15, "{}", told.ln.exp());
    assert!(told.sd < 0.25, "{told:?}");
    let same = constant.believe(20, Some(60f64.ln())).unwrap();
    assert!(same.sd > 0.5, "{same:?}");
}

#[test]
fn weekdays_that_differ_are_told_apart() {
    let levels: Vec<f64> = (0..21u32)
        .map(|day| if weekday(day * 24) == 1 { 90.0 } else { 60.0 + f64::from(day % 3) })
        .collect();
    let history = nightly(&levels);
    let on = |day: u32| history.believe(day * 24, None).unwrap().ln.exp();
    let monday = (21..28).find(|day| weekday(day * 24) == 1).unwrap();
    assert!(on(monday) > 78.0, "{}", on(monday));
    assert!((on(monday + 1) - 61.0).abs() < 4.0, "{}", on(monday + 1));
}

proptest! {
    /// Two leaders' histories give the same in either order, and what a plain model that keeps
    /// every observation says: of each run its tasks together, of all runs the newest.
    #[test]
    fn merged_in_either_order_histories_say_what_all_observations_say(
        seen in prop::collection::vec((0u32..60, 0u16..40, 1u32..30, 2.0f64..6.0, any::<bool>()), 1..80)
    ) {
        let (mut first, mut second) = (History::default(), History::default());
        let mut all: std::collections::BTreeMap<u16, Vec<(u32, f64, u32)>> = Default::default();
        for (hour, id, tasks, ln, by_first) in &seen {
            // A run belongs to one time, whoever sees it.
            let hour = *hour / 30 + u32::from(*id);
            let run = Run::new(hour, *id, *tasks, *ln, 0.1, None);
            let known = all.entry(*id).or_default();
            known.push((*tasks, run.ln(), hour));
            if *by_first { first.add(run) } else { second.add(run) }
        }
        // Only where neither has forgotten anything can the model be exact.
        prop_assume!(all.len() <= RUNS);
        let mut there = first.clone();
        there.merge(&second);
        let mut back = second;
        back.merge(&first);
        prop_assert_eq!(there.runs.len(), all.len());
        for (a, b) in there.runs.iter().zip(&back.runs) {
            prop_assert_eq!((a.id, a.hour, a.tasks), (b.id, b.hour, b.tasks));
            let known = &all[&a.id];
            let tasks: u32 = known.iter().map(|(n, ..)| n).sum();
            let mean = known.iter().map(|(n, ln, _)| f64::from(*n) * ln).sum::<f64>() / f64::from(tasks);
            prop_assert_eq!(a.tasks, tasks);
            prop_assert_eq!(a.hour, known.iter().map(|(.., hour)| *hour).max().unwrap());
            // Each joining rounds to a 512th.
            let error = known.len() as f64 / LN_UNITS;
            prop_assert!((a.ln() - mean).abs() <= error && (b.ln() - mean).abs() <= error);
        }
    }

    /// Whatever was observed, an estimate is a number.
    #[test]
    fn beliefs_are_finite(
        runs in prop::collection::vec((any::<u32>(), any::<u16>(), 1u32.., any::<i16>(), any::<u16>(), any::<Option<i16>>()), 1..40),
        owner in prop::option::of(-10.0f64..20.0), hour in any::<u32>()
    ) {
        let mut history = History::default();
        for (hour, id, tasks, ln, within, owner) in runs {
            history.add(Run { hour, id, tasks, ln, within, owner });
        }
        prop_assert!(history.is_sane());
        let believed = history.believe(hour, owner).unwrap();
        prop_assert!([believed.ln, believed.sd, believed.within].iter().all(|x| x.is_finite()));
    }
}
