//! Messages from the servers and links to the task that owns the reducer.

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

/// Sends commands to the task that owns the reducer.
///
/// The channel is unbounded; the call slots bound the number of calls that use it.
pub type CommandSender = mpsc::UnboundedSender<DriverCommand>;

/// Sends the events of links; a full channel pauses the links.
pub type LinkEventSender = mpsc::Sender<LinkEvent>;

/// The driver's ends of the channels to one caller's connection.
#[derive(Debug)]
pub struct CallerChannels {
    /// The replies to the call, in order.
    pub replies: mpsc::Sender<reducer::CallReply>,
    /// Signalled when the caller has read nothing for the write timeout.
    pub abort: oneshot::Sender<()>,
}

/// A command to the task that owns the reducer.
pub enum DriverCommand {
    /// Opens a call, a resumed stream or a request for an idempotency key.
    OpenCall {
        /// Id of the new call.
        call: ids::CallId,
        /// Event that opens the call in the reducer.
        event: reducer::GatewayEvent,
        /// Channels to the caller's connection.
        channels: CallerChannels,
    },
    /// Progress or end of a caller's connection, as an event for the reducer.
    CallerEvent(reducer::GatewayEvent),
    /// Makes a document active.
    ActivateDocument(Arc<acceptance::DocumentAcceptance>),
    /// Adds VMs that were newly reported as leaving.
    AddDepartures(Vec<ids::VmName>),
    /// Makes the gateway a member of a fleet.
    JoinFleet(fleet::FleetHandle),
    /// Sends a frame of the fleet's protocol to an agent.
    FleetFrame {
        /// Link to send on.
        link: ids::LinkId,
        /// The encoded frame.
        bytes: Vec<u8>,
    },
    /// Merges suspects that other gateways reported.
    MergeSuspects(Vec<quarantine::SuspectRecord>),
    /// Queries the reducer's state for the administration API.
    Query {
        /// What to query.
        query: administration::StateQuery,
        /// Receives the result.
        reply: oneshot::Sender<administration::StateReply>,
    },
    /// Refuses new calls, and stops the gateway when all calls have ended.
    Stop,
}

/// A change or incoming frames on a link to an agent.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link was opened.
    Opened {
        /// Id of the link.
        link: ids::LinkId,
    },
    /// Frames were received.
    Frames {
        /// Id of the link.
        link: ids::LinkId,
        /// The frames, in order.
        frames: Vec<frames::AgentFrame>,
    },
    /// The link was closed, or could not be opened.
    Closed {
        /// Id of the link.
        link: ids::LinkId,
    },
}
