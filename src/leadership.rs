//! Who leads: the election by the leader key, the controllers' own leases at the store, and the leases by which
//! a controller answers workers on the leader's behalf.

pub mod controller_lease;
pub mod delegation;
pub mod election;
