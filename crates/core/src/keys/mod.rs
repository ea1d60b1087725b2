//! Idempotency keys that name their executor, and the codes that protect them.

mod bearer;
mod execution;

pub use bearer::HashError;
pub use bearer::KeyHash;
pub use execution::ExecutionKey;
pub use execution::KeyError;
pub use execution::SigningKey;

use std::result;

/// Result of reading a key.
pub type Result<T> = result::Result<T, KeyError>;
