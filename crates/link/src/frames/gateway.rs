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

/// First frame that a gateway sends on a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayHello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Id of the sender's process.
    pub gateway: ids::ProcessId,
    /// Zone of the sender.
    pub zone: ids::ZoneName,
}

/// Order to start an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Id of the attempt; an agent accepts each id once.
    pub attempt: ids::AttemptId,
    /// Origin and class of the call.
    pub tag: work::CallerTag,
    /// Fingerprint of the request; the same if the request is sent again.
    pub fingerprint: work::RequestFingerprint,
    /// Request to run.
    pub request: work::WorkRequest,
    /// Time on the agent's clock after which the attempt must not start.
    pub start_by: time::Timestamp,
    /// Idempotency key of a call that must run at most once; `None` for any other call.
    pub key: Option<keys::IdempotencyKey>,
    /// Whether tokens are sent as they are generated; otherwise they are sent together at the end.
    pub stream: bool,
    /// Whether the request may crash targets. The agent runs it only while it has no other suspect.
    pub suspect: bool,
}

/// Order to send the tokens of a generation from `next` on over this link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeOrder {
    /// Attempt whose tokens are requested.
    pub attempt: ids::AttemptId,
    /// Organisation of the caller; another organisation's attempts are reported as not found.
    pub organisation: ids::OrganisationName,
    /// Position of the first token requested.
    pub next: measures::SequenceNumber,
    /// Id of the caller's subscription; `None` for the one that the start order created.
    pub subscription: Option<ids::Nonce>,
    /// Deadline of the start order if this gateway sent it. The agent then refuses an attempt that
    /// it does not know, which never runs; with `None` its reply leaves open whether it ran.
    pub start_by: Option<time::Timestamp>,
}

/// Order to cancel an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    /// Attempt to cancel.
    pub attempt: ids::AttemptId,
    /// Deadline of the attempt's start order, on the agent's clock.
    pub start_by: time::Timestamp,
    /// Whether to cancel the attempt only while it is queued. If it has started, it continues and
    /// the agent does not reply.
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
    /// Cancels an attempt, and makes the agent refuse copies of its start order that arrive later.
    Cancel(CancelOrder),
    /// Reports that the caller disconnected. For a short time it may reconnect through any gateway.
    Detach {
        /// Attempt whose caller disconnected.
        attempt: ids::AttemptId,
    },
    /// Redirects an attempt's tokens to this link.
    Resume(ResumeOrder),
    /// Reports that the caller has received all tokens before `next`.
    Acknowledge {
        /// Attempt whose tokens were received.
        attempt: ids::AttemptId,
        /// Position of the first token that the caller has not received yet.
        next: measures::SequenceNumber,
    },
    /// Reports that the gateway has processed the end of an attempt.
    #[serde(rename = "Settled")]
    EndAcknowledged {
        /// Attempt that ended.
        attempt: ids::AttemptId,
    },
    /// Acknowledges a heartbeat of a leaving agent. The gateway has processed all frames before it
    /// and starts nothing new on this link.
    #[serde(rename = "LeavingSeen")]
    LeavingAcknowledged {
        /// Time in the heartbeat, on the agent's clock.
        pulse: time::Timestamp,
    },
    /// Reports that the gateway is alive.
    Heartbeat,
    /// Message of the fleet crate, which encodes and decodes it.
    Fleet(#[serde_as(as = "Bytes")] Vec<u8>),
}
