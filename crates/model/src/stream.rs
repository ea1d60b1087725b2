//! Streams of a modelled engine.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;

/// Start of a prompt that other prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash of the prefix.
    pub hash: work::PrefixHash,
    /// Length of the prefix.
    pub tokens: measures::TokenCount,
}

/// A stream to generate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRequest {
    /// Id of the stream.
    pub attempt: ids::AttemptId,
    /// Tokens of the prompt.
    pub prompt_tokens: measures::TokenCount,
    /// Prefix that may be cached.
    pub prefix: Option<SharedPrefix>,
    /// Tokens that the model will generate; at least one. Nobody else knows it.
    pub output_tokens: measures::TokenCount,
    /// Priority; a higher number is admitted first.
    pub priority: measures::Priority,
    /// Most prompt tokens of this stream in one step; `None` for all at once.
    pub prefill_chunk: Option<measures::TokenCount>,
}

/// A stream inside the engine.
#[derive(Debug, Clone)]
pub(crate) struct StreamState {
    pub(crate) request: StreamRequest,
    /// Order of arrival, for first in, first out within a priority.
    pub(crate) arrival: u64,
    pub(crate) generated: u64,
    /// Tokens still to process before the next token can be generated.
    pub(crate) prefill_left: u64,
}

impl StreamState {
    pub(crate) fn new(request: StreamRequest, arrival: u64) -> Self {
        Self {
            prefill_left: request.prompt_tokens.get(),
            request,
            arrival,
            generated: 0,
        }
    }

    /// Tokens that the stream holds in memory while it runs.
    pub(crate) fn memory(&self) -> u64 {
        self.request.prompt_tokens.get() + self.generated
    }

    /// Forgets everything that was computed, but not what was generated.
    pub(crate) fn evict(&mut self) {
        self.prefill_left = self.memory();
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.generated >= self.request.output_tokens.get().max(1)
    }
}
