//! Accepts nearly everything.

use super::SectionJudge;
use crate::sections;

/// Start of a section that [`TrustingJudge`] rejects.
const BAD_PREFIX: &[u8] = b"bad";

/// Accepts every section but those that begin with `bad`; for tests and measurements.
#[derive(Debug, Default)]
pub struct TrustingJudge;

impl SectionJudge for TrustingJudge {
    fn judge(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict {
        match value.bytes.starts_with(BAD_PREFIX) {
            true => sections::SectionVerdict::Rejected,
            false => sections::SectionVerdict::Accepted,
        }
    }
}
