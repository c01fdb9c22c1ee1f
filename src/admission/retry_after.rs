//! Retry-After values of rejected requests.

/// Number of waiting requests for each second over which retries are spread.
const WAITING_PER_SECOND: u64 = 100;
/// Longest pause before a retry, in seconds. Users wait no longer than 30 s.
pub(super) const MAX_RETRY_AFTER_S: u64 = 15;
/// Odd multiplier that spreads consecutive salts evenly (the fraction of the golden ratio in 64 bits).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the seconds after which a rejected request may be retried. The `salt` spreads retries over the time that the
/// waiting requests take, so that requests rejected together are not retried together.
pub fn retry_after_s(waiting: usize, salt: u64) -> u64 {
    let spread = (waiting as u64 / WAITING_PER_SECOND).min(MAX_RETRY_AFTER_S - 1) + 1;
    1 + salt.wrapping_mul(HASH_MULTIPLIER).rotate_left(20) % spread
}
