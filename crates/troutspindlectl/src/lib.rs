//! `troutspindlectl`, the operators' own command: what heavy libraries are for (plots, reports, distributions)
//! lives here and never in the service.
#![forbid(unsafe_code)]

pub mod ask;
pub mod bound;
pub mod cli;
pub mod constants;
pub mod generate;
pub mod past;
pub mod replay;
pub mod report;
