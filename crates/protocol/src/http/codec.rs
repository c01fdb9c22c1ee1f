//! HTTP/1.1 codec between bytes and messages. It does no I/O, so tests can pass it arbitrary bytes.

use super::message::{Method, Request, Response};
use crate::constants::{BODY_MAX, CLIENT_BODY_MAX, HEAD_MAX, HEADERS_MAX};

/// Reason why bytes are not a valid message.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes are not HTTP/1.1, or headers contradict each other.
    #[error("malformed message")]
    Malformed,
    /// The head has more than [`HEAD_MAX`] bytes or [`HEADERS_MAX`] headers.
    #[error("head too large")]
    HeadTooLarge,
    /// The body has more than [`BODY_MAX`] bytes, or [`CLIENT_BODY_MAX`] in a response.
    #[error("body too large")]
    BodyTooLarge,
}

impl CodecError {
    /// Returns the status code of the response to such a request.
    pub(super) fn status(&self) -> u16 {
        match self {
            CodecError::Malformed => 400,
            CodecError::HeadTooLarge => 431,
            CodecError::BodyTooLarge => 413,
        }
    }
}

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// The message is incomplete.
    Partial,
    /// Complete message, and its length in bytes.
    Done(T, usize),
}

/// Information from the headers about the body and the connection.
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    retry_after: Option<u64>,
}

fn parse_framing(headers: &[httparse::Header<'_>]) -> Result<Framing, CodecError> {
    let mut framing = Framing { length: None, chunked: false, close: false, retry_after: None };
    for header in headers {
        let value = std::str::from_utf8(header.value).map_err(|_| CodecError::Malformed)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(CodecError::Malformed);
            }
            let length = value.parse::<usize>().map_err(|_| CodecError::BodyTooLarge)?;
            if framing.length.is_some_and(|previous| previous != length) {
                return Err(CodecError::Malformed);
            }
            framing.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(CodecError::Malformed);
            }
            framing.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            framing.close |= value.split(',').any(|part| part.trim().eq_ignore_ascii_case("close"));
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            framing.retry_after = value.parse().ok();
        }
    }
    if framing.chunked && framing.length.is_some() {
        return Err(CodecError::Malformed);
    }
    Ok(framing)
}

/// Decodes a chunked body from `bytes`; returns the body and its encoded length.
fn decode_chunked(bytes: &[u8], limit: usize) -> Result<Parsed<Vec<u8>>, CodecError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (skip, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Err(_) => return Err(CodecError::Malformed),
            Ok(httparse::Status::Partial) if bytes.len() - at > HEAD_MAX => {
                return Err(CodecError::Malformed);
            }
            Ok(httparse::Status::Partial) => return Ok(Parsed::Partial),
            Ok(httparse::Status::Complete(chunk)) => chunk,
        };
        let size = usize::try_from(size).map_err(|_| CodecError::BodyTooLarge)?;
        if size > limit || body.len() + size > limit {
            return Err(CodecError::BodyTooLarge);
        }
        at += skip;
        if size == 0 {
            return Ok(match skip_trailers(&bytes[at..])? {
                Parsed::Partial => Parsed::Partial,
                Parsed::Done((), used) => Parsed::Done(body, at + used),
            });
        }
        if bytes.len() < at + size + 2 {
            return Ok(Parsed::Partial);
        }
        body.extend_from_slice(&bytes[at..at + size]);
        if &bytes[at + size..at + size + 2] != b"\r\n" {
            return Err(CodecError::Malformed);
        }
        at += size + 2;
    }
}

/// Skips the trailers up to and including the empty line.
fn skip_trailers(bytes: &[u8]) -> Result<Parsed<()>, CodecError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    match httparse::parse_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete((used, _))) => Ok(Parsed::Done((), used)),
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_MAX => Ok(Parsed::Partial),
        _ => Err(CodecError::Malformed),
    }
}

fn parse_body(
    framing: &Framing,
    bytes: &[u8],
    limit: usize,
) -> Result<Parsed<Vec<u8>>, CodecError> {
    if framing.chunked {
        return decode_chunked(bytes, limit);
    }
    let length = framing.length.unwrap_or(0);
    if length > limit {
        return Err(CodecError::BodyTooLarge);
    }
    if bytes.len() < length {
        return Ok(Parsed::Partial);
    }
    Ok(Parsed::Done(bytes[..length].to_vec(), length))
}

/// Parses one request. The flag is set if the client asks to close the connection after it.
pub fn parse_request(bytes: &[u8]) -> Result<Parsed<(Request, bool)>, CodecError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Err(httparse::Error::TooManyHeaders) => Err(CodecError::HeadTooLarge),
        Err(_) => Err(CodecError::Malformed),
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_MAX => Err(CodecError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(Parsed::Partial),
        Ok(httparse::Status::Complete(used)) => {
            if used > HEAD_MAX {
                return Err(CodecError::HeadTooLarge);
            }
            let framing = parse_framing(head.headers)?;
            let method = match head.method {
                Some("GET") => Method::Get,
                Some("POST") => Method::Post,
                Some("DELETE") => Method::Delete,
                _ => Method::Other,
            };
            let target = head.path.unwrap_or("").to_owned();
            let close = framing.close || head.version == Some(0);
            Ok(match parse_body(&framing, &bytes[used..], BODY_MAX)? {
                Parsed::Partial => Parsed::Partial,
                Parsed::Done(body, body_length) => {
                    Parsed::Done((Request { method, target, body }, close), used + body_length)
                }
            })
        }
    }
}

/// Parses one response. The flag is set if the server closes the connection after it.
pub fn parse_response(bytes: &[u8]) -> Result<Parsed<(Response, bool)>, CodecError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Err(_) => Err(CodecError::Malformed),
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_MAX => Err(CodecError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(Parsed::Partial),
        Ok(httparse::Status::Complete(used)) => {
            let framing = parse_framing(head.headers)?;
            let status = head.code.unwrap_or(0);
            let has_no_body = status == 204 || status == 304;
            let parsed = if has_no_body {
                Parsed::Done(Vec::new(), 0)
            } else {
                parse_body(&framing, &bytes[used..], CLIENT_BODY_MAX)?
            };
            Ok(match parsed {
                Parsed::Partial => Parsed::Partial,
                Parsed::Done(body, body_length) => Parsed::Done(
                    (
                        Response {
                            status,
                            body,
                            retry_after_s: framing.retry_after,
                            close: framing.close,
                        },
                        framing.close,
                    ),
                    used + body_length,
                ),
            })
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Encodes a response; `close` announces that the connection is closed after it.
pub(super) fn encode_response(response: &Response, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    out.extend_from_slice(head.as_bytes());
    if let Some(seconds) = response.retry_after_s {
        out.extend_from_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
    out
}

/// Encodes a request.
pub(super) fn encode_request(host: &str, request: &Request) -> Vec<u8> {
    let method = match request.method {
        Method::Post => "POST",
        Method::Delete => "DELETE",
        _ => "GET",
    };
    let mut out = format!("{method} {} HTTP/1.1\r\nHost: {host}\r\n", request.target).into_bytes();
    if method != "GET" || !request.body.is_empty() {
        out.extend_from_slice(
            format!("Content-Type: application/cbor\r\nContent-Length: {}\r\n", request.body.len())
                .as_bytes(),
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

#[cfg(test)]
mod tests;
