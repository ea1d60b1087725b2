//! Authentication of callers by bearer key.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_document::sections;

use super::IntakeCode;
use super::ProblemDetails;
use super::RequestHead;
use super::Result;

const BEARER_SCHEME: &str = "bearer";

/// An authenticated caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Organisation that the caller's key belongs to.
    pub organisation: ids::OrganisationName,
    /// Weight of the organisation in weighted fair queueing.
    pub weight: measures::Weight,
}

/// Returns the organisation that the request's bearer key belongs to.
///
/// Compares the key with every hash in the document, each in constant time, so that the response
/// time does not reveal how close a wrong key is to a right one.
///
/// # Errors
///
/// [`IntakeCode::Unauthorized`] when there is no bearer key or it is not listed in the document.
pub fn authenticate(
    document: &sections::OperatorDocument,
    head: &RequestHead<'_>,
) -> Result<CallerIdentity> {
    let Some(key) = head.authorization.and_then(bearer_key) else {
        let detail = "the Authorization header must be `Bearer` followed by the organisation's key";
        return Err(unauthorized(head, detail));
    };
    let sent_hash = keys::KeyHash::of_key(key);

    let mut caller = None;
    for (organisation, entry) in &document.organisations {
        for key_hash in &entry.key_hashes {
            if key_hash.matches(&sent_hash) {
                caller = Some(CallerIdentity {
                    organisation: organisation.clone(),
                    weight: entry.weight,
                });
            }
        }
    }

    caller.ok_or_else(|| unauthorized(head, "the bearer key belongs to no organisation"))
}

fn unauthorized(head: &RequestHead<'_>, detail: &str) -> ProblemDetails {
    let outcome = head.refusal_outcome();
    ProblemDetails::new(IntakeCode::Unauthorized, outcome, detail)
}

/// Returns the key after the scheme `Bearer`, which is matched in any letter case.
fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER_SCHEME);
    is_bearer.then(|| key.trim()).filter(|key| !key.is_empty())
}
