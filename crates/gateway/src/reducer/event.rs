//! Inputs of the gateway's reducer.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::limit;
use kingcupfall_policy::quarantine;

use crate::state;

/// A new call from an authenticated caller.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRequest {
    /// Id of the call, unique within this gateway process.
    pub call: ids::CallId,
    /// Organisation, class, priority and weight of the caller.
    pub tag: work::CallerTag,
    /// Fingerprint of the request, equal when the request is sent again.
    pub fingerprint: work::RequestFingerprint,
    /// Requested generation or service call.
    pub work: work::WorkRequest,
    /// Whether tokens are sent as they arrive; otherwise in one reply at the end.
    pub stream: bool,
    /// Whether the call may run more than once; if not, it runs under an idempotency key.
    pub repeatable: bool,
    /// Idempotency key that the caller sent.
    pub key: Option<keys::IdempotencyKey>,
    /// Time on the gateway's clock after which no attempt of the call is started.
    pub start_deadline: time::Timestamp,
}

/// A caller's request for the rest of a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct ResumeRequest {
    /// Id of the new call.
    pub call: ids::CallId,
    /// Organisation, class, priority and weight of the caller.
    pub tag: work::CallerTag,
    /// Stream to resume and the last token that the caller received.
    pub token: state::ResumeToken,
}

/// A request for an idempotency key.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyRequest {
    /// Id of this request; shares the id space of calls.
    pub call: ids::CallId,
    /// Organisation, class, priority and weight of the caller.
    pub tag: work::CallerTag,
    /// Service that the key will be used with.
    pub service: ids::ServiceName,
}

/// Active limits of one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitListing {
    /// Organisation that the limits apply to.
    pub organisation: ids::OrganisationName,
    /// Limits; `None` if the organisation is unlimited.
    pub limit: Option<limit::OrganisationLimit>,
}

/// Input of the reducer: a request, a message, or the passage of time.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayEvent {
    /// A caller made a call.
    Call(Box<CallRequest>),
    /// A caller requested the rest of a stream.
    Resume(Box<ResumeRequest>),
    /// A caller requested an idempotency key.
    IssueKey(Box<KeyRequest>),
    /// The caller's connection consumed all tokens before `next`.
    TokensDelivered {
        /// Call that the tokens belong to.
        call: ids::CallId,
        /// Sequence number of the first token not consumed yet.
        next: measures::SequenceNumber,
    },
    /// The caller's connection closed. Ignored if the call has ended.
    CallerDisconnected {
        /// Call of the connection.
        call: ids::CallId,
    },
    /// A requested link opened; the agent has not sent its hello yet.
    LinkOpened {
        /// Id from the connect effect.
        link: ids::LinkId,
    },
    /// A link was closed, lost, or could not be opened.
    LinkClosed {
        /// Id from the connect effect.
        link: ids::LinkId,
    },
    /// A frame from an agent arrived.
    FrameReceived {
        /// Link that the frame arrived on.
        link: ids::LinkId,
        /// Decoded frame.
        frame: frames::AgentFrame,
    },
    /// The active targets changed; the list is complete.
    TargetsChanged(Vec<state::TargetListing>),
    /// The active limits of the listed organisations changed; others keep theirs.
    LimitsChanged(Vec<LimitListing>),
    /// Another gateway sent its suspected and quarantined requests.
    SuspectsReceived(Vec<quarantine::SuspectRecord>),
    /// A stop was requested; the process exits once all calls have ended.
    Stop,
    /// Time has passed; sent at least every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}
