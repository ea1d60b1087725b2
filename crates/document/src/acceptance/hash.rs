//! Hashes of section texts.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest;
use sha2::Sha256;

const HASH_BYTES: usize = 32;

quick_error! {
    /// Reason why a text is not a valid content hash.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HashError {
        /// The text is not 64 hexadecimal digits.
        Malformed {
            display("a content hash is written as {} hexadecimal digits", 2 * HASH_BYTES)
        }
    }
}

/// SHA-256 of a section's text, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct ContentHash([u8; HASH_BYTES]);

impl ContentHash {
    /// Computes the hash of `text` as UTF-8 bytes.
    pub fn of_text(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl FromStr for ContentHash {
    type Err = HashError;

    fn from_str(text: &str) -> Result<Self, HashError> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| HashError::Malformed)?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ContentHash({self})")
    }
}
