//! Streams of the stand-in engine and where their events go.

use std::collections::BTreeMap;
use std::io;

use kingcupfall_agent::protocol;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use ntex::util::Bytes;
use tokio::sync::mpsc;

/// One piece of a response body; an error cuts the connection.
pub(super) type BodyPart = Result<Bytes, io::Error>;

/// Counts of streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Streams taken.
    pub started: u64,
    /// Streams that reached their end.
    pub finished: u64,
    /// Streams dropped before their end, by order or because nobody read them.
    pub cancelled: u64,
}

/// A stream whose end is not reached.
#[derive(Debug)]
struct StreamOutput {
    parts: mpsc::UnboundedSender<BodyPart>,
    reason: work::FinishReason,
    generated: measures::TokenCount,
}

/// All streams by id.
#[derive(Debug, Default)]
pub(super) struct StreamTable {
    outputs: BTreeMap<ids::AttemptId, StreamOutput>,
    counters: EngineCounters,
}

impl StreamTable {
    /// Adds a stream and returns the end from which its body is read.
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

    /// Says whether a stream is known.
    pub(super) fn contains(&self, stream: ids::AttemptId) -> bool {
        self.outputs.contains_key(&stream)
    }

    /// Gives a token to the reader of a stream; returns whether somebody still reads it.
    pub(super) fn give_token(
        &mut self,
        stream: ids::AttemptId,
        index: measures::SequenceNumber,
        text: Box<str>,
    ) -> bool {
        let Some(output) = self.outputs.get_mut(&stream) else {
            return false;
        };
        output.generated += measures::TokenCount::new(1);
        give(output, &protocol::StreamEvent::Token { index, text })
    }

    /// Ends a stream that is complete.
    pub(super) fn finish(&mut self, stream: ids::AttemptId) {
        if let Some(output) = self.outputs.remove(&stream) {
            let reason = output.reason;
            // Nobody reads a stream whose connection broke at its very end.
            let _ = give(&output, &protocol::StreamEvent::End { reason });
            self.counters.finished += 1;
        }
    }

    /// Drops a stream; its connection breaks. Returns whether it was known.
    pub(super) fn cancel(&mut self, stream: ids::AttemptId) -> bool {
        let Some(output) = self.outputs.remove(&stream) else {
            return false;
        };
        cut(&output);
        self.counters.cancelled += 1;
        true
    }

    /// Breaks all connections.
    pub(super) fn cut_all(&mut self) {
        for output in std::mem::take(&mut self.outputs).values() {
            cut(output);
        }
    }

    /// Returns the number of streams.
    pub(super) fn len(&self) -> usize {
        self.outputs.len()
    }

    /// Returns how many tokens of a stream were generated.
    pub(super) fn generated(&self, stream: ids::AttemptId) -> measures::TokenCount {
        self.outputs
            .get(&stream)
            .map_or(measures::TokenCount::ZERO, |output| output.generated)
    }

    /// Returns the counts.
    pub(super) fn counters(&self) -> EngineCounters {
        self.counters
    }
}

fn give(output: &StreamOutput, event: &protocol::StreamEvent) -> bool {
    let part = protocol::encode_event(event)
        .map(Bytes::from)
        .map_err(io::Error::other);
    output.parts.send(part).is_ok()
}

fn cut(output: &StreamOutput) {
    // A stream that nobody reads needs no cut.
    let _ = output
        .parts
        .send(Err(io::ErrorKind::ConnectionAborted.into()));
}
