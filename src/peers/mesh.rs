//! Messages between controllers: postcard frames over TCP.
//!
//! Each controller dials every other one and only writes on that connection; the other side
//! acknowledges each frame with one byte, so that a dead connection is noticed and redialled.

use crate::constants::{
    BODY_MAX, CONNECT_TIMEOUT, IDLE_TIMEOUT, READ_AT_ONCE, READ_TIMEOUT, STATE_RETRY,
};
use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use crate::peers::heartbeat_relay::{RelayedHeartbeat, Verdict};
use crate::peers::membership::Membership;
use crate::wire;
use crate::workers::command_delivery::{Delivery, DeliveryResult};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// Pause before more of a message is written to a peer whose connection is full.
pub const FULL_PAUSE: Duration = Duration::from_millis(5);
/// Bytes. Acknowledgements read at once, one byte each: more than a peer can owe before its connection is given up.
pub const ACKNOWLEDGEMENTS_AT_ONCE: usize = 64;

/// Count. Which of the messages between controllers a process understands, told at the end of its frames: 1 brought
/// reports that are passed on.
pub const MESH_PROTOCOL: u8 = 1;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent by everybody, twice a second.
    PeerStatus {
        from: ControllerId,
        seq: u64,
        /// A leader's token: with it goes the question for a pledge.
        leading: Option<FencingToken>,
        state_lost: bool,
        /// The newest grant that its sender has, how long it is up, and which workers it
        /// answered on a leader's behalf how many milliseconds ago.
        ack: (FencingToken, u64),
        up_ms: u64,
        answered_for_leader: Vec<(MachineId, u64)>,
        /// How many milliseconds ago a worker last reported to its sender.
        worker_ms: Option<u64>,
        /// What else its sender tells, behind the message in its frame: versions before this one read over it.
        #[serde(skip)]
        extra: PeerExtra,
    },
    /// A leader's leave to answer reports on its behalf where it is out of reach, for all machines
    /// but those barred, and for those lent even where it is in reach.
    Grant {
        seq: u64,
        token: FencingToken,
        number: u64,
        barred: Vec<MachineId>,
        lent: Vec<MachineId>,
    },
    /// The promise not to campaign for a while, and what its giver told users to be cancelled.
    Pledge { from: ControllerId, seq: u64, token: FencingToken, cancelled: Vec<JobId> },
    /// How many tasks of each job run, for answers to users.
    Running { token: FencingToken, counts: Vec<(JobId, u32)> },
    /// Users ask to cancel these jobs: whoever may answer workers is asked to promise to stop them.
    /// Sent only to controllers that show heartbeats, since older versions don't know it.
    Cancelling { from: ControllerId, seq: u64, jobs: Vec<JobId> },
    /// The promise, under the giver's heartbeat; a leader also tells in which zones they may have
    /// tasks, and by which leader key.
    Promised {
        from: ControllerId,
        seq: u64,
        under: Revision,
        jobs: Vec<JobId>,
        placed: Option<(Revision, Vec<Vec<String>>)>,
    },
    /// A leader's leave to pass reports on to it, for a short term, and who takes whose. No members: none do.
    /// This and what follows are sent only to who tells that it understands them.
    Sharing { from: ControllerId, token: FencingToken, members: Membership },
    /// Reports of workers, for the leader with that token.
    Reports { from: ControllerId, token: FencingToken, batch: u64, reports: Vec<RelayedHeartbeat> },
    /// What that leader says to the reports of a batch, by their place in it.
    Verdicts { token: FencingToken, batch: u64, verdicts: Vec<(u32, Verdict)> },
    /// Commands of a leader that its receiver shall send to workers.
    Deliver { from: ControllerId, token: FencingToken, commands: Vec<Delivery> },
    /// What came of them.
    Delivered { token: FencingToken, results: Vec<(u64, DeliveryResult)> },
}

/// What a controller tells beside its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PeerExtra {
    /// [`MESH_PROTOCOL`] of the sender; 0: it tells nothing.
    pub protocol: u8,
    /// Thousandths of its public sockets that are free.
    pub room: u16,
}

/// Bytes. A frame larger than this is a fault of the sender.
const FRAME_MAX: usize = BODY_MAX;

fn frame(message: &PeerMessage) -> Option<Vec<u8>> {
    let mut body = postcard::to_stdvec(message).ok()?;
    if let PeerMessage::PeerStatus { extra, .. } = message {
        // Versions that know of nothing behind a message read over it.
        body.extend(postcard::to_stdvec(extra).ok()?);
    }
    if body.len() > FRAME_MAX {
        return None;
    }
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    Some(out)
}

/// The message of a frame's body.
fn read_body(body: &[u8]) -> Option<PeerMessage> {
    let (mut message, rest) = postcard::take_from_bytes::<PeerMessage>(body).ok()?;
    if let PeerMessage::PeerStatus { extra, .. } = &mut message {
        *extra = postcard::from_bytes(rest).unwrap_or_default();
    }
    Some(message)
}

/// A message as text, for the way over the store.
pub fn to_text(message: &PeerMessage) -> Option<String> {
    Some(wire::hex(&postcard::to_stdvec(message).ok()?))
}

