//! The text of one version of a section, as its owner publishes it.

use std::fmt;

use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

use super::ContentHash;
use crate::sections;

/// The text of one version of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionText {
    /// Section that the text defines.
    pub section: sections::SectionName,
    /// Version; a higher number is newer.
    pub version: measures::SectionVersion,
    /// TOML document with this section only.
    pub text: Box<str>,
}

impl SectionText {
    /// Computes the identity of the text, which hashes the whole text.
    pub fn id(&self) -> TextId {
        TextId {
            version: self.version,
            hash: ContentHash::of_text(&self.text),
        }
    }
}

/// Identity of a section's text: its version and content hash.
///
/// Ordered by version, then by hash. Of two texts with the same version the one with the higher
/// hash is preferred, so that all processes choose the same text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextId {
    /// Version under which the text was published.
    pub version: measures::SectionVersion,
    /// Content hash of the text.
    pub hash: ContentHash,
}

impl fmt::Display for TextId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "version {} ({})", self.version, self.hash)
    }
}
