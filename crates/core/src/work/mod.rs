//! The work a caller asks for, as it travels from gateway to agent to target.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::ids;
use crate::measures;

/// Characters of a prompt that are hashed to find targets with the same cached prefix.
pub const PREFIX_CHARACTERS: usize = 1024;

/// Characters that one token stands for when a prompt's tokens are estimated.
const CHARACTERS_PER_TOKEN: usize = 4;

/// Hash of the start of a prompt; prompts with the same hash share a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Makes a hash from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Hashes the first [`PREFIX_CHARACTERS`] of `prompt` for `model`.
    pub fn of_prompt(model: &ids::ModelName, prompt: &str) -> Self {
        let end = prompt
            .char_indices()
            .nth(PREFIX_CHARACTERS)
            .map_or(prompt.len(), |(index, _)| index);
        let seed = xxh3::xxh3_64(model.as_str().as_bytes());

        Self(xxh3::xxh3_64_with_seed(&prompt.as_bytes()[..end], seed))
    }
}

/// Hash of organisation, model or service, and body: equal for a request that is sent again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Makes a fingerprint from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Hashes the parts of a request; `resource` is the model or the service with its path.
    pub fn of_request(organisation: &ids::OrganisationName, resource: &str, body: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(organisation.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(resource.as_bytes());
        hasher.update(&[0]);
        hasher.update(body);

        Self(hasher.digest())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A generation asked of a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Model that generates.
    pub model: ids::ModelName,
    /// Prompt text.
    pub prompt: Box<str>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the prompt's start.
    pub prefix: PrefixHash,
    /// Most tokens to generate.
    pub max_tokens: measures::TokenCount,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// Service that answers.
    pub service: ids::ServiceName,
    /// Path under the service, without a leading slash.
    pub path: Box<str>,
    /// Media type of the body.
    pub content_type: Box<str>,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// Whose call it is, for shares, lengths and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallerTag {
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Priority of the class; a higher number goes first.
    pub priority: measures::Priority,
    /// Share of the organisation in weighted fair queueing.
    pub weight: measures::Weight,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkRequest {
    /// Generate tokens.
    Generation(GenerationRequest),
    /// Call a plain service.
    Service(ServiceRequest),
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Box<str>,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The generation reached its most tokens.
    Length,
}

/// What is known about a call that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// No target ran any part of it, and none will.
    NotRun,
    /// It ran, and its whole answer is known.
    Completed,
    /// It may have run, wholly or in part.
    Unknown,
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotRun => "not_run",
            Self::Completed => "completed",
            Self::Unknown => "unknown",
        };
        formatter.write_str(text)
    }
}

/// Estimates the tokens of `prompt`; at least one.
pub fn estimate_tokens(prompt: &str) -> measures::TokenCount {
    let characters = prompt.chars().count();
    let tokens = characters.div_ceil(CHARACTERS_PER_TOKEN).max(1);
    measures::TokenCount::new(tokens as u64)
}
