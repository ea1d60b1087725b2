//! Names that operators write in the document and in settings.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Longest accepted name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;

quick_error! {
    /// Reason why a text is not a valid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The text has no characters.
        Empty {
            display("a name must not be empty")
        }
        /// The text is longer than [`NAME_LIMIT_BYTES`].
        TooLong(length: usize) {
            display("a name has at most {} bytes, this one has {}", NAME_LIMIT_BYTES, length)
        }
        /// The text holds a character outside `a-z 0-9 . _ -`.
        BadCharacter(character: char) {
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
    /// Name of an organisation whose callers use the system.
    OrganisationName
}
text_name! {
    /// Name of a class of requests of one organisation, such as `report`.
    ClassName
}
text_name! {
    /// Name of a model.
    ModelName
}
text_name! {
    /// Name of a plain service.
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
    /// Name of a VM.
    VmName
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LIMIT_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    match text
        .chars()
        .find(|character| !is_name_character(*character))
    {
        Some(character) => Err(NameError::BadCharacter(character)),
        None => Ok(()),
    }
}

fn is_name_character(character: char) -> bool {
    matches!(character, 'a'..='z' | '0'..='9' | '.' | '_' | '-')
}
