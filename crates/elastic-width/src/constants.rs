//! Constants of the package, each with its unit.

use std::time::Duration;

/// Time for which capacity must have been free before an elastic job grows into it.
pub const STABLE_AFTER: Duration = Duration::from_secs(5);
/// Time for which a preempted job does not grow.
pub const PREEMPTION_BACKOFF: Duration = Duration::from_secs(15);
/// Maximum of that backoff, which doubles with each preemption soon after the previous backoff.
pub const MAX_PREEMPTION_BACKOFF: Duration = Duration::from_secs(240);
/// Fraction of the stable capacity that one round of growth may take. The rest serves new work without preemption.
pub const GROWTH_SHARE: f64 = 0.5;
