//! Leader election and the leader lease, the controller lease of every controller, the delegated leases under which
//! followers answer workers for the leader, and the acknowledgements that precede the commit of a cancellation.

pub mod cancellation_acks;
pub mod controller_lease;
pub mod delegation;
pub mod election;
