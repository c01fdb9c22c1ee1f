//! The mesh: messages between controllers, as postcard frames over TCP.
//!
//! Each controller dials every other one and only writes on that connection; the other side
//! acknowledges each frame with one byte, so that a dead connection is noticed and redialled. Where the
//! network between two controllers is cut, a message travels as text by way of the key-value store.

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
