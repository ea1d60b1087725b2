//! Names, versions and hashes of sections.

use std::fmt;
use std::str::FromStr;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use xxhash_rust::xxh3;

/// Name of a section of the document, in the same form as a model name.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct SectionName(Box<str>);

impl SectionName {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SectionName {
    type Err = ids::NameError;

    fn from_str(text: &str) -> ids::Result<Self> {
        let name: ids::ModelName = text.parse()?;
        Ok(Self(name.as_str().into()))
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// 128-bit xxh3 hash of a section's bytes. It detects corruption but not forgery.
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
/// Heads of one section are ordered by version. Two contents with the same version are an operator
/// error; the hash then orders them, so that all processes still converge on the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionHead {
    /// Version that the operator gave to the content.
    #[serde(rename = "v")]
    pub version: measures::SectionVersion,
    /// Hash of the content.
    #[serde(rename = "h")]
    pub hash: ContentHash,
}

/// Result of the validation of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SectionVerdict {
    /// The version has no findings and replaces the accepted one.
    #[serde(rename = "a")]
    Accepted,
    /// The version has findings. It replaces no accepted version and is kept to be reported.
    #[serde(rename = "r")]
    Rejected,
}

/// Key under which a version is stored: the newest accepted and the newest rejected version of each
/// section are kept.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SectionSlot {
    /// Name of the section.
    #[serde(rename = "s")]
    pub section: SectionName,
    /// Result of the validation of the version.
    #[serde(rename = "v")]
    pub verdict: SectionVerdict,
}

/// A slot and the head of the version stored in it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SectionHead {
    /// Slot of the version.
    #[serde(rename = "s")]
    pub slot: SectionSlot,
    /// Version number and content hash.
    #[serde(rename = "h")]
    pub head: VersionHead,
}

impl SectionHead {
    /// Returns a hash of the slot, version and content hash, from which digests of many heads are
    /// computed.
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