pub fn from_text(text: &str) -> Option<PeerMessage> {
    postcard::from_bytes(&wire::unhex(text)?).ok()
}

/// A message's text in pieces, each small enough for a value: `<seq>.<count>.<number>:<text>`.
pub fn in_pieces(text: &str, seq: u64, value_max: usize) -> Vec<String> {
    let size = value_max.saturating_sub(PIECE_HEAD).max(1);
    let pieces = crate::store::records::split_text(text, size);
    let count = pieces.len();
    let numbered = pieces.into_iter().enumerate();
    numbered.map(|(n, piece)| format!("{seq}.{count}.{n}:{piece}")).collect()
}

/// Bytes. What stands before the text in a piece.
const PIECE_HEAD: usize = 40;

/// Pieces of the newest message of one sender.
#[derive(Debug, Default)]
pub struct Pieces {
    seq: u64,
    found: BTreeMap<usize, String>,
}

impl Pieces {
    /// Takes a piece in; gives the message's text once all its pieces are there.
    pub fn take(&mut self, piece: &str) -> Option<String> {
        let (head, text) = piece.split_once(':')?;
        let mut head = head.split('.').map(str::parse::<u64>);
        let (seq, count, n) = (head.next()?.ok()?, head.next()?.ok()?, head.next()?.ok()?);
        if seq != self.seq {
            // Of a restarted sender, too, the newest that comes is the one that counts.
            *self = Pieces { seq, found: BTreeMap::new() };
        }
        self.found.insert(n as usize, text.to_owned());
        (self.found.len() as u64 == count)
            .then(|| self.found.values().map(String::as_str).collect())
    }
}

/// Reads frames from whoever dials in.
pub async fn serve(listener: TcpListener, to: mpsc::UnboundedSender<PeerMessage>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let to = to.clone();
                tokio::spawn(async move {
                    let _ = read_frames(stream, to).await;
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn read_frames(
    stream: TcpStream,
    to: mpsc::UnboundedSender<PeerMessage>,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    // Length and body come in one packet as a rule: one system call for both.
    let mut stream = BufReader::with_capacity(READ_AT_ONCE, stream);
    loop {
        let length = timeout(IDLE_TIMEOUT, stream.read_u32()).await?? as usize;
        if length > FRAME_MAX {
            return Ok(());
        }
        let mut body = vec![0; length];
        timeout(READ_TIMEOUT, stream.read_exact(&mut body)).await??;
        let Some(message) = read_body(&body) else { return Ok(()) };
        if to.send(message).is_err() {
            return Ok(());
        }
        stream.write_all(&[1]).await?;
    }
}

/// A connection to a peer on which nothing is waited for: acknowledgements are read when the next message is
/// written, and until then wake nobody. Each used to cost its receiver a wake-up, the dearest thing an idle
/// controller does. The runtime would be woken for a stream of its own, so it is taken from it.
struct Link {
    stream: std::net::TcpStream,
    /// When messages were written that are not acknowledged yet.
    unheard: VecDeque<Instant>,
}

impl Link {
    fn new(stream: TcpStream) -> std::io::Result<Link> {
        Ok(Link { stream: stream.into_std()?, unheard: VecDeque::new() })
    }

    /// Writes a message, if the peer acknowledged those that were written a while ago.
    async fn send(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        self.read_acknowledgements()?;
        let late = |at: &Instant| at.elapsed() > CONNECT_TIMEOUT;
        if self.unheard.front().is_some_and(late) {
            return Err(ErrorKind::TimedOut.into());
        }
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                // Much larger than most, or its peer reads nothing.
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(FULL_PAUSE).await,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.unheard.push_back(Instant::now());
        Ok(())
    }

    fn read_acknowledgements(&mut self) -> std::io::Result<()> {
        let mut room = [0; ACKNOWLEDGEMENTS_AT_ONCE];
        while !self.unheard.is_empty() {
            match self.stream.read(&mut room) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => drop(self.unheard.drain(..n.min(self.unheard.len()))),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Frames and bytes that were written to a peer since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Written {
    pub frames: u64,
    pub bytes: u64,
}

/// Writes what it is given to one peer, redialling as needed; what can't be sent is dropped. Shows how much it wrote.
pub async fn dial(
    address: SocketAddr,
    mut from: mpsc::Receiver<PeerMessage>,
    shown: watch::Sender<Written>,
) {
    loop {
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            // What waited meanwhile is old news.
            tokio::time::sleep(STATE_RETRY).await;
            while from.try_recv().is_ok() {}
            if from.is_closed() {
                return;
            }
            continue;
        };
        let _ = stream.set_nodelay(true);
        let Ok(mut link) = Link::new(stream) else { continue };
        loop {
            let Some(message) = from.recv().await else { return };
            let Some(bytes) = frame(&message) else { continue };
            if !matches!(timeout(CONNECT_TIMEOUT, link.send(&bytes)).await, Ok(Ok(()))) {
                break;
            }
            shown.send_modify(|written| {
                written.frames += 1;
                written.bytes += bytes.len() as u64;
            });
        }
    }
}

#[cfg(test)]
mod tests;
