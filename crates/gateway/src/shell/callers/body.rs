//! Reads request bodies within limits of size and time.

use std::time::Duration;

use futures_util::StreamExt;
use kingcupfall_core::work;
use ntex::http;
use ntex::web;

use super::context;
use crate::intake;

/// Maximum time for reading a body that is not used.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the complete body.
///
/// # Errors
///
/// A [`intake::ProblemDetails`] if the body is too large, too slow, truncated or wrongly framed.
pub async fn read_body(
    context: &context::ServerContext,
    request: &web::HttpRequest,
    payload: &mut web::types::Payload,
    outcome: work::CallOutcome,
) -> intake::Result<Vec<u8>> {
    let limits = context.limits();
    if declared_length(request).is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(too_large(outcome, limits.body_bytes));
    }

    let reading = collect(payload, limits.body_bytes, outcome);
    match tokio::time::timeout(limits.body_timeout, reading).await {
        Ok(result) => result,
        Err(_) => Err(too_slow(outcome, limits.body_timeout)),
    }
}

/// Reads and drops the rest of a body, up to the maximum size of a body and [`DISCARD_TIMEOUT`].
///
/// A connection whose body was not read is closed together with the response, and a caller that is
/// still sending then often does not receive the response.
pub async fn discard_body(context: &context::ServerContext, payload: &mut web::types::Payload) {
    let mut remaining = context.limits().body_bytes;
    let discarding = async {
        while let Some(Ok(chunk)) = payload.next().await {
            if chunk.len() > remaining {
                return;
            }
            remaining -= chunk.len();
        }
    };

    // A caller that is still sending after the timeout may miss its response.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}

async fn collect(
    payload: &mut web::types::Payload,
    limit: usize,
    outcome: work::CallOutcome,
) -> intake::Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| truncated(outcome))?;
        if body.len() + chunk.len() > limit {
            return Err(too_large(outcome, limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn declared_length(request: &web::HttpRequest) -> Option<u64> {
    let header = request.headers().get(http::header::CONTENT_LENGTH)?;
    header.to_str().ok()?.parse().ok()
}

fn too_large(outcome: work::CallOutcome, limit: usize) -> intake::ProblemDetails {
    let detail = format!("a body has at most {limit} bytes");
    intake::ProblemDetails::new(intake::IntakeCode::BodyTooLarge, outcome, &detail)
}

fn too_slow(outcome: work::CallOutcome, timeout: Duration) -> intake::ProblemDetails {
    let detail = format!("the body did not arrive within {} s", timeout.as_secs());
    intake::ProblemDetails::new(intake::IntakeCode::BodyTimeout, outcome, &detail)
}

fn truncated(outcome: work::CallOutcome) -> intake::ProblemDetails {
    let detail = "the body was truncated or is wrongly framed";
    intake::ProblemDetails::new(intake::IntakeCode::InvalidRequest, outcome, detail)
}
