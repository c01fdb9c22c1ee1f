//! Constants of the package, each with its unit.

use std::time::Duration;

/// Bytes. PROTOCOL caps request bodies and our responses at 64 KiB.
pub const BODY_MAX: usize = 64 * 1024;
/// Bytes. A body read from the cloud or the state service may be larger: pages hold 512 KiB
/// and a follow response has no limit, so this only stops a peer that has gone mad.
pub const CLIENT_BODY_MAX: usize = 8 * 1024 * 1024;
/// Bytes. Request line and headers together; ours are a few hundred.
pub const HEAD_MAX: usize = 8 * 1024;
/// Bytes. What one read takes at the most: more than nearly all messages have.
pub const READ_AT_ONCE: usize = 4096;
/// Count. Requests that are read and not handled yet, at the most: at some tenths of a millisecond each they take
/// less than a tenth of a second, and are enough to choose from which goes first.
pub const READ_TOGETHER: usize = 256;
/// Count. Headers in one message.
pub const HEADERS_MAX: usize = 48;
/// A client that sends half a request is dropped after this long.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
pub const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// An idle connection is closed after this long; workers report every few seconds and users
/// poll every five, so a live peer never meets it.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Count. Idle connections kept for each address we call.
pub const IDLE_PER_ADDRESS: usize = 4;
/// How long a connection of our own may take to open: several round trips with one resend.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle connections of ours older than this are not reused: the far side may have dropped them.
pub const REUSE_WITHIN: Duration = Duration::from_secs(30);
/// Seconds. What `Retry-After` says on a refusal.
pub const RETRY_AFTER_S: u64 = 1;
/// Count. Bits of an attempt number that count within one leadership; the rest is the token.
pub const ATTEMPT_BITS: u32 = 24;
/// Micro-units in one unit of an amount: resources are counted in whole millionths.
pub const MICRO: f64 = 1e6;
