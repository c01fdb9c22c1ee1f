//! Every constant of the package, each with its unit and the reason for its value.

/// Count. Runs of which a history remembers each: enough for three of every weekday of a nightly job, and for
/// a change of level to be told from a bad night; with 24 an encoded history stays below 600 bytes.
pub const RUNS: usize = 24;
/// Count. Runs from which on an estimate may be called sure: with fewer their scatter is not known.
pub const SURE_RUNS: f64 = 5.0;
/// Logarithm. Widest interval from the 10% to the 90% point of an estimate that is called sure: an
/// even error of 13% each way, of which nine in ten stay within 25%.
pub const SURE_WIDTH: f64 = 0.36;
/// Logarithm. Scatter between runs of a job before any is known: a factor of 1.4.
pub const SCATTER: f64 = 0.35;
/// Count. Runs that this assumption weighs as much as.
pub const SCATTER_WEIGHT: f64 = 1.0;
/// Logarithm. Scatter that no number of equal runs takes away: machines differ by a tenth.
pub const SCATTER_LEAST: f64 = 0.03;
/// Logarithm. Scatter of the tasks within a run before any is known.
pub const WITHIN: f64 = 0.3;
/// Count. Tasks that this, or what history says of it, weighs as much as beside those of the run itself.
pub const WITHIN_WEIGHT: f64 = 20.0;
/// Logarithm. Scatter within a run is never taken for less.
pub const WITHIN_LEAST: f64 = 0.02;
/// Count. After so many later runs a run weighs half.
pub const HALF_LIFE_RUNS: f64 = 8.0;
/// Multiple of the robust scatter beyond which a run no longer pulls the centre: a bad night.
pub const OUTLIER: f64 = 1.5;
/// Multiple of the robust scatter at which a run's part in the scatter is cut off.
pub const OUTLIER_SCATTER: f64 = 4.0;
/// Count. Least runs on either side of a lasting change. Two bad nights in a row are no change.
pub const CHANGE_RUNS: usize = 3;
/// Standard errors by which the two sides of a lasting change differ.
pub const CHANGE_ERRORS: f64 = 4.5;
/// Logarithm. A lesser change than by a sixth is left to the recency of weights.
pub const CHANGE_LEAST: f64 = 0.15;
/// Squared logarithm times runs. How much the owner's estimates must vary before they count.
pub const OWNER_RIDGE: f64 = 0.15;
/// Count. Runs from which on weekdays are told apart, two of each.
pub const WEEKDAY_RUNS: usize = 14;
/// Ratio of the variance between weekdays to that within them, from which on they differ.
pub const WEEKDAY_RATIO: f64 = 4.0;
/// Standard errors by which what a run shows itself may differ from its history before that counts for less.
pub const CONFLICT_ERRORS: f64 = 1.5;
/// Count. Rounds in which centre and scatter are found, by Newton's method and by filling in what was cut
/// off: the centre is settled after four.
pub const FIT_ROUNDS: usize = 8;
/// Logarithm. Width of a bin of run times that were cut off.
pub const CUT_BIN: f64 = 0.1;
/// Count. Tasks whose end is played one by one when the end of a job is reckoned; what is before them
/// is reckoned as a stream.
pub const PLAYED: usize = 128;
/// Count. Ways in which a job may go that are played: a probability to within a tenth.
pub const WAYS: usize = 24;
/// Count. Parts into which the normal distribution is cut for quick look-up.
pub const POINTS_COUNT: usize = 1024;
/// Count. Bins of standardized errors, of [`ERROR_BIN`] each, around zero.
pub const ERROR_BINS: usize = 41;
/// Standard deviations. Width of such a bin.
pub const ERROR_BIN: f64 = 0.2;
/// Count. Errors that the assumption of a normal distribution weighs as much as.
pub const ERROR_PRIOR: f64 = 60.0;
/// Count. Errors of a bucket beyond which all are halved, so that older ones fade.
pub const ERRORS_MAX: u32 = 4000;
/// Count. Values among which histories are divided at the state service. It belongs to the format.
pub const BUCKETS: u8 = 64;
/// Count. Histories of one bucket at the most: 64 times as many take 3 MB of memory.
pub const HISTORIES_MAX: usize = 96;
/// The layout of a value. A reader leaves alone what bears a later one.
pub const FORMAT: u8 = 1;
/// Milliseconds between two writes, two a second.
pub const WRITE_EVERY_MS: u64 = 500;
/// Milliseconds before the same value is written again: an hour of learning is worth more than its last
/// seconds, and each write is read by every controller.
pub const REWRITE_AFTER_MS: u64 = 20_000;
/// Units in one unit of logarithm, for what is stored.
pub const LN_UNITS: f64 = 512.0;
/// Seconds. Shorter run times count as this long.
pub const SHORTEST_S: f64 = 0.05;
/// Seconds. Longer ones, half a year, are no run times.
pub const LONGEST_S: f64 = 1.6e7;
/// Seconds in an hour: runs are dated by the hour.
pub const HOUR_S: u64 = 3600;
