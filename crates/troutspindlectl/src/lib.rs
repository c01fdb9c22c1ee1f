//! `troutspindlectl`, the operators' command. Features that need heavy libraries (plots, reports, distributions) are
//! in this crate, so that the service does not depend on them.
#![forbid(unsafe_code)]

pub mod ask;
pub mod bound;
pub mod cli;
pub mod constants;
pub mod generate;
pub mod past;
pub mod replay;
pub mod report;
