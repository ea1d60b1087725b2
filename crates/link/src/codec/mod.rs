//! CBOR encoding of frames and lists of frames, with a size limit.

use std::result;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of an encoded frame or list of frames, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Maximum depth of nested values in a frame from a peer.
const MAX_NESTING_DEPTH: usize = 32;

/// Result of encoding or decoding a frame.
pub type Result<T> = result::Result<T, CodecError>;

quick_error! {
    /// Reason why a frame can't be encoded or decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CodecError {
        /// The frame is larger than [`MAX_FRAME_BYTES`].
        TooLarge(length: usize) {
            display("a frame has at most {} bytes, this one has {}", MAX_FRAME_BYTES, length)
        }
        /// The bytes are not CBOR, or don't have the structure of the expected frame.
        Malformed(reason: Box<str>) {
            display("malformed frame: {}", reason)
        }
        /// Bytes follow the frame.
        TrailingBytes(length: usize) {
            display("{} extra bytes follow the frame", length)
        }
    }
}

/// Encodes a frame.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] if the encoded frame exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(frame: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).map_err(|error| malformed(&error))?;

    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes a frame.
///
/// # Errors
///
/// May return any [`CodecError`], as the bytes come from a peer and are not trusted.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    check_size(bytes.len())?;
    let mut rest = bytes;
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING_DEPTH)
        .map_err(|error| malformed(&error))?;

    match rest.len() {
        0 => Ok(frame),
        length => Err(CodecError::TrailingBytes(length)),
    }
}

fn check_size(length: usize) -> Result<()> {
    if length > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    Ok(())
}

fn malformed(error: &dyn std::fmt::Display) -> CodecError {
    CodecError::Malformed(error.to_string().into())
}
