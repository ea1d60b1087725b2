//! The secret that the processes of one system share.

use std::fmt;
use std::result;
use std::str::FromStr;

use hmac::Hmac;
use hmac::Mac;
use quick_error::quick_error;
use sha2::Sha256;

/// Fewest bytes of a key that is read from text.
const KEY_MIN_BYTES: usize = 16;

/// Length of a proof.
pub(super) const PROOF_BYTES: usize = 32;

quick_error! {
    /// Reason why a text is not a link key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LinkKeyError {
        /// The text is not hexadecimal, or too short.
        Malformed {
            display("a link key is written as {} or more hexadecimal digits", 2 * KEY_MIN_BYTES)
        }
    }
}

/// Secret, written in hexadecimal digits, that both ends of a link hold.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(Box<[u8]>);

impl LinkKey {
    /// Takes the secret's bytes.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Computes the proof of the end named `role` over both nonces.
    pub(super) fn prove(&self, role: &[u8], client: &[u8], server: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(role, client, server)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Checks the proof of the end named `role` in constant time.
    pub(super) fn verify(&self, role: &[u8], client: &[u8], server: &[u8], proof: &[u8]) -> bool {
        self.mac(role, client, server).verify_slice(proof).is_ok()
    }

    fn mac(&self, role: &[u8], client: &[u8], server: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(role);
        mac.update(client);
        mac.update(server);
        mac
    }
}

impl FromStr for LinkKey {
    type Err = LinkKeyError;

    fn from_str(text: &str) -> result::Result<Self, LinkKeyError> {
        let secret = hex::decode(text).map_err(|_| LinkKeyError::Malformed)?;
        match secret.len() >= KEY_MIN_BYTES {
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
