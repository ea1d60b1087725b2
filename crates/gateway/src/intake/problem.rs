//! Problem responses to callers: RFC 9457 objects extended with an outcome and a stable code.

use std::fmt;
use std::time::Duration;

use kingcupfall_core::findings;
use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::work;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use serde_with::skip_serializing_none;

use crate::reducer;

/// Why a request was refused before it became a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum IntakeCode {
    /// The bearer key is missing, or belongs to no organisation.
    Unauthorized,
    /// The body, a header or the path is invalid.
    InvalidRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The document has no such model.
    UnknownModel,
    /// The document has no such service.
    UnknownService,
    /// No endpoint has this path.
    UnknownPath,
    /// The endpoint does not support this method.
    MethodNotAllowed,
    /// The idempotency key is malformed, or was not issued to this organisation.
    InvalidKey,
    /// The idempotency key belongs to another service.
    KeyMismatch,
    /// The gateway has reached its limit of calls in progress.
    GatewayBusy,
    /// The gateway has no document yet.
    GatewayStarting,
    /// The gateway is stopping.
    GatewayStopping,
}

impl IntakeCode {
    /// Returns the stable text that callers match on.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::InvalidRequest => "invalid_request",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::UnknownModel => "unknown_model",
            Self::UnknownService => "unknown_service",
            Self::UnknownPath => "unknown_path",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::InvalidKey => "invalid_key",
            Self::KeyMismatch => "key_mismatch",
            Self::GatewayBusy => "gateway_busy",
            Self::GatewayStarting => "gateway_starting",
            Self::GatewayStopping => "gateway_stopping",
        }
    }

    /// Returns true if the request is refused before its body has been read in full.
    ///
    /// The connection can't be reused then: the next request can't be told apart from the rest of
    /// the body.
    pub const fn leaves_body_unread(self) -> bool {
        match self {
            Self::Unauthorized
            | Self::BodyTooLarge
            | Self::BodyTimeout
            | Self::UnknownPath
            | Self::MethodNotAllowed
            | Self::GatewayBusy
            | Self::GatewayStarting
            | Self::GatewayStopping => true,
            Self::InvalidRequest
            | Self::UnknownModel
            | Self::UnknownService
            | Self::InvalidKey
            | Self::KeyMismatch => false,
        }
    }

    /// Returns the HTTP status code.
    pub const fn status(self) -> u16 {
        match self {
            Self::InvalidRequest | Self::InvalidKey => 400,
            Self::Unauthorized => 401,
            Self::UnknownModel | Self::UnknownService | Self::UnknownPath => 404,
            Self::MethodNotAllowed => 405,
            Self::BodyTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::KeyMismatch => 422,
            Self::GatewayBusy | Self::GatewayStarting | Self::GatewayStopping => 503,
        }
    }
}

/// Body of a problem response.
#[serde_as]
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ProblemDetails {
    /// Reason phrase of the HTTP status.
    pub title: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Stable machine-readable code: the text of an [`IntakeCode`] or a [`reducer::ProblemCode`].
    pub code: &'static str,
    /// Whether the call ran, as far as the gateway knows.
    pub outcome: work::CallOutcome,
    /// Human-readable description of the problem.
    pub detail: Box<str>,
    /// Time after which the caller may retry, serialised in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
    /// Idempotency key under which the call ran or may have run.
    pub idempotency_key: Option<Box<str>>,
    /// Whether the connection must be closed because the body was not read.
    #[serde(skip)]
    pub closes_connection: bool,
    /// Errors found in the request.
    #[serde(skip_serializing_if = "findings::FindingList::is_empty")]
    pub findings: findings::FindingList,
}

impl ProblemDetails {
    /// Creates the problem of a request that did not become a call.
    pub fn new(code: IntakeCode, outcome: work::CallOutcome, detail: &str) -> Self {
        Self {
            title: status_title(code.status()),
            status: code.status(),
            code: code.as_str(),
            outcome,
            detail: detail.into(),
            retry_after: None,
            idempotency_key: None,
            closes_connection: code.leaves_body_unread(),
            findings: findings::FindingList::default(),
        }
    }

    /// Creates the problem of an invalid request.
    pub fn of_findings(outcome: work::CallOutcome, findings: findings::FindingList) -> Self {
        let detail = "the request is invalid; `findings` lists the errors";
        let mut problem = Self::new(IntakeCode::InvalidRequest, outcome, detail);
        problem.findings = findings;
        problem
    }

    /// Creates the problem that ended a call of `organisation`. The call's idempotency key, if any,
    /// is signed for that organisation.
    pub fn of_call(
        problem: &reducer::CallProblem,
        signing_key: &keys::SigningKey,
        organisation: &ids::OrganisationName,
    ) -> Self {
        let status = call_status(problem.code);
        Self {
            title: status_title(status),
            status,
            code: problem.code.as_str(),
            outcome: problem.outcome,
            detail: call_detail(problem.code).into(),
            retry_after: problem.retry_after,
            idempotency_key: problem
                .key
                .as_ref()
                .map(|key| signing_key.sign(key, organisation)),
            closes_connection: false,
            findings: findings::FindingList::default(),
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl fmt::Display for ProblemDetails {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for ProblemDetails {}

/// Returns the HTTP status of a call that ended in a problem.
const fn call_status(code: reducer::ProblemCode) -> u16 {
    match code {
        reducer::ProblemCode::Superseded => 409,
        reducer::ProblemCode::KeyExpired | reducer::ProblemCode::ResumeExpired => 410,
        reducer::ProblemCode::Quarantined
        | reducer::ProblemCode::KeyMismatch
        | reducer::ProblemCode::Unfit => 422,
        reducer::ProblemCode::LimitReached => 429,
        reducer::ProblemCode::TargetLost
        | reducer::ProblemCode::TargetError
        | reducer::ProblemCode::TargetUnreachable
        | reducer::ProblemCode::ResponseLost => 502,
        reducer::ProblemCode::Overloaded
        | reducer::ProblemCode::NoTarget
        | reducer::ProblemCode::GatewayStopping => 503,
        reducer::ProblemCode::DeadlinePassed => 504,
    }
}

/// Returns the description of a call that ended in a problem.
const fn call_detail(code: reducer::ProblemCode) -> &'static str {
    match code {
        reducer::ProblemCode::Overloaded => "every target that can run the call is busy",
        reducer::ProblemCode::LimitReached => "the organisation is over its limits",
        reducer::ProblemCode::NoTarget => "no target that can run the call is available",
        reducer::ProblemCode::DeadlinePassed => "the call did not start before its deadline",
        reducer::ProblemCode::Quarantined => {
            "the request has crashed targets and is refused for a time"
        }
        reducer::ProblemCode::GatewayStopping => "this gateway is stopping; use another",
        reducer::ProblemCode::TargetLost => "the target was lost while it was running the call",
        reducer::ProblemCode::TargetError => "the target responded with an error",
        reducer::ProblemCode::TargetUnreachable => "the target can't be reached",
        reducer::ProblemCode::KeyExpired => {
            "the idempotency key has expired, or its target is gone"
        }
        reducer::ProblemCode::KeyMismatch => "the idempotency key was used with another request",
        reducer::ProblemCode::ResponseLost => "the call ran, but its response was lost",
        reducer::ProblemCode::ResumeExpired => "the rest of the stream is not kept any more",
        reducer::ProblemCode::Unfit => {
            "the target can't run this request, for instance because it exceeds its memory"
        }
        reducer::ProblemCode::Superseded => "the stream was resumed on another connection",
    }
}

/// Returns the reason phrase of an HTTP status.
const fn status_title(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
