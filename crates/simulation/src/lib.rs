//! Controllers against stand-ins for the state service, the cloud and the workers, in
//! simulated time with fixed seeds. An independent checker watches the rules.
//!
//! The stand-ins follow PROTOCOL and know nothing of the controllers' insides. Messages are
//! delayed at random, lost by cuts, or held back and delivered when the cut ends.

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
mod users;
mod workers;
mod world;

pub use config::{
    CANCEL_MS, CONTROLLERS, DEFAULT_CAPACITY, FLOOR, LEARNING, LEASE_MS, REPORT_MS, TEAMS, ZONES,
    as_production, settings, settings_with_sharding, sharding_requested,
};
pub use event::{Fault, SimEvent};
pub use extra_requests::{ExtraRequest, ReportedStatus, RequestKind};
pub use faults::seeds_requested;
pub use in_memory_store::{CommitError, Store};
pub use model::{Running, Ticket, UserJob, Worker};
pub use targeted_faults::TargetedFaults;
pub use world::World;
