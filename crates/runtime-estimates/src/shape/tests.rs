use super::*;

#[test]
fn fast_quantiles_match_exact_quantiles() {
    for n in 1..10_000 {
        let share = f64::from(n) / 10_000.0;
        assert!((quick_point(share) - point(share)).abs() < 0.01, "{share}");
        assert!((below(point(share)) - share).abs() < 1e-9);
    }
    assert!(quick_point(0.0).is_finite() && quick_point(1.0).is_finite());
}
