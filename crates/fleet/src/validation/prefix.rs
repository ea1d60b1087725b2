//! A validator that looks only at the first bytes of a section.

use super::SectionValidator;
use crate::sections;

/// Sections that start with these bytes are rejected.
const BAD_PREFIX: &[u8] = b"bad";

/// Rejects sections that start with `bad` and accepts all others; for tests and benchmarks.
#[derive(Debug, Default)]
pub struct PrefixValidator;

impl SectionValidator for PrefixValidator {
    fn validate(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict {
        match value.bytes.starts_with(BAD_PREFIX) {
            true => sections::SectionVerdict::Rejected,
            false => sections::SectionVerdict::Accepted,
        }
    }
}
