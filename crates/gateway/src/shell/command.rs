//! What the servers and links tell the task that owns the reducer.

use std::sync::Arc;

use kingcupfall_core::ids;
use kingcupfall_document::acceptance;
use kingcupfall_fleet::shell as fleet;
use kingcupfall_link::frames;
use kingcupfall_policy::quarantine;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::administration;
use crate::reducer;

/// Sends commands to the task that owns the reducer; its callers are bounded by call slots.
pub type CommandSender = mpsc::UnboundedSender<DriverCommand>;

/// Sends what happens on links; a full channel holds the links back.
pub type LinkEventSender = mpsc::Sender<LinkEvent>;

/// Where the replies to one call go.
#[derive(Debug)]
pub struct CallerChannels {
    /// Replies, in order.
    pub replies: mpsc::Sender<reducer::CallReply>,
    /// Told when the caller has read nothing for too long.
    pub abort: oneshot::Sender<()>,
}

/// A command to the task that owns the reducer.
pub enum DriverCommand {
    /// A new call, resumed stream or wish for a key.
    OpenCall {
        /// Id of the call.
        call: ids::CallId,
        /// Event that opens it.
        event: reducer::GatewayEvent,
        /// Where its replies go.
        channels: CallerChannels,
    },
    /// Something that a caller's connection did.
    CallerEvent(reducer::GatewayEvent),
    /// A document to put in force.
    ActivateDocument(Arc<acceptance::DocumentAcceptance>),
    /// VMs that are newly known to leave.
    AddDepartures(Vec<ids::VmName>),
    /// The fleet that the gateway belongs to from now on.
    JoinFleet(fleet::FleetHandle),
    /// Bytes of the fleet for an agent.
    FleetFrame {
        /// Link to send on.
        link: ids::LinkId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Suspects that other gateways know of.
    MergeSuspects(Vec<quarantine::SuspectRecord>),
    /// A question of the administration API.
    Query {
        /// The question.
        query: administration::StateQuery,
        /// Where the answer goes.
        reply: oneshot::Sender<administration::StateAnswer>,
    },
    /// Stop when all calls have ended.
    Stop,
}

/// Something that happened on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link is open.
    Opened {
        /// The link.
        link: ids::LinkId,
    },
    /// Frames came in.
    Frames {
        /// The link.
        link: ids::LinkId,
        /// The frames, in order.
        frames: Vec<frames::AgentFrame>,
    },
    /// The link is closed, or could not be opened.
    Closed {
        /// The link.
        link: ids::LinkId,
    },
}
