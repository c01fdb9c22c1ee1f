//! Processor time of requests, and the number of requests read ahead that follows from it.

use crate::constants::MAX_UNHANDLED_REQUESTS;
use crate::settings::Resources;
use std::time::Duration;

/// Processor time of one request or heartbeat, including its network packets.
pub const REQUEST_COST: Duration = Duration::from_micros(160);
/// Processor time, at this controller's limit, that requests which are read but not yet handled may need in total.
const READ_AHEAD: Duration = Duration::from_millis(100);
/// Minimum number of requests that may be read but not yet handled, however small the processor limit.
const MIN_UNHANDLED_REQUESTS: usize = 16;

/// Returns how many requests may be read but not yet handled. After a failover all clients send requests at once; the
/// leader's own calls would wait for seconds behind hundreds of them.
pub fn max_unhandled_requests(resources: &Resources) -> usize {
    let affordable = resources.fits(READ_AHEAD, REQUEST_COST) as usize;
    affordable.clamp(MIN_UNHANDLED_REQUESTS, MAX_UNHANDLED_REQUESTS)
}
