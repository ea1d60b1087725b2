//! Server-sent events with one JSON value each.

use std::result;

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest event accepted.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

const SEPARATOR: &[u8] = b"\n\n";
const DATA_PREFIX: &str = "data: ";
const ID_PREFIX: &str = "id: ";
const NAME_PREFIX: &str = "event: ";

/// One event as it was sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its id, by which a stream is resumed.
    pub id: Option<Box<str>>,
    /// Its name; empty when it has none.
    pub name: Box<str>,
    /// Its data; empty for a comment.
    pub data: Box<str>,
}

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
    let mut bytes = DATA_PREFIX.as_bytes().to_vec();
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

    /// Takes the next whole event that has data, and reads its data as JSON.
    ///
    /// # Errors
    ///
    /// [`SseError::Malformed`] when its data is not the expected JSON.
    pub fn pop<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        while let Some(event) = self.pop_event() {
            if !event.data.is_empty() {
                return Ok(Some(serde_json::from_str(&event.data)?));
            }
        }
        Ok(None)
    }

    /// Takes the next whole event.
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
