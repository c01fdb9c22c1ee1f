//! Constants of the crate, each with its unit and the reason for its value. "Logarithm" is the natural logarithm of
//! seconds, or a difference of such logarithms.

/// Maximum number of runs per history. Covers three runs of every weekday of a nightly job and lets a lasting change
/// be distinguished from a single outlier; with 24 an encoded history stays below 600 bytes.
pub const MAX_RUNS: usize = 24;
/// Number of runs from which on an estimate may be graded sure. With fewer, their scatter is not known.
pub const SURE_RUNS: f64 = 5.0;
/// Logarithm. Maximum interval between the 10% and 90% quantiles of an estimate graded sure: an even error of 13% in
/// each direction, of which nine in ten stay within 25%.
pub const SURE_WIDTH: f64 = 0.36;
/// Logarithm. Standard deviation between runs of a job that is assumed before any run is known: a factor of 1.4.
pub const PRIOR_RUN_SD: f64 = 0.35;
/// Number of runs that [`PRIOR_RUN_SD`] weighs as much as.
pub const PRIOR_RUN_SD_WEIGHT: f64 = 1.0;
/// Logarithm. Minimum standard deviation between runs, however many equal runs are known: machines differ by a tenth.
pub const MIN_RUN_SD: f64 = 0.03;
/// Logarithm. Standard deviation of the tasks within a run that is assumed before any run is known.
pub const PRIOR_TASK_SD: f64 = 0.3;
/// Number of tasks of the current run that the expected scatter within a run, assumed or from history, weighs as much
/// as.
pub const PRIOR_TASK_SD_WEIGHT: f64 = 20.0;
/// Logarithm. Minimum standard deviation of the tasks within a run.
pub const MIN_TASK_SD: f64 = 0.02;
/// Number of later runs after which the weight of a run is halved.
pub const HALF_LIFE_RUNS: f64 = 8.0;
/// Multiple of the robust scatter beyond which a run is an outlier and its pull on the center grows no further.
pub const OUTLIER_LIMIT: f64 = 1.5;
/// Multiple of the robust scatter at which a run's contribution to the scatter is clipped.
pub const SCATTER_CLIP: f64 = 4.0;
/// Minimum number of runs on either side of a lasting change, so that two outliers in a row are not taken for one.
pub const CHANGE_RUNS: usize = 3;
/// Number of standard errors by which the two sides of a lasting change must differ.
pub const CHANGE_STANDARD_ERRORS: f64 = 4.5;
/// Logarithm. Minimum step of a lasting change, about a sixth. Smaller steps are left to the recency weights.
pub const CHANGE_MIN_STEP: f64 = 0.15;
/// Squared logarithm times runs. Ridge term of the regression on the owner's estimates: how much these must vary
/// before they count.
pub const OWNER_RIDGE: f64 = 0.15;
/// Number of runs from which on weekdays are distinguished: two of each.
pub const WEEKDAY_RUNS: usize = 14;
/// Minimum ratio of the variance between weekdays to the variance within them for weekdays to count as different.
pub const WEEKDAY_RATIO: f64 = 4.0;
/// Number of standard errors by which the current run may differ from its history before the history counts for less.
pub const CONFLICT_STANDARD_ERRORS: f64 = 1.5;
/// Number of iterations that fit center and scatter, by Newton's method and by imputation of censored run times. The
/// center has converged after four.
pub const FIT_ROUNDS: usize = 8;
/// Logarithm. Width of a histogram bin of censored run times.
pub const CENSORED_BIN_WIDTH: f64 = 0.1;
/// Number of tasks whose ends are simulated one by one to predict the end of a job. The tasks before them are
/// approximated as a stream.
pub const SIMULATED_TASKS: usize = 128;
/// Number of simulated outcomes per job: enough for a probability to within a tenth.
pub const SIMULATED_OUTCOMES: usize = 24;
/// Number of steps in the lookup table of normal quantiles.
pub const QUANTILE_STEPS: usize = 1024;
/// Number of bins of standardized errors, each [`ERROR_BIN_WIDTH`] wide, centered on zero.
pub const ERROR_BINS: usize = 41;
/// Standard deviations. Width of a bin of standardized errors.
pub const ERROR_BIN_WIDTH: f64 = 0.2;
/// Number of observed errors that the assumption of a normal distribution weighs as much as.
pub const ERROR_PRIOR_WEIGHT: f64 = 60.0;
/// Maximum number of errors per bucket. Beyond it all counts are halved, so that older errors fade.
pub const MAX_ERRORS: u32 = 4000;
/// Number of store values among which histories are divided. Part of the stored format.
pub const BUCKETS: u8 = 64;
/// Maximum number of histories per bucket. In all 64 buckets they take 3 MB of memory.
pub const MAX_HISTORIES_PER_BUCKET: usize = 96;
/// Version of the value layout. A reader leaves values of a later version untouched.
pub const FORMAT: u8 = 1;
/// Milliseconds between two writes: two writes per second.
pub const WRITE_INTERVAL_MS: u64 = 500;
/// Milliseconds before the same value is written again. Losing the last seconds of learning matters little, and every
/// write is read by every controller.
pub const REWRITE_INTERVAL_MS: u64 = 20_000;
/// Stored units per unit of logarithm.
pub const LN_UNITS: f64 = 512.0;
/// Seconds. Shorter run times count as this long.
pub const MIN_RUN_S: f64 = 0.05;
/// Seconds, half a year. Longer run times are ignored as invalid.
pub const MAX_RUN_S: f64 = 1.6e7;
/// Seconds in an hour: runs are dated by the hour.
pub const HOUR_S: u64 = 3600;
