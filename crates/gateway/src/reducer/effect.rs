//! Effects that the gateway's reducer asks for.

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

/// Why a call ended without its answer; stable text for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemCode {
    /// Every target is busy, or the retry budget is used up.
    Overloaded,
    /// The organisation is over its limits.
    LimitReached,
    /// No target can run the call.
    NoTarget,
    /// The call was not started before its deadline.
    DeadlinePassed,
    /// The request has crashed targets and is refused for a time.
    Quarantined,
    /// This gateway is stopping.
    GatewayStopping,
    /// The target was lost while it ran the call.
    TargetLost,
    /// The target answered with an error of its own.
    TargetError,
    /// The target can't be reached, and may run the call.
    TargetUnreachable,
    /// The idempotency key has expired, or its executor is gone.
    KeyExpired,
    /// The idempotency key was used with another request.
    KeyMismatch,
    /// The call ran, and its answer is lost.
    AnswerLost,
    /// The rest of the stream is not kept any more.
    ResumeExpired,
    /// The target can't run a request like this.
    Unfit,
    /// The caller took the stream over on another connection.
    Superseded,
}

impl ProblemCode {
    /// Returns the stable text.
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
            Self::AnswerLost => "answer_lost",
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

/// The final answer to a call that has none from its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallProblem {
    /// What is known of the call.
    pub outcome: work::CallOutcome,
    /// Why.
    pub code: ProblemCode,
    /// When the caller may try again; `None` when that would not help.
    pub retry_after: Option<Duration>,
    /// Key under which the call ran or may have run.
    pub key: Option<keys::IdempotencyKey>,
}

/// Tokens for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenReply {
    /// Target that generates.
    pub target: ids::TargetName,
    /// Life of its agent.
    pub incarnation: ids::Incarnation,
    /// The generation.
    pub attempt: ids::AttemptId,
    /// Place of the first token.
    pub first: measures::SequenceNumber,
    /// Texts of the tokens.
    pub tokens: Vec<Box<str>>,
}

/// A whole answer of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeReply {
    /// The generation.
    pub attempt: ids::AttemptId,
    /// Texts of all tokens.
    pub tokens: Vec<Box<str>>,
    /// Why it ended.
    pub reason: work::FinishReason,
    /// Key under which it ran.
    pub key: Option<keys::IdempotencyKey>,
}

/// An answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The answer.
    pub answer: work::ServiceResponse,
    /// Key under which the call ran.
    pub key: Option<keys::IdempotencyKey>,
    /// Whether an earlier call with the key ran it.
    pub replayed: bool,
}

/// Something for a caller. All but `Tokens` end the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReply {
    /// More tokens of a stream.
    Tokens(TokenReply),
    /// The end of a stream.
    Finished {
        /// Number of its tokens.
        total: measures::SequenceNumber,
        /// Why it ended.
        reason: work::FinishReason,
    },
    /// A whole answer.
    Whole(WholeReply),
    /// The answer of a service.
    Service(ServiceReply),
    /// An idempotency key.
    Key(keys::IdempotencyKey),
    /// No answer.
    Problem(CallProblem),
}

/// One effect.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayEffect {
    /// Open a link to an agent.
    Connect {
        /// Number of the link.
        link: ids::LinkId,
        /// Target whose agent it is.
        target: ids::TargetName,
        /// Address of the agent.
        address: net::SocketAddr,
    },
    /// Close a link.
    CloseLink {
        /// The link.
        link: ids::LinkId,
    },
    /// Send a frame.
    Send {
        /// Link to send on.
        link: ids::LinkId,
        /// The frame.
        frame: frames::GatewayFrame,
    },
    /// Give something to a caller.
    Reply {
        /// The call.
        call: ids::CallId,
        /// What to give.
        reply: CallReply,
    },
    /// End the process; all calls have ended.
    Exit,
}
