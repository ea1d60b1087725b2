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

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Maximum number of entries in any list of a message.
pub const MAX_LIST_LENGTH: usize = 256;

/// Result of encoding or decoding a message.
pub type Result<T> = result::Result<T, MessageError>;

quick_error! {
    /// Reason why a message could not be encoded or decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum MessageError {
        /// The message is larger than [`MAX_MESSAGE_BYTES`].
        TooLarge(length: usize) {
            display("message has {} bytes, at most {} are allowed", length, MAX_MESSAGE_BYTES)
        }
        /// A list has more than [`MAX_LIST_LENGTH`] entries.
        TooLong(length: usize) {
            display("list has {} entries, at most {} are allowed", length, MAX_LIST_LENGTH)
        }
        /// The bytes are not CBOR of the expected structure.
        Malformed(error: codec::CodecError) {
            display("{}", error)
            from()
        }
    }
}

/// Digests of the state of a process, sent with each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Digest of the heads of all kept sections, accepted and rejected.
    #[serde(rename = "c")]
    pub sections: u64,
    /// Digest of the requests that may crash targets.
    #[serde(rename = "q")]
    pub suspects: u64,
}

/// Request for a version of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRequest {
    /// Oldest version that the requester accepts.
    #[serde(rename = "wanted")]
    pub requested: sections::SectionHead,
    /// Version that the requester has, from which patches may start.
    pub base: Option<sections::VersionHead>,
}

/// Request for parts of a version of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The version of the section.
    pub head: sections::SectionHead,
    /// Indexes of the parts in the manifest of the version.
    pub indexes: Vec<u16>,
}

/// A message between two fleet reducers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// First message on a link between two gateways: the record of the sender.
    Hello(Box<members::MemberRecord>),
    /// Subscribes the sending agent to the updates of a gateway.
    Subscribe,
    /// Shows that the sender is alive, and carries digests of its state.
    Heartbeat(HeartbeatMessage),
    /// Heads of all kept sections, sent on a new link or when digests differ.
    AllHeads(Vec<sections::SectionHead>),
    /// Heads of sections that have just changed.
    NewHeads(Vec<sections::SectionHead>),
    /// Requests a version of a section.
    Pull(SectionRequest),
    /// Changes a version that the receiver has into a newer one.
    Patch(sections::SectionPatch),
    /// Lists the hashes of all parts of a version.
    Manifest(sections::SectionManifest),
    /// Requests parts of a version.
    PullParts(PartRequest),
    /// One part of a version.
    Part(sections::SectionPart),
    /// Reports that the sender does not hold the requested version.
    Unavailable(sections::SectionHead),
    /// Records of gateways.
    Members(Vec<members::MemberRecord>),
    /// Requests that may crash targets.
    Suspects(Vec<quarantine::SuspectRecord>),
    /// VMs that are leaving.
    Departures(Vec<ids::VmName>),
}

/// Encodes a message as CBOR.
///
/// # Errors
///
/// Returns [`MessageError::TooLarge`] if the encoded message exceeds the limit, or
/// [`MessageError::Malformed`] if it cannot be encoded.
pub fn encode(message: &FleetMessage) -> Result<Vec<u8>> {
    let bytes = codec::encode(message)?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes a message and checks its limits.
///
/// # Errors
///
/// May return any [`MessageError`], as the bytes come from a peer and may be anything.
pub fn decode(bytes: &[u8]) -> Result<FleetMessage> {
    check_size(bytes.len())?;
    let message: FleetMessage = codec::decode(bytes)?;

    check(&message)?;
    Ok(message)
}

/// Checks the sizes of a decoded message against the limits.
///
/// # Errors
///
/// Returns [`MessageError::TooLong`] if a list has too many entries, or [`MessageError::TooLarge`]
/// if a value is too large.
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
