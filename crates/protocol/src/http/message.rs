//! Requests and responses, whatever carries them.

use crate::constants::RETRY_AFTER_S;

/// A request method; the protocol knows three.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `DELETE`
    Delete,
    /// Any other method, which no path accepts.
    Other,
}

/// A request with its body read whole.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query, as sent.
    pub target: String,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// A response with its body read whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
    /// `Retry-After`, in seconds.
    pub retry_after_s: Option<u64>,
    /// The connection is closed after it, whether or not the other side asked for that.
    pub close: bool,
}

impl Response {
    /// A response without a body.
    pub fn empty(status: u16) -> Self {
        Response { status, body: Vec::new(), retry_after_s: None, close: false }
    }

    /// A response with a body.
    pub fn with(status: u16, body: Vec<u8>) -> Self {
        Response { status, body, retry_after_s: None, close: false }
    }

    /// A refusal with the usual `Retry-After`.
    pub fn later(status: u16) -> Self {
        Response::later_in(status, RETRY_AFTER_S)
    }

    /// A refusal with `Retry-After: seconds`.
    pub fn later_in(status: u16, seconds: u64) -> Self {
        Response { retry_after_s: Some(seconds), ..Response::empty(status) }
    }
}
