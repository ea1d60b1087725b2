//! Hashes of bearer keys, compared in constant time.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const HASH_BYTES: usize = 32;

/// SHA-256 of a bearer key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares with another hash in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for KeyHash {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, hex::FromHexError> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
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
