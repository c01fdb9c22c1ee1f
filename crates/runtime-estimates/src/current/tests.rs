use super::*;

const PRIOR: Prediction = Prediction { ln: 4.0, sd: 0.12, within: 0.3, runs: 10.0 };

/// When all tasks of an array start together, the shortest complete first. Their run times alone underestimate the
/// median, so the running tasks must count too.
#[test]
fn running_tasks_correct_the_bias_of_early_completions() {
    let true_run_s = |n: usize| (4.0 + 0.3 * shape::normal_quantile((n as f64 + 0.5) / 60.0)).exp();
    let now = true_run_s(11);
    let mut observations = RunObservations::default();
    (0..12).for_each(|n| observations.record_completed(true_run_s(n)));
    let running = [now; 48];
    let with_running = observations.with_running(&running).distribution(&PRIOR);
    assert!((with_running.ln - 4.0).abs() < 0.1, "{with_running:?}");
    let completed_only = observations.distribution(&PRIOR);
    assert!(completed_only.ln < 3.8, "{completed_only:?}");
}

#[test]
fn first_tasks_of_a_run_with_doubled_run_times_override_the_history() {
    let mut observations = RunObservations::default();
    for run in [95.0, 110.0, 124.0] {
        observations.record_completed(run);
    }
    let observed = observations.distribution(&PRIOR);
    assert!((observed.ln - 109.0f64.ln()).abs() < 0.2, "{observed:?}");
    // Before any task completed, the elapsed times of the running tasks must raise the estimate.
    let running = RunObservations::default().with_running(&[100.0; 20]).distribution(&PRIOR);
    assert!(running.ln > 4.15, "{running:?}");
}

#[test]
fn invalid_run_times_are_ignored() {
    let mut observations = RunObservations::default();
    for run in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        observations.record_completed(run);
        observations.record_censored(run);
    }
    assert_eq!(observations, RunObservations::default());
}
