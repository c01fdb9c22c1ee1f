//! Sizes of stored values as the store counts them (in JSON), and the splitting of texts into chunks
//! within the store's size limit.

use crate::schema::keys::key_hash;
use crate::wire::{JobSpec, StoreValue};
use serde::Serialize;

/// Job description, split into texts that each fit into one stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedSpec {
    /// Hash of the description, used in the keys of the chunks. It is the same in every process, so
    /// that a submission begun at one controller can be continued at another.
    pub hash: String,
    /// Chunks of the encoded description, in order.
    pub chunks: Vec<String>,
}

/// Encodes a record as the value of a key.
pub fn to_value<T: Serialize>(record: &T) -> StoreValue {
    // Records of this program always serialize. Readers would reject Null as unreadable.
    StoreValue::serialized(record).unwrap_or(StoreValue::Null)
}

/// Returns the maximum number of bytes of one character in JSON, over all ways to escape it.
fn escaped_len(c: char) -> usize {
    match c {
        '"' | '\\' => 2,
        ' '..='~' => 1,
        _ => c.len_utf16() * 6,
    }
}

/// Returns the size of a value in bytes of JSON, the unit of the store's limits.
pub fn json_len<T: Serialize>(value: &T) -> usize {
    // serde_json escapes everything necessary but leaves characters beyond ASCII unescaped.
    let text = serde_json::to_string(value).unwrap_or_default();
    text.chars().map(|c| if c.is_ascii() { 1 } else { c.len_utf16() * 6 }).sum()
}

/// Splits a text into chunks of at most `max_len` bytes each, counted as escaped JSON.
pub fn split_text(text: &str, max_len: usize) -> Vec<String> {
    let mut chunks = vec![String::new()];
    let mut remaining_len = max_len;
    for c in text.chars() {
        let size = escaped_len(c);
        if size > remaining_len {
            chunks.push(String::new());
            remaining_len = max_len;
        }
        remaining_len -= size.min(remaining_len);
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(c);
        }
    }
    chunks
}

/// Encodes a description in chunks of at most `value_max` bytes of JSON each.
pub fn encode_spec(spec: &JobSpec, value_max: usize) -> EncodedSpec {
    let text = serde_json::to_string(spec).unwrap_or_default();
    let hash = key_hash(&(&text, value_max));
    // The two quotes around a JSON string count as part of the value.
    EncodedSpec { hash, chunks: split_text(&text, value_max.saturating_sub(2)) }
}

/// Decodes a description from its chunks, or returns `None` if they are incomplete.
pub fn decode_spec<'a>(chunks: impl Iterator<Item = &'a str>) -> Option<JobSpec> {
    serde_json::from_str(&chunks.collect::<String>()).ok()
}

#[cfg(test)]
mod tests;
