//! Identifiers: names written by operators and random ids made by processes.

mod names;
mod numbers;
mod random;

pub use names::ClassName;
pub use names::ModelName;
pub use names::NAME_LIMIT_BYTES;
pub use names::NameError;
pub use names::OrganisationName;
pub use names::ServiceName;
pub use names::TargetName;
pub use names::VmName;
pub use names::ZoneName;
pub use numbers::CallId;
pub use numbers::LinkId;
pub use random::AttemptId;
pub use random::IdError;
pub use random::Incarnation;
pub use random::Nonce;
pub use random::ProcessId;

use std::result;

/// Result of parsing a name.
pub type Result<T> = result::Result<T, NameError>;
