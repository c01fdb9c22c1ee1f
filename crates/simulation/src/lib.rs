//! Controllers against stand-ins for the state service, the cloud and the workers, in
//! simulated time with fixed seeds. An independent checker watches the rules.
//!
//! The stand-ins follow PROTOCOL and know nothing of the controllers' insides. Messages are
//! delayed at random, lost by cuts, or held back and delivered when the cut ends.

mod aims;
mod cloud;
mod config;
mod digest;
mod event;
mod faults;
mod looks;
mod model;
mod network;
mod production;
mod store;
pub mod store_core;
mod users;
mod workers;
mod world;

pub use aims::Aims;
pub use config::{
    CANCEL_MS, FLOOR, LEARNING, LEASE_MS, NODES, PLENTY, REPORT_MS, TEAMS, ZONES, as_production,
    settings, settings_sharing, sharing_asked,
};
pub use event::{Due, Fault};
pub use faults::seeds_asked;
pub use looks::{Ask, Asked, Told};
pub use model::{Running, Ticket, UserJob, Worker};
pub use store_core::{CommitError, Store};
pub use world::World;
