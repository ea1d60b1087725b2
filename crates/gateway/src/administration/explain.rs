//! Parsing of `GET /v1/explain`, which reports how each target scores for a caller's request.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_document::sections;
use serde::Deserialize;

use super::StateQuery;
use super::report;
use super::respond;
use super::server;
use crate::intake;
use crate::state;

/// Query string of `GET /v1/explain`; exactly one of `model` and `service` must be given.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainQuery {
    /// Model to generate with.
    model: Option<ids::ModelName>,
    /// Service to call.
    service: Option<ids::ServiceName>,
    /// Organisation of the caller.
    organisation: ids::OrganisationName,
    /// Class of the request; [`intake::DEFAULT_CLASS`] when missing.
    class: Option<ids::ClassName>,
    /// Length of the prompt in tokens; 0 when missing.
    prompt_tokens: Option<u64>,
}

/// A validated explain request.
pub struct ExplainRequest {
    /// Query to send to the reducer.
    pub query: StateQuery,
    /// Report whose targets are still to be filled in from the reducer's reply.
    pub report: report::ExplainReport,
}

/// Resolves `query` against the document.
///
/// # Errors
///
/// Returns an error report when `query` does not name exactly one of model and service, or names an
/// organisation that is not in the document.
pub fn resolve_query(
    document: &sections::OperatorDocument,
    query: ExplainQuery,
) -> server::Result<ExplainRequest> {
    let (requested, requested_name) = requested_work(&query)?;
    let Some(entry) = document.organisations.get(&query.organisation) else {
        let detail = "the document has no such organisation";
        return Err(respond::error_report(404, "unknown_organisation", detail));
    };
    let caller = intake::CallerIdentity {
        organisation: query.organisation,
        weight: entry.weight,
    };
    let class = query.class.unwrap_or_else(|| {
        intake::DEFAULT_CLASS
            .parse()
            .expect("the default class is a valid name")
    });
    let tag: work::CallerTag = intake::caller_tag(document, &caller, class);

    Ok(ExplainRequest {
        report: report::ExplainReport {
            requested: requested_name,
            organisation: tag.organisation.clone(),
            class: tag.class.clone(),
            priority: tag.priority,
            targets: Vec::new(),
        },
        query: StateQuery::Explain {
            requested,
            tag,
            prompt_tokens: measures::TokenCount::new(query.prompt_tokens.unwrap_or_default()),
        },
    })
}

/// Returns the requested work and its name.
fn requested_work(query: &ExplainQuery) -> server::Result<(state::ServedWork, Box<str>)> {
    match (&query.model, &query.service) {
        (Some(model), None) => {
            let requested = state::ServedWork::Models(vec![model.clone()]);
            Ok((requested, model.as_str().into()))
        }
        (None, Some(service)) => {
            let requested = state::ServedWork::Service(service.clone());
            Ok((requested, service.as_str().into()))
        }
        (None, None) | (Some(_), Some(_)) => {
            let detail = "the query must have either model or service";
            Err(respond::error_report(400, "invalid_query", detail))
        }
    }
}
