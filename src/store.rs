//! The client of the consensus-backed key-value store: a state machine without clock or I/O. It
//! caches all keys of this cluster, batches writes into transactions (group commit), serves
//! linearizable reads (read index) and keeps to the store's rate limits. The actor in
//! [`crate::controller`] sends its requests and hands the responses back.

mod cache;
mod client;
pub mod encoding;
mod group_commit;
pub mod keys;
mod messages;
mod rate_limiter;
mod read_index;
pub mod records;
mod snapshot;
mod watch;

pub use cache::Cache;
pub use client::{STORE_UNAVAILABLE_AFTER, StoreClient, StoreEvent};
pub use group_commit::{PendingWrite, WriteOrigin, WriteOutcome, WritePriority};
pub use keys::{
    CONTROLLER_LEASE_PREFIX, ESTIMATES_PREFIX, LEADER_KEY, MACHINE_PREFIX, MACHINE_TYPE_PREFIX,
    MACHINE_TYPES_KEY, PREFIX, RELAY_PREFIX, TOKEN_KEY,
};
pub use messages::{StoreRequest, StoreResponse};
pub use rate_limiter::TokenBucket;
pub use records::{LeaderRecord, MachineRecord};

#[cfg(test)]
mod tests;
