//! Validation of sections before they become active.

mod document;
mod prefix;

pub use document::DocumentState;
pub use document::DocumentValidator;
pub use document::ValidationStatus;
pub use prefix::PrefixValidator;

use std::fmt;

use crate::sections;

/// Validates versions of sections.
///
/// Each process validates the versions that it receives by itself. All processes reach the same
/// verdict on a version only if it depends on nothing but the name and bytes of the section.
pub trait SectionValidator: fmt::Debug {
    /// Validates a version that is newer than the accepted version of its section. If the new
    /// version is accepted, it replaces the previously accepted one; if it is rejected, the
    /// accepted version stays.
    fn validate(&mut self, value: &sections::SectionValue) -> sections::SectionVerdict;
}
