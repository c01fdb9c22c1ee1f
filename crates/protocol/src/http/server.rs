//! HTTP server with one task per connection, and bounds on the connections and on the requests not handled yet.

use super::codec::{CodecError, Parsed, encode_response, parse_request};
use super::message::{Request, Response};
use crate::constants::{ACCEPT_RETRY, IDLE_TIMEOUT, READ_BUFFER_BYTES, READ_TIMEOUT};
use std::sync::Arc;
use std::task::Poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;

/// Request passed to the handler.
pub struct Incoming {
    /// Complete request.
    pub request: Request,
    /// Channel for the response.
    pub reply: oneshot::Sender<Response>,
    /// Permit to be dropped when the request is handled, even if the response follows later. The number of permits
    /// bounds the requests that are read but not handled.
    pub permit: OwnedSemaphorePermit,
}

/// Accepts connections until the process ends. Connections beyond `max_connections` get a 503 response and are closed.
/// `open_count` publishes the number of open connections. At most `max_unhandled` requests are read but not handled.
pub async fn serve(
    listener: TcpListener,
    max_connections: usize,
    max_unhandled: usize,
    requests: mpsc::Sender<Incoming>,
    open_count: watch::Sender<usize>,
) {
    let (closed_tx, mut closed_rx) = mpsc::unbounded_channel::<()>();
    // Bounds how many simultaneous requests are read at a time. Otherwise the calls of this process to the store would
    // wait behind all of them.
    let permits = Arc::new(Semaphore::new(max_unhandled));
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
                    let (requests, permits) = (requests.clone(), permits.clone());
                    let closed = closed_tx.clone();
                    let is_rejected = open > max_connections;
                    tokio::spawn(async move {
                        if is_rejected {
                            reject_connection(stream).await;
                        } else {
                            serve_connection(stream, requests, permits).await;
                        }
                        let _ = closed.send(());
                    });
                }
                Err(error) => {
                    tracing::info!(%error, "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }
}

async fn reject_connection(mut stream: TcpStream) {
    let bytes = encode_response(&Response::retry_later(503), true);
    let _ = timeout(READ_TIMEOUT, stream.write_all(&bytes)).await;
}

/// Reads the bytes that have already arrived; returns `None` if there are none. `try_read_buf` would need one more
/// system call per message to detect that the stream is empty.
async fn read_available(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<std::io::Result<usize>> {
    buffer.reserve(READ_BUFFER_BYTES);
    let mut read = std::pin::pin!(stream.read_buf(buffer));
    let poll = std::future::poll_fn(|cx| Poll::Ready(read.as_mut().poll(cx))).await;
    match poll {
        Poll::Ready(read) => Some(read),
        Poll::Pending => None,
    }
}

/// Result of reading one request from a connection.
enum Received {
    /// Request, whether the client asks to close the connection after it, and the permit to handle it.
    Request { request: Request, close: bool, permit: OwnedSemaphorePermit },
    /// Bytes that are not a valid request.
    Invalid(CodecError),
    /// The connection was closed, or a timeout expired.
    Closed,
}

async fn receive(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    permits: &Arc<Semaphore>,
) -> Received {
    let mut permit: Option<OwnedSemaphorePermit> = None;
    loop {
        match (parse_request(buffer), permit.take()) {
            (Ok(Parsed::Done((request, close), used)), Some(permit)) => {
                buffer.drain(..used);
                return Received::Request { request, close, permit };
            }
            // The whole request arrived together with the previous one.
            (Ok(Parsed::Done(..)), None) => permit = permits.clone().acquire_owned().await.ok(),
            (Err(error), _) => return Received::Invalid(error),
            (Ok(Parsed::Partial), unused_permit) => {
                // A partial request must not delay other connections.
                drop(unused_permit);
                let wait = if buffer.is_empty() { IDLE_TIMEOUT } else { READ_TIMEOUT };
                let Ok(Ok(())) = timeout(wait, stream.readable()).await else {
                    return Received::Closed;
                };
                permit = permits.clone().acquire_owned().await.ok();
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
    permits: Arc<Semaphore>,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let (response, close) = match receive(&mut stream, &mut buffer, &permits).await {
            Received::Closed => return,
            Received::Request { request, close, permit } => {
                let response = handle(&requests, request, permit).await;
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
        // Frees the buffer, so an idle connection uses no memory for it.
        if buffer.is_empty() {
            buffer = Vec::new();
        }
    }
}

async fn handle(
    requests: &mpsc::Sender<Incoming>,
    request: Request,
    permit: OwnedSemaphorePermit,
) -> Response {
    let (reply, response) = oneshot::channel();
    match requests.try_send(Incoming { request, reply, permit }) {
        Ok(()) => response.await.unwrap_or_else(|_| Response::retry_later(503)),
        Err(_) => Response::retry_later(503),
    }
}
