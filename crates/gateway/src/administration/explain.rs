//! `GET /v1/explain`: how the targets stand for a caller's work.

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

/// Query of the address.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainQuery {
    /// Model that is asked for.
    model: Option<ids::ModelName>,
    /// Service that is asked for.
    service: Option<ids::ServiceName>,
    /// Organisation of the caller.
    organisation: ids::OrganisationName,
    /// Class of the request.
    class: Option<ids::ClassName>,
    /// Tokens of the prompt.
    prompt_tokens: Option<u64>,
}

/// A question to the reducer, and the frame of its answer.
pub struct ExplainQuestion {
    /// What the reducer is asked.
    pub query: StateQuery,
    /// The report without its targets.
    pub report: report::ExplainReport,
}

/// Reads the question in `query`.
///
/// # Errors
///
/// A refusal when it names no work or an organisation that the document does not have.
pub fn read_question(
    document: &sections::OperatorDocument,
    query: ExplainQuery,
) -> server::Result<ExplainQuestion> {
    let (serves, wanted) = read_work(&query)?;
    let Some(entry) = document.organisations.get(&query.organisation) else {
        let detail = "the document has no such organisation";
        return Err(respond::refuse(404, "unknown_organisation", detail));
    };
    let caller = intake::CallerIdentity {
        organisation: query.organisation,
        weight: entry.weight,
    };
    let class = query
        .class
        .unwrap_or_else(|| intake::DEFAULT_CLASS.parse().expect("a valid name"));
    let tag: work::CallerTag = intake::caller_tag(document, &caller, class);

    Ok(ExplainQuestion {
        report: report::ExplainReport {
            wanted,
            organisation: tag.organisation.clone(),
            class: tag.class.clone(),
            priority: tag.priority,
            targets: Vec::new(),
        },
        query: StateQuery::Explain {
            serves,
            tag,
            prompt_tokens: measures::TokenCount::new(query.prompt_tokens.unwrap_or_default()),
        },
    })
}

fn read_work(query: &ExplainQuery) -> server::Result<(state::ServedWork, Box<str>)> {
    match (&query.model, &query.service) {
        (Some(model), None) => {
            let serves = state::ServedWork::Models(vec![model.clone()]);
            Ok((serves, model.as_str().into()))
        }
        (None, Some(service)) => {
            let serves = state::ServedWork::Service(service.clone());
            Ok((serves, service.as_str().into()))
        }
        (None, None) | (Some(_), Some(_)) => {
            let detail = "the query must have either model or service";
            Err(respond::refuse(400, "invalid_query", detail))
        }
    }
}
