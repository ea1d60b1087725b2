//! HTTP messages between an agent and its model engine.
//!
//! Bodies are JSON. The response to a generation request is a stream of server-sent events, each a
//! [`StreamEvent`].

mod sse;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;

pub use sse::EventDecoder;
pub use sse::ServerEvent;
pub use sse::SseError;
pub use sse::encode_event;

/// Request body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateBody {
    /// Id used to pause, resume and cancel the stream.
    pub stream: ids::AttemptId,
    /// Model to run.
    pub model: ids::ModelName,
    /// Prompt text.
    pub prompt: Box<str>,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the start of the prompt; cache events refer to the prefix by it.
    pub prefix: work::PrefixHash,
    /// Maximum number of tokens to generate.
    pub max_tokens: measures::TokenCount,
    /// Priority; a higher number is scheduled first.
    pub priority: measures::Priority,
    /// Maximum number of prompt tokens of this stream per engine step; `None` for no limit.
    #[serde(default)]
    pub prefill_chunk: Option<measures::TokenCount>,
}

/// Event in the response to a generation request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEvent {
    /// One generated token.
    Token {
        /// Index of the token in the generation, from 0.
        index: measures::SequenceNumber,
        /// Text of the token.
        text: Box<str>,
    },
    /// End of the generation; no event follows.
    End {
        /// Why the generation ended.
        reason: work::FinishReason,
    },
}

/// Response body of `GET /v1/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Streams being generated.
    pub running: u32,
    /// Streams waiting inside the engine.
    pub waiting: u32,
    /// Key-value memory in use, in tokens.
    pub memory_used: measures::TokenCount,
    /// Total key-value memory, in tokens.
    pub memory_total: measures::TokenCount,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}

/// Response body of `GET /v1/cache-events?after=N`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheBody {
    /// Value of `after` for the next request.
    pub next: u64,
    /// Events since `after`; delivery is lossy, so some may be missing.
    pub events: Vec<engine::CacheEvent>,
}

/// Request body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number; an engine with [`engine::FencingMode::Checked`] compares it with the last
    /// one that it accepted.
    pub fencing: measures::FencingNumber,
    /// Order to execute.
    pub order: engine::EngineOrder,
}

/// Model loaded by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ids::ModelName,
    /// Version of the weights.
    pub version: Box<str>,
    /// Adapters loaded for the model.
    pub adapters: Vec<Box<str>>,
}

/// Response body of `GET /v1/health`, and of an order whether accepted or refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthBody {
    /// Highest fencing number accepted.
    pub fencing: measures::FencingNumber,
    /// Part of the generation that the engine performs.
    pub role: engine::EngineRole,
    /// Models currently loaded.
    pub models: Vec<LoadedModel>,
}
