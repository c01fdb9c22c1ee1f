//! The wire protocol: identifiers and resource amounts, message types, and the HTTP/1.1 codec, server and client.
//! The controllers, the operators' command-line tool and the simulation use it.

#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub mod constants;
pub mod http;
pub mod ids;
pub mod operator_api;
pub mod wire;
