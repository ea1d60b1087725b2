//! Parses and validates callers' requests: takes headers and body, returns a request for the
//! reducer or a problem.
//!
//! Nothing here does I/O or reads a clock, so tests can feed it any input directly.

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
pub use generation::parse_generation;
pub use key::parse_key_request;
pub use problem::IntakeCode;
pub use problem::ProblemDetails;
pub use resume::parse_resume;
pub use service::ServicePath;
pub use service::parse_service_call;

/// Result of parsing a request.
pub type Result<T> = result::Result<T, ProblemDetails>;

/// Document, signing key and deadline that requests are parsed with.
#[derive(Debug, Clone, Copy)]
pub struct IntakeContext<'a> {
    /// The active document.
    pub document: &'a sections::OperatorDocument,
    /// Key that verifies and signs idempotency keys.
    pub signing_key: &'a keys::SigningKey,
    /// Time on the gateway's clock by which the call must start.
    pub start_deadline: time::Timestamp,
}

/// The request headers that the intake reads; `None` when missing or not valid text.
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
    /// Returns the outcome to report when the request is refused before it reaches the reducer.
    ///
    /// A request with an idempotency key or an event id refers to an earlier request, which may
    /// have run, so its outcome is unknown.
    pub fn refusal_outcome(&self) -> work::CallOutcome {
        match self.idempotency_key.or(self.last_event_id) {
            Some(_) => work::CallOutcome::Unknown,
            None => work::CallOutcome::NotRun,
        }
    }
}

/// Returns the tag of a caller's request of class `class`.
///
/// A class that the document does not list for the organisation gets the lowest priority.
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
