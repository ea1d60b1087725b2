//! Names of the document's sections.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use crate::reader;

quick_error! {
    /// Reason why a text is not a section name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SectionError {
        /// The document has no section with this name.
        Unknown(text: Box<str>) {
            display("{:?} is not a section of the document", text)
        }
    }
}

/// A section of the document.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum SectionName {
    /// Models and the versions to serve.
    Models,
    /// Organisations and the hashes of their keys.
    Organisations,
    /// Targets: engines and replicas of plain services.
    Targets,
    /// Request classes of each organisation, with their priorities.
    Priorities,
    /// Plain services, and which of their calls may be repeated.
    Services,
    /// Call limits of each organisation.
    Limits,
}

impl SectionName {
    /// All sections, in document order.
    pub const ALL: [Self; 6] = [
        Self::Models,
        Self::Organisations,
        Self::Targets,
        Self::Priorities,
        Self::Services,
        Self::Limits,
    ];

    /// Returns the name, which is also the key of the section's table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Organisations => "organisations",
            Self::Targets => "targets",
            Self::Priorities => "priorities",
            Self::Services => "services",
            Self::Limits => "limits",
        }
    }

    /// Returns true if the dotted `path` is that of the section or of a value in it.
    pub fn contains_path(self, path: &str) -> bool {
        path.strip_prefix(self.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// Returns the dotted path of the entry `name` in this section.
    pub fn path_of(self, name: &str) -> Box<str> {
        reader::join_path(self.as_str(), name)
    }
}

impl FromStr for SectionName {
    type Err = SectionError;

    fn from_str(text: &str) -> Result<Self, SectionError> {
        Self::ALL
            .into_iter()
            .find(|section| section.as_str() == text)
            .ok_or_else(|| SectionError::Unknown(text.into()))
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
