//! Encoding of messages. A frame is a big-endian `u32` length followed by a postcard body.

use super::message::{PeerCapabilities, PeerMessage};
use crate::constants::BODY_MAX;
use crate::wire;

/// Maximum size of a frame's body, in bytes. The listener rejects a larger frame as an error of its sender.
pub(super) const FRAME_MAX: usize = BODY_MAX;

/// Error in encoding or decoding a message.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The bytes are not the postcard encoding of a message, or the message cannot be encoded.
    #[error("cannot encode or decode a message between controllers: {0}")]
    Codec(#[from] postcard::Error),
    /// The text is not hexadecimal.
    #[error("the text of a message is not hexadecimal")]
    NotHexadecimal,
    /// The body exceeds the maximum size of a frame.
    #[error("a message of {bytes} bytes exceeds the frame limit of {FRAME_MAX} bytes")]
    TooLarge {
        /// Size of the body, in bytes.
        bytes: usize,
    },
}

pub(super) fn encode_frame(message: &PeerMessage) -> Result<Vec<u8>, FrameError> {
    let mut body = postcard::to_stdvec(message)?;
    if let PeerMessage::PeerStatus { capabilities, .. } = message {
        // Earlier versions read only the message and ignore the capabilities after it.
        body.extend(postcard::to_stdvec(capabilities)?);
    }
    if body.len() > FRAME_MAX {
        return Err(FrameError::TooLarge { bytes: body.len() });
    }
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    Ok(frame)
}

pub(super) fn decode_body(body: &[u8]) -> Result<PeerMessage, FrameError> {
    let (mut message, rest) = postcard::take_from_bytes::<PeerMessage>(body)?;
    if let PeerMessage::PeerStatus { capabilities, .. } = &mut message {
        *capabilities = postcard::from_bytes(rest).unwrap_or(PeerCapabilities::default());
    }
    Ok(message)
}

/// Encodes a message as text, to be sent through the key-value store.
pub fn encode_text(message: &PeerMessage) -> Result<String, FrameError> {
    Ok(wire::hex(&postcard::to_stdvec(message)?))
}

/// Decodes the message from a text that [`encode_text`] produced.
pub fn decode_text(text: &str) -> Result<PeerMessage, FrameError> {
    let body = wire::unhex(text).ok_or(FrameError::NotHexadecimal)?;
    Ok(postcard::from_bytes(&body)?)
}
