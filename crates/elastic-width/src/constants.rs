//! Constants of the package, each with its unit.

use std::time::Duration;

/// How long capacity has to have been free before an elastic job grows into it.
pub const STABLE_AFTER: Duration = Duration::from_secs(5);
/// How long a preempted job does not grow.
pub const PREEMPTION_BACKOFF: Duration = Duration::from_secs(15);
/// The longest such backoff; it doubles with each preemption that follows soon.
pub const MAX_PREEMPTION_BACKOFF: Duration = Duration::from_secs(240);
/// Share of the stable capacity that one round of growth may take: the rest serves new work without preemption.
pub const GROWTH_SHARE: f64 = 0.5;
