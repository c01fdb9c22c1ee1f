//! What is said on the wire: names and amounts, the message types of the protocol, and the HTTP/1.1
//! codec, server and client that carry them. The service, its operators' command and the simulation
//! speak through it.

#![forbid(unsafe_code)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::unwrap_used))]

pub mod constants;
pub mod http;
pub mod ids;
pub mod operator_api;
pub mod wire;
