//! CBOR encoding of frames, with a size limit.

use std::result;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest frame accepted from a peer, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Deepest nesting accepted in a frame.
const NESTING_LIMIT: usize = 32;

/// Result of encoding or decoding a frame.
pub type Result<T> = result::Result<T, CodecError>;

quick_error! {
    /// Reason why bytes are not a frame.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CodecError {
        /// The frame is larger than [`FRAME_LIMIT_BYTES`].
        TooLarge(length: usize) {
            display("a frame has at most {} bytes, this one has {}", FRAME_LIMIT_BYTES, length)
        }
        /// The bytes are not CBOR of the expected shape.
        Malformed(reason: Box<str>) {
            display("malformed frame: {}", reason)
        }
        /// Bytes follow the frame.
        Trailing(length: usize) {
            display("{} bytes follow the frame", length)
        }
    }
}

/// Encodes a frame.
///
/// # Errors
///
/// [`CodecError::TooLarge`] when the encoded frame passes the limit.
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
/// Any [`CodecError`]; the bytes come from a peer and may be anything.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    check_size(bytes.len())?;
    let mut rest = bytes;
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut rest, NESTING_LIMIT)
        .map_err(|error| malformed(&error))?;

    match rest.len() {
        0 => Ok(frame),
        length => Err(CodecError::Trailing(length)),
    }
}

fn check_size(length: usize) -> Result<()> {
    if length > FRAME_LIMIT_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    Ok(())
}

fn malformed(error: &dyn std::fmt::Display) -> CodecError {
    CodecError::Malformed(error.to_string().into())
}
