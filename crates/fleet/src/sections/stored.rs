//! A stored version together with the parts and patches that are sent to peers.

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

/// Maximum number of patches kept per slot.
const MAX_PATCHES: usize = 8;

/// Maximum number of replacement bytes in a kept patch; larger changes are sent as parts.
const MAX_PATCH_BYTES: usize = 16 * 1024;

/// A version, its parts and the patches that result in it.
#[derive(Debug)]
pub struct StoredSection {
    /// Content of the version.
    pub value: SectionValue,
    slot: SectionSlot,
    parts: Vec<ops::Range<usize>>,
    patches: VecDeque<SectionPatch>,
}

impl StoredSection {
    /// Creates the first known version of a slot, without patches.
    pub fn new(slot: SectionSlot, value: SectionValue) -> Self {
        Self {
            parts: parts::split_parts(&value.bytes),
            slot,
            value,
            patches: VecDeque::new(),
        }
    }

    /// Creates the successor of `previous`, with a patch from it unless the patch is too large. If
    /// both have the same slot, the earlier patches are kept along with the new one.
    pub fn succeeding(previous: &Self, slot: SectionSlot, value: SectionValue) -> Self {
        let mut stored = Self::new(slot, value);
        let old = (previous.value.head, &*previous.value.bytes);
        let new = (stored.value.head, &*stored.value.bytes);
        let patch = SectionPatch::between(&stored.slot, old, new);
        if patch.middle.len() > MAX_PATCH_BYTES {
            return stored;
        }

        if previous.slot == stored.slot {
            stored.patches.clone_from(&previous.patches);
        }
        stored.patches.push_back(patch);
        if stored.patches.len() > MAX_PATCHES {
            stored.patches.pop_front();
        }
        stored
    }

    /// Returns the slot with the head of this version.
    pub fn head(&self) -> SectionHead {
        SectionHead {
            slot: self.slot.clone(),
            head: self.value.head,
        }
    }

    /// Returns the patches from `base` to this version, in order; empty if they are not kept.
    pub fn patches_from(&self, base: VersionHead) -> Vec<SectionPatch> {
        self.patches
            .iter()
            .skip_while(|patch| patch.base != base)
            .cloned()
            .collect()
    }

    /// Returns the manifest of this version.
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

    /// Returns a copy of the part at `index`; `None` if there is no such part.
    pub fn copy_part(&self, index: u16) -> Option<SectionPart> {
        let range = self.parts.get(usize::from(index))?.clone();
        Some(SectionPart {
            head: self.head(),
            index,
            bytes: self.value.bytes[range].to_vec(),
        })
    }
}
