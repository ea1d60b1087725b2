//! Idempotency keys, the secret that signs them, and hashes of bearer keys.

mod bearer;
mod idempotency;

pub use bearer::KeyHash;
pub use bearer::KeyHashError;
pub use idempotency::IdempotencyKey;
pub use idempotency::KeyError;
pub use idempotency::SigningKey;

use std::result;

/// Result of verifying an idempotency key.
pub type Result<T> = result::Result<T, KeyError>;
