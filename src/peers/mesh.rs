//! The mesh: messages between controllers, sent as postcard frames over TCP.
//!
//! Each controller dials every other one and only writes to that connection. The other side acknowledges each frame
//! with one byte, so that a dead connection is detected and redialled. While the network between two controllers is
//! cut, messages are sent as text through the key-value store.

mod chunking;
mod dialer;
mod framing;
mod listener;
mod message;

pub use chunking::{ChunkAssembler, split_into_chunks};
pub use dialer::{TrafficCounters, dial};
pub use framing::{FrameError, decode_text, encode_text};
pub use listener::serve;
pub use message::{MESH_PROTOCOL, PeerCapabilities, PeerMessage};

#[cfg(test)]
mod tests;
