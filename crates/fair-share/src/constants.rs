//! Constants of the package, each with its unit.

use std::time::Duration;

/// Capacity units in one machine of the largest type. Capacity is an integer, so sums accumulate no rounding error.
pub const UNITS_PER_MACHINE: u64 = 1_000_000;
/// Time constant of the exponential average of the arrival rate.
pub const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// Minimum time that the arrival rate is averaged over. A new leader records all previously accepted work at once,
/// which must not count as a burst.
pub const MIN_ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// Time for which demand must exceed supply before capacity counts as scarce.
pub const ENTER_AFTER: Duration = Duration::from_secs(3);
/// Time for which demand must stay below [`EXIT_THRESHOLD`] before scarcity ends. It is longer than [`ENTER_AFTER`]
/// to prevent flapping.
pub const EXIT_AFTER: Duration = Duration::from_secs(15);
/// Fraction of the supply that demand must fall below for scarcity to end.
pub const EXIT_THRESHOLD: f64 = 0.95;
