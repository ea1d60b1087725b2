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

/// First frame of an agent on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Target beside the agent.
    pub target: ids::TargetName,
    /// Life of the agent.
    pub incarnation: ids::Incarnation,
    /// Zone of the agent.
    pub zone: ids::ZoneName,
}

/// Sign of life of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentPulse {
    /// Time on the agent's clock.
    pub now: time::Timestamp,
    /// Whether the agent takes no new work for the rest of its life.
    pub leaving: bool,
    /// Whether the target answers.
    pub target_up: bool,
    /// Load of the target, without its cached prefixes.
    pub load: load::LoadSummary,
    /// Cached prefixes; `None` when they are those of the last pulse on this link.
    pub cached: Option<Vec<load::CachedPrefix>>,
}

/// Consecutive tokens of one generation.
///
/// Most frames are of this kind, so its fields have one letter on the link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenBatch {
    /// Attempt, and so generation, of the tokens.
    #[serde(rename = "a")]
    pub attempt: ids::AttemptId,
    /// Place of the first token.
    #[serde(rename = "f")]
    pub first: measures::Sequence,
    /// Texts of the tokens.
    #[serde(rename = "t")]
    pub tokens: Vec<Box<str>>,
}

/// The end of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishReport {
    /// Attempt that ended.
    pub attempt: ids::AttemptId,
    /// Number of its tokens.
    pub total: measures::Sequence,
    /// Why it ended.
    pub reason: work::FinishReason,
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Attempt that was answered.
    pub attempt: ids::AttemptId,
    /// The answer.
    pub answer: work::ServiceAnswer,
    /// Whether the answer was recorded by an earlier attempt with the same key.
    pub replayed: bool,
}

/// Why an agent did not start an attempt. After any of these the attempt never runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The target takes no new work.
    Leaving,
    /// The target does not answer.
    TargetDown,
    /// The queue is too long for the attempt's deadline.
    Overloaded,
    /// The start order came after its deadline.
    TooLate,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// Another suspect runs here.
    SuspectBusy,
    /// The key names another incarnation or has expired.
    KeyExpired,
    /// The key was used with another request.
    KeyMismatch,
    /// The target cannot run the request, such as one longer than its memory.
    Unfit,
}

impl RefusalCode {
    /// Returns the stable text, for metrics.
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

/// An attempt that did not start.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// Attempt that was refused.
    pub attempt: ids::AttemptId,
    /// Why.
    pub code: RefusalCode,
    /// When the caller may try again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after: Duration,
}

/// Why an attempt that had started ended without its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCause {
    /// The target died or lost the attempt while running it.
    TargetLost,
    /// The target answered with an error of its own.
    TargetError,
    /// The attempt was cancelled while running.
    Cancelled,
    /// The tokens wanted are no longer kept.
    Expired,
    /// A call with this key ran, and its answer is not known.
    AnswerLost,
}

/// An attempt that failed after it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Attempt that failed.
    pub attempt: ids::AttemptId,
    /// Why.
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
    /// Shows that the agent is alive, and its load.
    Pulse(Box<AgentPulse>),
    /// Says that an attempt was taken and will start.
    Accepted {
        /// Attempt that was taken.
        attempt: ids::AttemptId,
    },
    /// Says that an attempt did not start and never will.
    Refused(RefusalReport),
    /// Carries tokens.
    Tokens(TokenBatch),
    /// Ends a generation.
    Finished(FinishReport),
    /// Ends a service call.
    Answered(AnswerReport),
    /// Ends an attempt without its answer.
    Failed(FailureReport),
    /// Says that another gateway took the tokens of an attempt over.
    Superseded {
        /// Attempt that was taken over.
        attempt: ids::AttemptId,
        /// Subscription that ended; `None` for that of the start order.
        subscription: Option<ids::Nonce>,
    },
    /// Frame of the fleet crate, encoded by it.
    Fleet(#[serde_as(as = "Bytes")] Vec<u8>),
}
