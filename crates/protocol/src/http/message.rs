//! Requests and responses, independent of their encoding.

use crate::constants::RETRY_AFTER_S;

/// Request method; the protocol uses three.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`.
    Get,
    /// `POST`.
    Post,
    /// `DELETE`.
    Delete,
    /// Any other method, which no path accepts.
    Other,
}

/// Request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// Path and query as sent.
    pub target: String,
    /// Complete body; empty if there is none.
    pub body: Vec<u8>,
}

/// Response with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Complete body; empty if there is none.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// True if the connection is closed after the response even if the client did not ask for that.
    pub close: bool,
}

impl Response {
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Self {
        Response { status, body: Vec::new(), retry_after_s: None, close: false }
    }

    /// Creates a response with a body.
    pub fn with(status: u16, body: Vec<u8>) -> Self {
        Response { status, body, retry_after_s: None, close: false }
    }

    /// Creates a rejection with the default `Retry-After` of [`RETRY_AFTER_S`].
    pub fn retry_later(status: u16) -> Self {
        Response::retry_after(status, RETRY_AFTER_S)
    }

    /// Creates a rejection with the given `Retry-After`.
    pub fn retry_after(status: u16, seconds: u64) -> Self {
        Response { retry_after_s: Some(seconds), ..Response::empty(status) }
    }
}
