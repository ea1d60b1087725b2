//! Splits the bytes of a stream into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Prefix of the line with an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Length beyond which an incomplete event counts as bytes without end: some hundred times the
/// length of a usual event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Numeric id; `None` if the event has no id or one that is not a number.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line at its end.
    pub bytes: Bytes,
}

/// Incremental parser that buffers bytes and returns complete events only.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// Length of the start of `buffer` that has been searched without finding an event's end.
    searched_bytes: usize,
}

impl EventParser {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let start = self.searched_bytes.saturating_sub(EVENT_END.len() - 1);
        let found = self.buffer[start..]
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let Some(position) = found else {
            self.searched_bytes = self.buffer.len();
            return None;
        };

        self.searched_bytes = 0;
        let length = start + position + EVENT_END.len();
        let bytes = self.buffer.split_to(length).freeze();
        Some(StreamEvent {
            id: parse_id(&bytes),
            bytes,
        })
    }

    /// Returns true if the buffer holds bytes that were not returned as an event; after
    /// `next_event` returned `None`, they are the start of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes that the buffer holds.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns true if the buffer holds an incomplete event that is longer than any event may be;
    /// the caller stops reading the stream then, so that the buffer stays bounded.
    pub fn has_overlong_event(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    text.trim().parse().ok()
}
