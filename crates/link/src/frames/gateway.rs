//! Frames that a gateway sends to an agent.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;

/// First frame of a gateway on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayHello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Process that sends.
    pub gateway: ids::ProcessId,
    /// Zone of the sender.
    pub zone: ids::ZoneName,
}

/// Order to start one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Id of the attempt; an agent accepts each id once.
    pub attempt: ids::AttemptId,
    /// Whose call it is.
    pub tag: work::CallerTag,
    /// Fingerprint of the request, equal when it is sent again.
    pub fingerprint: work::RequestFingerprint,
    /// What to run.
    pub request: work::WorkRequest,
    /// Time on the agent's clock after which the attempt must not start.
    pub start_by: time::Timestamp,
    /// Key of a call that must run at most once.
    pub key: Option<keys::ExecutionKey>,
    /// Whether tokens are sent as they are made; otherwise in one batch at the end.
    pub stream: bool,
    /// Whether the request is suspected of crashing targets and must run beside no other suspect.
    pub suspect: bool,
}

/// Order to send the tokens of a generation from `next` on over this link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeOrder {
    /// Attempt whose tokens are wanted.
    pub attempt: ids::AttemptId,
    /// Organisation of the caller; another organisation's attempts are reported as not found.
    pub organisation: ids::OrganisationName,
    /// First token wanted.
    pub next: measures::Sequence,
    /// Id of this caller's subscription; `None` for that of the start order.
    pub subscription: Option<ids::Nonce>,
    /// Deadline of the start order, when the gateway sent it itself. An attempt that is not known
    /// is then refused for good; without it the answer says nothing of whether the attempt ran.
    pub start_by: Option<time::Timestamp>,
}

/// Order to end an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    /// Attempt to end.
    pub attempt: ids::AttemptId,
    /// Deadline of its start order, on the agent's clock.
    pub start_by: time::Timestamp,
    /// Whether work that has started goes on; the agent then answers only if it had not.
    pub only_waiting: bool,
}

/// A frame from a gateway to an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GatewayFrame {
    /// Opens the link.
    Hello(GatewayHello),
    /// Starts an attempt.
    Start(Box<StartOrder>),
    /// Ends an attempt, and refuses copies of its start order that arrive later.
    Cancel(CancelOrder),
    /// Says that the caller has gone; it may come back through any gateway for a short time.
    Detach {
        /// Attempt whose caller has gone.
        attempt: ids::AttemptId,
    },
    /// Moves an attempt's tokens to this link.
    Resume(ResumeOrder),
    /// Says that the caller has taken all tokens before `next`.
    Acknowledge {
        /// Attempt whose tokens were taken.
        attempt: ids::AttemptId,
        /// First token that was not taken yet.
        next: measures::Sequence,
    },
    /// Says that the gateway has taken the end of an attempt.
    Settled {
        /// Attempt that ended.
        attempt: ids::AttemptId,
    },
    /// Answers a pulse of a leaving agent: everything before it has come in, and the gateway starts
    /// nothing new on this link.
    LeavingSeen {
        /// Time in the pulse, on the agent's clock.
        pulse: time::Timestamp,
    },
    /// Shows that the gateway is alive.
    Heartbeat,
    /// Frame of the fleet crate, encoded by it.
    Fleet(#[serde_as(as = "Bytes")] Vec<u8>),
}
