//! Messages between the fleet reducers of two processes, and their CBOR encoding.

use std::result;

use kingcupfall_core::ids;
use kingcupfall_link::codec;
use kingcupfall_policy::quarantine;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::members;
use crate::sections;

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Most entries in a list of one message.
pub const MAX_LIST_LENGTH: usize = 256;

/// Result of encoding or decoding a message.
pub type Result<T> = result::Result<T, MessageError>;

quick_error! {
    /// Reason why bytes are not a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum MessageError {
        /// The message is larger than [`MAX_MESSAGE_BYTES`].
        TooLarge(length: usize) {
            display("a message has at most {} bytes, this one has {}", MAX_MESSAGE_BYTES, length)
        }
        /// A list holds more than [`MAX_LIST_LENGTH`] entries.
        TooLong(length: usize) {
            display("a list has at most {} entries, this one has {}", MAX_LIST_LENGTH, length)
        }
        /// The bytes are not CBOR of the expected shape.
        Malformed(error: codec::CodecError) {
            display("{}", error)
            from()
        }
    }
}

/// Digests of what a process knows, sent with each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Digest of the heads of the sections in force.
    #[serde(rename = "c")]
    pub sections: u64,
    /// Digest of the suspects.
    #[serde(rename = "q")]
    pub suspects: u64,
}

/// Wish for a version of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRequest {
    /// Oldest version that is of use.
    #[serde(rename = "wanted")]
    pub requested: sections::SectionHead,
    /// Version that the asking process has; patches may start there.
    pub base: Option<sections::VersionHead>,
}

/// Wish for parts of a version of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The version.
    pub head: sections::SectionHead,
    /// Places of the parts in its manifest.
    pub indexes: Vec<u16>,
}

/// A message between two fleet reducers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Opens a link between two gateways.
    Hello(Box<members::MemberRecord>),
    /// Asks a gateway to feed the sending agent.
    Subscribe,
    /// Shows that the sender is alive, and what it knows.
    Heartbeat(HeartbeatMessage),
    /// Heads of all sections in force, in answer to a digest that differs or a new link.
    AllHeads(Vec<sections::SectionHead>),
    /// Heads of sections that have just changed.
    NewHeads(Vec<sections::SectionHead>),
    /// Asks for a version of a section.
    Pull(SectionRequest),
    /// Yields a newer version of a section from one that the receiver has.
    Patch(sections::SectionPatch),
    /// Names the parts of a version.
    Manifest(sections::SectionManifest),
    /// Asks for parts.
    PullParts(PartRequest),
    /// Carries a part.
    Part(sections::SectionPart),
    /// Says that the wanted version is not held here.
    Unavailable(sections::SectionHead),
    /// Records of gateways.
    Members(Vec<members::MemberRecord>),
    /// Requests that may crash targets.
    Suspects(Vec<quarantine::SuspectRecord>),
    /// VMs that leave.
    Departures(Vec<ids::VmName>),
}

/// Encodes a message.
///
/// # Errors
///
/// [`MessageError::TooLarge`] when the encoded message passes the limit.
pub fn encode(message: &FleetMessage) -> Result<Vec<u8>> {
    let bytes = codec::encode(message)?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Any [`MessageError`]; the bytes come from a peer and may be anything.
pub fn decode(bytes: &[u8]) -> Result<FleetMessage> {
    check_size(bytes.len())?;
    let message: FleetMessage = codec::decode(bytes)?;

    check(&message)?;
    Ok(message)
}

/// Checks the limits of a decoded message.
///
/// # Errors
///
/// [`MessageError::TooLong`] when a list is too long, [`MessageError::TooLarge`] when a value is.
pub fn check(message: &FleetMessage) -> Result<()> {
    let length = list_length(message);
    if length > MAX_LIST_LENGTH {
        return Err(MessageError::TooLong(length));
    }
    check_size(value_size(message))
}

fn check_size(length: usize) -> Result<()> {
    if length > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLarge(length));
    }
    Ok(())
}

fn list_length(message: &FleetMessage) -> usize {
    match message {
        FleetMessage::AllHeads(heads) | FleetMessage::NewHeads(heads) => heads.len(),
        FleetMessage::PullParts(request) => request.indexes.len(),
        FleetMessage::Members(records) => records.len(),
        FleetMessage::Suspects(records) => records.len(),
        FleetMessage::Departures(vms) => vms.len(),
        FleetMessage::Hello(_)
        | FleetMessage::Subscribe
        | FleetMessage::Heartbeat(_)
        | FleetMessage::Pull(_)
        | FleetMessage::Patch(_)
        | FleetMessage::Manifest(_)
        | FleetMessage::Part(_)
        | FleetMessage::Unavailable(_) => 0,
    }
}

fn value_size(message: &FleetMessage) -> usize {
    match message {
        FleetMessage::Patch(patch) => patch.middle.len(),
        FleetMessage::Part(part) => part.bytes.len(),
        FleetMessage::Manifest(manifest) => manifest.parts.len() * size_of::<u64>(),
        FleetMessage::Hello(_)
        | FleetMessage::Subscribe
        | FleetMessage::Heartbeat(_)
        | FleetMessage::AllHeads(_)
        | FleetMessage::NewHeads(_)
        | FleetMessage::Pull(_)
        | FleetMessage::PullParts(_)
        | FleetMessage::Unavailable(_)
        | FleetMessage::Members(_)
        | FleetMessage::Suspects(_)
        | FleetMessage::Departures(_) => 0,
    }
}
