//! Names that operators choose in the document and in the settings.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

quick_error! {
    /// Reason why a text is not a valid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The text is empty.
        Empty {
            display("a name must not be empty")
        }
        /// The text is longer than [`MAX_NAME_BYTES`].
        TooLong(length: usize) {
            display("a name has at most {} bytes, this one has {}", MAX_NAME_BYTES, length)
        }
        /// The text holds a character outside `a-z 0-9 . _ -`.
        InvalidCharacter(character: char) {
            display("a name must not contain {:?}; use a-z, 0-9, '.', '_' and '-'", character)
        }
    }
}

macro_rules! text_name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_name! {
    /// Name of an organisation, to which callers belong.
    OrganisationName
}
text_name! {
    /// Name of a request class within an organisation, such as `report`.
    ClassName
}
text_name! {
    /// Name of a model.
    ModelName
}
text_name! {
    /// Name of a plain service: an HTTP service that is not a model engine.
    ServiceName
}
text_name! {
    /// Name of a target: one model engine or one replica of a plain service.
    TargetName
}
text_name! {
    /// Name of an availability zone.
    ZoneName
}
text_name! {
    /// Name of a region, which has one or more availability zones.
    RegionName
}
text_name! {
    /// Name of a VM.
    VmName
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    match text
        .chars()
        .find(|character| !is_name_character(*character))
    {
        Some(character) => Err(NameError::InvalidCharacter(character)),
        None => Ok(()),
    }
}

fn is_name_character(character: char) -> bool {
    matches!(character, 'a'..='z' | '0'..='9' | '.' | '_' | '-')
}
