//! Tests of the line fit through measured points.

use troutspindle_scale_test::capacity::fit;

#[test]
fn fit_returns_line_and_residual_and_rejects_equal_x() {
    let line = fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).unwrap();
    assert!((line.base - 1.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
    assert!(line.residual < 1e-9);
    let line = fit(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)]).unwrap();
    assert!(line.slope.abs() < 1e-9 && line.residual > 0.9);
    assert_eq!(fit(&[(1.0, 1.0), (1.0, 2.0)]), None);
}
