//! Client of the consensus-backed key-value store: a state machine without clock or I/O. It
//! caches all keys of this cluster, batches writes into transactions (group commit), serves
//! linearizable reads (read index) and respects the store's rate limits. The actor in
//! [`crate::controller`] sends its requests and passes the responses back.

mod cache;
mod client;
mod group_commit;
mod messages;
mod rate_limiter;
mod read_index;
mod snapshot;
mod watch;

pub use crate::schema::keys::{
    CONTROLLER_LEASE_PREFIX, ESTIMATES_PREFIX, LEADER_KEY, MACHINE_PREFIX, MACHINE_TYPE_PREFIX,
    MACHINE_TYPES_KEY, PREFIX, RELAY_PREFIX, TOKEN_KEY,
};
pub use crate::schema::records::{LeaderRecord, MachineRecord};
pub use cache::{Cache, RelayedMessage, Versioned};
pub use client::{STORE_UNAVAILABLE_AFTER, StoreClient, StoreEvent};
pub use group_commit::{PendingWrite, WriteOrigin, WriteOutcome, WritePriority};
pub use messages::{OutgoingRequest, StoreRequest, StoreResponse, TimedRequest};
pub use rate_limiter::TokenBucket;

#[cfg(test)]
mod tests;
