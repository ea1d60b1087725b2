//! Table of the stand-in engine's streams, and the channels to their response bodies.

use std::collections::BTreeMap;
use std::io;

use kingcupfall_agent::protocol;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use ntex::util::Bytes;
use tokio::sync::mpsc;

/// One part of a response body; an error breaks the connection.
pub(super) type BodyPart = Result<Bytes, io::Error>;

/// Counters of an engine's streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Streams that were started.
    pub started: u64,
    /// Streams that were completed.
    pub finished: u64,
    /// Streams cancelled before their end, by request or because their reader disconnected.
    pub cancelled: u64,
}

/// A running stream.
#[derive(Debug)]
struct StreamOutput {
    parts: mpsc::UnboundedSender<BodyPart>,
    /// Reason that is sent with the end of the stream.
    reason: work::FinishReason,
    generated: measures::TokenCount,
}

/// Running streams by id.
#[derive(Debug, Default)]
pub(super) struct StreamTable {
    outputs: BTreeMap<ids::AttemptId, StreamOutput>,
    counters: EngineCounters,
}

impl StreamTable {
    /// Adds a stream and returns the receiver of its body.
    pub(super) fn insert(
        &mut self,
        stream: ids::AttemptId,
        reason: work::FinishReason,
    ) -> mpsc::UnboundedReceiver<BodyPart> {
        let (parts, body) = mpsc::unbounded_channel();
        let output = StreamOutput {
            parts,
            reason,
            generated: measures::TokenCount::ZERO,
        };
        self.outputs.insert(stream, output);
        self.counters.started += 1;
        body
    }

    /// Returns true if the stream is running.
    pub(super) fn contains(&self, stream: ids::AttemptId) -> bool {
        self.outputs.contains_key(&stream)
    }

    /// Sends a token to the reader of a stream; returns false if the stream is unknown or its
    /// reader has disconnected.
    pub(super) fn send_token(
        &mut self,
        stream: ids::AttemptId,
        index: measures::SequenceNumber,
        text: Box<str>,
    ) -> bool {
        let Some(output) = self.outputs.get_mut(&stream) else {
            return false;
        };
        output.generated += measures::TokenCount::new(1);
        send_event(output, &protocol::StreamEvent::Token { index, text })
    }

    /// Removes a stream that is complete and sends its end.
    pub(super) fn finish(&mut self, stream: ids::AttemptId) {
        if let Some(output) = self.outputs.remove(&stream) {
            let reason = output.reason;
            // An error means that the reader disconnected just before the end.
            let _ = send_event(&output, &protocol::StreamEvent::End { reason });
            self.counters.finished += 1;
        }
    }

    /// Removes a stream and breaks its connection; returns false if the stream is unknown.
    pub(super) fn cancel(&mut self, stream: ids::AttemptId) -> bool {
        let Some(output) = self.outputs.remove(&stream) else {
            return false;
        };
        break_connection(&output);
        self.counters.cancelled += 1;
        true
    }

    /// Removes all streams and breaks their connections.
    pub(super) fn break_all(&mut self) {
        for output in std::mem::take(&mut self.outputs).values() {
            break_connection(output);
        }
    }

    /// Returns the number of streams.
    pub(super) fn len(&self) -> usize {
        self.outputs.len()
    }

    /// Returns the number of tokens that a running stream has generated; zero if it is unknown.
    pub(super) fn generated_tokens(&self, stream: ids::AttemptId) -> measures::TokenCount {
        self.outputs
            .get(&stream)
            .map_or(measures::TokenCount::ZERO, |output| output.generated)
    }

    /// Returns the counters of all streams so far.
    pub(super) fn counters(&self) -> EngineCounters {
        self.counters
    }
}

fn send_event(output: &StreamOutput, event: &protocol::StreamEvent) -> bool {
    let part = protocol::encode_event(event)
        .map(Bytes::from)
        .map_err(io::Error::other);
    output.parts.send(part).is_ok()
}

fn break_connection(output: &StreamOutput) {
    // An error means that the reader has disconnected already.
    let _ = output
        .parts
        .send(Err(io::ErrorKind::ConnectionAborted.into()));
}
