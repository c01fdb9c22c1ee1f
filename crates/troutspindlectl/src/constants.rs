//! Every constant of the package, each with its unit and the reason for its value.

use std::time::Duration;

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;
/// Seconds since the epoch at which generated histories begin: the first of January 2026, a Thursday.
pub const BEGIN_S: f64 = 1_767_225_600.0;
/// Share of a run's tasks after which what remains is looked at, and the least count of them.
pub const EARLY_SHARE: f64 = 0.1;
pub const EARLY_LEAST: usize = 3;
/// Share of the run by which a warning has to come to be of use.
pub const WARN_BY: f64 = 0.5;
/// Times its due time from which on a job is much too late.
pub const MUCH_LATE: f64 = 1.25;
/// Probability of being late from which on a job is warned of.
pub const WARN_FROM: f64 = 0.9;
/// Count. Nights that the owner of a generated job remembers when setting its due time.
pub const DUE_TRIES: usize = 9;
/// Count. Looks at one job until it is due.
pub const LOOKS: usize = 16;
/// Share by which an estimate may be off and still be called right.
pub const RIGHT: f64 = 0.25;
/// Pixels. Width and height of a plot.
pub const PLOT: (u32, u32) = (640, 360);
/// How long a controller may take to answer.
pub const ASK_TIMEOUT: Duration = Duration::from_secs(3);
/// Seconds. Slots into which a day is divided to find what could have been served: several lines of the log each.
pub const SLOT_S: f64 = 20.0;
