//! HTTP/1.1 server and client, which share one codec. Bodies are not interpreted here.

mod client;
mod codec;
mod message;
mod pool;
mod server;

pub use client::{CallError, Client, exchange};
pub use codec::{CodecError, Parsed, parse_request, parse_response};
pub use message::{Method, Request, Response};
pub use server::{Incoming, serve};

#[cfg(test)]
mod tests;
