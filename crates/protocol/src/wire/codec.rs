//! CBOR, and bytes as text.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes that are not the message that was expected.
#[derive(Debug, thiserror::Error)]
#[error("not the expected CBOR")]
pub struct WireError;

/// Reads exactly one CBOR item; anything behind it is an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(|_| WireError)?;
    if rest.is_empty() { Ok(value) } else { Err(WireError) }
}

/// The CBOR of a message.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory fails only for types that refuse to serialize; ours never do.
    let written = ciborium::into_writer(value, &mut out);
    debug_assert!(written.is_ok());
    out
}

/// Bytes as hexadecimal text: values of the store hold nothing binary.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The reverse of [`hex`]; `None` for anything that is not hexadecimal.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| Some(c.to_digit(16)? as u8)).collect();
    Some(digits?.chunks(2).map(|pair| pair.iter().fold(0, |a, d| a << 4 | d)).collect())
}
