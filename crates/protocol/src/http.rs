//! HTTP/1.1: one codec for the server and the client. Nothing here knows what the bodies mean.

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
