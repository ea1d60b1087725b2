//! What a process tells others of its sections, without their texts.

use std::collections::BTreeMap;

use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

use super::ContentHash;
use super::SectionMark;
use crate::sections;

/// Digests of the sections that a process has seen a text of.
pub type DocumentDigest = BTreeMap<sections::SectionName, SectionDigest>;

/// The highest version of a section that was seen, and the range of its content hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// Highest version.
    pub version: measures::SectionVersion,
    /// Lowest hash among the texts of that version.
    pub lowest: ContentHash,
    /// Highest hash among the texts of that version.
    pub highest: ContentHash,
}

impl VersionSpan {
    /// Makes the span of one text.
    pub fn of_mark(mark: SectionMark) -> Self {
        Self {
            version: mark.version,
            lowest: mark.hash,
            highest: mark.hash,
        }
    }

    /// Returns the span of all texts of both spans.
    pub fn join(self, other: Self) -> Self {
        if self.version != other.version {
            return match self.version > other.version {
                true => self,
                false => other,
            };
        }

        Self {
            version: self.version,
            lowest: self.lowest.min(other.lowest),
            highest: self.highest.max(other.highest),
        }
    }

    /// Says whether texts with the same version differ.
    pub fn has_conflict(&self) -> bool {
        self.lowest != self.highest
    }
}

/// What a process has of one section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionDigest {
    /// Highest text without findings.
    pub accepted: Option<SectionMark>,
    /// Text with findings that is higher than the accepted one.
    pub rejected: Option<SectionMark>,
    /// Highest version that was seen or heard of.
    pub seen: VersionSpan,
}
