//! Server-sent events with one JSON value each.

use std::result;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest event accepted.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

const SEPARATOR: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data: ";

/// Result of decoding events.
pub type Result<T> = result::Result<T, SseError>;

quick_error! {
    /// Reason why bytes are not server-sent events of the expected shape.
    #[derive(Debug)]
    pub enum SseError {
        /// An event does not end within the limit.
        TooLarge {
            display("an event has at most {} bytes", EVENT_LIMIT_BYTES)
        }
        /// An event's data is not the expected JSON.
        Malformed(error: serde_json::Error) {
            from()
            source(error)
            display("malformed event: {}", error)
        }
    }
}

/// Writes one event.
///
/// # Errors
///
/// [`SseError::Malformed`] when `event` can't be written as JSON.
pub fn encode_event<T: Serialize>(event: &T) -> Result<Vec<u8>> {
    let mut bytes = DATA_PREFIX.to_vec();
    serde_json::to_writer(&mut bytes, event)?;
    bytes.extend_from_slice(SEPARATOR);
    Ok(bytes)
}

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    /// Adds bytes as they came from the socket.
    ///
    /// # Errors
    ///
    /// [`SseError::TooLarge`] when more than one event's most bytes wait without an end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > EVENT_LIMIT_BYTES && find_separator(&self.buffer).is_none() {
            return Err(SseError::TooLarge);
        }
        Ok(())
    }

    /// Takes the next whole event; events without data, such as comments, are passed over.
    ///
    /// # Errors
    ///
    /// [`SseError::Malformed`] when its data is not the expected JSON.
    pub fn pop<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        while let Some(end) = find_separator(&self.buffer) {
            let rest = self.buffer.split_off(end + SEPARATOR.len());
            let event = std::mem::replace(&mut self.buffer, rest);

            if let Some(data) = find_data(&event[..end]) {
                return Ok(Some(serde_json::from_slice(data)?));
            }
        }
        Ok(None)
    }
}

fn find_separator(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(SEPARATOR.len())
        .position(|window| window == SEPARATOR)
}

fn find_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(DATA_PREFIX))
}
