//! One version that is kept, ready to be sent to peers.

use std::collections::VecDeque;
use std::ops;

use super::PartHash;
use super::SectionHead;
use super::SectionManifest;
use super::SectionPart;
use super::SectionPatch;
use super::SectionSlot;
use super::SectionValue;
use super::VersionHead;
use super::parts;

/// Patches kept of each slot.
const PATCH_LIMIT: usize = 8;

/// Largest patch that is kept; parts carry larger changes.
const PATCH_LIMIT_BYTES: usize = 16 * 1024;

/// A version with its parts and the patches that lead to it.
#[derive(Debug)]
pub struct StoredSection {
    /// The version.
    pub value: SectionValue,
    slot: SectionSlot,
    parts: Vec<ops::Range<usize>>,
    patches: VecDeque<SectionPatch>,
}

impl StoredSection {
    /// Makes a version that no known one precedes.
    pub fn new(slot: SectionSlot, value: SectionValue) -> Self {
        Self {
            parts: parts::split_parts(&value.bytes),
            slot,
            value,
            patches: VecDeque::new(),
        }
    }

    /// Makes a version that replaces or follows `previous`.
    pub fn following(previous: &Self, slot: SectionSlot, value: SectionValue) -> Self {
        let mut stored = Self::new(slot, value);
        let old = (previous.value.head, &*previous.value.bytes);
        let new = (stored.value.head, &*stored.value.bytes);
        let patch = SectionPatch::between(&stored.slot, old, new);
        if patch.middle.len() > PATCH_LIMIT_BYTES {
            return stored;
        }

        if previous.slot == stored.slot {
            stored.patches.clone_from(&previous.patches);
        }
        stored.patches.push_back(patch);
        if stored.patches.len() > PATCH_LIMIT {
            stored.patches.pop_front();
        }
        stored
    }

    /// Returns slot and head.
    pub fn head(&self) -> SectionHead {
        SectionHead {
            slot: self.slot.clone(),
            head: self.value.head,
        }
    }

    /// Returns the patches that lead here from `base`; none when they are not kept.
    pub fn patches_from(&self, base: VersionHead) -> Vec<SectionPatch> {
        self.patches
            .iter()
            .skip_while(|patch| patch.base != base)
            .cloned()
            .collect()
    }

    /// Returns the hashes of all parts.
    pub fn manifest(&self) -> SectionManifest {
        SectionManifest {
            head: self.head(),
            parts: self.hashed_parts().map(|(hash, _)| hash).collect(),
        }
    }

    /// Returns all parts with their hashes.
    pub fn hashed_parts(&self) -> impl Iterator<Item = (PartHash, &[u8])> {
        self.parts.iter().map(|range| {
            let bytes = &self.value.bytes[range.clone()];
            (PartHash::of_bytes(bytes), bytes)
        })
    }

    /// Returns the part at a place, when there is one.
    pub fn copy_part(&self, index: u16) -> Option<SectionPart> {
        let range = self.parts.get(usize::from(index))?.clone();
        Some(SectionPart {
            head: self.head(),
            index,
            bytes: self.value.bytes[range].to_vec(),
        })
    }
}
