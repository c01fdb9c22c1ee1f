//! Constants of the package, each with its unit.

use std::time::Duration;

/// Units of capacity of one machine of the largest type: whole millionths, so that sums never drift.
pub const UNITS_PER_MACHINE: u64 = 1_000_000;
/// Time constant of the average of arrivals.
pub const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// The shortest time that the average is taken over: a new leader sees all that was accepted before at once.
pub const MIN_ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// How long demand has to exceed supply before capacity counts as scarce.
pub const ENTER_AFTER: Duration = Duration::from_secs(3);
/// How long it has to stay below [`EXIT_THRESHOLD`] before scarcity is over; longer, against flapping.
pub const EXIT_AFTER: Duration = Duration::from_secs(15);
/// Share of the supply below which demand has to fall for that.
pub const EXIT_THRESHOLD: f64 = 0.95;
