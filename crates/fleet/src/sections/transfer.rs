//! A version of a section that is being fetched from peers.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::ContentHash;
use super::PartHash;
use super::SectionHead;
use super::SectionManifest;
use super::SectionPart;
use super::SectionValue;
use super::VALUE_LIMIT_BYTES;

/// Parts that are asked for together.
const PART_WINDOW: usize = 8;

/// Peers remembered as holders of a wanted version.
const SOURCE_LIMIT: usize = 8;

/// What a transfer needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferStep {
    /// These parts of the version, from the same peer.
    Ask(Vec<u16>),
    /// Nothing until more parts that were asked for arrive.
    Wait,
    /// Nothing; the version is whole.
    Complete(SectionValue),
    /// A fresh start: the parts do not make the version that the manifest names.
    Damaged,
}

/// One version being fetched.
#[derive(Debug)]
pub struct SectionTransfer {
    /// Newest version that a peer is known to hold.
    pub wanted: SectionHead,
    /// Peers that hold it, the next to ask last.
    pub sources: Vec<ids::LinkId>,
    /// Peer that was asked.
    pub asked: Option<ids::LinkId>,
    /// When it was asked or last sent something.
    pub active_at: time::Timestamp,
    manifest: Option<SectionManifest>,
    parts: Vec<Option<Vec<u8>>>,
    outstanding: usize,
    was_damaged: bool,
}

impl SectionTransfer {
    /// Makes a transfer of which nothing was asked yet.
    pub const fn new(wanted: SectionHead, now: time::Timestamp) -> Self {
        Self {
            wanted,
            sources: Vec::new(),
            asked: None,
            active_at: now,
            manifest: None,
            parts: Vec::new(),
            outstanding: 0,
            was_damaged: false,
        }
    }

    /// Notes that a peer holds the wanted version.
    pub fn add_source(&mut self, link: ids::LinkId) {
        let is_known = self.sources.contains(&link) || self.asked == Some(link);
        if !is_known && self.sources.len() < SOURCE_LIMIT {
            self.sources.push(link);
        }
    }

    /// Forgets a peer.
    pub fn remove_source(&mut self, link: ids::LinkId) {
        self.sources.retain(|source| *source != link);
        if self.asked == Some(link) {
            self.abandon_source();
        }
    }

    /// Gives up on the peer that was asked; parts that came in are kept.
    pub const fn abandon_source(&mut self) {
        self.asked = None;
        self.outstanding = 0;
    }

    /// Puts the peer that was asked behind all others, since it has been silent.
    pub fn postpone_source(&mut self) {
        if let Some(link) = self.asked.take() {
            self.sources.insert(0, link);
            self.sources.truncate(SOURCE_LIMIT);
        }
        self.outstanding = 0;
    }

    /// Takes the manifest of a version and fills in the parts that are already `known`.
    ///
    /// After damage all parts are fetched, since two parts may share a hash.
    pub fn take_manifest(
        &mut self,
        manifest: SectionManifest,
        known: &BTreeMap<PartHash, Vec<u8>>,
    ) -> TransferStep {
        let fetched = self.take_fetched();
        let find_part = |hash: &PartHash| {
            let known = known.get(hash).filter(|_| !self.was_damaged);
            fetched.get(hash).or(known).cloned()
        };
        self.parts = manifest.parts.iter().map(find_part).collect();
        self.manifest = Some(manifest);
        self.outstanding = 0;
        self.next_step()
    }

    /// Takes a part.
    pub fn take_part(&mut self, part: SectionPart) -> TransferStep {
        let Some(manifest) = &self.manifest else {
            return TransferStep::Wait;
        };
        let index = usize::from(part.index);
        let expected = manifest.parts.get(index).copied();
        let is_fitting = manifest.head == part.head
            && expected == Some(PartHash::of_bytes(&part.bytes))
            && self.parts[index].is_none();
        if !is_fitting {
            return TransferStep::Wait;
        }

        self.parts[index] = Some(part.bytes);
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding > 0 {
            return TransferStep::Wait;
        }
        self.next_step()
    }

    /// Returns the parts that came in from earlier peers.
    fn take_fetched(&mut self) -> BTreeMap<PartHash, Vec<u8>> {
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

        self.outstanding = missing.len();
        TransferStep::Ask(missing)
    }

    fn complete(&mut self) -> TransferStep {
        let Some(manifest) = &self.manifest else {
            return TransferStep::Wait;
        };
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        let hash = ContentHash::of_bytes(&bytes);
        if hash != manifest.head.head.hash || bytes.len() > VALUE_LIMIT_BYTES {
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
