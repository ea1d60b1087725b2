//! The HTTP endpoints of the administration API.

use std::result;

use kingcupfall_document::sections;
use kingcupfall_telemetry::registry;
use ntex::util;
use ntex::web;
use serde::Deserialize;

use super::StateQuery;
use super::StateReply;
use super::explain;
use super::report;
use super::respond;
use crate::shell;

/// Result of an administration request.
pub type Result<T> = result::Result<T, report::ErrorReport>;

/// Maximum size of the body of a dry run; the configuration service stores no larger values.
const MAX_SECTION_BYTES: usize = 1024 * 1024;

type ContextState = web::types::State<shell::ServerContext>;
type KeyState = web::types::State<respond::AdministrationKey>;

/// Query string of `POST /v1/dry-run`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DryRunQuery {
    section: sections::SectionName,
}

/// Adds the endpoints of the administration API to an ntex application.
pub fn add_routes(config: &mut web::ServiceConfig) {
    config
        .state(web::types::PayloadConfig::new(MAX_SECTION_BYTES))
        .service(web::resource("/v1/sections").route(web::get().to(get_sections)))
        .service(web::resource("/v1/targets").route(web::get().to(get_targets)))
        .service(web::resource("/v1/explain").route(web::get().to(get_explain)))
        .service(web::resource("/v1/quarantine").route(web::get().to(get_quarantine)))
        .service(web::resource("/v1/fleet").route(web::get().to(get_fleet)))
        .service(web::resource("/v1/dry-run").route(web::post().to(post_dry_run)))
        .service(web::resource("/metrics").route(web::get().to(get_metrics)));
}

/// Responds with 404 to a request for an unknown path.
pub async fn refuse_path() -> web::HttpResponse {
    let error = respond::error_report(404, "unknown_path", "there is no such endpoint");
    respond::json_response(Err::<(), _>(error))
}

async fn get_sections(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::json_response(key.authorize(&request).map(|()| list_sections(&context)))
}

async fn get_targets(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::json_response(list_targets(&request, &context, &key).await)
}

async fn get_explain(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::json_response(explain_placement(&request, &context, &key).await)
}

async fn get_quarantine(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::json_response(list_quarantine(&request, &context, &key).await)
}

async fn get_fleet(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::json_response(report_fleet(&request, &context, &key).await)
}

async fn post_dry_run(
    request: web::HttpRequest,
    body: util::Bytes,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::json_response(dry_run_section(&request, &body, &context, &key))
}

/// Serves the metrics without a key, since metrics scrapers often can't send one; the port is
/// internal.
async fn get_metrics(context: ContextState) -> web::HttpResponse {
    let gauges = match context.query_state(StateQuery::Gauges).await {
        Some(StateReply::Gauges(gauges)) => gauges,
        Some(StateReply::Targets(_) | StateReply::Explain(_) | StateReply::Quarantine(_))
        | None => return respond::json_response(Err::<(), _>(stopping_error())),
    };
    let fleet = context.fleet_status().await;
    let observed = shell::GaugeValues {
        now: context.now(),
        gauges: &gauges,
        open_calls: context.open_calls(),
        document: &context.document(),
        fleet: fleet.as_ref(),
    };
    let text = context.metrics().encode(&observed);
    web::HttpResponse::Ok()
        .content_type(registry::CONTENT_TYPE)
        .body(text)
}

fn list_sections(context: &shell::ServerContext) -> Vec<report::SectionReport> {
    let document = context.document();
    let now = context.now();
    document
        .acceptance()
        .status()
        .into_iter()
        .map(|status| {
            let age = document.age(now, status.section);
            report::SectionReport::new(status, age)
        })
        .collect()
}

async fn list_targets(
    request: &web::HttpRequest,
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<Vec<report::TargetReport>> {
    key.authorize(request)?;
    match context.query_state(StateQuery::Targets).await {
        Some(StateReply::Targets(targets)) => Ok(targets),
        Some(StateReply::Explain(_) | StateReply::Quarantine(_) | StateReply::Gauges(_)) | None => {
            Err(stopping_error())
        }
    }
}

async fn explain_placement(
    request: &web::HttpRequest,
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<report::ExplainReport> {
    key.authorize(request)?;
    let query = web::types::Query::<explain::ExplainQuery>::from_query(request.query_string())
        .map_err(|error| respond::error_report(400, "invalid_query", &error.to_string()))?;
    let document = context.document();
    let explain_request = explain::resolve_query(document.document(), query.into_inner())?;

    let mut report = explain_request.report;
    report.targets = match context.query_state(explain_request.query).await {
        Some(StateReply::Explain(candidates)) => candidates,
        Some(StateReply::Targets(_) | StateReply::Quarantine(_) | StateReply::Gauges(_)) | None => {
            return Err(stopping_error());
        }
    };
    Ok(report)
}

async fn list_quarantine(
    request: &web::HttpRequest,
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<Vec<report::QuarantineReport>> {
    key.authorize(request)?;
    match context.query_state(StateQuery::Quarantine).await {
        Some(StateReply::Quarantine(entries)) => Ok(entries),
        Some(StateReply::Targets(_) | StateReply::Explain(_) | StateReply::Gauges(_)) | None => {
            Err(stopping_error())
        }
    }
}

/// Returns `None` when the gateway has joined no fleet, or its fleet task has stopped.
async fn report_fleet(
    request: &web::HttpRequest,
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<Option<report::FleetReport>> {
    key.authorize(request)?;
    let status = context.fleet_status().await;
    Ok(status.map(report::FleetReport::from))
}

fn dry_run_section(
    request: &web::HttpRequest,
    body: &[u8],
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<report::DryRunReport> {
    key.authorize(request)?;
    let query = web::types::Query::<DryRunQuery>::from_query(request.query_string())
        .map_err(|error| respond::error_report(400, "invalid_query", &error.to_string()))?;
    let text = std::str::from_utf8(body)
        .map_err(|error| respond::error_report(400, "invalid_text", &error.to_string()))?;

    let document = context.document();
    let findings = document.acceptance().validate_section(query.section, text);
    Ok(report::DryRunReport {
        section: query.section,
        accepted: findings.is_empty(),
        findings,
    })
}

/// Returns the error for a query that gets no reply because the gateway is stopping.
fn stopping_error() -> report::ErrorReport {
    respond::error_report(503, "gateway_stopping", "the gateway is stopping")
}
