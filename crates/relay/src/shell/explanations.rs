//! Responses that explain where a request would go now, and why, without sending it.

use std::result;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use kingcupfall_core::ids;
use kingcupfall_core::work;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use url::form_urlencoded;

use super::intake;
use super::responses;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::protocol;

/// Path of the explanations at the metrics address.
pub(super) const PATH: &str = "/explain";

/// Placement at one of the services among which a route distributes its requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceExplanation {
    /// Weight of the service, relative to the others of the route.
    pub weight: f64,
    /// Placement if this service is chosen.
    #[serde(flatten)]
    pub placement: dispatch::PlacementExplanation,
}

/// Where a request would go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestExplanation {
    /// Name of the route that matches the request.
    pub route: Box<str>,
    /// Kind of the route's requests, as in metrics.
    pub kind: Box<str>,
    /// Priority of the request; zero is the most urgent.
    pub rank: u8,
    /// Prompt tokens of the request.
    pub prompt_tokens: u64,
    /// Expected output tokens of the request.
    pub output_tokens: u64,
    /// Services of the route, of which each request gets one by weight; without any, it is refused.
    pub services: Vec<ServiceExplanation>,
}

/// Result of explaining a request.
type Result<T> = result::Result<T, ExplanationError>;

quick_error! {
    /// Reason why a request can't be explained.
    #[derive(Debug)]
    enum ExplanationError {
        /// No routes have been received yet.
        NoRoutes {
            display("this relay has no routes yet")
        }
        /// No route matches.
        NoRoute(host: Box<str>, path: Box<str>) {
            display("no route matches host {:?} and path {:?}", host, path)
        }
        /// No organisation with a key has this name. The value is not repeated in the message, as it
        /// may be a key that was given by mistake.
        NoOrganisation {
            display("no organisation of this name has a key")
        }
        /// The route rejects requests without a key, so that an organisation is needed.
        NeedsOrganisation(route: Box<str>) {
            display("route {} needs a key: name an organisation", route)
        }
        /// A parameter's value is malformed.
        Malformed(parameter: &'static str, value: Box<str>) {
            display("malformed value of {}: {:?}", parameter, value)
        }
    }
}

impl ExplanationError {
    const fn status(&self) -> StatusCode {
        match self {
            Self::NoRoutes => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute(..) | Self::NoOrganisation => StatusCode::NOT_FOUND,
            Self::NeedsOrganisation(_) | Self::Malformed(..) => StatusCode::BAD_REQUEST,
        }
    }
}

/// The request to explain.
#[derive(Debug, Default)]
struct RequestQuery {
    host: Box<str>,
    path: Box<str>,
    prompt_tokens: u64,
    output_tokens: u64,
    organisation: Option<Box<str>>,
}

impl RequestQuery {
    fn parse(text: &str) -> Result<Self> {
        let mut query = Self::default();
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            match &*name {
                "host" => query.host = value.into(),
                "path" => query.path = value.into(),
                "prompt_tokens" => query.prompt_tokens = parse_count("prompt_tokens", &value)?,
                "output_tokens" => query.output_tokens = parse_count("output_tokens", &value)?,
                "organisation" => query.organisation = Some(value.into()),
                _ => {}
            }
        }
        Ok(query)
    }
}

fn parse_count(parameter: &'static str, value: &str) -> Result<u64> {
    value
        .parse()
        .map_err(|_| ExplanationError::Malformed(parameter, value.into()))
}

/// Returns the explanation of the request in `query` as JSON, or a message why there is none.
pub(super) fn respond(state: &RelayState, query: &str) -> responses::CallResponse {
    match explain(state, query) {
        Ok(explanation) => {
            let text = serde_json::to_string_pretty(&explanation);
            let text = text.expect("explanations can be serialised as JSON");
            let mut response = responses::text_response(StatusCode::OK, &text);
            let content_type = HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(error) => responses::text_response(error.status(), &error.to_string()),
    }
}

fn explain(state: &RelayState, query: &str) -> Result<RequestExplanation> {
    let routes = state.routes().ok_or(ExplanationError::NoRoutes)?;
    let query = RequestQuery::parse(query)?;
    let table = &routes.table;
    let route = table
        .route(&query.host, &query.path)
        .ok_or_else(|| ExplanationError::NoRoute(query.host.clone(), query.path.clone()))?;
    let organisation = match &query.organisation {
        Some(name) => Some(find_organisation(table, name)?),
        None if table.needs_keys() && !route.is_anonymous => {
            return Err(ExplanationError::NeedsOrganisation(route.name.clone()));
        }
        None => None,
    };
    let rank = intake::call_rank(route, organisation);
    let services = route.services.iter().map(|share| {
        let demand = call_demand(state, table, route, &share.service, &query, organisation);
        ServiceExplanation {
            weight: share.weight,
            placement: explain_placement(state, route, &demand),
        }
    });
    Ok(RequestExplanation {
        route: route.name.clone(),
        kind: route.kind.label().into(),
        rank,
        prompt_tokens: query.prompt_tokens,
        output_tokens: query.output_tokens,
        services: services.collect(),
    })
}

fn find_organisation<'a>(
    table: &'a directory::RouteTable,
    name: &str,
) -> Result<&'a directory::OrganisationRule> {
    let parsed = name.parse::<ids::OrganisationName>().ok();
    let organisation = parsed.and_then(|name| table.organisation_named(&name));
    organisation
        .map(AsRef::as_ref)
        .ok_or(ExplanationError::NoOrganisation)
}

/// Returns the requirements that the intake would derive from the request. Its body is not known,
/// so that quarantines of requests and of prompt parts do not apply.
fn call_demand(
    state: &RelayState,
    table: &directory::RouteTable,
    route: &directory::RouteRule,
    service: &ids::ServiceName,
    query: &RequestQuery,
    organisation: Option<&directory::OrganisationRule>,
) -> dispatch::CallDemand {
    let head = protocol::CallHead {
        request_id: "".into(),
        key: None,
        timeout: None,
        prompt_tokens: query.prompt_tokens,
        output_tokens: query.output_tokens,
        last_event: None,
        prompt_parts: Box::default(),
    };
    let rank = intake::call_rank(route, organisation);
    let caller = intake::caller_name(organisation);
    let fingerprint = work::RequestFingerprint::of_request(&caller, PATH, &[]);
    let now = state.now();
    dispatch::CallDemand {
        allowed_zones: state.allowed_zones(route, organisation),
        ..intake::call_demand(table, route, service, &head, now, rank, fingerprint)
    }
}

fn explain_placement(
    state: &RelayState,
    route: &directory::RouteRule,
    demand: &dispatch::CallDemand,
) -> dispatch::PlacementExplanation {
    let explanation = state.with_dispatcher(|dispatcher, now| dispatcher.explain(now, demand));
    let outcome = match intake::stop_refusal(state, route, demand) {
        Some(refusal) => refusal.into(),
        None => explanation.outcome,
    };
    dispatch::PlacementExplanation {
        outcome,
        ..explanation
    }
}
