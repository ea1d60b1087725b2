//! Server-sent events, cut out of a stream's bytes.

use bytes::Bytes;
use bytes::BytesMut;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Field with the number of an event.
const ID_FIELD: &[u8] = b"id:";

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
}

/// Collects bytes until events are whole; half an event never leaves it.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    searched: usize,
}

impl EventParser {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let start = self.searched.saturating_sub(EVENT_END.len() - 1);
        let found = self.buffer[start..]
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let Some(position) = found else {
            self.searched = self.buffer.len();
            return None;
        };

        self.searched = 0;
        let length = start + position + EVENT_END.len();
        let bytes = self.buffer.split_to(length).freeze();
        Some(StreamEvent {
            id: read_id(&bytes),
            bytes,
        })
    }

    /// Says whether part of an event is left.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn read_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    text.trim().parse().ok()
}
