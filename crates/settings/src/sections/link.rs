//! Section `link`: the key that the system's own processes share.

use std::fmt;
use std::str::FromStr;

use kingcupfall_document::reader;
use quick_error::quick_error;
use serde_with::DeserializeFromStr;

/// Fewest bytes of a key.
const KEY_MIN_BYTES: usize = 16;

/// Most bytes of a key.
const KEY_MAX_BYTES: usize = 64;

quick_error! {
    /// Reason why a text is not a key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The text is not pairs of hexadecimal digits.
        Malformed {
            display("a key is written as pairs of hexadecimal digits")
        }
    }
}

/// Secret that links and idempotency keys are authenticated with; never shown in logs.
#[derive(Clone, PartialEq, Eq, DeserializeFromStr)]
pub struct LinkKey(Box<[u8]>);

impl LinkKey {
    /// Takes the secret's bytes.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Returns the secret's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl FromStr for LinkKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let secret = hex::decode(text).map_err(|_| KeyError::Malformed)?;
        Ok(Self(secret.into()))
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("LinkKey(..)")
    }
}

/// Links between the system's processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// Secret that all processes of the system share.
    pub key: LinkKey,
}

impl reader::TableValue for LinkSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let key: LinkKey = reader.required("key")?;

        let length = key.as_bytes().len();
        let is_valid = (KEY_MIN_BYTES..=KEY_MAX_BYTES).contains(&length);
        let message = format!("has {length} bytes, must have {KEY_MIN_BYTES} to {KEY_MAX_BYTES}");
        reader.check("key", is_valid, message);
        Some(Self { key })
    }
}
