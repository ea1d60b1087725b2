//! Random 128-bit ids, written as 32 hexadecimal digits in text and as 16 bytes in binary formats.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use rand::Rng;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

const HEX_DIGITS: usize = 32;

const ID_BYTES: usize = 16;

quick_error! {
    /// Reason why a text is not a valid id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The text is not 32 hexadecimal digits.
        Malformed {
            display("an id is written as {} hexadecimal digits", HEX_DIGITS)
        }
    }
}

macro_rules! random_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u128);

        impl $name {
            /// Draws a new id from `generator`.
            pub fn random(generator: &mut impl Rng) -> Self {
                Self(generator.random())
            }

            /// Creates an id from its numeric value.
            pub const fn from_u128(value: u128) -> Self {
                Self(value)
            }

            /// Returns the numeric value.
            pub const fn as_u128(self) -> u128 {
                self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                match serializer.is_human_readable() {
                    true => serializer.collect_str(self),
                    false => serializer.serialize_bytes(&self.0.to_be_bytes()),
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let value = match deserializer.is_human_readable() {
                    true => deserializer.deserialize_str(IdVisitor),
                    false => deserializer.deserialize_bytes(IdVisitor),
                };
                value.map(Self)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                parse_hex(text).map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }
    };
}

random_id! {
    /// Id of one attempt to run a call on a target, and of the generation that it runs.
    AttemptId
}
random_id! {
    /// Id of the crash of a target, the same in all processes that report it.
    CrashId
}
random_id! {
    /// Id of one run of a process, drawn at each start.
    Incarnation
}
random_id! {
    /// Id of a gateway or agent process, drawn at its start.
    ProcessId
}
random_id! {
    /// Unique part of an idempotency key; also the id of a subscription to an attempt's tokens.
    Nonce
}

impl CrashId {
    /// Returns the id of the crash that ended an attempt.
    pub const fn of_attempt(attempt: AttemptId) -> Self {
        Self(attempt.0)
    }
}

/// Deserializes an id from its text form or its bytes.
struct IdVisitor;

impl de::Visitor<'_> for IdVisitor {
    type Value = u128;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{HEX_DIGITS} hexadecimal digits or {ID_BYTES} bytes"
        )
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<u128, E> {
        parse_hex(text).map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<u128, E> {
        let bytes =
            <[u8; ID_BYTES]>::try_from(bytes).map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(u128::from_be_bytes(bytes))
    }
}

fn parse_hex(text: &str) -> Result<u128, IdError> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != HEX_DIGITS || !is_hex {
        return Err(IdError::Malformed);
    }
    u128::from_str_radix(text, 16).map_err(|_| IdError::Malformed)
}
