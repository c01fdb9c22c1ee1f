use super::*;

fn distribution(within: f64) -> RunTimeDistribution {
    RunTimeDistribution { ln: 60f64.ln(), sd: 0.1, within }
}

#[test]
fn equal_tasks_complete_in_rounds_of_the_width() {
    let half = |running: &[f64], waiting: u64| {
        remaining(&distribution(0.02), running, waiting, 4).quantile(0.5)
    };
    assert!((half(&[], 8) / 120.0 - 1.0).abs() < 0.08);
    assert!((half(&[], 9) / 180.0 - 1.0).abs() < 0.08);
    let rest = remaining(&distribution(0.02), &[45.0; 4], 0, 4);
    let (low, half, high) = (rest.quantile(0.1), rest.quantile(0.5), rest.quantile(0.9));
    assert!(low < half && half < high && (half - 15.0).abs() < 4.0, "{low} {half} {high}");
    assert_eq!(
        (rest.probability_longer_than(0.0), rest.probability_longer_than(100.0)),
        (1.0, 0.0)
    );
}

/// The approximation of the earlier tasks as a stream must match a simulation of every task.
#[test]
fn approximated_large_array_ends_within_3_percent_of_full_simulation() {
    let mut random = StdRng::seed_from_u64(1);
    let mut ends = vec![0.0f64; 40];
    for _ in 0..20_000 {
        let first_free = ends.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1)).unwrap().0;
        ends[first_free] += (60f64.ln() + 0.5 * shape::normal_quantile(random.random())).exp();
    }
    let last = ends.iter().copied().fold(0.0, f64::max);
    let half = remaining(&distribution(0.5), &[], 20_000, 40).quantile(0.5);
    assert!((half / last - 1.0).abs() < 0.03, "{half} {last}");
}

#[test]
fn extreme_job_sizes_and_widths_are_simulated_in_bounded_time() {
    let half = remaining(&distribution(0.5), &[1.0; 50], u64::MAX / 2, 64).quantile(0.5);
    assert!(half.is_finite() && half > 1e15);
    assert_eq!(remaining(&distribution(0.5), &[], 0, 0).quantile(0.9), 0.0);
    assert!(remaining(&distribution(0.5), &[], 100_000, u64::MAX).quantile(0.5) < 2000.0);
}
