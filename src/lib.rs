//! troutspindle: a cluster scheduler that places tasks on rented machines by capped, indexed first
//! fit, after the GRMU paper. `docs/ARCHITECTURE.md` describes how the modules work together.
#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub use troutspindle_protocol::{http, ids, wire};

pub mod admission;
pub mod api;
pub mod cli;
pub mod clock;
pub mod cloud;
pub mod constants;
pub mod controller;
pub mod drains;
pub mod jobs;
pub mod leadership;
pub mod peers;
pub mod placement;
pub mod scheduler;
pub mod schema;
pub mod settings;
pub mod store;
pub mod workers;
