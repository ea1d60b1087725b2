//! Section `link`: the secret key that all processes of the system share.

use std::fmt;
use std::str::FromStr;

use kingcupfall_document::reader;
use quick_error::quick_error;
use serde_with::DeserializeFromStr;

const MIN_KEY_BYTES: usize = 16;

const MAX_KEY_BYTES: usize = 64;

quick_error! {
    /// Reason why a text is not a link key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LinkKeyError {
        /// The text does not consist of pairs of hexadecimal digits.
        Malformed {
            display("a key is written as pairs of hexadecimal digits")
        }
    }
}

/// Secret that authenticates links and idempotency keys. `Debug` output hides it, so that it does
/// not end up in logs.
#[derive(Clone, PartialEq, Eq, DeserializeFromStr)]
pub struct LinkKey(Box<[u8]>);

impl LinkKey {
    /// Creates a key from the bytes of the secret, whose length is not checked.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Returns the bytes of the secret.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl FromStr for LinkKey {
    type Err = LinkKeyError;

    fn from_str(text: &str) -> Result<Self, LinkKeyError> {
        let secret = hex::decode(text).map_err(|_| LinkKeyError::Malformed)?;
        Ok(Self(secret.into()))
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("LinkKey(..)")
    }
}

/// Settings of the links between the system's processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// Secret that must be the same in all processes of the system.
    pub key: LinkKey,
}

impl reader::TableValue for LinkSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let key: LinkKey = reader.required("key")?;

        let length = key.as_bytes().len();
        let is_valid = (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&length);
        let message = format!("has {length} bytes, must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES}");
        reader.check("key", is_valid, message);
        Some(Self { key })
    }
}
