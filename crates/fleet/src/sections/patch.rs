//! Difference between two versions of a section, for the usual small edit.

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;

use super::ContentHash;
use super::SectionSlot;
use super::VersionHead;

/// Replacement of one range of bytes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionPatch {
    /// Slot of the version that it yields.
    pub slot: SectionSlot,
    /// Version that the patch applies to.
    pub base: VersionHead,
    /// Version that it yields.
    pub head: VersionHead,
    /// Bytes kept at the start.
    pub prefix: u32,
    /// Bytes kept at the end.
    pub suffix: u32,
    /// Bytes between them.
    #[serde_as(as = "Bytes")]
    pub middle: Vec<u8>,
}

impl SectionPatch {
    /// Finds the range that differs between two versions.
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

    /// Applies the patch, or returns nothing when the result is not the version it names.
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
