//! Idempotency keys. A key names the one agent life that may run its call.

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

const PARTS: usize = 5;
const TAG_BYTES: usize = 16;
const SEPARATOR: char = '~';

quick_error! {
    /// Reason why an idempotency key is refused before it is sent anywhere.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The text does not have the form of a key.
        Malformed {
            display("the idempotency key is malformed; use one issued by POST /v1/idempotency-keys")
        }
        /// The key was not issued by this system to this organisation.
        Forged {
            display("the idempotency key was not issued to this organisation")
        }
    }
}

/// An idempotency key: the call it is sent with runs on this target's incarnation or nowhere.
///
/// Text form: `TARGET~INCARNATION~EXPIRY~NONCE~TAG`, where `EXPIRY` is in microseconds of the
/// agent's clock and `TAG` is an HMAC-SHA-256 over the other parts and the organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionKey {
    /// Target whose agent runs the call.
    pub target: ids::TargetName,
    /// Life of the agent that the key was issued for.
    pub incarnation: ids::Incarnation,
    /// Time on the agent's clock after which the key is refused.
    pub expires_at: time::Timestamp,
    /// Unique part of the key.
    pub nonce: ids::Nonce,
}

/// Secret that signs keys; the same in all processes of the system.
#[derive(Clone)]
pub struct SigningKey(Box<[u8]>);

impl SigningKey {
    /// Takes the secret's bytes.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.into())
    }

    /// Writes `key` as text for callers of `organisation`.
    pub fn write(&self, key: &ExecutionKey, organisation: &ids::OrganisationName) -> Box<str> {
        let body = key_body(key);
        let tag = self.mac(&body, organisation).finalize().into_bytes();
        let tag = hex::encode(&tag[..TAG_BYTES]);

        format!("{body}{SEPARATOR}{tag}").into()
    }

    /// Reads a key that a caller of `organisation` sent.
    ///
    /// # Errors
    ///
    /// [`KeyError::Malformed`] when the text is no key, [`KeyError::Forged`] when its tag does not
    /// fit the organisation.
    pub fn read(
        &self,
        text: &str,
        organisation: &ids::OrganisationName,
    ) -> super::Result<ExecutionKey> {
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
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
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

fn key_body(key: &ExecutionKey) -> Box<str> {
    format!(
        "{target}{SEPARATOR}{incarnation}{SEPARATOR}{expiry}{SEPARATOR}{nonce}",
        target = key.target,
        incarnation = key.incarnation,
        expiry = key.expires_at.as_micros(),
        nonce = key.nonce,
    )
    .into()
}

fn parse_body(body: &str) -> super::Result<ExecutionKey> {
    let parts: Vec<&str> = body.split(SEPARATOR).collect();
    if parts.len() != PARTS - 1 {
        return Err(KeyError::Malformed);
    }
    let expiry: u64 = parse_part(parts[2])?;

    Ok(ExecutionKey {
        target: parse_part(parts[0])?,
        incarnation: parse_part(parts[1])?,
        expires_at: time::Timestamp::from_micros(expiry),
        nonce: parse_part(parts[3])?,
    })
}

fn parse_part<T: FromStr>(part: &str) -> super::Result<T> {
    part.parse().map_err(|_| KeyError::Malformed)
}
