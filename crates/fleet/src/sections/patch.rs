//! Patches that turn one version of a section into another; efficient for a single small edit.

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;

use super::ContentHash;
use super::SectionSlot;
use super::VersionHead;

/// Replacement of one byte range of a section.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionPatch {
    /// Slot of the resulting version.
    pub slot: SectionSlot,
    /// Version that the patch applies to.
    pub base: VersionHead,
    /// Version that results from the patch.
    pub head: VersionHead,
    /// Number of bytes kept at the start of the base.
    pub prefix: u32,
    /// Number of bytes kept at the end of the base.
    pub suffix: u32,
    /// Bytes that replace the range between prefix and suffix.
    #[serde_as(as = "Bytes")]
    pub middle: Vec<u8>,
}

impl SectionPatch {
    /// Creates the patch that replaces the range in which two versions differ.
    pub fn between(
        slot: &SectionSlot,
        (base, old): (VersionHead, &[u8]),
        (head, new): (VersionHead, &[u8]),
    ) -> Self {
        let prefix = common_length(old.iter(), new.iter());
        let suffix = common_length(old[prefix..].iter().rev(), new[prefix..].iter().rev());

        Self {
            slot: slot.clone(),
            base,
            head,
            prefix: u32::try_from(prefix).unwrap_or(u32::MAX),
            suffix: u32::try_from(suffix).unwrap_or(u32::MAX),
            middle: new[prefix..new.len() - suffix].to_vec(),
        }
    }

    /// Applies the patch to the bytes of its base. Returns `None` if the patch does not fit or the
    /// result does not have the hash of `head`.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let prefix = usize::try_from(self.prefix).ok()?;
        let suffix = usize::try_from(self.suffix).ok()?;
        let suffix_start = old.len().checked_sub(suffix)?;
        if prefix > suffix_start {
            return None;
        }

        let new = [&old[..prefix], &self.middle, &old[suffix_start..]].concat();
        (ContentHash::of_bytes(&new) == self.head.hash).then_some(new)
    }
}

fn common_length<'a>(
    left: impl Iterator<Item = &'a u8>,
    right: impl Iterator<Item = &'a u8>,
) -> usize {
    left.zip(right).take_while(|(a, b)| a == b).count()
}
