use super::*;

const PREDICTION: Prediction = Prediction { ln: 4.0, sd: 0.12, within: 0.3, runs: 10.0 };

/// When all tasks of an array start together, the shortest complete first. Their run times alone underestimate the
/// median, so the running tasks must count too.
#[test]
fn running_tasks_correct_the_bias_of_early_completions() {
    let true_run_s = |n: usize| (4.0 + 0.3 * shape::normal_quantile((n as f64 + 0.5) / 60.0)).exp();
    let now = true_run_s(11);
    let mut current = RunObservations::default();
    (0..12).for_each(|n| current.record_completed(true_run_s(n)));
    let running = [now; 48];
    let with_running = current.with_running(&running).distribution(&PREDICTION);
    assert!((with_running.ln - 4.0).abs() < 0.1, "{with_running:?}");
    let completed_only = current.distribution(&PREDICTION);
    assert!(completed_only.ln < 3.8, "{completed_only:?}");
}

#[test]
fn first_tasks_of_a_run_with_doubled_run_times_override_the_history() {
    let mut current = RunObservations::default();
    for run in [95.0, 110.0, 124.0] {
        current.record_completed(run);
    }
    let observed = current.distribution(&PREDICTION);
    assert!((observed.ln - 109.0f64.ln()).abs() < 0.2, "{observed:?}");
    // Before any task completed, the elapsed times of the running tasks must raise the estimate.
    let running = RunObservations::default().with_running(&[100.0; 20]).distribution(&PREDICTION);
    assert!(running.ln > 4.15, "{running:?}");
}

#[test]
fn invalid_run_times_are_ignored() {
    let mut current = RunObservations::default();
    for run in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        current.record_completed(run);
        current.record_censored(run);
    }
    assert_eq!(current, RunObservations::default());
}
