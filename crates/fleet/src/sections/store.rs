//! Store of the newest accepted and the newest rejected version of each section.

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

/// Maximum size of a section, in bytes; the configuration service stores no larger one.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Maximum number of slots in a store.
const MAX_SLOTS: usize = 256;

/// Content of one version of a section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionValue {
    /// Name of the section.
    pub section: SectionName,
    /// Version number and content hash.
    pub head: VersionHead,
    /// Bytes of the section.
    pub bytes: Arc<[u8]>,
}

impl SectionValue {
    /// Creates the value of a section at `version` and hashes its bytes.
    pub fn new(section: SectionName, version: measures::SectionVersion, bytes: &[u8]) -> Self {
        let hash = ContentHash::of_bytes(bytes);
        Self {
            section,
            head: VersionHead { version, hash },
            bytes: bytes.into(),
        }
    }
}

/// Reply to a peer that requested a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SectionReply {
    /// Patches that turn the peer's version into the stored one, in the order to apply them.
    Patches(Vec<SectionPatch>),
    /// Manifest of the stored version, whose parts the peer can then request.
    Manifest(SectionManifest),
    /// The slot is empty or its version is older than the requested one.
    Unavailable,
}

/// Versions by slot. The version in a slot is replaced only by a newer one.
#[derive(Debug, Default)]
pub struct SectionStore {
    slots: BTreeMap<SectionSlot, stored::StoredSection>,
    digest: u64,
}

impl SectionStore {
    /// Returns true if a version is newer than the accepted one and is not the rejected one.
    pub fn is_update(&self, section: &SectionName, head: VersionHead) -> bool {
        let accepted = self.head(section, SectionVerdict::Accepted);
        let rejected = self.head(section, SectionVerdict::Rejected);
        accepted < Some(head) && rejected != Some(head)
    }

    /// Stores a validated version, and returns true if it was stored.
    ///
    /// A version is not stored if its slot holds the same or a newer one, if it is larger than
    /// [`MAX_VALUE_BYTES`], or if it needs a new slot and the store is full. Storing an accepted
    /// version removes an older rejected version of the section.
    pub fn replace(&mut self, verdict: SectionVerdict, value: SectionValue) -> bool {
        let slot = SectionSlot {
            section: value.section.clone(),
            verdict,
        };
        let is_known = self.slots.contains_key(&slot);
        let is_newer = self.head(&slot.section, verdict) < Some(value.head);
        let is_full = !is_known && self.slots.len() >= MAX_SLOTS;
        if !is_newer || is_full || value.bytes.len() > MAX_VALUE_BYTES {
            return false;
        }

        let head = value.head;
        let stored = match self.predecessor(&slot) {
            Some(previous) => stored::StoredSection::succeeding(previous, slot.clone(), value),
            None => stored::StoredSection::new(slot.clone(), value),
        };
        self.insert(slot.clone(), stored);
        if verdict == SectionVerdict::Accepted {
            self.remove_older_rejected(&slot.section, head);
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

    /// Returns the stored version of a section that has this head.
    pub fn find(&self, section: &SectionName, head: VersionHead) -> Option<&SectionValue> {
        self.section_slots(section)
            .map(|stored| &stored.value)
            .find(|value| value.head == head)
    }

    /// Returns the version to request patches from for the version that belongs in a slot.
    pub fn patch_base(&self, slot: &SectionSlot) -> Option<VersionHead> {
        self.predecessor(slot).map(|stored| stored.value.head)
    }

    /// Returns the heads of all slots.
    pub fn heads(&self) -> Vec<SectionHead> {
        self.slots
            .values()
            .map(stored::StoredSection::head)
            .collect()
    }

    /// Returns a hash of all heads, which is equal in processes that store the same versions.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the total size of all stored versions.
    pub fn size(&self) -> measures::ByteSize {
        let bytes = self.slots.values();
        let bytes: usize = bytes.map(|stored| stored.value.bytes.len()).sum();
        measures::ByteSize::new(bytes as u64)
    }

    /// Builds the reply to a peer that has `base` and requested `requested` or a newer version of
    /// that slot.
    pub fn build_reply(&self, requested: &SectionHead, base: Option<VersionHead>) -> SectionReply {
        let stored = self.slots.get(&requested.slot);
        let Some(stored) = stored.filter(|stored| stored.value.head >= requested.head) else {
            return SectionReply::Unavailable;
        };

        let patches = base
            .map(|base| stored.patches_from(base))
            .unwrap_or_default();
        match patches.is_empty() {
            true => SectionReply::Manifest(stored.manifest()),
            false => SectionReply::Patches(patches),
        }
    }

    /// Returns copies of parts of a version, skipping indexes without a part. Returns no parts if
    /// the slot no longer holds that version.
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

    /// Returns the parts of all stored versions of a section by hash.
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

    /// Returns the version that the next version in `slot` is patched from: the one in the slot, or
    /// the accepted one if the slot is empty.
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

    fn remove_older_rejected(&mut self, section: &SectionName, accepted: VersionHead) {
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
