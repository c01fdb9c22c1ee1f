//! Constants of the package, each with its unit.

use std::time::Duration;

/// Maximum size of a request body or of our response body, in bytes. The protocol sets this limit of 64 KiB.
pub const BODY_MAX: usize = 64 * 1024;
/// Maximum size of a response body that the client reads, in bytes. Responses of the cloud and the store may be larger
/// than [`BODY_MAX`]: pages hold 512 KiB, and a watch response has no limit. This bound only stops a faulty peer.
pub const CLIENT_BODY_MAX: usize = 8 * 1024 * 1024;
/// Maximum size of the start line and the headers together, in bytes; ours have a few hundred.
pub const HEAD_MAX: usize = 8 * 1024;
/// Space that a buffer has for one read, in bytes; nearly all messages are smaller.
pub const READ_BUFFER_BYTES: usize = 4096;
/// Maximum number of requests that are read but not handled yet. At a few tenths of a millisecond each, they take less
/// than 0.1 s, and they are enough to choose the order of handling from.
pub const MAX_UNHANDLED_REQUESTS: usize = 256;
/// Maximum number of headers in one message.
pub const HEADERS_MAX: usize = 48;
/// Time after which a connection is closed if it has sent only a part of a request or does not accept a response.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
pub const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time after which the server closes an idle connection. Workers send heartbeats every few seconds and users poll
/// every 5 s, so connections of live peers stay open.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum number of idle connections that the client keeps for one address.
pub const MAX_IDLE_PER_ADDRESS: usize = 4;
/// Timeout for opening a connection; allows for several round trips with one retransmission.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which the client no longer reuses an idle connection, because the peer may have closed it.
pub const MAX_REUSE_AGE: Duration = Duration::from_secs(30);
/// Default value of `Retry-After` on a rejection, in seconds.
pub const RETRY_AFTER_S: u64 = 1;
/// Number of low bits of an attempt number that count attempts within one term; the high bits are the fencing token.
pub const ATTEMPT_BITS: u32 = 24;
/// Number of fencing tokens that are reserved for the commands of one leader.
pub const TOKENS_PER_TERM: u64 = 1 << 21;
/// Distance from a leader's fencing token to the first higher one that its commands may carry.
pub const FIRST_RAISED_TOKEN: u64 = TOKENS_PER_TERM / 2;
/// Micro-units in one unit of an amount; resources are counted in whole millionths.
pub const MICRO: f64 = 1e6;
