//! Division of a section's bytes into parts that most edits leave alone.

use std::ops;

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;
use xxhash_rust::xxh3;

use super::SectionHead;

/// Largest part, in bytes.
pub const PART_LIMIT_BYTES: usize = 16 * 1024;

/// Smallest part but the last, in bytes; it bounds the number of parts.
const PART_LEAST_BYTES: usize = 1024;

/// A part ends after about one line in this many.
const LINES_PER_PART: u64 = 64;

/// Hash of a part's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartHash(u64);

impl PartHash {
    /// Hashes the bytes of a part.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_64(bytes))
    }
}

/// The parts of one version of a section, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionManifest {
    /// The version.
    pub head: SectionHead,
    /// Hashes of its parts.
    pub parts: Vec<PartHash>,
}

/// One part of one version of a section.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionPart {
    /// The version.
    pub head: SectionHead,
    /// Place of the part in the manifest.
    pub index: u16,
    /// Its bytes.
    #[serde_as(as = "Bytes")]
    pub bytes: Vec<u8>,
}

/// Divides bytes after lines that their own hash picks, so that an edit moves no distant border.
pub fn split_parts(bytes: &[u8]) -> Vec<ops::Range<usize>> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut line_start = 0;

    for (index, byte) in bytes.iter().enumerate() {
        let end = index + 1;
        let is_full = end - start == PART_LIMIT_BYTES;
        let is_line_end = *byte == b'\n';
        if !is_full && !is_line_end {
            continue;
        }

        let line = &bytes[line_start..end];
        let is_border = xxh3::xxh3_64(line).is_multiple_of(LINES_PER_PART);
        let is_long_enough = end - start >= PART_LEAST_BYTES;
        if is_full || (is_border && is_long_enough) {
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
