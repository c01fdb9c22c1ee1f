//! Encoding of messages as CBOR, and of bytes as hexadecimal text.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Error for bytes that are not exactly one CBOR item of the expected type.
#[derive(Debug, thiserror::Error)]
#[error("not a valid CBOR message of the expected type")]
pub struct WireError;

/// Decodes exactly one CBOR item; trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(|_| WireError)?;
    if rest.is_empty() { Ok(value) } else { Err(WireError) }
}

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory fails only if the type's `Serialize` fails, and that of our messages does not.
    let written = ciborium::into_writer(value, &mut out);
    debug_assert!(written.is_ok());
    out
}

/// Encodes bytes as hexadecimal text, because values in the store cannot contain binary data.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes the text of [`hex`]; returns `None` if a character is not a hexadecimal digit.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| Some(c.to_digit(16)? as u8)).collect();
    Some(digits?.chunks(2).map(|pair| pair.iter().fold(0, |a, d| a << 4 | d)).collect())
}
