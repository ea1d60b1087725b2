//! Frames that an agent sends to a gateway.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// First frame that an agent sends on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Target that the agent manages.
    pub target: ids::TargetName,
    /// Incarnation of the agent.
    pub incarnation: ids::Incarnation,
    /// Zone of the agent.
    pub zone: ids::ZoneName,
}

/// Periodic report of an agent on itself and its target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Time of the report on the agent's clock.
    pub now: time::Timestamp,
    /// Whether the agent takes no new work; once true, it stays so until the agent exits.
    pub leaving: bool,
    /// Whether the target responds, as far as the agent knows.
    pub target_up: bool,
    /// Load of the target, without its cached prefixes.
    pub load: load::LoadSummary,
    /// Cached prefixes; `None` if they have not changed since the last heartbeat on this link.
    pub cached: Option<Vec<load::CachedPrefix>>,
}

/// Consecutive tokens of one generation.
///
/// Most frames are of this type, so its fields have one-letter names in frames.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenBatch {
    /// Attempt that generated the tokens.
    #[serde(rename = "a")]
    pub attempt: ids::AttemptId,
    /// Position of the first token in the generation.
    #[serde(rename = "f")]
    pub first: measures::SequenceNumber,
    /// Text of each token, in order.
    #[serde(rename = "t")]
    pub tokens: Vec<Box<str>>,
}

/// Report that a generation is complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishReport {
    /// Attempt that ran the generation.
    pub attempt: ids::AttemptId,
    /// Number of tokens generated.
    pub total: measures::SequenceNumber,
    /// Reason why the generation ended.
    pub reason: work::FinishReason,
}

/// Response of a plain service to one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseReport {
    /// Attempt that received the response.
    pub attempt: ids::AttemptId,
    /// Status and body that the service returned.
    #[serde(rename = "answer")]
    pub response: work::ServiceResponse,
    /// Whether the response is that of an earlier attempt with the same key.
    pub replayed: bool,
}

/// Reason why an agent did not start an attempt. A refused attempt never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The agent is leaving, so the target takes no new work.
    Leaving,
    /// The target does not respond.
    TargetDown,
    /// The queue is too long for the attempt's deadline, or the agent holds too many call records.
    Overloaded,
    /// The deadline for the start has passed, or is too far ahead.
    TooLate,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// Another suspect is queued or running on the target.
    SuspectBusy,
    /// The key names another target or incarnation, has expired, or expires too far ahead.
    KeyExpired,
    /// The key was used before with another request or by another organisation.
    KeyMismatch,
    /// The target can't run the request, for example because it exceeds the target's memory.
    Unfit,
}

impl RefusalCode {
    /// Returns the name of the code in metrics, which must not change.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::TargetDown => "target_down",
            Self::Overloaded => "overloaded",
            Self::TooLate => "too_late",
            Self::Cancelled => "cancelled",
            Self::SuspectBusy => "suspect_busy",
            Self::KeyExpired => "key_expired",
            Self::KeyMismatch => "key_mismatch",
            Self::Unfit => "unfit",
        }
    }
}

/// Refusal of an attempt that has not started.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// Attempt that was refused.
    pub attempt: ids::AttemptId,
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Time after which the caller may try again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after: Duration,
}

/// Reason why an attempt that had started ended without its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCause {
    /// The target crashed or lost the attempt while running it.
    TargetLost,
    /// The target responded with an error.
    TargetError,
    /// The attempt was cancelled while running.
    Cancelled,
    /// The agent does not have the requested tokens, for example because it no longer keeps them.
    Expired,
    /// A call with this key has run, and its response is not known.
    #[serde(rename = "answer_lost")]
    ResponseLost,
}

/// Failure of an attempt after it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Attempt that failed.
    pub attempt: ids::AttemptId,
    /// Cause of the failure.
    pub cause: FailureCause,
    /// Whether the request may have crashed the target.
    pub suspect: bool,
}

/// A frame from an agent to a gateway.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentFrame {
    /// Opens the link.
    Hello(AgentHello),
    /// Reports that the agent is alive, and the load of its target.
    #[serde(rename = "Pulse")]
    Heartbeat(Box<AgentHeartbeat>),
    /// Reports that an attempt was queued, or waits for an earlier one with the same key. The agent
    /// may still refuse it before it starts.
    Accepted {
        /// Attempt that was accepted.
        attempt: ids::AttemptId,
    },
    /// Reports that an attempt did not start and never will.
    Refused(RefusalReport),
    /// Contains tokens of a generation.
    Tokens(TokenBatch),
    /// Ends a generation, after its last tokens.
    Finished(FinishReport),
    /// Ends a service call with its response.
    #[serde(rename = "Answered")]
    Responded(ResponseReport),
    /// Ends an attempt without its result.
    Failed(FailureReport),
    /// Reports that the tokens of an attempt now go to another subscriber.
    Superseded {
        /// Attempt whose tokens were redirected.
        attempt: ids::AttemptId,
        /// Subscription that ended; `None` for the one that the start order created.
        subscription: Option<ids::Nonce>,
    },
    /// Message of the fleet crate, which encodes and decodes it.
    Fleet(#[serde_as(as = "Bytes")] Vec<u8>),
}
