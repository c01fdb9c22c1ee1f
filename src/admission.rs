//! Admission control: capacity limits of one controller, and the order and rejection of requests under overload.
//!
//! The types have neither clock nor I/O. They don't inspect requests; callers supply the class of each.

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
