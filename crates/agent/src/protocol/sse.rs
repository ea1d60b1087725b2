//! Encoding and decoding of server-sent events with one JSON value each.

use std::result;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum number of bytes buffered without a complete event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

const SEPARATOR: &[u8] = b"\n\n";
const DATA_PREFIX: &str = "data: ";
const ID_PREFIX: &str = "id: ";
const NAME_PREFIX: &str = "event: ";

/// Server-sent event with undecoded data.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// Event id, by which a stream is resumed.
    pub id: Option<Box<str>>,
    /// Event name; empty if the event has none.
    pub name: Box<str>,
    /// Event data; empty for a comment.
    pub data: Box<str>,
}

/// Result of decoding events.
pub type Result<T> = result::Result<T, SseError>;

quick_error! {
    /// Reason why bytes can't be decoded as server-sent events of the expected type.
    #[derive(Debug)]
    pub enum SseError {
        /// More bytes than the limit arrived without a complete event.
        TooLarge {
            display("no complete server-sent event within {} bytes", MAX_EVENT_BYTES)
        }
        /// The data of an event is not the expected JSON.
        Malformed(error: serde_json::Error) {
            from()
            source(error)
            display("malformed server-sent event: {}", error)
        }
    }
}

/// Encodes one event.
///
/// # Errors
///
/// [`SseError::Malformed`] if `event` can't be serialised as JSON.
pub fn encode_event<T: Serialize>(event: &T) -> Result<Vec<u8>> {
    let mut bytes = DATA_PREFIX.as_bytes().to_vec();
    serde_json::to_writer(&mut bytes, event)?;
    bytes.extend_from_slice(SEPARATOR);
    Ok(bytes)
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: Vec<u8>,
}

impl EventDecoder {
    /// Appends bytes read from the socket.
    ///
    /// # Errors
    ///
    /// [`SseError::TooLarge`] if the buffer exceeds the size limit without a complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES && find_separator(&self.buffer).is_none() {
            return Err(SseError::TooLarge);
        }
        Ok(())
    }

    /// Removes the next complete event that has data, and decodes the data as JSON.
    ///
    /// # Errors
    ///
    /// [`SseError::Malformed`] if the data is not the expected JSON.
    pub fn pop<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        while let Some(event) = self.pop_event() {
            if !event.data.is_empty() {
                return Ok(Some(serde_json::from_str(&event.data)?));
            }
        }
        Ok(None)
    }

    /// Removes the next complete event; `None` until one has arrived.
    pub fn pop_event(&mut self) -> Option<ServerEvent> {
        let end = find_separator(&self.buffer)?;
        let rest = self.buffer.split_off(end + SEPARATOR.len());
        let bytes = std::mem::replace(&mut self.buffer, rest);

        Some(parse_event(&String::from_utf8_lossy(&bytes)))
    }
}

fn find_separator(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(SEPARATOR.len())
        .position(|window| window == SEPARATOR)
}

fn parse_event(text: &str) -> ServerEvent {
    let mut event = ServerEvent::default();
    for line in text.lines() {
        if let Some(data) = line.strip_prefix(DATA_PREFIX) {
            event.data = data.into();
        } else if let Some(id) = line.strip_prefix(ID_PREFIX) {
            event.id = Some(id.into());
        } else if let Some(name) = line.strip_prefix(NAME_PREFIX) {
            event.name = name.into();
        }
    }
    event
}
