//! Encoding of messages: a frame is a big-endian `u32` length and a postcard body.

use super::message::{PeerCapabilities, PeerMessage};
use crate::constants::BODY_MAX;
use crate::wire;

/// Bytes. A larger frame is a fault of its sender.
pub(super) const FRAME_MAX: usize = BODY_MAX;

/// Why a message cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// It is not the postcard form of a message.
    #[error("not a message between controllers: {0}")]
    Codec(#[from] postcard::Error),
    /// A text that is not hexadecimal.
    #[error("a message's text is not hexadecimal")]
    NotHexadecimal,
    /// It exceeds the limit of a frame.
    #[error("a message of {bytes} bytes exceeds the limit of a frame, {FRAME_MAX} bytes")]
    TooLarge {
        /// Bytes of its body.
        bytes: usize,
    },
}

/// The frame that carries a message.
pub(super) fn encode_frame(message: &PeerMessage) -> Result<Vec<u8>, FrameError> {
    let mut body = postcard::to_stdvec(message)?;
    if let PeerMessage::PeerStatus { extra, .. } = message {
        // Earlier versions ignore what follows the message.
        body.extend(postcard::to_stdvec(extra)?);
    }
    if body.len() > FRAME_MAX {
        return Err(FrameError::TooLarge { bytes: body.len() });
    }
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// The message in a frame's body.
pub(super) fn decode_body(body: &[u8]) -> Result<PeerMessage, FrameError> {
    let (mut message, rest) = postcard::take_from_bytes::<PeerMessage>(body)?;
    if let PeerMessage::PeerStatus { extra, .. } = &mut message {
        *extra = postcard::from_bytes(rest).unwrap_or(PeerCapabilities::default());
    }
    Ok(message)
}

/// A message as text, for the way by the key-value store.
pub fn encode_text(message: &PeerMessage) -> Result<String, FrameError> {
    Ok(wire::hex(&postcard::to_stdvec(message)?))
}

/// The message of a text made by [`encode_text`].
pub fn decode_text(text: &str) -> Result<PeerMessage, FrameError> {
    let body = wire::unhex(text).ok_or(FrameError::NotHexadecimal)?;
    Ok(postcard::from_bytes(&body)?)
}
