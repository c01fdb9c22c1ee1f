//! Splitting of messages sent through the key-value store into chunks that each fit into a stored value.

use crate::schema::encoding;
use std::collections::BTreeMap;

/// Size reserved for the header before the text of a chunk, in bytes.
const CHUNK_HEADER_BYTES: usize = 40;

/// Splits a message's text into chunks of at most `value_max` bytes: `<sequence number>.<count>.<index>:<text>`.
pub fn split_into_chunks(text: &str, seq: u64, value_max: usize) -> Vec<String> {
    let size = value_max.saturating_sub(CHUNK_HEADER_BYTES).max(1);
    let chunks = encoding::split_text(text, size);
    let count = chunks.len();
    let numbered = chunks.into_iter().enumerate();
    numbered.map(|(index, chunk)| format!("{seq}.{count}.{index}:{chunk}")).collect()
}

/// Reassembles the chunks of one sender's newest message.
#[derive(Debug, Default)]
pub struct ChunkAssembler {
    seq: u64,
    chunks: BTreeMap<usize, String>,
}

impl ChunkAssembler {
    /// Adds a chunk and returns the message's text once all of its chunks have arrived.
    pub fn push(&mut self, chunk: &str) -> Option<String> {
        let (header, text) = chunk.split_once(':')?;
        let mut numbers = header.split('.').map(str::parse::<u64>);
        let seq = numbers.next()?.ok()?;
        let count = numbers.next()?.ok()?;
        let index = numbers.next()?.ok()?;
        if seq != self.seq {
            // A restarted sender may continue from a lower number, so any other number means a newer message.
            *self = ChunkAssembler { seq, chunks: BTreeMap::new() };
        }
        self.chunks.insert(index as usize, text.to_owned());
        (self.chunks.len() as u64 == count)
            .then(|| self.chunks.values().map(String::as_str).collect())
    }
}
