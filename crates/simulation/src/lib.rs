//! Deterministic simulation: real controllers with a simulated store, cloud, workers and users, in simulated time with
//! fixed seeds. Independent checks record violations of the scheduler's rules.
//!
//! The simulated services follow PROTOCOL and do not depend on the controllers' internals. Messages are delayed at
//! random, lost in partitions, or kept back and delivered when the partition ends.

mod cloud;
mod config;
mod digest;
mod event;
mod extra_requests;
mod faults;
pub mod in_memory_store;
mod model;
mod network;
mod previous_version;
mod store_service;
mod targeted_faults;
mod task_starts;
mod users;
mod worker_calls;
mod workers;
mod world;

pub use config::{
    CANCEL_MS, CONTROLLERS, DEFAULT_CAPACITY, ESTIMATE_SETTINGS, FLOOR, HEARTBEAT_MS, LEASE_MS,
    TEAMS, ZONES, as_stored_by_production, settings, settings_with_sharding, sharding_requested,
};
pub use event::{Fault, SimEvent};
pub use extra_requests::{ExtraRequest, ReportedStatus, RequestKind};
pub use faults::seeds_requested;
pub use in_memory_store::{CommitError, Store};
pub use model::{RunningTask, Ticket, UserJob, Worker};
pub use targeted_faults::TargetedFaults;
pub use world::World;
