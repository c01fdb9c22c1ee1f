//! Sending side of the mesh.

use super::framing::encode_frame;
use super::message::PeerMessage;
use crate::constants::{CONNECT_TIMEOUT, RETRY_PAUSE};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// Pause before the rest of a frame is written to a connection whose send buffer is full.
const WRITE_RETRY: Duration = Duration::from_millis(5);
/// Size of the buffer for acknowledgements, in bytes. Each is one byte; a peer never has so many outstanding.
const ACK_BUFFER_BYTES: usize = 64;

/// Traffic written to a peer since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Number of frames written.
    pub frames: u64,
    /// Total size of these frames, in bytes.
    pub bytes: u64,
}

/// Sends messages to one peer, redialling as needed, until the channel is closed. A message that cannot be sent is
/// dropped, because its sender will send newer ones.
pub async fn dial(
    address: SocketAddr,
    mut outgoing: mpsc::Receiver<PeerMessage>,
    traffic: watch::Sender<TrafficCounters>,
) {
    while !(outgoing.is_closed() && outgoing.is_empty()) {
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            sleep(RETRY_PAUSE).await;
            // Messages queued in the meantime are outdated.
            while outgoing.try_recv().is_ok() {}
            continue;
        };
        let _ = stream.set_nodelay(true);
        let Ok(connection) = PeerConnection::new(stream) else { continue };
        send_messages(connection, &mut outgoing, &traffic).await;
    }
}

/// Sends messages on one connection until it fails or the channel is closed.
async fn send_messages(
    mut connection: PeerConnection,
    outgoing: &mut mpsc::Receiver<PeerMessage>,
    traffic: &watch::Sender<TrafficCounters>,
) {
    while let Some(message) = outgoing.recv().await {
        let frame = match encode_frame(&message) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(%error, "dropped a peer message that cannot be encoded");
                continue;
            }
        };
        if !matches!(timeout(CONNECT_TIMEOUT, connection.send(&frame)).await, Ok(Ok(()))) {
            return;
        }
        traffic.send_modify(|counters| {
            counters.frames += 1;
            counters.bytes += frame.len() as u64;
        });
    }
}

/// Connection to a peer, used to send messages only. Acknowledgements are read when the next frame is written. The
/// stream is deregistered from the runtime, which would otherwise wake up for each acknowledgement.
struct PeerConnection {
    stream: std::net::TcpStream,
    /// Times at which the frames that are not yet acknowledged were written, oldest first.
    unacknowledged: VecDeque<Instant>,
}

impl PeerConnection {
    fn new(stream: TcpStream) -> io::Result<PeerConnection> {
        Ok(PeerConnection { stream: stream.into_std()?, unacknowledged: VecDeque::new() })
    }

    /// Writes a frame, or fails if an earlier one was not acknowledged within `CONNECT_TIMEOUT`.
    async fn send(&mut self, mut frame: &[u8]) -> io::Result<()> {
        self.read_acknowledgements()?;
        let overdue = |sent: &Instant| sent.elapsed() > CONNECT_TIMEOUT;
        if self.unacknowledged.front().is_some_and(overdue) {
            return Err(ErrorKind::TimedOut.into());
        }
        while !frame.is_empty() {
            match self.stream.write(frame) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => frame = &frame[written..],
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(WRITE_RETRY).await,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.unacknowledged.push_back(Instant::now());
        Ok(())
    }

    fn read_acknowledgements(&mut self) -> io::Result<()> {
        let mut buffer = [0; ACK_BUFFER_BYTES];
        while !self.unacknowledged.is_empty() {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    drop(self.unacknowledged.drain(..count.min(self.unacknowledged.len())))
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
