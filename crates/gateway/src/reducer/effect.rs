//! Outputs of the gateway's reducer, executed by the shell.

use std::fmt;
use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use serde::Deserialize;
use serde::Serialize;

/// Why a call ended without a response; part of the public API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemCode {
    /// Every target is at capacity, or the retry budget is exhausted.
    Overloaded,
    /// The organisation exceeded its limits.
    LimitReached,
    /// No target can run the call.
    NoTarget,
    /// The call did not start before its deadline.
    DeadlinePassed,
    /// The request crashed targets and is refused until its quarantine ends.
    Quarantined,
    /// This gateway is stopping.
    GatewayStopping,
    /// The target was lost while it ran the call.
    TargetLost,
    /// The target reported an error.
    TargetError,
    /// The target can't be reached and may still run the call.
    TargetUnreachable,
    /// The idempotency key expired, or the agent incarnation that it names is gone.
    KeyExpired,
    /// The idempotency key was used with another request.
    KeyMismatch,
    /// The call ran, but its response is lost.
    #[serde(rename = "answer_lost")]
    ResponseLost,
    /// The rest of the stream is no longer retained.
    ResumeExpired,
    /// The target can't run the request, for example because it exceeds its memory.
    Unfit,
    /// The caller resumed the stream on another connection.
    Superseded,
}

impl ProblemCode {
    /// Returns the code as callers see it; equal to its serialised form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::LimitReached => "limit_reached",
            Self::NoTarget => "no_target",
            Self::DeadlinePassed => "deadline_passed",
            Self::Quarantined => "quarantined",
            Self::GatewayStopping => "gateway_stopping",
            Self::TargetLost => "target_lost",
            Self::TargetError => "target_error",
            Self::TargetUnreachable => "target_unreachable",
            Self::KeyExpired => "key_expired",
            Self::KeyMismatch => "key_mismatch",
            Self::ResponseLost => "answer_lost",
            Self::ResumeExpired => "resume_expired",
            Self::Unfit => "unfit",
            Self::Superseded => "superseded",
        }
    }
}

impl fmt::Display for ProblemCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Final reply to a call that ended without a response from its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallProblem {
    /// Whether the call ran, as far as the gateway knows.
    pub outcome: work::CallOutcome,
    /// Reason in a machine-readable form.
    pub code: ProblemCode,
    /// Wait before the caller may retry; `None` if a retry would not help.
    pub retry_after: Option<Duration>,
    /// Idempotency key under which the call ran or may have run.
    pub key: Option<keys::IdempotencyKey>,
}

/// Consecutive tokens of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenReply {
    /// Target that runs the generation.
    pub target: ids::TargetName,
    /// Incarnation of the target's agent.
    pub incarnation: ids::Incarnation,
    /// Attempt that runs the generation.
    pub attempt: ids::AttemptId,
    /// Sequence number of the first token.
    pub first: measures::SequenceNumber,
    /// Texts of the tokens, in order.
    pub tokens: Vec<Box<str>>,
}

/// Complete generation for a call that did not request a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedReply {
    /// Attempt that ran the generation.
    pub attempt: ids::AttemptId,
    /// Texts of all tokens, in order.
    pub tokens: Vec<Box<str>>,
    /// Why the generation ended.
    pub reason: work::FinishReason,
    /// Idempotency key under which the call ran.
    pub key: Option<keys::IdempotencyKey>,
}

/// Response of a service, with what the gateway adds to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// Response as the target sent it.
    pub response: work::ServiceResponse,
    /// Idempotency key under which the call ran.
    pub key: Option<keys::IdempotencyKey>,
    /// Whether the response was stored by an earlier call with the same key.
    pub replayed: bool,
}

/// Reply to a caller. Every variant other than `Tokens` ends the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReply {
    /// More tokens of a stream.
    Tokens(TokenReply),
    /// The end of a stream.
    Finished {
        /// Number of tokens in the stream.
        total: measures::SequenceNumber,
        /// Why the generation ended.
        reason: work::FinishReason,
    },
    /// A complete generation.
    Buffered(BufferedReply),
    /// The response of a service.
    Service(ServiceReply),
    /// A newly issued idempotency key.
    Key(keys::IdempotencyKey),
    /// The call ended without a response.
    Problem(CallProblem),
}

/// Action that the shell executes for the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayEffect {
    /// Open a link to an agent.
    Connect {
        /// Id of the new link, never reused.
        link: ids::LinkId,
        /// Target that the agent belongs to.
        target: ids::TargetName,
        /// Address of the agent.
        address: net::SocketAddr,
    },
    /// Close a link; the reducer already treats it as closed.
    CloseLink {
        /// Link to close.
        link: ids::LinkId,
    },
    /// Send a frame to an agent.
    Send {
        /// Link to send on.
        link: ids::LinkId,
        /// Frame to send.
        frame: frames::GatewayFrame,
    },
    /// Send a reply to a caller.
    Reply {
        /// Call that the reply belongs to.
        call: ids::CallId,
        /// Content of the reply.
        reply: CallReply,
    },
    /// Exit the process; a stop was requested and all calls have ended.
    Exit,
}
