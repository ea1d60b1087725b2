//! Check of sections before they are in force.

mod always;
mod document;

pub use always::TrustingJudge;
pub use document::DocumentJudge;
pub use document::DocumentState;
pub use document::SectionStanding;

use std::fmt;

use crate::sections;

/// Checks versions of sections. The same version always gets the same verdict.
pub trait SectionJudge: fmt::Debug {
    /// Checks a version that is newer than the accepted one. When nothing is wrong with it, it is
    /// in force from now on.
    fn judge(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict;
}
