//! Accepts nearly everything.

use super::SectionValidator;
use crate::sections;

/// Start of a section that [`PrefixValidator`] rejects.
const BAD_PREFIX: &[u8] = b"bad";

/// Accepts every section but those that begin with `bad`; for tests and measurements.
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
