//! Parsing of generation requests.

use kingcupfall_core::findings;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_document::sections;
use serde::Deserialize;

use super::CallerIdentity;
use super::IntakeCode;
use super::IntakeContext;
use super::ProblemDetails;
use super::RequestHead;
use super::Result;
use crate::reducer;

/// Class of a request that does not name one.
pub const DEFAULT_CLASS: &str = "default";

/// JSON body of `POST /v1/generations`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerationBody {
    model: Box<str>,
    prompt: Box<str>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    class: Option<Box<str>>,
    #[serde(default)]
    stream: bool,
}

/// Parses and validates the body of `POST /v1/generations`.
///
/// # Errors
///
/// A [`ProblemDetails`] with all errors of the body, or [`IntakeCode::UnknownModel`].
pub fn parse_generation(
    context: &IntakeContext<'_>,
    caller: &CallerIdentity,
    head: &RequestHead<'_>,
    call: ids::CallId,
    body: &[u8],
) -> Result<reducer::CallRequest> {
    let body = parse_body(head, body)?;
    let fields = validate_body(context.document, head, body)?;

    let generation = work::GenerationRequest {
        prompt_tokens: work::estimate_tokens(&fields.prompt),
        prefix: work::PrefixHash::of_prompt(&fields.model, &fields.prompt),
        model: fields.model,
        prompt: fields.prompt,
        max_tokens: fields.max_tokens,
    };
    let fingerprint = work::RequestFingerprint::of_request(
        &caller.organisation,
        generation.model.as_str(),
        generation.prompt.as_bytes(),
    );
    Ok(reducer::CallRequest {
        call,
        tag: super::caller_tag(context.document, caller, fields.class),
        fingerprint,
        work: work::WorkRequest::Generation(generation),
        stream: fields.stream,
        repeatable: true,
        key: None,
        start_deadline: context.start_deadline,
    })
}

/// The fields of a valid body, with defaults filled in.
struct ValidBody {
    model: ids::ModelName,
    prompt: Box<str>,
    max_tokens: measures::TokenCount,
    class: ids::ClassName,
    stream: bool,
}

fn parse_body(head: &RequestHead<'_>, body: &[u8]) -> Result<GenerationBody> {
    serde_json::from_slice(body).map_err(|error| {
        let mut findings = findings::FindingList::default();
        findings.push(json_finding(&error));
        ProblemDetails::of_findings(head.refusal_outcome(), findings)
    })
}

fn validate_body(
    document: &sections::OperatorDocument,
    head: &RequestHead<'_>,
    body: GenerationBody,
) -> Result<ValidBody> {
    let mut findings = findings::FindingList::default();
    if head.idempotency_key.is_some() {
        let message = "only service calls take an idempotency key; a generation is retried until \
                       its first token";
        findings.push(field_finding("idempotency-key", message));
    }
    if body.prompt.is_empty() {
        findings.push(field_finding("prompt", "must not be empty"));
    }
    let class = body.class.as_deref().unwrap_or(DEFAULT_CLASS);
    let class = ok_or_record(&mut findings, "class", class.parse());
    let model = ok_or_record(&mut findings, "model", body.model.parse::<ids::ModelName>());

    let entry = model.as_ref().and_then(|model| document.models.get(model));
    let limit = entry.map(|entry| entry.max_tokens);
    let max_tokens = validate_max_tokens(&mut findings, body.max_tokens, limit);
    let (Some(class), Some(model), true) = (class, model, findings.is_empty()) else {
        return Err(ProblemDetails::of_findings(
            head.refusal_outcome(),
            findings,
        ));
    };
    let Some(max_tokens) = max_tokens else {
        return Err(unknown_model(head, &model));
    };

    Ok(ValidBody {
        model,
        prompt: body.prompt,
        max_tokens,
        class,
        stream: body.stream,
    })
}

/// Returns the number of tokens to generate at most, by default the model's `limit`; `None` when
/// the model is unknown. Records a finding when `requested` is zero or above `limit`.
fn validate_max_tokens(
    findings: &mut findings::FindingList,
    requested: Option<u64>,
    limit: Option<measures::TokenCount>,
) -> Option<measures::TokenCount> {
    if requested == Some(0) {
        findings.push(field_finding("max_tokens", "must be at least 1"));
    }
    let limit = limit?;
    let requested = requested.map_or(limit, measures::TokenCount::new);
    if requested > limit {
        let message = format!("must be at most {limit}, the model's limit");
        findings.push(field_finding("max_tokens", &message));
    }
    Some(requested)
}

fn unknown_model(head: &RequestHead<'_>, model: &ids::ModelName) -> ProblemDetails {
    let detail = format!("there is no model {model}");
    ProblemDetails::new(IntakeCode::UnknownModel, head.refusal_outcome(), &detail)
}

/// Returns the parsed value, or records the error as a finding at `path`.
pub(super) fn ok_or_record<T, E: std::fmt::Display>(
    findings: &mut findings::FindingList,
    path: &str,
    parsed: std::result::Result<T, E>,
) -> Option<T> {
    match parsed {
        Ok(value) => Some(value),
        Err(error) => {
            findings.push(field_finding(path, &error.to_string()));
            None
        }
    }
}

/// Creates a finding for a field or header of the request.
pub(super) fn field_finding(path: &str, message: &str) -> findings::InputFinding {
    findings::InputFinding {
        path: path.into(),
        position: None,
        message: message.into(),
    }
}

/// Creates the finding for a body that can't be parsed as the expected JSON.
pub(super) fn json_finding(error: &serde_json::Error) -> findings::InputFinding {
    let text = error.to_string();
    // serde_json appends the line and column, which `position` already has.
    let message = text.split(" at line ").next().unwrap_or(&text);
    findings::InputFinding {
        path: "body".into(),
        position: Some(findings::TextPosition {
            line: u32::try_from(error.line()).unwrap_or(u32::MAX),
            column: u32::try_from(error.column()).unwrap_or(u32::MAX),
        }),
        message: message.into(),
    }
}
