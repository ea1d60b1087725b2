//! Requests of callers as gateways send them to agents, and the responses to them.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::ids;
use crate::measures;

/// Length of the start of a prompt that [`PrefixHash`] covers, in characters.
pub const PREFIX_CHARACTERS: usize = 1024;

/// Average length of a token that [`estimate_tokens`] assumes.
const CHARACTERS_PER_TOKEN: usize = 4;

/// Maximum number of hexadecimal digits of a [`PromptPartId`].
pub const MAX_PART_ID_DIGITS: usize = 16;

/// Hash of a model and the start of a prompt.
///
/// Gateways use it to find targets that have the prefix in their cache: prompts with the same hash
/// share a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Creates a hash from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Hashes `model` and the first [`PREFIX_CHARACTERS`] characters of `prompt`.
    pub fn of_prompt(model: &ids::ModelName, prompt: &str) -> Self {
        let end = prompt
            .char_indices()
            .nth(PREFIX_CHARACTERS)
            .map_or(prompt.len(), |(index, _)| index);
        let seed = xxh3::xxh3_64(model.as_str().as_bytes());

        Self(xxh3::xxh3_64_with_seed(&prompt.as_bytes()[..end], seed))
    }
}

/// Hash of the organisation, the model or service, and the body of a request.
///
/// A request that is sent again has the same fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Creates a fingerprint from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the fingerprint's number.
    pub const fn get(self) -> u64 {
        self.0
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

quick_error! {
    /// Reason why a text is not the id of a prompt part.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PartIdError {
        /// The text is not a hexadecimal number of at most [`MAX_PART_ID_DIGITS`] digits.
        Malformed {
            display("the id of a prompt part is a hexadecimal number of at most {} digits",
                MAX_PART_ID_DIGITS)
        }
    }
}

/// Id of a part of a prompt, which other prompts may share.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPartId(u64);

impl PromptPartId {
    /// Creates an id from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }
}

impl FromStr for PromptPartId {
    type Err = PartIdError;

    fn from_str(text: &str) -> Result<Self, PartIdError> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.is_empty() || text.len() > MAX_PART_ID_DIGITS || !is_hex {
            return Err(PartIdError::Malformed);
        }
        let value = u64::from_str_radix(text, 16).map_err(|_| PartIdError::Malformed)?;
        Ok(Self(value))
    }
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl fmt::Debug for PromptPartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

/// A request for a generation by a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Model to generate with.
    pub model: ids::ModelName,
    /// Prompt text.
    pub prompt: Box<str>,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the model and the start of the prompt.
    pub prefix: PrefixHash,
    /// Maximum number of tokens to generate.
    pub max_tokens: measures::TokenCount,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// Service to call.
    pub service: ids::ServiceName,
    /// Path under the service, without a leading slash.
    pub path: Box<str>,
    /// Media type of the body.
    pub content_type: Box<str>,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// Origin and class of a call, for fair queueing, length forecasts and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallerTag {
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Priority of the class; a higher number is served first.
    pub priority: measures::Priority,
    /// Share of the organisation in weighted fair queueing.
    pub weight: measures::Weight,
}

/// Request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkRequest {
    /// Generate tokens.
    Generation(GenerationRequest),
    /// Call a plain service.
    Service(ServiceRequest),
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Box<str>,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// Reason why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the text.
    Stop,
    /// The generation reached its maximum number of tokens.
    Length,
}

/// Whether a call that ended has run, as far as the system knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// No target has run any part of the call, and none will.
    NotRun,
    /// The call ran, and its complete response is known.
    Completed,
    /// The call may have run, completely or in part.
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

/// Estimates the number of tokens of `prompt`; at least one.
pub fn estimate_tokens(prompt: &str) -> measures::TokenCount {
    let characters = prompt.chars().count();
    let tokens = characters.div_ceil(CHARACTERS_PER_TOKEN).max(1);
    measures::TokenCount::new(tokens as u64)
}
