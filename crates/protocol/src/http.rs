//! HTTP/1.1: one codec for the server and the client.
//!
//! Each connection is served by a task of its own; the idle connections of the client are owned
//! by a pool actor. Nothing here knows what the bodies mean.

use crate::constants::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    Get,
    Post,
    Delete,
    Other,
}

#[derive(Debug, Clone)]
pub struct Request {
    pub method: Method,
    pub target: String,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u64>,
    /// The connection is closed after it, whether or not the other side asked for that.
    pub close: bool,
}

impl Response {
    pub fn empty(status: u16) -> Self {
        Response { status, body: Vec::new(), retry_after_s: None, close: false }
    }
    pub fn with(status: u16, body: Vec<u8>) -> Self {
        Response { status, body, retry_after_s: None, close: false }
    }
    /// A refusal for now: it is sent at once and says when to come back.
    pub fn later(status: u16) -> Self {
        Response::later_in(status, RETRY_AFTER_S)
    }
    /// The same, with the seconds after which to come back.
    pub fn later_in(status: u16, seconds: u64) -> Self {
        Response { retry_after_s: Some(seconds), ..Response::empty(status) }
    }
}

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CodecError {
    #[error("malformed message")]
    Malformed,
    #[error("head too large")]
    HeadTooLarge,
    #[error("body too large")]
    BodyTooLarge,
}

/// What the parser made of the bytes so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    Partial,
    Done(T, usize),
}

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

