//! Idempotency keys. A key names the only incarnation of an agent that may run its call.

use std::fmt;
use std::str::FromStr;

use hmac::Hmac;
use hmac::Mac;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::ids;
use crate::time;

const PART_COUNT: usize = 5;
/// Length of the tag: the first half of an HMAC-SHA-256.
const TAG_BYTES: usize = 16;
const SEPARATOR: char = '~';

quick_error! {
    /// Reason why a gateway refuses an idempotency key before it contacts an agent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The text does not have the form of a key.
        Malformed {
            display("the idempotency key is malformed; use one issued by POST /v1/idempotency-keys")
        }
        /// The tag is wrong: this system did not issue the key to this organisation.
        Forged {
            display("the idempotency key was not issued to this organisation")
        }
    }
}

/// An idempotency key. A call with this key runs on the named target and incarnation or not at all.
///
/// Text form: `TARGET~INCARNATION~EXPIRY~NONCE~TAG`, where `EXPIRY` is in microseconds of the
/// agent's clock and `TAG` is an HMAC-SHA-256 over the other parts and the organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Target whose agent runs the call.
    pub target: ids::TargetName,
    /// Incarnation of the agent for which the key was issued.
    pub incarnation: ids::Incarnation,
    /// Time on the agent's clock from which on the agent refuses the key.
    pub expires_at: time::Timestamp,
    /// Distinguishes keys of the same target and incarnation.
    pub nonce: ids::Nonce,
}

/// Secret that signs idempotency keys; the same in all processes of the system.
#[derive(Clone)]
pub struct SigningKey(Box<[u8]>);

impl SigningKey {
    /// Creates a signing key from the bytes of the secret, which may have any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Returns the text form of `key`, signed for callers of `organisation`.
    pub fn sign(&self, key: &IdempotencyKey, organisation: &ids::OrganisationName) -> Box<str> {
        let body = format_body(key);
        let tag = self.mac(&body, organisation).finalize().into_bytes();
        let tag = hex::encode(&tag[..TAG_BYTES]);

        format!("{body}{SEPARATOR}{tag}").into()
    }

    /// Parses a key that a caller of `organisation` sent, and checks its tag.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::Malformed`] if the text does not have the form of a key, and
    /// [`KeyError::Forged`] if the tag does not match the key and the organisation.
    pub fn verify(
        &self,
        text: &str,
        organisation: &ids::OrganisationName,
    ) -> super::Result<IdempotencyKey> {
        let (body, tag) = text.rsplit_once(SEPARATOR).ok_or(KeyError::Malformed)?;
        let tag = hex::decode(tag).map_err(|_| KeyError::Malformed)?;
        let key = parse_body(body)?;
        if tag.len() != TAG_BYTES {
            return Err(KeyError::Malformed);
        }

        self.mac(body, organisation)
            .verify_truncated_left(&tag)
            .map_err(|_| KeyError::Forged)?;
        Ok(key)
    }

    fn mac(&self, body: &str, organisation: &ids::OrganisationName) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts a key of any length");
        mac.update(organisation.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(body.as_bytes());
        mac
    }
}

impl fmt::Debug for SigningKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SigningKey(..)")
    }
}

fn format_body(key: &IdempotencyKey) -> Box<str> {
    format!(
        "{target}{SEPARATOR}{incarnation}{SEPARATOR}{expiry}{SEPARATOR}{nonce}",
        target = key.target,
        incarnation = key.incarnation,
        expiry = key.expires_at.as_micros(),
        nonce = key.nonce,
    )
    .into()
}

fn parse_body(body: &str) -> super::Result<IdempotencyKey> {
    let parts: Vec<&str> = body.split(SEPARATOR).collect();
    if parts.len() != PART_COUNT - 1 {
        return Err(KeyError::Malformed);
    }
    let expiry: u64 = parse_part(parts[2])?;

    Ok(IdempotencyKey {
        target: parse_part(parts[0])?,
        incarnation: parse_part(parts[1])?,
        expires_at: time::Timestamp::from_micros(expiry),
        nonce: parse_part(parts[3])?,
    })
}

fn parse_part<T: FromStr>(part: &str) -> super::Result<T> {
    part.parse().map_err(|_| KeyError::Malformed)
}
