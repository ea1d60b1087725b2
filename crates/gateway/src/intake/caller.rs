//! Who calls.

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
    /// Organisation whose key the caller sent.
    pub organisation: ids::OrganisationName,
    /// Its share in weighted fair queueing.
    pub weight: measures::Weight,
}

/// Finds the organisation whose bearer key a request carries.
///
/// Every hash of the document is compared, each in constant time, so that the time taken says
/// nothing of how near a wrong key came.
///
/// # Errors
///
/// [`IntakeCode::Unauthorized`] when there is no key or none that the document lists.
pub fn authenticate(
    document: &sections::OperatorDocument,
    head: &RequestHead<'_>,
) -> Result<CallerIdentity> {
    let Some(key) = head.authorization.and_then(bearer_key) else {
        let detail = "the header Authorization must hold `Bearer` and the organisation's key";
        return Err(refusal(head, detail));
    };
    let hash = keys::KeyHash::of_key(key);

    let mut caller = None;
    for (organisation, entry) in &document.organisations {
        for known in &entry.key_hashes {
            if known.matches(&hash) {
                caller = Some(CallerIdentity {
                    organisation: organisation.clone(),
                    weight: entry.weight,
                });
            }
        }
    }

    caller.ok_or_else(|| refusal(head, "the bearer key belongs to no organisation"))
}

fn refusal(head: &RequestHead<'_>, detail: &str) -> ProblemDetails {
    let outcome = head.refusal_outcome();
    ProblemDetails::new(IntakeCode::Unauthorized, outcome, detail)
}

fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER_SCHEME);
    is_bearer.then(|| key.trim()).filter(|key| !key.is_empty())
}
