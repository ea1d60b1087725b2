//! Validation of sections before they become active.

mod document;
mod prefix;

pub use document::DocumentState;
pub use document::DocumentValidator;
pub use document::ValidationStatus;
pub use prefix::PrefixValidator;

use std::fmt;

use crate::sections;

/// Validates versions of sections. The same version always gets the same verdict.
pub trait SectionValidator: fmt::Debug {
    /// Validates a version that is newer than the accepted one. An accepted version replaces that
    /// one.
    fn validate(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict;
}
