//! HTTP messages between an agent and the model engine beside it.
//!
//! Bodies are JSON. A generation is answered with server-sent events, each a [`StreamEvent`].

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

/// Body of `POST /v1/generate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateBody {
    /// Id by which the stream is paused, resumed and cancelled.
    pub stream: ids::AttemptId,
    /// Model that generates.
    pub model: ids::ModelName,
    /// Prompt text.
    pub prompt: Box<str>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the prompt's start, by which cache events name it.
    pub prefix: work::PrefixHash,
    /// Most tokens to generate.
    pub max_tokens: measures::TokenCount,
    /// Priority; a higher number goes first.
    pub priority: measures::Priority,
    /// Most prompt tokens of this stream in one step.
    #[serde(default)]
    pub prefill_chunk: Option<measures::TokenCount>,
}

/// One event of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEvent {
    /// A token.
    Token {
        /// Its place in the generation.
        index: measures::SequenceNumber,
        /// Its text.
        text: Box<str>,
    },
    /// The end; no event follows.
    End {
        /// Why the generation ended.
        reason: work::FinishReason,
    },
}

/// Answer of `GET /v1/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Milliseconds since the figures were true.
    pub age_ms: u64,
    /// Streams that are being generated.
    pub running: u32,
    /// Streams that wait inside the engine.
    pub waiting: u32,
    /// Key-value memory in use.
    pub memory_used: measures::TokenCount,
    /// Key-value memory in all.
    pub memory_total: measures::TokenCount,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}

/// Answer of `GET /v1/cache-events?after=N`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheBody {
    /// Number to ask after next time.
    pub next: u64,
    /// Events since the number asked after; some are lost.
    pub events: Vec<engine::CacheEvent>,
}

/// Body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Number that an engine with [`engine::FencingMode::Checked`] compares with its last one.
    pub fencing: measures::FencingNumber,
    /// The order.
    pub order: engine::EngineOrder,
}

/// A model that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ids::ModelName,
    /// Version of its weights.
    pub version: Box<str>,
    /// Adapters that are loaded for it.
    pub adapters: Vec<Box<str>>,
}

/// Answer of `GET /v1/health` and of an order that was taken or refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthBody {
    /// Highest fencing number taken.
    pub fencing: measures::FencingNumber,
    /// Part of generation that the engine does.
    pub role: engine::EngineRole,
    /// Models it has loaded.
    pub models: Vec<LoadedModel>,
}
