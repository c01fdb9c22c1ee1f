//! Days of faults with three controllers in the simulated world of `crates/simulation`.

mod controller_crashes;
mod dag;
mod drains;
mod fair_share;
mod machines_and_jobs;
mod partitions;
mod rolling_upgrade;
mod store_outages;
