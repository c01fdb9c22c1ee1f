//! Decides which waiting task runs on which machine, and which machines to rent for the others.
//!
//! Machines are divided into two baskets, light and heavy, and a pool of unassigned ones; tasks go
//! first fit, in order of a fixed machine index, into their basket, and the heavy basket has an
//! upper limit. `docs/design.md` names the paper that the algorithm follows.
//!
//! The module is pure: the caller passes machines as [`Bin`]s and waiting tasks as
//! [`PlacementRequest`]s in order of service, and [`plan`] returns a [`PlacementPlan`].

mod basket;
mod capacity_index;
mod gang;
mod image_index;
mod model;
mod packing;
mod scale_out;
mod service_order;

pub use basket::Basket;
pub use model::{
    Bin, BinIndex, Images, MachineTypeOffer, PlacementInput, PlacementPlan, PlacementRequest,
    PlannedStart, RequestIndex, RequestTasks, ScaleOutPolicy, ZoneLimits, max_copies,
};
pub use packing::plan;
pub use service_order::{QueuedJob, sort_by_service_order};

#[cfg(test)]
mod tests;
