//! The client: calls with a deadline over pooled connections. One actor owns the pool.

use super::codec::{Parsed, encode_request, parse_response};
use super::message::{Request, Response};
use super::pool::Pool;
use crate::constants::{CONNECT_TIMEOUT, READ_AT_ONCE};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// Reads what has arrived: a message of the usual size with one system call, and without a buffer while nothing
/// comes.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    stream.readable().await?;
    buffer.reserve(READ_AT_ONCE);
    stream.read_buf(buffer).await
}

/// Why a call has no response.
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
    deadline: Instant,
    reply: oneshot::Sender<Result<Response, CallError>>,
}

enum PoolMessage {
    Call(Call),
    Idle(SocketAddr, TcpStream),
    SetMaxIdle(usize),
}

/// A handle to the pool of connections.
#[derive(Clone)]
pub struct Client {
    to: mpsc::UnboundedSender<PoolMessage>,
}

impl Client {
    /// Starts the pool actor, which keeps at most `max_idle` idle connections, those to `exempt` addresses not
    /// counted; it ends when the last handle is dropped.
    pub fn start(max_idle: usize, exempt: Vec<SocketAddr>) -> Client {
        let (to, from) = mpsc::unbounded_channel();
        tokio::spawn(run_pool(Pool::new(max_idle, exempt), from, to.downgrade()));
        Client { to }
    }

    /// Changes how many idle connections are kept.
    pub fn set_max_idle(&self, max_idle: usize) {
        let _ = self.to.send(PoolMessage::SetMaxIdle(max_idle));
    }

    /// Calls, with a deadline that counts from when the call was decided: one that this process came to only
    /// later, after a stall, is not sent any more.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, CallError> {
        let (reply, answer) = oneshot::channel();
        let call = Call { address, request, deadline, reply };
        self.to.send(PoolMessage::Call(call)).map_err(|_| CallError::NotSent)?;
        answer.await.unwrap_or(Err(CallError::Unknown))
    }
}

/// Owns the pool; each call runs in a task of its own and gives its connection back.
async fn run_pool(
    mut pool: Pool,
    mut messages: mpsc::UnboundedReceiver<PoolMessage>,
    to_self: mpsc::WeakUnboundedSender<PoolMessage>,
) {
    while let Some(message) = messages.recv().await {
        // Also where no call opens a connection any more.
        pool.sweep_if_due();
        match message {
            PoolMessage::Idle(address, stream) => pool.keep(address, stream),
            PoolMessage::SetMaxIdle(max_idle) => pool.set_max_idle(max_idle),
            PoolMessage::Call(call) => {
                let kept = pool.take(&call.address);
                tokio::spawn(run_call(call, kept, to_self.clone()));
            }
        }
    }
}

async fn run_call(
    call: Call,
    kept: Option<TcpStream>,
    to_pool: mpsc::WeakUnboundedSender<PoolMessage>,
) {
    let outcome = exchange(kept, call.address, &call.request, call.deadline).await;
    let result = outcome.map(|(response, stream)| {
        if let (Some(stream), Some(to_pool)) = (stream, to_pool.upgrade()) {
            let _ = to_pool.send(PoolMessage::Idle(call.address, stream));
        }
        response
    });
    let _ = call.reply.send(result);
}

/// Sends a request on a kept connection or a new one; gives the connection back if it stays open.
pub async fn exchange(
    kept: Option<TcpStream>,
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<(Response, Option<TcpStream>), CallError> {
    let mut stream = match kept {
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
    // The last look before anything leaves: what was decided long ago may be wrong by now.
    if Instant::now() >= deadline {
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
            match read(&mut stream, &mut buffer).await {
                Ok(n) if n > 0 => {}
                _ => return Err(CallError::Unknown),
            }
        }
    };
    match timeout_at(deadline, talk).await {
        Ok(Ok((response, close))) => Ok((response, (!close).then_some(stream))),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(CallError::Unknown),
    }
}
