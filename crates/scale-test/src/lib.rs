//! Scale runs: real controller processes against an emulated store and cloud, emulated workers and users, all on
//! loopback addresses of one machine.
//!
//! Thousands of workers share a few processes ([`worker_process`]); each has its own address, session, lease,
//! image cache and tasks ([`worker`]). An independent judge ([`judge`]) checks PROTOCOL's
//! rules.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod cli;
pub mod cloud;
pub mod constants;
pub mod controllers;
pub mod error;
pub mod judge;
pub mod link;
pub mod measure;
pub mod report;
pub mod roles;
pub mod run;
pub mod scenario;
pub mod state_service;
pub mod users;
pub mod worker;
pub mod worker_process;
