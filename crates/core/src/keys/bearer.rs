//! Hashes of bearer keys, compared in constant time.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const HASH_BYTES: usize = 32;

quick_error! {
    /// Reason why a text is not a valid key hash.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyHashError {
        /// The text is not 64 hexadecimal digits.
        Malformed {
            display("a key hash is written as {} hexadecimal digits", 2 * HASH_BYTES)
        }
    }
}

/// SHA-256 of a bearer key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns true if the hashes are equal; compares them in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, KeyHashError> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| KeyHashError::Malformed)?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({self})")
    }
}
