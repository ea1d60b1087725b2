//! Transfer of a version of a section from peers to this process.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::ContentHash;
use super::MAX_VALUE_BYTES;
use super::PartHash;
use super::SectionHead;
use super::SectionManifest;
use super::SectionPart;
use super::SectionValue;

/// Maximum number of parts requested at a time.
const PART_WINDOW: usize = 8;

/// Maximum number of peers recorded as sources of a version.
const MAX_SOURCES: usize = 8;

/// Next step of a transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferStep {
    /// Request the parts with these indexes from the same peer.
    Request(Vec<u16>),
    /// Wait until more of the requested parts arrive.
    Wait,
    /// The version is complete.
    Complete(SectionValue),
    /// Start over: the parts do not make up the version that the manifest names, or it is too
    /// large.
    Damaged,
}

/// State of the transfer of one version.
#[derive(Debug)]
pub struct SectionTransfer {
    /// Newest version that a peer is known to hold.
    pub requested: SectionHead,
    /// Other peers that hold the version; the last one is the next to request it from.
    pub sources: Vec<ids::LinkId>,
    /// Peer that the version was requested from; `None` if no request is pending.
    pub current_source: Option<ids::LinkId>,
    /// Time of the last request for the version or of the last message received for it.
    pub active_at: time::Timestamp,
    manifest: Option<SectionManifest>,
    parts: Vec<Option<Vec<u8>>>,
    outstanding_parts: usize,
    was_damaged: bool,
}

impl SectionTransfer {
    /// Creates a transfer without sources, of which nothing was requested yet.
    pub const fn new(requested: SectionHead, now: time::Timestamp) -> Self {
        Self {
            requested,
            sources: Vec::new(),
            current_source: None,
            active_at: now,
            manifest: None,
            parts: Vec::new(),
            outstanding_parts: 0,
            was_damaged: false,
        }
    }

    /// Records that a peer holds the version, unless enough sources are recorded.
    pub fn add_source(&mut self, link: ids::LinkId) {
        let is_known = self.sources.contains(&link) || self.current_source == Some(link);
        if !is_known && self.sources.len() < MAX_SOURCES {
            self.sources.push(link);
        }
    }

    /// Removes a peer from the sources, and abandons its request if it is the current source.
    pub fn remove_source(&mut self, link: ids::LinkId) {
        self.sources.retain(|source| *source != link);
        if self.current_source == Some(link) {
            self.abandon_source();
        }
    }

    /// Abandons the request to the current source, and forgets that it holds the version. Parts
    /// received so far are kept.
    pub const fn abandon_source(&mut self) {
        self.current_source = None;
        self.outstanding_parts = 0;
    }

    /// Moves the current source behind all others, as it has not responded in time.
    pub fn postpone_source(&mut self) {
        if let Some(link) = self.current_source.take() {
            self.sources.insert(0, link);
            self.sources.truncate(MAX_SOURCES);
        }
        self.outstanding_parts = 0;
    }

    /// Handles the manifest of a version and fills in the parts that were received before or are
    /// in `known`.
    ///
    /// After a damaged transfer the `known` parts are not used, as two parts may have the same hash.
    pub fn handle_manifest(
        &mut self,
        manifest: SectionManifest,
        known: &BTreeMap<PartHash, Vec<u8>>,
    ) -> TransferStep {
        let held = self.take_parts();
        let find_part = |hash: &PartHash| {
            let known = known.get(hash).filter(|_| !self.was_damaged);
            held.get(hash).or(known).cloned()
        };
        self.parts = manifest.parts.iter().map(find_part).collect();
        self.manifest = Some(manifest);
        self.outstanding_parts = 0;
        self.next_step()
    }

    /// Handles a received part. Parts that do not match the manifest are ignored.
    pub fn handle_part(&mut self, part: SectionPart) -> TransferStep {
        let Some(manifest) = &self.manifest else {
            return TransferStep::Wait;
        };
        let index = usize::from(part.index);
        let expected = manifest.parts.get(index).copied();
        let is_expected = manifest.head == part.head
            && expected == Some(PartHash::of_bytes(&part.bytes))
            && self.parts[index].is_none();
        if !is_expected {
            return TransferStep::Wait;
        }

        self.parts[index] = Some(part.bytes);
        self.outstanding_parts = self.outstanding_parts.saturating_sub(1);
        if self.outstanding_parts > 0 {
            return TransferStep::Wait;
        }
        self.next_step()
    }

    /// Removes the manifest, and returns the parts held so far by hash.
    fn take_parts(&mut self) -> BTreeMap<PartHash, Vec<u8>> {
        let parts = std::mem::take(&mut self.parts).into_iter();
        let hashes = self.manifest.take().map(|manifest| manifest.parts);
        hashes
            .into_iter()
            .flatten()
            .zip(parts)
            .filter_map(|(hash, part)| part.map(|part| (hash, part)))
            .collect()
    }

    fn next_step(&mut self) -> TransferStep {
        let missing = self.parts.iter().enumerate();
        let missing: Vec<u16> = missing
            .filter(|(_, part)| part.is_none())
            .filter_map(|(index, _)| u16::try_from(index).ok())
            .take(PART_WINDOW)
            .collect();
        if missing.is_empty() {
            return self.complete();
        }

        self.outstanding_parts = missing.len();
        TransferStep::Request(missing)
    }

    fn complete(&mut self) -> TransferStep {
        let Some(manifest) = &self.manifest else {
            return TransferStep::Wait;
        };
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        let hash = ContentHash::of_bytes(&bytes);
        if hash != manifest.head.head.hash || bytes.len() > MAX_VALUE_BYTES {
            self.was_damaged = true;
            self.manifest = None;
            self.parts.clear();
            return TransferStep::Damaged;
        }

        TransferStep::Complete(SectionValue {
            section: manifest.head.slot.section.clone(),
            head: manifest.head.head,
            bytes: bytes.into(),
        })
    }
}
