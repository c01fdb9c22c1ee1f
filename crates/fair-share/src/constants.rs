//! Every constant of the package, each with its unit and the reason for its value.

use std::time::Duration;

/// Room of one machine of the largest type: rooms are counted in whole millionths of it, so that sums never
/// drift.
pub const MACHINE: u64 = 1_000_000;
/// Over how long the arrival of work is averaged: several times as long as a burst's jobs run, and short
/// beside a day.
pub const ARRIVALS_OVER: Duration = Duration::from_secs(120);
/// The least time that an average of arrivals is taken over: the first second of a leadership shows all
/// that was accepted before.
pub const ARRIVALS_LEAST: Duration = Duration::from_secs(120);
/// How long demand has to be above what there is, with nothing left to rent, before it counts as scarce:
/// refusals come and go while machines are given back.
pub const ENTER_AFTER: Duration = Duration::from_secs(3);
/// How long it has to be below before scarcity is over: the end of one burst is often the pause before the
/// next, and every change of order costs half-run work.
pub const LEAVE_AFTER: Duration = Duration::from_secs(15);
/// Share of what there is below which demand has to fall for that.
pub const LEAVE_BELOW: f64 = 0.95;
