//! Digests of a process's sections, exchanged with other processes instead of the full texts.

use std::collections::BTreeMap;

use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

use super::ContentHash;
use super::TextId;
use crate::sections;

/// Digests of the sections of which a process knows at least one text.
pub type DocumentDigest = BTreeMap<sections::SectionName, SectionDigest>;

/// The highest known version of a section, and the range of content hashes published under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// Highest known version.
    pub version: measures::SectionVersion,
    /// Lowest hash among the texts of that version.
    pub lowest: ContentHash,
    /// Highest hash among the texts of that version.
    pub highest: ContentHash,
}

impl VersionSpan {
    /// Creates a span that covers one text.
    pub fn from_id(id: TextId) -> Self {
        Self {
            version: id.version,
            lowest: id.hash,
            highest: id.hash,
        }
    }

    /// Returns the span with the higher version; for equal versions, one that covers the hashes of
    /// both.
    pub fn merge(self, other: Self) -> Self {
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

    /// Returns true if different texts were published under the version.
    pub fn is_conflicting(&self) -> bool {
        self.lowest != self.highest
    }
}

/// Identities of the texts of one section that a process has stored, and the highest version
/// known to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionDigest {
    /// Highest text without findings; `None` before the first.
    pub accepted: Option<TextId>,
    /// Highest text with findings, if it is higher than the accepted one.
    pub rejected: Option<TextId>,
    /// Highest version that was received here or reported by another process.
    pub seen: VersionSpan,
}
