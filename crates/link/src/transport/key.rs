//! Link key: the secret that all processes of a system share.

use std::fmt;
use std::result;
use std::str::FromStr;

use hmac::Hmac;
use hmac::Mac;
use quick_error::quick_error;
use sha2::Sha256;

/// Minimum length of a key that is parsed from text, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Length of a proof, an HMAC-SHA-256.
pub(super) const PROOF_BYTES: usize = 32;

quick_error! {
    /// Reason why a text is not a link key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LinkKeyError {
        /// The text is not hexadecimal, or too short.
        Malformed {
            display("a link key is written as {} or more hexadecimal digits", 2 * MIN_KEY_BYTES)
        }
    }
}

/// Secret that both ends of a link hold, written as hexadecimal digits.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(Box<[u8]>);

impl LinkKey {
    /// Creates a key from the bytes of the secret, which may have any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Computes the proof of the end with the given role over both nonces.
    pub(super) fn prove(
        &self,
        role: &[u8],
        client_nonce: &[u8],
        server_nonce: &[u8],
    ) -> [u8; PROOF_BYTES] {
        self.mac(role, client_nonce, server_nonce)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Returns true if `proof` is that of the end with the given role; compares in constant time.
    pub(super) fn verify(
        &self,
        role: &[u8],
        client_nonce: &[u8],
        server_nonce: &[u8],
        proof: &[u8],
    ) -> bool {
        self.mac(role, client_nonce, server_nonce)
            .verify_slice(proof)
            .is_ok()
    }

    fn mac(&self, role: &[u8], client_nonce: &[u8], server_nonce: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts a key of any length");
        mac.update(role);
        mac.update(client_nonce);
        mac.update(server_nonce);
        mac
    }
}

impl FromStr for LinkKey {
    type Err = LinkKeyError;

    fn from_str(text: &str) -> result::Result<Self, LinkKeyError> {
        let secret = hex::decode(text).map_err(|_| LinkKeyError::Malformed)?;
        match secret.len() >= MIN_KEY_BYTES {
            true => Ok(Self(secret.into())),
            false => Err(LinkKeyError::Malformed),
        }
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("LinkKey(..)")
    }
}
