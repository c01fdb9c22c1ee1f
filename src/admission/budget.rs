//! Processor time of requests.

use crate::constants::MAX_UNHANDLED_REQUESTS;
use crate::settings::Resources;
use std::time::Duration;

/// Processor time of one request or heartbeat, its packets included.
pub const REQUEST_COST: Duration = Duration::from_micros(160);
/// Processor time, at this controller's limit, that requests which are read and not handled yet may need.
const READ_AHEAD: Duration = Duration::from_millis(100);
/// Count. Requests that may be read and not handled yet, however small the limit.
const MIN_UNHANDLED_REQUESTS: usize = 16;

/// How many requests may be read and not handled yet. After a failover they come all at once, and behind hundreds of
/// them the leader's own calls would wait for seconds.
pub fn max_unhandled_requests(resources: &Resources) -> usize {
    let affordable = resources.fits(READ_AHEAD, REQUEST_COST) as usize;
    affordable.clamp(MIN_UNHANDLED_REQUESTS, MAX_UNHANDLED_REQUESTS)
}
