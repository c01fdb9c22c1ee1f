//! When whoever was rejected may retry.

/// Count. Waiting requests for each second over which retries are spread.
const WAITING_PER_SECOND: u64 = 100;
/// Seconds. The longest pause; users wait no longer than 30 s.
pub(super) const MAX_RETRY_AFTER_S: u64 = 15;
/// An odd multiplier that spreads consecutive salts evenly (the golden ratio's fraction, as 64 bits).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Seconds after which a rejected request may be retried. The `salt` spreads retries over as long as the waiting
/// requests take, so that all that were rejected at once don't retry at once.
pub fn retry_after_s(waiting: usize, salt: u64) -> u64 {
    let spread = (waiting as u64 / WAITING_PER_SECOND).min(MAX_RETRY_AFTER_S - 1) + 1;
    1 + salt.wrapping_mul(HASH_MULTIPLIER).rotate_left(20) % spread
}
