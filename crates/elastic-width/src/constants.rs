//! Every constant of the package, each with its unit and the reason for its value.

use std::time::Duration;

/// How long room has to have been free before an elastic job grows into it: what comes and goes within
/// a few planning passes belongs to somebody.
pub const STAYS_FREE: Duration = Duration::from_secs(5);
/// How long a job that made way does not grow: whoever needed the room often needs more.
pub const REST_AFTER_SHRINK: Duration = Duration::from_secs(15);
/// The longest such rest; it doubles with each shrink that follows soon.
pub const REST_MOST: Duration = Duration::from_secs(240);
/// Share of the room that stayed free which one round of growth may take: what is left serves whoever
/// comes next without anybody making way.
pub const GROWTH_SHARE: f64 = 0.5;
