//! Events that the gateway's reducer takes.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::limit;
use kingcupfall_policy::quarantine;

use crate::state;

/// A call of an authenticated caller.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRequest {
    /// Id of the call, unique at this gateway.
    pub call: ids::CallId,
    /// Whose call it is.
    pub tag: work::CallerTag,
    /// Fingerprint of the request.
    pub fingerprint: work::RequestFingerprint,
    /// What is asked for.
    pub work: work::WorkRequest,
    /// Whether tokens are sent as they come.
    pub stream: bool,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Key that the caller sent.
    pub key: Option<keys::IdempotencyKey>,
    /// Time on the gateway's clock after which the call need not be started.
    pub start_deadline: time::Timestamp,
}

/// A caller's wish to have the rest of a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct ResumeRequest {
    /// Id of the new call.
    pub call: ids::CallId,
    /// Whose call it is.
    pub tag: work::CallerTag,
    /// What the caller has.
    pub token: state::ResumeToken,
}

/// A wish for an idempotency key.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyRequest {
    /// Id of this wish, among the calls.
    pub call: ids::CallId,
    /// Whose key it is.
    pub tag: work::CallerTag,
    /// Service that the key is for.
    pub service: ids::ServiceName,
}

/// Limits of one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitListing {
    /// The organisation.
    pub organisation: ids::OrganisationName,
    /// Its limits; `None` when it has none.
    pub limit: Option<limit::OrganisationLimit>,
}

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayEvent {
    /// A caller made a call.
    Call(Box<CallRequest>),
    /// A caller wants the rest of a stream.
    Resume(Box<ResumeRequest>),
    /// A caller wants an idempotency key.
    IssueKey(Box<KeyRequest>),
    /// The caller's connection has taken all tokens before `next`.
    CallerTook {
        /// The call.
        call: ids::CallId,
        /// First token not taken.
        next: measures::SequenceNumber,
    },
    /// The caller's connection is gone.
    CallerGone {
        /// The call.
        call: ids::CallId,
    },
    /// A link that was asked for is open.
    LinkOpened {
        /// The link.
        link: ids::LinkId,
    },
    /// A link was closed, lost, or could not be opened.
    LinkClosed {
        /// The link.
        link: ids::LinkId,
    },
    /// A frame came in.
    Frame {
        /// Link it came on.
        link: ids::LinkId,
        /// The frame.
        frame: frames::AgentFrame,
    },
    /// The targets in force, all of them.
    Targets(Vec<state::TargetListing>),
    /// The limits in force of some organisations.
    Limits(Vec<LimitListing>),
    /// Records of suspects from other gateways.
    Suspects(Vec<quarantine::SuspectRecord>),
    /// The process was asked to stop when all calls have ended.
    Stop,
    /// Time has passed; comes at least every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}
