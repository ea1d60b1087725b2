//! Parsing of service calls.

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

/// Maximum length of the path under a service.
const MAX_PATH_BYTES: usize = 512;

/// Media type of a body without a `Content-Type`.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Parses and validates `POST /v1/services/{service}/{path}`.
///
/// # Errors
///
/// A [`ProblemDetails`] when the document has no such service, or the path or the idempotency key
/// is invalid.
pub fn parse_service_call(
    context: &IntakeContext<'_>,
    caller: &CallerIdentity,
    head: &RequestHead<'_>,
    call: ids::CallId,
    service_path: ServicePath<'_>,
    body: &[u8],
) -> Result<reducer::CallRequest> {
    let (service, entry) = find_service(context.document, head, service_path.service)?;
    validate_path(head, service_path.path)?;
    let key = parse_key(context, caller, head, &service)?;

    let resource = format!("{service}/{}", service_path.path);
    let fingerprint = work::RequestFingerprint::of_request(&caller.organisation, &resource, body);
    let request = work::ServiceRequest {
        path: service_path.path.into(),
        content_type: head.content_type.unwrap_or(DEFAULT_CONTENT_TYPE).into(),
        body: body.to_vec(),
        service,
    };
    let class: ids::ClassName = request
        .service
        .as_str()
        .parse()
        .expect("service and class names have the same form");
    Ok(reducer::CallRequest {
        call,
        tag: super::caller_tag(context.document, caller, class),
        fingerprint,
        work: work::WorkRequest::Service(request),
        stream: false,
        repeatable: is_repeatable(entry, service_path.path),
        key,
        start_deadline: context.start_deadline,
    })
}

/// Service and path as written in the request, without percent-decoding.
#[derive(Debug, Clone, Copy)]
pub struct ServicePath<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Path under the service, without a leading slash.
    pub path: &'a str,
}

/// Looks up the service `name` in the document.
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

/// Refuses paths that a service could normalise or decode to a different path than the one whose
/// repeatability was checked.
fn validate_path(head: &RequestHead<'_>, path: &str) -> Result<()> {
    let has_plain_bytes = path.bytes().all(is_path_byte);
    let has_plain_segments = path
        .split('/')
        .all(|segment| !matches!(segment, "" | "." | ".."));
    if has_plain_bytes && has_plain_segments && path.len() <= MAX_PATH_BYTES {
        return Ok(());
    }

    let detail = "the path under the service is too long, has characters other than letters, \
                  digits and -._~:@!$&'()*+,;=/, or has a segment that is empty, `.` or `..`";
    Err(ProblemDetails::new(
        IntakeCode::InvalidRequest,
        head.refusal_outcome(),
        detail,
    ))
}

/// Returns true if `byte` is allowed in a path.
///
/// `%` is not, as it starts an escape that services decode.
fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~:@!$&'()*+,;=/".contains(&byte)
}

/// Returns true if `path` equals one of the service's repeatable paths or lies below one.
fn is_repeatable(entry: &sections::ServiceEntry, path: &str) -> bool {
    entry
        .repeatable_paths
        .iter()
        .any(|prefix| match path.strip_prefix(prefix.as_ref()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        })
}

fn parse_key(
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

    if belongs_to_other_service(context.document, &key, service) {
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

/// Returns true if the document lists the target in `key` for other work than `service`.
///
/// The reducer handles a target that is not in the document.
fn belongs_to_other_service(
    document: &sections::OperatorDocument,
    key: &keys::IdempotencyKey,
    service: &ids::ServiceName,
) -> bool {
    match document.targets.get(&key.target).map(|entry| &entry.kind) {
        Some(sections::TargetKind::Service { service: served }) => served != service,
        Some(sections::TargetKind::Engine { .. }) => true,
        None => false,
    }
}

fn invalid_key(error: &keys::KeyError) -> ProblemDetails {
    // No call can have run under a malformed key. A forged one may be a real key that was signed
    // with an earlier secret, so a call may have run under it.
    let outcome = match error {
        keys::KeyError::Malformed => work::CallOutcome::NotRun,
        keys::KeyError::Forged => work::CallOutcome::Unknown,
    };
    ProblemDetails::new(IntakeCode::InvalidKey, outcome, &error.to_string())
}
