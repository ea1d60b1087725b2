//! Check of sections before they are in force.

mod document;
mod prefix;

pub use document::DocumentState;
pub use document::DocumentValidator;
pub use document::ValidationStatus;
pub use prefix::PrefixValidator;

use std::fmt;

use crate::sections;

/// Checks versions of sections. The same version always gets the same verdict.
pub trait SectionValidator: fmt::Debug {
    /// Checks a version that is newer than the accepted one. When nothing is wrong with it, it is
    /// in force from now on.
    fn validate(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict;
}
