//! The HTTP/1.1 codec: bytes to messages and back. Pure, so that any bytes can be tried on it.

use super::message::{Method, Request, Response};
use crate::constants::{BODY_MAX, CLIENT_BODY_MAX, HEAD_MAX, HEADERS_MAX};

/// Why bytes are no message.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CodecError {
    /// Not HTTP/1.1, or contradictory headers.
    #[error("malformed message")]
    Malformed,
    /// More than [`HEAD_MAX`] bytes or [`HEADERS_MAX`] headers.
    #[error("head too large")]
    HeadTooLarge,
    /// More than [`BODY_MAX`] bytes, or [`CLIENT_BODY_MAX`] in a response.
    #[error("body too large")]
    BodyTooLarge,
}

impl CodecError {
    /// The status that answers such a request.
    pub(super) fn status(&self) -> u16 {
        match self {
            CodecError::Malformed => 400,
            CodecError::HeadTooLarge => 431,
            CodecError::BodyTooLarge => 413,
        }
    }
}

/// What the parser made of the bytes so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// The message goes on.
    Partial,
    /// A whole message, and how many bytes it took.
    Done(T, usize),
}

/// What the headers say about the body and the connection.
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    retry_after: Option<u64>,
}

fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, CodecError> {
    let mut out = Framing { length: None, chunked: false, close: false, retry_after: None };
    for header in headers {
        let value = std::str::from_utf8(header.value).map_err(|_| CodecError::Malformed)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(CodecError::Malformed);
            }
            let length = value.parse::<usize>().map_err(|_| CodecError::BodyTooLarge)?;
            if out.length.is_some_and(|old| old != length) {
                return Err(CodecError::Malformed);
            }
            out.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(CodecError::Malformed);
            }
            out.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            out.close |= value.split(',').any(|part| part.trim().eq_ignore_ascii_case("close"));
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            out.retry_after = value.parse().ok();
        }
    }
    if out.chunked && out.length.is_some() {
        return Err(CodecError::Malformed);
    }
    Ok(out)
}

/// Decodes a chunked body from `bytes`; gives the body and how many bytes it took.
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

/// Trailers are read over up to the empty line.
fn skip_trailers(bytes: &[u8]) -> Result<Parsed<()>, CodecError> {
    let mut room = [httparse::EMPTY_HEADER; HEADERS_MAX];
    match httparse::parse_headers(bytes, &mut room) {
        Ok(httparse::Status::Complete((used, _))) => Ok(Parsed::Done((), used)),
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_MAX => Ok(Parsed::Partial),
        _ => Err(CodecError::Malformed),
    }
}

fn parse_body(frame: &Framing, bytes: &[u8], limit: usize) -> Result<Parsed<Vec<u8>>, CodecError> {
    if frame.chunked {
        return decode_chunked(bytes, limit);
    }
    let length = frame.length.unwrap_or(0);
    if length > limit {
        return Err(CodecError::BodyTooLarge);
    }
    if bytes.len() < length {
        return Ok(Parsed::Partial);
    }
    Ok(Parsed::Done(bytes[..length].to_vec(), length))
}

/// Parses one request; the flag says whether the client wants the connection closed after it.
pub fn parse_request(bytes: &[u8]) -> Result<Parsed<(Request, bool)>, CodecError> {
    let mut room = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut room);
    match head.parse(bytes) {
        Err(httparse::Error::TooManyHeaders) => Err(CodecError::HeadTooLarge),
        Err(_) => Err(CodecError::Malformed),
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_MAX => Err(CodecError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(Parsed::Partial),
        Ok(httparse::Status::Complete(used)) => {
            if used > HEAD_MAX {
                return Err(CodecError::HeadTooLarge);
            }
            let frame = framing(head.headers)?;
            let method = match head.method {
                Some("GET") => Method::Get,
                Some("POST") => Method::Post,
                Some("DELETE") => Method::Delete,
                _ => Method::Other,
            };
            let target = head.path.unwrap_or("").to_owned();
            let close = frame.close || head.version == Some(0);
            Ok(match parse_body(&frame, &bytes[used..], BODY_MAX)? {
                Parsed::Partial => Parsed::Partial,
                Parsed::Done(body, more) => {
                    Parsed::Done((Request { method, target, body }, close), used + more)
                }
            })
        }
    }
}

/// Parses one response; the flag says whether the server will close the connection.
pub fn parse_response(bytes: &[u8]) -> Result<Parsed<(Response, bool)>, CodecError> {
    let mut room = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut room);
    match head.parse(bytes) {
        Err(_) => Err(CodecError::Malformed),
        Ok(httparse::Status::Partial) if bytes.len() > HEAD_MAX => Err(CodecError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(Parsed::Partial),
        Ok(httparse::Status::Complete(used)) => {
            let frame = framing(head.headers)?;
            let status = head.code.unwrap_or(0);
            let bare = status == 204 || status == 304;
            let parsed = if bare {
                Parsed::Done(Vec::new(), 0)
            } else {
                parse_body(&frame, &bytes[used..], CLIENT_BODY_MAX)?
            };
            Ok(match parsed {
                Parsed::Partial => Parsed::Partial,
                Parsed::Done(body, more) => Parsed::Done(
                    (
                        Response {
                            status,
                            body,
                            retry_after_s: frame.retry_after,
                            close: frame.close,
                        },
                        frame.close,
                    ),
                    used + more,
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

/// The bytes of a response; `close` announces that the connection ends after it.
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

/// The bytes of a request.
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
