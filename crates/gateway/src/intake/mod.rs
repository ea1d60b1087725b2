//! Reads callers' requests: headers and body in, a reducer event or a problem out.
//!
//! Nothing here does I/O or reads a clock, so every kind of input can be tested by itself.

mod caller;
mod generation;
mod key;
mod problem;
mod resume;
mod service;

use std::result;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_document::sections;

pub use caller::CallerIdentity;
pub use caller::authenticate;
pub use generation::DEFAULT_CLASS;
pub use generation::read_generation;
pub use key::read_key_request;
pub use problem::IntakeCode;
pub use problem::ProblemDetails;
pub use resume::read_resume;
pub use service::ServicePath;
pub use service::read_service;

/// Result of reading a request.
pub type Result<T> = result::Result<T, ProblemDetails>;

/// What requests are read against.
#[derive(Debug, Clone, Copy)]
pub struct IntakeContext<'a> {
    /// The document in force.
    pub document: &'a sections::OperatorDocument,
    /// Key that signs idempotency keys.
    pub signing_key: &'a keys::SigningKey,
    /// Time on the gateway's clock after which the call need not be started.
    pub start_deadline: time::Timestamp,
}

/// The headers of a request that matter.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestHead<'a> {
    /// `Authorization`.
    pub authorization: Option<&'a str>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<&'a str>,
    /// `Last-Event-ID`.
    pub last_event_id: Option<&'a str>,
    /// `Content-Type`.
    pub content_type: Option<&'a str>,
}

impl RequestHead<'_> {
    /// Returns what may be said of a request that is refused before it goes anywhere.
    ///
    /// A request that names an earlier one, by its key or its event id, may have run before.
    pub fn refusal_outcome(&self) -> work::CallOutcome {
        match self.idempotency_key.or(self.last_event_id) {
            Some(_) => work::CallOutcome::Unknown,
            None => work::CallOutcome::NotRun,
        }
    }
}

/// Returns the tag of a caller's request of the class `class`.
///
/// A class that the document does not list has the lowest priority.
pub fn caller_tag(
    document: &sections::OperatorDocument,
    caller: &CallerIdentity,
    class: ids::ClassName,
) -> work::CallerTag {
    let priority = document
        .priorities
        .get(&caller.organisation)
        .and_then(|classes| classes.get(&class))
        .map_or(measures::Priority::ZERO, |entry| entry.priority);

    work::CallerTag {
        organisation: caller.organisation.clone(),
        class,
        priority,
        weight: caller.weight,
    }
}
