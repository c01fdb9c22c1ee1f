//! HTTP client: sends requests with a deadline over pooled connections. One actor owns the pool.

use super::codec::{Parsed, encode_request, parse_response};
use super::message::{Request, Response};
use super::pool::Pool;
use crate::constants::{CONNECT_TIMEOUT, READ_BUFFER_BYTES};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// Reads the bytes that have arrived. A message of the usual size takes one system call, and no buffer is allocated
/// while nothing arrives.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    stream.readable().await?;
    buffer.reserve(READ_BUFFER_BYTES);
    stream.read_buf(buffer).await
}

/// Reason why a call has no response.
#[derive(Debug, Clone, Copy, thiserror::Error, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent, so it was not executed.
    #[error("request not sent")]
    NotSent,
    /// The request may have been executed, or may still be executed.
    #[error("no response to the request, which may have been executed")]
    Unknown,
}

struct Call {
    address: SocketAddr,
    request: Request,
    deadline: Instant,
    response_sender: oneshot::Sender<Result<Response, CallError>>,
}

enum PoolMessage {
    Call(Call),
    Idle(SocketAddr, TcpStream),
    SetMaxIdle(usize),
}

/// Handle of the pool of connections.
#[derive(Clone)]
pub struct Client {
    messages: mpsc::UnboundedSender<PoolMessage>,
}

impl Client {
    /// Starts the pool actor, which keeps at most `max_idle` idle connections, not counting those to `exempt`
    /// addresses. The actor ends when the last handle is dropped.
    pub fn start(max_idle: usize, exempt: Vec<SocketAddr>) -> Client {
        let (messages, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run_pool(Pool::new(max_idle, exempt), receiver, messages.downgrade()));
        Client { messages }
    }

    /// Changes the maximum number of idle connections.
    pub fn set_max_idle(&self, max_idle: usize) {
        let _ = self.messages.send(PoolMessage::SetMaxIdle(max_idle));
    }

    /// Sends a request and waits for the response until the deadline. The caller sets the deadline when it decides on
    /// the call; if the process stalls beyond it, the request is not sent.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, CallError> {
        let (response_sender, response) = oneshot::channel();
        let call = Call { address, request, deadline, response_sender };
        self.messages.send(PoolMessage::Call(call)).map_err(|_| CallError::NotSent)?;
        response.await.unwrap_or(Err(CallError::Unknown))
    }
}

/// Runs the pool actor. Each call runs in its own task and returns its connection to the pool.
async fn run_pool(
    mut pool: Pool,
    mut messages: mpsc::UnboundedReceiver<PoolMessage>,
    to_self: mpsc::WeakUnboundedSender<PoolMessage>,
) {
    while let Some(message) = messages.recv().await {
        // Sweeps on every message, so stale connections are closed even if no further call uses their addresses.
        pool.sweep_if_due();
        match message {
            PoolMessage::Idle(address, stream) => pool.keep(address, stream),
            PoolMessage::SetMaxIdle(max_idle) => pool.set_max_idle(max_idle),
            PoolMessage::Call(call) => {
                let pooled = pool.take(&call.address);
                tokio::spawn(run_call(call, pooled, to_self.clone()));
            }
        }
    }
}

async fn run_call(
    call: Call,
    pooled: Option<TcpStream>,
    to_pool: mpsc::WeakUnboundedSender<PoolMessage>,
) {
    let outcome = exchange(pooled, call.address, &call.request, call.deadline).await;
    let result = outcome.map(|(response, stream)| {
        if let (Some(stream), Some(to_pool)) = (stream, to_pool.upgrade()) {
            let _ = to_pool.send(PoolMessage::Idle(call.address, stream));
        }
        response
    });
    let _ = call.response_sender.send(result);
}

/// Sends a request over the pooled connection or a new one. Returns the response, and the connection if it stays open.
pub async fn exchange(
    pooled: Option<TcpStream>,
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<(Response, Option<TcpStream>), CallError> {
    let mut stream = match pooled {
        Some(stream) => stream,
        None => match timeout_at(
            deadline.min(Instant::now() + CONNECT_TIMEOUT),
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
    // Last check before any byte is sent: a decision made before a long stall may be wrong by now.
    if Instant::now() >= deadline {
        return Err(CallError::NotSent);
    }
    let send_and_receive = async {
        let bytes = encode_request(&address.to_string(), request);
        stream.write_all(&bytes).await.map_err(|_| CallError::Unknown)?;
        let mut buffer = Vec::new();
        loop {
            match parse_response(&buffer) {
                Ok(Parsed::Done((response, close), _)) => return Ok((response, close)),
                Ok(Parsed::Partial) => {}
                Err(_) => return Err(CallError::Unknown),
            }
            match read(&mut stream, &mut buffer).await {
                Ok(n) if n > 0 => {}
                _ => return Err(CallError::Unknown),
            }
        }
    };
    match timeout_at(deadline, send_and_receive).await {
        Ok(Ok((response, close))) => Ok((response, (!close).then_some(stream))),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(CallError::Unknown),
    }
}
