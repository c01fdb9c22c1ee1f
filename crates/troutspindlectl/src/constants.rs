//! Constants of the package, each with its unit and the reason for its value.

use std::time::Duration;

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;
/// Start of generated histories, in seconds since the epoch: 1 January 2026, a Thursday.
pub const HISTORY_START_S: f64 = 1_767_225_600.0;
/// Share of a job's tasks that must have completed before its remaining run time is evaluated.
pub const EARLY_SHARE: f64 = 0.1;
/// Minimum number of completed tasks before the remaining run time is evaluated.
pub const EARLY_MIN_TASKS: usize = 3;
/// Share of a job's run time by which a warning must be given to be useful.
pub const USEFUL_WARNING_SHARE: f64 = 0.5;
/// Multiple of the due time (counted from submission) above which a job counts as much too late.
pub const MUCH_LATE_FACTOR: f64 = 1.25;
/// Minimum probability of being late at which a warning is given for a job.
pub const WARNING_PROBABILITY: f64 = 0.9;
/// Number of earlier runs that the owner of a generated job takes into account when setting its due time.
pub const DUE_TIME_SAMPLES: usize = 9;
/// Number of times that a job is evaluated between its submission and its due time.
pub const EVALUATIONS_BEFORE_DUE: usize = 16;
/// Maximum relative error of an estimate that counts as accurate.
pub const ACCURATE_WITHIN: f64 = 0.25;
/// Width and height of a plot, in pixels.
pub const PLOT_SIZE: (u32, u32) = (640, 360);
/// Timeout of a request to a controller.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Length in seconds of the slots into which the bound divides a day. A slot covers several log lines.
pub const SLOT_S: f64 = 20.0;
