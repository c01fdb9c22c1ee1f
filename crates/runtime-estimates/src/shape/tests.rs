use super::*;

#[test]
fn fast_quantiles_match_exact_quantiles() {
    for n in 1..10_000 {
        let share = f64::from(n) / 10_000.0;
        assert!((fast_normal_quantile(share) - normal_quantile(share)).abs() < 0.01, "{share}");
        assert!((normal_cdf(normal_quantile(share)) - share).abs() < 1e-9);
    }
    assert!(fast_normal_quantile(0.0).is_finite() && fast_normal_quantile(1.0).is_finite());
}
