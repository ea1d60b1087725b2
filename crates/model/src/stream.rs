//! Requests and state of the streams of a modelled engine.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;

/// Prompt prefix that several prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash that identifies the prefix.
    pub hash: work::PrefixHash,
    /// Length of the prefix in tokens.
    pub tokens: measures::TokenCount,
}

/// Request for a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRequest {
    /// Id of the stream, which is the attempt that it belongs to.
    pub attempt: ids::AttemptId,
    /// Length of the prompt, including its prefix.
    pub prompt_tokens: measures::TokenCount,
    /// Prefix that may be cached; `None` if the prompt shares none.
    pub prefix: Option<SharedPrefix>,
    /// Tokens that the model will generate, unknown outside the engine. Zero counts as one.
    pub output_tokens: measures::TokenCount,
    /// Priority; streams with a higher number are admitted first.
    pub priority: measures::Priority,
    /// Maximum prompt tokens of this stream that one step processes; `None` for no limit.
    pub prefill_chunk: Option<measures::TokenCount>,
}

/// State of a stream in the engine.
#[derive(Debug, Clone)]
pub(crate) struct StreamState {
    pub(crate) request: StreamRequest,
    /// Order of arrival; streams of one priority are admitted first in, first out.
    pub(crate) arrival_number: u64,
    pub(crate) generated: u64,
    /// Tokens that must be processed before the next token can be generated.
    pub(crate) remaining_prefill: u64,
}

impl StreamState {
    pub(crate) fn new(request: StreamRequest, arrival_number: u64) -> Self {
        Self {
            remaining_prefill: request.prompt_tokens.get(),
            request,
            arrival_number,
            generated: 0,
        }
    }

    /// Returns the memory that the stream uses while it runs, in tokens.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.request.prompt_tokens.get() + self.generated
    }

    /// Discards the computed state, but keeps the generated tokens. All tokens must be processed
    /// again before the next one can be generated.
    pub(crate) fn discard_computed(&mut self) {
        self.remaining_prefill = self.memory_tokens();
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.generated >= self.request.output_tokens.get().max(1)
    }
}
