//! The normal distribution, as far as it is needed here, on logarithms of run times.

use crate::constants::*;
use statrs::function::erf::{erfc, erfc_inv};
use std::f64::consts::{FRAC_1_SQRT_2, PI};
use std::sync::LazyLock;

/// Share of the standard normal distribution above z.
pub fn above(z: f64) -> f64 {
    0.5 * erfc(z * FRAC_1_SQRT_2)
}

/// Share of the standard normal distribution below z.
pub fn below(z: f64) -> f64 {
    above(-z)
}

/// The point below which a share of the standard normal distribution lies.
pub fn point(share: f64) -> f64 {
    -erfc_inv(2.0 * share.clamp(1e-9, 1.0 - 1e-9)) / FRAC_1_SQRT_2
}

/// Points of the normal distribution at even shares: playing a job asks for thousands of them.
static POINTS: LazyLock<Vec<f64>> =
    LazyLock::new(|| (0..=POINTS_COUNT).map(|n| point(n as f64 / POINTS_COUNT as f64)).collect());

/// The same as [`point`] to within a hundredth, at a fraction of its cost; exact in the outermost parts.
pub fn quick_point(share: f64) -> f64 {
    let at = share * POINTS_COUNT as f64;
    let below = at as usize;
    if !(2..POINTS_COUNT - 2).contains(&below) {
        return point(share);
    }
    let part = at - below as f64;
    POINTS[below] * (1.0 - part) + POINTS[below + 1] * part
}

/// Mean of the standard normal distribution above z (the inverse Mills ratio).
pub fn mean_above(z: f64) -> f64 {
    if z > 8.0 {
        // Its asymptote: both the density and the share vanish.
        return z + 1.0 / z;
    }
    (-0.5 * z * z).exp() / (2.0 * PI).sqrt() / above(z)
}

/// A run time as a logarithm; none if it is no run time.
pub fn ln(run_s: f64) -> Option<f64> {
    (run_s.is_finite() && (0.0..=LONGEST_S).contains(&run_s)).then(|| run_s.max(SHORTEST_S).ln())
}

/// Of values with weights, that in the middle of the weights.
pub fn median(values: &mut [(f64, f64)]) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|(_, w)| w).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (value, weight) in values.iter() {
        sum += weight;
        if sum >= half {
            return *value;
        }
    }
    0.0
}

#[cfg(test)]
mod tests;
