//! Assigns waiting tasks to machines and selects the machines to rent for the remaining tasks.
//!
//! Each machine belongs to the light basket, the heavy basket, or the pool of unassigned machines. A
//! task is placed first fit, in order of a fixed machine index, in its own basket or the pool. The
//! heavy basket is limited in size. `docs/design.md` names the paper that the algorithm follows.
//!
//! The module has no state and no side effects: the caller passes machines as [`Bin`]s and waiting
//! tasks as [`PlacementRequest`]s in order of service, and [`plan`] returns a [`PlacementPlan`].

mod basket;
mod capacity_index;
mod gang;
mod image_index;
mod last_resort;
mod model;
mod obstacle;
mod packing;
mod scale_out;
mod service_order;
mod single_zone;

pub use basket::Basket;
pub use model::{
    Bin, BinIndex, HeldBack, Images, MachineTypeOffer, Obstacle, PlacementInput, PlacementPlan,
    PlacementRequest, PlannedStart, PreemptionPolicy, RequestIndex, RequestTasks, ScaleOutPolicy,
    ZoneLimits, max_copies,
};
pub use packing::plan;
pub use service_order::{QueuedJob, sort_by_service_order};

#[cfg(test)]
mod tests;
