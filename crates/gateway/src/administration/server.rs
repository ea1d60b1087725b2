//! The endpoints of the administration API.

use std::result;

use kingcupfall_document::sections;
use kingcupfall_telemetry::registry;
use ntex::util;
use ntex::web;
use serde::Deserialize;

use super::StateAnswer;
use super::StateQuery;
use super::explain;
use super::report;
use super::respond;
use crate::shell;

/// Result of answering a question.
pub type Result<T> = result::Result<T, report::RefusalReport>;

/// Largest text of a section, in bytes; the configuration service holds no larger values.
const SECTION_LIMIT_BYTES: usize = 1024 * 1024;

type ContextState = web::types::State<shell::ServerContext>;
type KeyState = web::types::State<respond::AdministrationKey>;

/// Query of `POST /v1/dry-run`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DryRunQuery {
    section: sections::SectionName,
}

/// Adds the endpoints of the administration API to an application.
pub fn add_routes(config: &mut web::ServiceConfig) {
    config
        .state(web::types::PayloadConfig::new(SECTION_LIMIT_BYTES))
        .service(web::resource("/v1/sections").route(web::get().to(get_sections)))
        .service(web::resource("/v1/targets").route(web::get().to(get_targets)))
        .service(web::resource("/v1/explain").route(web::get().to(get_explain)))
        .service(web::resource("/v1/quarantine").route(web::get().to(get_quarantine)))
        .service(web::resource("/v1/fleet").route(web::get().to(get_fleet)))
        .service(web::resource("/v1/dry-run").route(web::post().to(post_dry_run)))
        .service(web::resource("/metrics").route(web::get().to(get_metrics)));
}

/// Answers a request for which there is no endpoint.
pub async fn refuse_path() -> web::HttpResponse {
    let refusal = respond::refuse(404, "unknown_path", "there is no such endpoint");
    respond::response(Err::<(), _>(refusal))
}

async fn get_sections(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::response(key.check(&request).map(|()| list_sections(&context)))
}

async fn get_targets(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::response(list_targets(&request, &context, &key).await)
}

async fn get_explain(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::response(explain_work(&request, &context, &key).await)
}

async fn get_quarantine(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::response(list_quarantine(&request, &context, &key).await)
}

async fn get_fleet(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::response(show_fleet(&request, &context, &key).await)
}

async fn post_dry_run(
    request: web::HttpRequest,
    body: util::Bytes,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    respond::response(validate_section(&request, &body, &context, &key))
}

/// Answers without a key, since scrapers of metrics often have none to send; the port is internal.
async fn get_metrics(context: ContextState) -> web::HttpResponse {
    let gauges = match context.ask(StateQuery::Gauges).await {
        Some(StateAnswer::Gauges(gauges)) => gauges,
        Some(StateAnswer::Targets(_) | StateAnswer::Explain(_) | StateAnswer::Quarantine(_))
        | None => return respond::response(Err::<(), _>(ending())),
    };
    let fleet = context.fleet_status().await;
    let observed = shell::ObservedState {
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
    key.check(request)?;
    match context.ask(StateQuery::Targets).await {
        Some(StateAnswer::Targets(targets)) => Ok(targets),
        Some(StateAnswer::Explain(_) | StateAnswer::Quarantine(_) | StateAnswer::Gauges(_))
        | None => Err(ending()),
    }
}

async fn explain_work(
    request: &web::HttpRequest,
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<report::ExplainReport> {
    key.check(request)?;
    let query = web::types::Query::<explain::ExplainQuery>::from_query(request.query_string())
        .map_err(|error| respond::refuse(400, "invalid_query", &error.to_string()))?;
    let document = context.document();
    let question = explain::read_question(document.document(), query.into_inner())?;

    let mut report = question.report;
    report.targets = match context.ask(question.query).await {
        Some(StateAnswer::Explain(standings)) => standings,
        Some(StateAnswer::Targets(_) | StateAnswer::Quarantine(_) | StateAnswer::Gauges(_))
        | None => return Err(ending()),
    };
    Ok(report)
}

async fn list_quarantine(
    request: &web::HttpRequest,
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<Vec<report::QuarantineReport>> {
    key.check(request)?;
    match context.ask(StateQuery::Quarantine).await {
        Some(StateAnswer::Quarantine(entries)) => Ok(entries),
        Some(StateAnswer::Targets(_) | StateAnswer::Explain(_) | StateAnswer::Gauges(_)) | None => {
            Err(ending())
        }
    }
}

async fn show_fleet(
    request: &web::HttpRequest,
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<Option<report::FleetReport>> {
    key.check(request)?;
    let status = context.fleet_status().await;
    Ok(status.map(report::FleetReport::from))
}

fn validate_section(
    request: &web::HttpRequest,
    body: &[u8],
    context: &shell::ServerContext,
    key: &respond::AdministrationKey,
) -> Result<report::DryRunReport> {
    key.check(request)?;
    let query = web::types::Query::<DryRunQuery>::from_query(request.query_string())
        .map_err(|error| respond::refuse(400, "invalid_query", &error.to_string()))?;
    let text = std::str::from_utf8(body)
        .map_err(|error| respond::refuse(400, "invalid_text", &error.to_string()))?;

    let document = context.document();
    let findings = document.acceptance().validate_section(query.section, text);
    Ok(report::DryRunReport {
        section: query.section,
        accepted: findings.is_empty(),
        findings,
    })
}

fn ending() -> report::RefusalReport {
    respond::refuse(503, "gateway_stopping", "the gateway ends")
}