/// Reads a chunked body from `bytes`; gives the body and how many bytes it took.
fn dechunk(bytes: &[u8], limit: usize) -> Result<Parsed<Vec<u8>>, CodecError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        match httparse::parse_chunk_size(&bytes[at..]) {
            Err(_) => return Err(CodecError::Malformed),
            Ok(httparse::Status::Partial) => {
                return if bytes.len() - at > HEAD_MAX {
                    Err(CodecError::Malformed)
                } else {
                    Ok(Parsed::Partial)
                };
            }
            Ok(httparse::Status::Complete((skip, size))) => {
                let size = usize::try_from(size).map_err(|_| CodecError::BodyTooLarge)?;
                if size > limit || body.len() + size > limit {
                    return Err(CodecError::BodyTooLarge);
                }
                at += skip;
                if size == 0 {
                    // Trailers are read over up to the empty line.
                    let mut room = [httparse::EMPTY_HEADER; HEADERS_MAX];
                    return match httparse::parse_headers(&bytes[at..], &mut room) {
                        Ok(httparse::Status::Complete((used, _))) => {
                            Ok(Parsed::Done(body, at + used))
                        }
                        Ok(httparse::Status::Partial) if bytes.len() - at <= HEAD_MAX => {
                            Ok(Parsed::Partial)
                        }
                        _ => Err(CodecError::Malformed),
                    };
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
    }
}

fn body_of(frame: &Framing, bytes: &[u8], limit: usize) -> Result<Parsed<Vec<u8>>, CodecError> {
    if frame.chunked {
        return dechunk(bytes, limit);
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
            Ok(match body_of(&frame, &bytes[used..], BODY_MAX)? {
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
                body_of(&frame, &bytes[used..], CLIENT_BODY_MAX)?
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

fn reason(status: u16) -> &'static str {
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

fn encode_response(response: &Response, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
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

fn encode_request(host: &str, request: &Request) -> Vec<u8> {
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

/// A request handed to whoever answers it.
pub struct Incoming {
    pub request: Request,
    pub reply: oneshot::Sender<Response>,
    /// Dropped when the request is handled, whether or not it is answered by then.
    pub turn: OwnedSemaphorePermit,
}

/// Accepts connections until the process ends. Connections beyond `most` are told 503 and closed; `count` tells
/// how many are open. At most `together` requests are read and not handled yet.
pub async fn serve(
    listener: TcpListener,
    most: usize,
    together: usize,
    to: mpsc::Sender<Incoming>,
    count: watch::Sender<usize>,
) {
    let (done_tx, mut done_rx) = mpsc::unbounded_channel::<()>();
    // Thousands of requests that come at once are read a few at a time: else whatever else this process
    // does, its own calls to the state service first of all, waits behind all of them.
    let gate = Arc::new(Semaphore::new(together));
    let mut open = 0usize;
    loop {
        tokio::select! {
            _ = done_rx.recv() => {
                open -= 1;
                count.send_replace(open);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    open += 1;
                    count.send_replace(open);
                    let (to, gate) = (to.clone(), gate.clone());
                    let done = done_tx.clone();
                    let refuse = open > most;
                    tokio::spawn(async move {
                        if refuse {
                            let mut stream = stream;
                            let bytes = encode_response(&Response::later(503), true);
                            let _ = timeout(READ_TIMEOUT, stream.write_all(&bytes)).await;
                        } else {
                            connection(stream, to, gate).await;
                        }
                        let _ = done.send(());
                    });
                }
                Err(error) => {
                    tracing::info!(%error, "accept failed");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }
}

/// Reads what has come: a message of the usual size with one system call, and without holding any
/// memory while nothing comes. Hundreds of workers report a few times a second each, and what a
/// report costs is mostly its system calls.
async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    stream.readable().await?;
    buffer.reserve(READ_AT_ONCE);
    stream.read_buf(buffer).await
}

/// The same of what is there by now; none: nothing is. Not by `try_read_buf`, which takes a stream for readable until
/// it is told that it isn't: one more system call for each message.
async fn read_now(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<std::io::Result<usize>> {
    buffer.reserve(READ_AT_ONCE);
    let mut read = std::pin::pin!(stream.read_buf(buffer));
    let now = std::future::poll_fn(|cx| Poll::Ready(read.as_mut().poll(cx))).await;
    match now {
        Poll::Ready(read) => Some(read),
        Poll::Pending => None,
    }
}

async fn connection(mut stream: TcpStream, to: mpsc::Sender<Incoming>, gate: Arc<Semaphore>) {
    let _ = stream.set_nodelay(true);
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let mut turn = None;
        let parsed = loop {
            match (parse_request(&buffer), &turn) {
                (Ok(Parsed::Done(found, used)), Some(_)) => {
                    buffer.drain(..used);
                    break Ok(found);
                }
                // All of it came with the request before.
                (Ok(Parsed::Done(..)), None) => turn = gate.clone().acquire_owned().await.ok(),
                (Err(error), _) => break Err(error),
                (Ok(Parsed::Partial), _) => {
                    // Nobody waits for who sends half a request.
                    drop(turn.take());
                    let wait = if buffer.is_empty() { IDLE_TIMEOUT } else { READ_TIMEOUT };
                    let Ok(Ok(())) = timeout(wait, stream.readable()).await else { return };
                    turn = gate.clone().acquire_owned().await.ok();
                    if let Some(Ok(0) | Err(_)) = read_now(&mut stream, &mut buffer).await {
                        return;
                    }
                }
            }
        };
        let (response, close) = match (parsed, turn) {
            (Ok(_), None) => return,
            (Ok((request, close)), Some(turn)) => {
                let (reply, answer) = oneshot::channel();
                let response = match to.try_send(Incoming { request, reply, turn }) {
                    Ok(()) => answer.await.unwrap_or_else(|_| Response::later(503)),
                    Err(_) => Response::later(503),
                };
                let close = close || response.close;
                (response, close)
            }
            (Err(CodecError::BodyTooLarge), _) => (Response::empty(413), true),
            (Err(CodecError::HeadTooLarge), _) => (Response::empty(431), true),
            (Err(CodecError::Malformed), _) => (Response::empty(400), true),
        };
        let bytes = encode_response(&response, close);
        match timeout(READ_TIMEOUT, stream.write_all(&bytes)).await {
            Ok(Ok(())) if !close => {}
            _ => return,
        }
        if buffer.is_empty() {
            buffer = Vec::new();
        }
    }
}

#[derive(Debug, Clone, Copy, thiserror::Error, PartialEq, Eq)]
pub enum CallError {
    /// The request surely was not executed.
    #[error("not connected")]
    NotSent,
    /// The request may have been executed, or may yet be.
    #[error("no answer")]
    Unknown,
}

struct Call {
    address: SocketAddr,
    request: Request,
    until: Instant,
    reply: oneshot::Sender<Result<Response, CallError>>,
}

enum PoolMessage {
    Call(Call),
    Idle(SocketAddr, TcpStream),
    Most(usize),
}

/// Idle connections. A leader speaks to hundreds of workers, each of which also holds a connection
/// of its own to it: idle ones must not use up the sockets that those and the state service need.
#[derive(Default)]
struct Pool {
    most: usize,
    always: Vec<SocketAddr>,
    idle: HashMap<SocketAddr, Vec<(TcpStream, Instant)>>,
    count: usize,
    swept: Option<Instant>,
}

impl Pool {
    fn counts(&self, address: &SocketAddr) -> bool {
        !self.always.contains(address)
    }

    fn keep(&mut self, address: SocketAddr, stream: TcpStream) {
        let counts = self.counts(&address);
        if counts && self.count >= self.most {
            if self.swept.is_some_and(|at| at.elapsed() < REUSE_WITHIN / 10) {
                return;
            }
            self.sweep();
            if self.count >= self.most {
                return;
            }
        }
        let list = self.idle.entry(address).or_default();
        let before = list.len();
        list.retain(|(_, since)| since.elapsed() < REUSE_WITHIN);
        if counts {
            self.count -= before - list.len();
        }
        if list.len() < IDLE_PER_ADDRESS {
            list.push((stream, Instant::now()));
            self.count += usize::from(counts);
        }
    }

    /// The same now and then, whichever address is called.
    fn sweep_if_due(&mut self) {
        if self.count > 0 && self.swept.is_none_or(|at| at.elapsed() >= REUSE_WITHIN) {
            self.sweep();
        }
    }

    /// Closes what is too old to be used again.
    fn sweep(&mut self) {
        self.swept = Some(Instant::now());
        self.idle.retain(|_, list| {
            list.retain(|(_, since)| since.elapsed() < REUSE_WITHIN);
            !list.is_empty()
        });
        let counted = self.idle.iter().filter(|(address, _)| self.counts(address));
        self.count = counted.map(|(_, list)| list.len()).sum();
    }

    /// Keeps at most so many from now on, and closes those beyond.
    fn bound(&mut self, most: usize) {
        self.most = most;
        if self.count <= most {
            return;
        }
        self.sweep();
        let mut beyond = self.count.saturating_sub(most);
        let always = &self.always;
        self.idle.retain(|address, list| {
            if !always.contains(address) {
                let closed = beyond.min(list.len());
                list.drain(..closed);
                beyond -= closed;
            }
            !list.is_empty()
        });
        self.count = self.count.min(most);
    }

    fn take(&mut self, address: &SocketAddr) -> Option<TcpStream> {
        let counts = self.counts(address);
        let list = self.idle.get_mut(address)?;
        let mut kept = None;
        while let Some((stream, since)) = list.pop() {
            self.count -= usize::from(counts);
            if since.elapsed() < REUSE_WITHIN && still_open(&stream) {
                kept = Some(stream);
                break;
            }
        }
        if list.is_empty() {
            self.idle.remove(address);
        }
        kept
    }
}

/// A handle to the client's pool of connections.
#[derive(Clone)]
pub struct Client {
    to: mpsc::UnboundedSender<PoolMessage>,
}

impl Client {
    /// Starts the pool actor, which keeps at most so many idle connections, those to `always`
    /// not counted; it ends when the last handle is dropped.
    pub fn start(most: usize, always: Vec<SocketAddr>) -> Client {
        let (to, mut from) = mpsc::unbounded_channel();
        let back = to.downgrade();
        tokio::spawn(async move {
            let mut pool = Pool { most, always, ..Pool::default() };
            while let Some(message) = from.recv().await {
                // A leader whose commands others send would keep what it opened before for good.
                pool.sweep_if_due();
                match message {
                    PoolMessage::Idle(address, stream) => pool.keep(address, stream),
                    PoolMessage::Most(most) => pool.bound(most),
                    PoolMessage::Call(call) => {
                        let kept = pool.take(&call.address);
                        let back = back.clone();
                        tokio::spawn(async move {
                            let address = call.address;
                            let outcome = exchange(kept, address, &call.request, call.until).await;
                            let result = outcome.map(|(response, stream)| {
                                if let (Some(stream), Some(back)) = (stream, back.upgrade()) {
                                    let _ = back.send(PoolMessage::Idle(address, stream));
                                }
                                response
                            });
                            let _ = call.reply.send(result);
                        });
                    }
                }
            }
        });
        Client { to }
    }

    /// Bounds the idle connections anew.
    pub fn keep_most(&self, most: usize) {
        let _ = self.to.send(PoolMessage::Most(most));
    }

    /// Calls, until a time that counts from when the call was decided: one that this process got
    /// round to only later, after standing still, is not sent any more.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Response, CallError> {
        let (reply, answer) = oneshot::channel();
        let call = Call { address, request, until, reply };
        self.to.send(PoolMessage::Call(call)).map_err(|_| CallError::NotSent)?;
        answer.await.unwrap_or(Err(CallError::Unknown))
    }
}

/// An idle connection on which the far side has closed (or spoken out of turn) is not reused.
fn still_open(stream: &TcpStream) -> bool {
    let mut probe = [0u8; 1];
    matches!(stream.try_read(&mut probe), Err(ref e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sends a request on a kept connection or a new one; gives the connection back if it stays open.
pub async fn exchange(
    kept: Option<TcpStream>,
    address: SocketAddr,
    request: &Request,
    until: Instant,
) -> Result<(Response, Option<TcpStream>), CallError> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => match timeout_at(
            until.min(Instant::now() + CONNECT_TIMEOUT),
            TcpStream::connect(address),
        )
        .await
        {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                stream
            }
            _ => return Err(CallError::NotSent),
        },
    };
    // The last look before anything leaves: what was decided long ago may be wrong by now.
    if Instant::now() >= until {
        return Err(CallError::NotSent);
    }
    let talk = async {
        let bytes = encode_request(&address.to_string(), request);
        stream.write_all(&bytes).await.map_err(|_| CallError::Unknown)?;
        let mut buffer = Vec::new();
        loop {
            match parse_response(&buffer) {
                Ok(Parsed::Done((response, close), _)) => return Ok((response, close)),
                Ok(Parsed::Partial) => {}
                Err(_) => return Err(CallError::Unknown),
            }
            match read_some(&mut stream, &mut buffer).await {
                Ok(n) if n > 0 => {}
                _ => return Err(CallError::Unknown),
            }
        }
    };
    match timeout_at(until, talk).await {
        Ok(Ok((response, close))) => Ok((response, (!close).then_some(stream))),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(CallError::Unknown),
    }
}

#[cfg(test)]
mod tests;
