//! What one controller can hold, and which requests it handles first or rejects where it falls behind.
//!
//! Cores without clock or I/O. They don't read requests: their callers say of which class each is.

mod budget;
mod load_estimator;
mod machine_limit;
mod queue;
mod retry_after;
mod sharding;
mod socket_budget;

pub use budget::{REQUEST_COST, max_unhandled_requests};
pub use load_estimator::LoadEstimator;
pub use machine_limit::{MACHINE_BYTES, MachineLimit};
pub use queue::{AdmissionQueue, Dequeued, RequestClass};
pub use retry_after::retry_after_s;
pub use sharding::ShardingPolicy;
pub use socket_budget::{OutgoingSockets, SocketBudget, SocketPressure};

#[cfg(test)]
mod tests;
