//! The versions that a process keeps: of each section the newest accepted and rejected one.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupfall_core::measures;

use super::ContentHash;
use super::PartHash;
use super::SectionHead;
use super::SectionManifest;
use super::SectionName;
use super::SectionPart;
use super::SectionPatch;
use super::SectionSlot;
use super::SectionVerdict;
use super::VersionHead;
use super::stored;

/// Largest value of a section, in bytes; the configuration service holds no larger ones.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// Most slots that a process keeps.
const SLOT_LIMIT: usize = 256;

/// One version of a section with its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionValue {
    /// The section.
    pub section: SectionName,
    /// Version and hash.
    pub head: VersionHead,
    /// The bytes.
    pub bytes: Arc<[u8]>,
}

impl SectionValue {
    /// Makes the value of `version` of a section.
    pub fn new(section: SectionName, version: measures::SectionVersion, bytes: &[u8]) -> Self {
        let hash = ContentHash::of_bytes(bytes);
        Self {
            section,
            head: VersionHead { version, hash },
            bytes: bytes.into(),
        }
    }
}

/// How a process answers a peer that wants a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SectionAnswer {
    /// Patches that lead from the peer's version to the one in the slot, in order.
    Patches(Vec<SectionPatch>),
    /// The parts of the version in the slot.
    Manifest(SectionManifest),
    /// The process holds nothing as new as was wanted.
    Unavailable,
}

/// Versions by slot. What is accepted is in force, and only ever replaced by a newer version.
#[derive(Debug, Default)]
pub struct SectionStore {
    slots: BTreeMap<SectionSlot, stored::StoredSection>,
    digest: u64,
}

impl SectionStore {
    /// Says whether a version is newer than the accepted one and not the rejected one.
    pub fn is_news(&self, section: &SectionName, head: VersionHead) -> bool {
        let accepted = self.head(section, SectionVerdict::Accepted);
        let rejected = self.head(section, SectionVerdict::Rejected);
        accepted < Some(head) && rejected != Some(head)
    }

    /// Keeps a checked version, unless its slot holds one as new, and says whether it did.
    ///
    /// An accepted version ends the report of a rejected one that is older.
    pub fn replace(&mut self, verdict: SectionVerdict, value: SectionValue) -> bool {
        let slot = SectionSlot {
            section: value.section.clone(),
            verdict,
        };
        let is_known = self.slots.contains_key(&slot);
        let is_newer = self.head(&slot.section, verdict) < Some(value.head);
        let is_full = !is_known && self.slots.len() >= SLOT_LIMIT;
        if !is_newer || is_full || value.bytes.len() > VALUE_LIMIT_BYTES {
            return false;
        }

        let head = value.head;
        let stored = match self.predecessor(&slot) {
            Some(previous) => stored::StoredSection::following(previous, slot.clone(), value),
            None => stored::StoredSection::new(slot.clone(), value),
        };
        self.insert(slot.clone(), stored);
        if verdict == SectionVerdict::Accepted {
            self.drop_rejected(&slot.section, head);
        }
        true
    }

    /// Returns the head of a section in a slot.
    pub fn head(&self, section: &SectionName, verdict: SectionVerdict) -> Option<VersionHead> {
        self.value(section, verdict).map(|value| value.head)
    }

    /// Returns the version of a section in a slot.
    pub fn value(&self, section: &SectionName, verdict: SectionVerdict) -> Option<&SectionValue> {
        let slot = SectionSlot {
            section: section.clone(),
            verdict,
        };
        self.slots.get(&slot).map(|stored| &stored.value)
    }

    /// Returns the kept version of a section with this head.
    pub fn find(&self, section: &SectionName, head: VersionHead) -> Option<&SectionValue> {
        self.section_slots(section)
            .map(|stored| &stored.value)
            .find(|value| value.head == head)
    }

    /// Returns the version from which patches to the version in a slot may start.
    pub fn base(&self, slot: &SectionSlot) -> Option<VersionHead> {
        self.predecessor(slot).map(|stored| stored.value.head)
    }

    /// Returns the heads of all slots.
    pub fn heads(&self) -> Vec<SectionHead> {
        self.slots
            .values()
            .map(stored::StoredSection::head)
            .collect()
    }

    /// Returns a hash over all heads, equal in processes that keep the same versions.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the bytes of all versions together.
    pub fn size(&self) -> measures::ByteSize {
        let bytes = self.slots.values();
        let bytes: usize = bytes.map(|stored| stored.value.bytes.len()).sum();
        measures::ByteSize::new(bytes as u64)
    }

    /// Answers a peer that wants a version and has `base`.
    pub fn answer(&self, wanted: &SectionHead, base: Option<VersionHead>) -> SectionAnswer {
        let stored = self.slots.get(&wanted.slot);
        let Some(stored) = stored.filter(|stored| stored.value.head >= wanted.head) else {
            return SectionAnswer::Unavailable;
        };

        let patches = base
            .map(|base| stored.patches_from(base))
            .unwrap_or_default();
        match patches.is_empty() {
            true => SectionAnswer::Manifest(stored.manifest()),
            false => SectionAnswer::Patches(patches),
        }
    }

    /// Returns parts of the version in a slot, when it is still `head`.
    pub fn copy_parts(&self, head: &SectionHead, indexes: &[u16]) -> Vec<SectionPart> {
        let stored = self.slots.get(&head.slot);
        let Some(stored) = stored.filter(|stored| stored.value.head == head.head) else {
            return Vec::new();
        };
        indexes
            .iter()
            .filter_map(|index| stored.copy_part(*index))
            .collect()
    }

    /// Returns the parts of all kept versions of a section by hash.
    pub fn known_parts(&self, section: &SectionName) -> BTreeMap<PartHash, Vec<u8>> {
        self.section_slots(section)
            .flat_map(stored::StoredSection::hashed_parts)
            .map(|(hash, bytes)| (hash, bytes.to_vec()))
            .collect()
    }

    fn section_slots(&self, section: &SectionName) -> impl Iterator<Item = &stored::StoredSection> {
        let verdicts = [SectionVerdict::Accepted, SectionVerdict::Rejected];
        verdicts.into_iter().filter_map(|verdict| {
            let section = section.clone();
            self.slots.get(&SectionSlot { section, verdict })
        })
    }

    /// Returns the version that one in `slot` follows: the one in it, or else the accepted one.
    fn predecessor(&self, slot: &SectionSlot) -> Option<&stored::StoredSection> {
        let accepted = SectionSlot {
            section: slot.section.clone(),
            verdict: SectionVerdict::Accepted,
        };
        self.slots.get(slot).or_else(|| self.slots.get(&accepted))
    }

    fn insert(&mut self, slot: SectionSlot, stored: stored::StoredSection) {
        self.digest ^= stored.head().fingerprint();
        if let Some(old) = self.slots.insert(slot, stored) {
            self.digest ^= old.head().fingerprint();
        }
    }

    fn drop_rejected(&mut self, section: &SectionName, accepted: VersionHead) {
        let slot = SectionSlot {
            section: section.clone(),
            verdict: SectionVerdict::Rejected,
        };
        let is_older = |stored: &stored::StoredSection| stored.value.head < accepted;
        if self.slots.get(&slot).is_some_and(is_older)
            && let Some(old) = self.slots.remove(&slot)
        {
            self.digest ^= old.head().fingerprint();
        }
    }
}
