//! One version of one section, as its owner publishes it.

use std::fmt;

use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

use super::ContentHash;
use crate::sections;

/// One version of one section, as text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionText {
    /// Section.
    pub section: sections::SectionName,
    /// Version; a higher number is newer.
    pub version: measures::SectionVersion,
    /// TOML document that holds this section only.
    pub text: Box<str>,
}

impl SectionText {
    /// Returns version and content hash.
    pub fn mark(&self) -> SectionMark {
        SectionMark {
            version: self.version,
            hash: ContentHash::of_text(&self.text),
        }
    }
}

/// Version and content hash of a section's text.
///
/// Marks are ordered by version first. Of two texts with the same version the one with the higher
/// hash is taken, so that all processes take the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SectionMark {
    /// Version.
    pub version: measures::SectionVersion,
    /// Hash of the text.
    pub hash: ContentHash,
}

impl fmt::Display for SectionMark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {} ({})", self.version, self.hash)
    }
}
