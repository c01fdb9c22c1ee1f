//! Receiving side of the mesh.

use super::framing::{FRAME_MAX, decode_body};
use super::message::PeerMessage;
use crate::constants::{IDLE_TIMEOUT, READ_BUFFER_BYTES, READ_TIMEOUT};
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Pause after a failed accept, which usually means that the process has no free file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Receives messages from every peer that connects. Dropping this future ends the tasks of all connections.
pub async fn serve(listener: TcpListener, received: mpsc::UnboundedSender<PeerMessage>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(receive_frames(stream, received.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Receives and acknowledges frames until the connection fails or the receiver of messages is dropped.
async fn receive_frames(
    stream: TcpStream,
    received: mpsc::UnboundedSender<PeerMessage>,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    // Length and body usually arrive in one packet, so a buffered read needs one system call for both.
    let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    loop {
        let length = timeout(IDLE_TIMEOUT, stream.read_u32()).await?? as usize;
        if length > FRAME_MAX {
            return Err(ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length];
        timeout(READ_TIMEOUT, stream.read_exact(&mut body)).await??;
        let message = decode_body(&body).map_err(|_| ErrorKind::InvalidData)?;
        if received.send(message).is_err() {
            return Ok(());
        }
        stream.write_all(&[1]).await?;
    }
}
