//! The sections in force in one process.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops;
use std::sync::Arc;

use kingcupfall_core::measures;

use super::ContentHash;
use super::PartHash;
use super::SectionHead;
use super::SectionManifest;
use super::SectionName;
use super::SectionPart;
use super::SectionPatch;
use super::VersionHead;
use super::parts;

/// Largest value of a section, in bytes; the configuration service holds no larger ones.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// Most sections that a process keeps.
const SECTION_LIMIT: usize = 256;

/// Patches kept of each section.
const PATCH_LIMIT: usize = 8;

/// Largest patch that is kept; parts carry larger changes.
const PATCH_LIMIT_BYTES: usize = 16 * 1024;

/// One version of a section with its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionValue {
    /// Name, version and hash.
    pub head: SectionHead,
    /// The bytes.
    pub bytes: Arc<[u8]>,
}

impl SectionValue {
    /// Makes the value of `version` of a section.
    pub fn new(section: SectionName, version: measures::SectionVersion, bytes: &[u8]) -> Self {
        let hash = ContentHash::of_bytes(bytes);
        let head = VersionHead { version, hash };

        Self {
            head: SectionHead { section, head },
            bytes: bytes.into(),
        }
    }
}

/// How a process answers a peer that wants a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SectionAnswer {
    /// Patches that lead from the peer's version to the one in force, in order.
    Patches(Vec<SectionPatch>),
    /// The parts of the version in force.
    Manifest(SectionManifest),
    /// The process holds nothing as new as was wanted.
    Unavailable,
}

/// Sections in force, each only ever replaced by a newer version.
#[derive(Debug, Default)]
pub struct SectionStore {
    sections: BTreeMap<SectionName, StoredSection>,
    digest: u64,
}

impl SectionStore {
    /// Puts a value in force unless one as new is already, and says whether it did.
    pub fn replace(&mut self, value: SectionValue) -> bool {
        let name = value.head.section.clone();
        let stored = self.sections.get(&name);
        let is_known = stored.is_some();
        let is_newer = stored.is_none_or(|stored| stored.value.head.head < value.head.head);
        let is_full = !is_known && self.sections.len() >= SECTION_LIMIT;
        if !is_newer || is_full || value.bytes.len() > VALUE_LIMIT_BYTES {
            return false;
        }

        self.digest ^= value.head.fingerprint();
        let patches = match self.sections.remove(&name) {
            Some(stored) => {
                self.digest ^= stored.value.head.fingerprint();
                stored.next_patches(&value)
            }
            None => VecDeque::new(),
        };
        self.sections
            .insert(name, StoredSection::new(value, patches));
        true
    }

    /// Returns the head in force of a section.
    pub fn head(&self, section: &SectionName) -> Option<VersionHead> {
        self.sections
            .get(section)
            .map(|stored| stored.value.head.head)
    }

    /// Returns the value in force of a section.
    pub fn value(&self, section: &SectionName) -> Option<&SectionValue> {
        self.sections.get(section).map(|stored| &stored.value)
    }

    /// Returns the heads of all sections.
    pub fn heads(&self) -> Vec<SectionHead> {
        self.sections
            .values()
            .map(|stored| stored.value.head.clone())
            .collect()
    }

    /// Returns a hash over all heads, equal in processes with the same sections in force.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the bytes of all values together.
    pub fn size(&self) -> measures::ByteSize {
        let bytes: usize = self
            .sections
            .values()
            .map(|stored| stored.value.bytes.len())
            .sum();
        measures::ByteSize::new(bytes as u64)
    }

    /// Answers a peer that wants a version and has `base`.
    pub fn answer(&self, wanted: &SectionHead, base: Option<VersionHead>) -> SectionAnswer {
        let Some(stored) = self.sections.get(&wanted.section) else {
            return SectionAnswer::Unavailable;
        };
        if stored.value.head.head < wanted.head {
            return SectionAnswer::Unavailable;
        }

        let patches = base
            .map(|base| stored.patches_from(base))
            .unwrap_or_default();
        if patches.is_empty() {
            return SectionAnswer::Manifest(stored.manifest());
        }
        SectionAnswer::Patches(patches)
    }

    /// Returns parts of the version in force, when it is still `head`.
    pub fn copy_parts(&self, head: &SectionHead, indexes: &[u16]) -> Vec<SectionPart> {
        let Some(stored) = self.sections.get(&head.section) else {
            return Vec::new();
        };
        if stored.value.head != *head {
            return Vec::new();
        }

        let copy_part = |index: &u16| {
            let range = stored.parts.get(usize::from(*index))?.clone();
            Some(SectionPart {
                head: head.clone(),
                index: *index,
                bytes: stored.value.bytes[range].to_vec(),
            })
        };
        indexes.iter().filter_map(copy_part).collect()
    }

    /// Returns the parts of the version in force by hash.
    pub fn known_parts(&self, section: &SectionName) -> BTreeMap<PartHash, Vec<u8>> {
        let Some(stored) = self.sections.get(section) else {
            return BTreeMap::new();
        };

        let ranges = stored.parts.iter().cloned();
        ranges
            .map(|range| stored.value.bytes[range].to_vec())
            .map(|bytes| (PartHash::of_bytes(&bytes), bytes))
            .collect()
    }
}

/// A section in force, ready to be sent to peers.
#[derive(Debug)]
struct StoredSection {
    value: SectionValue,
    parts: Vec<ops::Range<usize>>,
    patches: VecDeque<SectionPatch>,
}

impl StoredSection {
    fn new(value: SectionValue, patches: VecDeque<SectionPatch>) -> Self {
        let parts = parts::split_parts(&value.bytes);
        Self {
            value,
            parts,
            patches,
        }
    }

    /// Returns the patches to keep when `next` replaces this version.
    fn next_patches(self, next: &SectionValue) -> VecDeque<SectionPatch> {
        let head = self.value.head;
        let old = (head.head, &*self.value.bytes);
        let new = (next.head.head, &*next.bytes);
        let patch = SectionPatch::between(&head.section, old, new);
        if patch.middle.len() > PATCH_LIMIT_BYTES {
            return VecDeque::new();
        }

        let mut patches = self.patches;
        patches.push_back(patch);
        if patches.len() > PATCH_LIMIT {
            patches.pop_front();
        }
        patches
    }

    fn patches_from(&self, base: VersionHead) -> Vec<SectionPatch> {
        self.patches
            .iter()
            .skip_while(|patch| patch.base != base)
            .cloned()
            .collect()
    }

    fn manifest(&self) -> SectionManifest {
        let hash_part = |range: &ops::Range<usize>| {
            let bytes = &self.value.bytes[range.clone()];
            PartHash::of_bytes(bytes)
        };
        SectionManifest {
            head: self.value.head.clone(),
            parts: self.parts.iter().map(hash_part).collect(),
        }
    }
}
