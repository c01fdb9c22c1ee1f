//! Sizes of stored values as the store counts them (in JSON), and texts cut into chunks that keep
//! to its limit.

use crate::schema::keys::key_hash;
use crate::wire::{JobSpec, StoreValue};
use serde::Serialize;

/// A job's description as texts that fit into one value each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedSpec {
    /// Names the chunks in their keys. The same description has the same hash in every process, so
    /// that a submission begun at one controller goes on at another.
    pub hash: String,
    /// The texts, in order.
    pub chunks: Vec<String>,
}

/// A record as the value of a key.
pub fn to_value<T: Serialize>(record: &T) -> StoreValue {
    // Our own records always serialize; Null would be refused on reading.
    StoreValue::serialized(record).unwrap_or(StoreValue::Null)
}

/// Bytes that one character takes in JSON at the most, whichever way it is escaped.
fn escaped_len(c: char) -> usize {
    match c {
        '"' | '\\' => 2,
        ' '..='~' => 1,
        _ => c.len_utf16() * 6,
    }
}

/// Bytes of a value in JSON, in which the limits are counted.
pub fn json_len<T: Serialize>(value: &T) -> usize {
    // What is written as JSON is escaped already but for what is not ASCII.
    let text = serde_json::to_string(value).unwrap_or_default();
    text.chars().map(|c| if c.is_ascii() { 1 } else { c.len_utf16() * 6 }).sum()
}

/// Cuts a text into chunks of at most `max_len` bytes each, as JSON spells them.
pub fn split_text(text: &str, max_len: usize) -> Vec<String> {
    let mut chunks = vec![String::new()];
    let mut room = max_len;
    for c in text.chars() {
        let size = escaped_len(c);
        if size > room {
            chunks.push(String::new());
            room = max_len;
        }
        room -= size.min(room);
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(c);
        }
    }
    chunks
}

/// A description in chunks of at most `value_max` bytes.
pub fn encode_spec(spec: &JobSpec, value_max: usize) -> EncodedSpec {
    let text = serde_json::to_string(spec).unwrap_or_default();
    let hash = key_hash(&(&text, value_max));
    // The quotes of a text are part of its value.
    EncodedSpec { hash, chunks: split_text(&text, value_max.saturating_sub(2)) }
}

/// The description whose chunks these are, if they are whole.
pub fn decode_spec<'a>(chunks: impl Iterator<Item = &'a str>) -> Option<JobSpec> {
    serde_json::from_str(&chunks.collect::<String>()).ok()
}

#[cfg(test)]
mod tests;
