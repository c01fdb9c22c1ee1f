//! Who leads: the election and the leader's lease, the controllers' own leases at the store, the leases by which
//! a follower answers workers for the leader, and what peers acknowledge before a cancellation is committed.

pub mod cancellation_acks;
pub mod controller_lease;
pub mod delegation;
pub mod election;
