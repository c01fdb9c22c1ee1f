//! The server: one task for each connection, a bounded number of connections and of requests in hand.

use super::codec::{CodecError, Parsed, encode_response, parse_request};
use super::message::{Request, Response};
use crate::constants::{ACCEPT_RETRY, IDLE_TIMEOUT, READ_AT_ONCE, READ_TIMEOUT};
use std::sync::Arc;
use std::task::Poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;

/// A request handed to whoever answers it.
pub struct Incoming {
    /// The request.
    pub request: Request,
    /// Takes the answer.
    pub reply: oneshot::Sender<Response>,
    /// Dropped when the request is handled, whether or not it is answered by then.
    pub turn: OwnedSemaphorePermit,
}

/// Accepts connections until the process ends. Connections beyond `max_connections` are answered with 503 and
/// closed; `open_count` tells how many are open. At most `max_in_hand` requests are read and not handled yet.
pub async fn serve(
    listener: TcpListener,
    max_connections: usize,
    max_in_hand: usize,
    requests: mpsc::Sender<Incoming>,
    open_count: watch::Sender<usize>,
) {
    let (closed_tx, mut closed_rx) = mpsc::unbounded_channel::<()>();
    // Requests that come at once are read a few at a time: else the calls of this process to the state service
    // would wait behind all of them.
    let gate = Arc::new(Semaphore::new(max_in_hand));
    let mut open = 0usize;
    loop {
        tokio::select! {
            _ = closed_rx.recv() => {
                open -= 1;
                open_count.send_replace(open);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    open += 1;
                    open_count.send_replace(open);
                    let (requests, gate) = (requests.clone(), gate.clone());
                    let closed = closed_tx.clone();
                    let refuse = open > max_connections;
                    tokio::spawn(async move {
                        if refuse {
                            refuse_connection(stream).await;
                        } else {
                            serve_connection(stream, requests, gate).await;
                        }
                        let _ = closed.send(());
                    });
                }
                Err(error) => {
                    tracing::info!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }
}

async fn refuse_connection(mut stream: TcpStream) {
    let bytes = encode_response(&Response::later(503), true);
    let _ = timeout(READ_TIMEOUT, stream.write_all(&bytes)).await;
}

/// Reads what has arrived by now, or `None`. Not by `try_read_buf`, which costs one more system call a message to
/// learn that the stream is empty.
async fn read_available(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<std::io::Result<usize>> {
    buffer.reserve(READ_AT_ONCE);
    let mut read = std::pin::pin!(stream.read_buf(buffer));
    let now = std::future::poll_fn(|cx| Poll::Ready(read.as_mut().poll(cx))).await;
    match now {
        Poll::Ready(read) => Some(read),
        Poll::Pending => None,
    }
}

/// One request read from a connection.
enum Received {
    /// A request, whether the client wants the connection closed after it, and the permit to handle it.
    Request { request: Request, close: bool, turn: OwnedSemaphorePermit },
    /// Bytes that are no request.
    Invalid(CodecError),
    /// The connection ended, or was idle for too long.
    Closed,
}

async fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>, gate: &Arc<Semaphore>) -> Received {
    let mut turn: Option<OwnedSemaphorePermit> = None;
    loop {
        match (parse_request(buffer), turn.take()) {
            (Ok(Parsed::Done((request, close), used)), Some(turn)) => {
                buffer.drain(..used);
                return Received::Request { request, close, turn };
            }
            // All of it came with the request before.
            (Ok(Parsed::Done(..)), None) => turn = gate.clone().acquire_owned().await.ok(),
            (Err(error), _) => return Received::Invalid(error),
            (Ok(Parsed::Partial), held) => {
                // Half a request holds up nobody.
                drop(held);
                let wait = if buffer.is_empty() { IDLE_TIMEOUT } else { READ_TIMEOUT };
                let Ok(Ok(())) = timeout(wait, stream.readable()).await else {
                    return Received::Closed;
                };
                turn = gate.clone().acquire_owned().await.ok();
                if let Some(Ok(0) | Err(_)) = read_available(stream, buffer).await {
                    return Received::Closed;
                }
            }
        }
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    requests: mpsc::Sender<Incoming>,
    gate: Arc<Semaphore>,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let (response, close) = match receive(&mut stream, &mut buffer, &gate).await {
            Received::Closed => return,
            Received::Request { request, close, turn } => {
                let response = answer(&requests, request, turn).await;
                let close = close || response.close;
                (response, close)
            }
            Received::Invalid(error) => (Response::empty(error.status()), true),
        };
        let bytes = encode_response(&response, close);
        match timeout(READ_TIMEOUT, stream.write_all(&bytes)).await {
            Ok(Ok(())) if !close => {}
            _ => return,
        }
        // An idle connection holds no memory.
        if buffer.is_empty() {
            buffer = Vec::new();
        }
    }
}

async fn answer(
    requests: &mpsc::Sender<Incoming>,
    request: Request,
    turn: OwnedSemaphorePermit,
) -> Response {
    let (reply, answer) = oneshot::channel();
    match requests.try_send(Incoming { request, reply, turn }) {
        Ok(()) => answer.await.unwrap_or_else(|_| Response::later(503)),
        Err(_) => Response::later(503),
    }
}
