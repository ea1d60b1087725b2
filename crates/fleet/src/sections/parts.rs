//! Content-defined chunking of a section's bytes, so that a small edit changes only a few parts.

use std::ops;

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;
use xxhash_rust::xxh3;

use super::SectionHead;

/// Maximum size of a part, in bytes.
pub const MAX_PART_BYTES: usize = 16 * 1024;

/// Minimum size of a part except the last, in bytes; it limits the number of parts.
const MIN_PART_BYTES: usize = 1024;

/// Mean number of lines from one eligible part boundary to the next.
const LINES_PER_PART: u64 = 64;

/// 64-bit xxh3 hash of a part's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartHash(u64);

impl PartHash {
    /// Hashes the bytes of a part.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_64(bytes))
    }
}

/// List of the parts of one version of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionManifest {
    /// Version that the parts make up.
    pub head: SectionHead,
    /// Hashes of the parts, in order.
    pub parts: Vec<PartHash>,
}

/// One part of one version of a section.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionPart {
    /// Version that the part belongs to.
    pub head: SectionHead,
    /// Index of the part in the manifest.
    pub index: u16,
    /// Bytes of the part.
    #[serde_as(as = "Bytes")]
    pub bytes: Vec<u8>,
}

/// Splits bytes into parts, each of which ends after a line selected by the line's own hash, so that
/// an edit does not move distant boundaries. A part that reaches the maximum size ends there.
pub fn split_parts(bytes: &[u8]) -> Vec<ops::Range<usize>> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut line_start = 0;

    for (index, byte) in bytes.iter().enumerate() {
        let end = index + 1;
        let is_full = end - start == MAX_PART_BYTES;
        let is_line_end = *byte == b'\n';
        if !is_full && !is_line_end {
            continue;
        }

        let line = &bytes[line_start..end];
        let is_boundary = xxh3::xxh3_64(line).is_multiple_of(LINES_PER_PART);
        let is_long_enough = end - start >= MIN_PART_BYTES;
        if is_full || (is_boundary && is_long_enough) {
            parts.push(start..end);
            start = end;
        }
        line_start = end;
    }

    if start < bytes.len() {
        parts.push(start..bytes.len());
    }
    parts
}
