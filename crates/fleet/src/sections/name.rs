//! Names and heads of sections.

use std::fmt;
use std::str::FromStr;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use xxhash_rust::xxh3;

/// Name of a section of the document, of the same form as other names.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct SectionName(Box<str>);

impl SectionName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SectionName {
    type Err = ids::NameError;

    fn from_str(text: &str) -> ids::Result<Self> {
        // A section has a name of the same characters and length as everything else.
        let name: ids::ModelName = text.parse()?;
        Ok(Self(name.as_str().into()))
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// 128-bit xxh3 of a section's bytes; it finds damage, not forgery.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentHash(u128);

impl ContentHash {
    /// Hashes the bytes of a section.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_128(bytes))
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Version of a section with the hash of its content.
///
/// Heads of one section are ordered by version. Two contents with one version are an error of the
/// operator; the hash then orders them, so that all processes still settle on the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionHead {
    /// Version.
    #[serde(rename = "v")]
    pub version: measures::SectionVersion,
    /// Hash of the content.
    #[serde(rename = "h")]
    pub hash: ContentHash,
}

/// What the check of a version found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SectionVerdict {
    /// Nothing wrong: the version is in force.
    #[serde(rename = "a")]
    Accepted,
    /// Findings: the version replaces nothing, and is kept to be reported.
    #[serde(rename = "r")]
    Rejected,
}

/// Place of a version: the newest accepted and the newest rejected one of each section are kept.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SectionSlot {
    /// The section.
    #[serde(rename = "s")]
    pub section: SectionName,
    /// What the check of the version found.
    #[serde(rename = "v")]
    pub verdict: SectionVerdict,
}

/// A slot with the head of the version in it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SectionHead {
    /// The slot.
    #[serde(rename = "s")]
    pub slot: SectionSlot,
    /// Version and hash.
    #[serde(rename = "h")]
    pub head: VersionHead,
}

impl SectionHead {
    /// Hashes slot, version and content hash, for digests of many heads.
    pub fn fingerprint(&self) -> u64 {
        let verdict: u8 = match self.slot.verdict {
            SectionVerdict::Accepted => 0,
            SectionVerdict::Rejected => 1,
        };
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(self.slot.section.as_str().as_bytes());
        hasher.update(&[verdict]);
        hasher.update(&self.head.version.get().to_le_bytes());
        hasher.update(&self.head.hash.0.to_le_bytes());
        hasher.digest()
    }
}
