//! Functions of the standard normal distribution and of logarithms of run times.

use crate::constants::*;
use statrs::function::erf::{erfc, erfc_inv};
use std::f64::consts::{FRAC_1_SQRT_2, PI};
use std::sync::LazyLock;

/// Returns the probability that a standard normal variable exceeds `z`.
pub fn normal_tail(z: f64) -> f64 {
    0.5 * erfc(z * FRAC_1_SQRT_2)
}

/// Returns the probability that a standard normal variable is below `z`.
pub fn normal_cdf(z: f64) -> f64 {
    normal_tail(-z)
}

/// Returns the quantile of the standard normal distribution at `probability`.
pub fn normal_quantile(probability: f64) -> f64 {
    -erfc_inv(2.0 * probability.clamp(1e-9, 1.0 - 1e-9)) / FRAC_1_SQRT_2
}

/// Normal quantiles at evenly spaced probabilities. Simulating one job needs thousands of them.
static NORMAL_QUANTILES: LazyLock<Vec<f64>> = LazyLock::new(|| {
    (0..=QUANTILE_STEPS).map(|n| normal_quantile(n as f64 / QUANTILE_STEPS as f64)).collect()
});

/// Returns [`normal_quantile`] to within a hundredth at a fraction of its cost; exact in the outermost steps.
pub fn fast_normal_quantile(probability: f64) -> f64 {
    let position = probability * QUANTILE_STEPS as f64;
    let step = position as usize;
    if !(2..QUANTILE_STEPS - 2).contains(&step) {
        return normal_quantile(probability);
    }
    let fraction = position - step as f64;
    NORMAL_QUANTILES[step] * (1.0 - fraction) + NORMAL_QUANTILES[step + 1] * fraction
}

/// Returns the mean of a standard normal variable given that it exceeds `z` (the inverse Mills ratio).
pub fn normal_tail_mean(z: f64) -> f64 {
    if z > 8.0 {
        // Asymptote: both the density and the tail probability vanish.
        return z + 1.0 / z;
    }
    (-0.5 * z * z).exp() / (2.0 * PI).sqrt() / normal_tail(z)
}

/// Returns the logarithm of a run time, or `None` if the run time is invalid.
pub fn ln(run_s: f64) -> Option<f64> {
    (run_s.is_finite() && (0.0..=MAX_RUN_S).contains(&run_s)).then(|| run_s.max(MIN_RUN_S).ln())
}

/// Returns the weighted median of (value, weight) pairs.
pub fn median(values: &mut [(f64, f64)]) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half_weight = values.iter().map(|(_, w)| w).sum::<f64>() / 2.0;
    let mut cumulative = 0.0;
    for (value, weight) in values.iter() {
        cumulative += weight;
        if cumulative >= half_weight {
            return *value;
        }
    }
    0.0
}

#[cfg(test)]
mod tests;
