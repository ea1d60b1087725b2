//! Calls of plain services.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::work;
use kingcupfall_document::sections;

use super::CallerIdentity;
use super::IntakeCode;
use super::IntakeContext;
use super::ProblemDetails;
use super::RequestHead;
use super::Result;
use crate::reducer;

/// Longest path under a service, in bytes.
const PATH_LIMIT_BYTES: usize = 512;

/// Media type of a body that names none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Reads `POST /v1/services/{service}/{path}`.
///
/// # Errors
///
/// A [`ProblemDetails`] when the service, the path or the idempotency key is not in order.
pub fn read_service(
    context: &IntakeContext<'_>,
    caller: &CallerIdentity,
    head: &RequestHead<'_>,
    call: ids::CallId,
    target: ServicePath<'_>,
    body: &[u8],
) -> Result<reducer::CallRequest> {
    let (service, entry) = find_service(context.document, head, target.service)?;
    check_path(head, target.path)?;
    let key = read_key(context, caller, head, &service)?;

    let resource = format!("{service}/{}", target.path);
    let fingerprint = work::RequestFingerprint::of_request(&caller.organisation, &resource, body);
    let request = work::ServiceRequest {
        path: target.path.into(),
        content_type: head.content_type.unwrap_or(DEFAULT_CONTENT_TYPE).into(),
        body: body.to_vec(),
        service,
    };
    let class: ids::ClassName = request.service.as_str().parse().expect("both are names");
    Ok(reducer::CallRequest {
        call,
        tag: super::caller_tag(context.document, caller, class),
        fingerprint,
        work: work::WorkRequest::Service(request),
        stream: false,
        repeatable: is_repeatable(entry, target.path),
        key,
        start_deadline: context.start_deadline,
    })
}

/// Service and path as they stand in the request.
#[derive(Debug, Clone, Copy)]
pub struct ServicePath<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Path under it, without a leading slash, as it was sent.
    pub path: &'a str,
}

/// Returns the service that a request names.
pub(super) fn find_service<'a>(
    document: &'a sections::OperatorDocument,
    head: &RequestHead<'_>,
    name: &str,
) -> Result<(ids::ServiceName, &'a sections::ServiceEntry)> {
    let service: Option<ids::ServiceName> = name.parse().ok();
    let found = service.and_then(|service| {
        let entry = document.services.get(&service)?;
        Some((service, entry))
    });
    found.ok_or_else(|| {
        let detail = "the document has no such service";
        ProblemDetails::new(IntakeCode::UnknownService, head.refusal_outcome(), detail)
    })
}

/// Refuses paths that a service could read as another path than the one that was judged.
fn check_path(head: &RequestHead<'_>, path: &str) -> Result<()> {
    let is_plain = path.bytes().all(is_path_byte);
    let has_plain_segments = path
        .split('/')
        .all(|segment| !matches!(segment, "" | "." | ".."));
    if is_plain && has_plain_segments && path.len() <= PATH_LIMIT_BYTES {
        return Ok(());
    }

    let detail = "the path under a service takes letters, digits and -._~:@!$&'()*+,;= in \
                  segments that are neither empty nor dots";
    Err(ProblemDetails::new(
        IntakeCode::InvalidRequest,
        head.refusal_outcome(),
        detail,
    ))
}

/// Says whether a byte stands for itself in a path; `%` does not.
fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~:@!$&'()*+,;=/".contains(&byte)
}

fn is_repeatable(entry: &sections::ServiceEntry, path: &str) -> bool {
    entry
        .repeatable_paths
        .iter()
        .any(|prefix| match path.strip_prefix(prefix.as_ref()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        })
}

fn read_key(
    context: &IntakeContext<'_>,
    caller: &CallerIdentity,
    head: &RequestHead<'_>,
    service: &ids::ServiceName,
) -> Result<Option<keys::IdempotencyKey>> {
    let Some(text) = head.idempotency_key else {
        return Ok(None);
    };
    let key = context
        .signing_key
        .verify(text, &caller.organisation)
        .map_err(|error| invalid_key(&error))?;

    if names_other_service(context.document, &key, service) {
        let detail = "the idempotency key was issued for another service";
        let outcome = work::CallOutcome::NotRun;
        return Err(ProblemDetails::new(
            IntakeCode::KeyMismatch,
            outcome,
            detail,
        ));
    }
    Ok(Some(key))
}

/// Says whether the target in `key` belongs to another service than `service`.
///
/// A target that is not in the document is left to the reducer.
fn names_other_service(
    document: &sections::OperatorDocument,
    key: &keys::IdempotencyKey,
    service: &ids::ServiceName,
) -> bool {
    match document.targets.get(&key.target).map(|entry| &entry.kind) {
        Some(sections::TargetKind::Service { service: own }) => own != service,
        Some(sections::TargetKind::Engine { .. }) => true,
        None => false,
    }
}

fn invalid_key(error: &keys::KeyError) -> ProblemDetails {
    // A text that was never a key can't have run anything; a key of an older secret may have.
    let outcome = match error {
        keys::KeyError::Malformed => work::CallOutcome::NotRun,
        keys::KeyError::Forged => work::CallOutcome::Unknown,
    };
    ProblemDetails::new(IntakeCode::InvalidKey, outcome, &error.to_string())
}
