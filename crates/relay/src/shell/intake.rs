//! Reads callers' requests, and checks them against routes and keys.

use std::rc::Rc;
use std::result;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http::request;
use hyper::body;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use tokio::sync::mpsc;

use super::caller_socket;
use super::clients;
use super::former_runs;
use super::memory;
use super::responses;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// `Retry-After` while the process has no routes yet, and for a route without a service. Also the
/// time limit for reading a body while neither the caller nor the routes give one.
const ROUTES_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` while the process stops: callers reach another process by then.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` when request bodies use all of the memory reserved for them: some of them have
/// been forwarded by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Memory that a request uses in addition to its body.
const REQUEST_OVERHEAD_BYTES: u64 = 16 * 1024;

/// Organisation of requests without a key, in metrics and fingerprints.
const UNNAMED: &str = "unnamed";

/// A request as received, kept so that it can be sent to several targets.
pub(super) struct StoredRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A request that the routes and keys allow, as an open call.
pub(super) struct AcceptedCall {
    pub(super) id: ids::CallId,
    pub(super) inbox: mpsc::UnboundedReceiver<dispatch::DispatchEffect>,
    pub(super) head: protocol::CallHead,
    pub(super) request: StoredRequest,
    pub(super) route: Rc<directory::RouteRule>,
    pub(super) organisation: Option<Rc<directory::OrganisationRule>>,
    pub(super) demand: dispatch::CallDemand,
    pub(super) guard: CallGuard,
    pub(super) pending_stops: former_runs::PendingStops,
    /// Memory that is held for the caller.
    pub(super) held: Rc<memory::HeldMemory>,
    _body_reservation: memory::MemoryReservation,
}

/// Closes a call when its task ends or is dropped, and records its outcome.
pub(super) struct CallGuard {
    state: Rc<RelayState>,
    call_id: ids::CallId,
    route: Rc<directory::RouteRule>,
    service: ids::ServiceName,
    request_id: Box<str>,
    organisation: ids::OrganisationName,
    arrived_at: time::Timestamp,
    has_outcome: bool,
}

impl CallGuard {
    /// Records how the call ended, and how long it took.
    pub(super) fn record_outcome(&mut self, outcome: &'static str) {
        self.has_outcome = true;
        let took = self.state.now().since(self.arrived_at);
        let class = call_class(&self.route, &self.service);
        self.state
            .metrics
            .record_call(&class, outcome, self.organisation.as_str(), took);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.has_outcome {
            self.record_outcome("caller_left");
            let record = telemetry::DecisionRecord::new(telemetry::RecordKind::CallerLeft)
                .request(&self.request_id)
                .after(self.state.now().since(self.arrived_at));
            self.state.record(&record);
        }
        self.state.close_call(self.call_id);
    }
}

fn call_class<'a>(
    route: &'a directory::RouteRule,
    service: &'a ids::ServiceName,
) -> telemetry::CallClass<'a> {
    telemetry::CallClass {
        kind: route.kind.label(),
        route: &route.name,
        service: service.as_str(),
    }
}

impl AcceptedCall {
    /// Returns the name of the caller's organisation; `None` for a request without a known key.
    pub(super) fn organisation_name(&self) -> Option<&str> {
        self.organisation
            .as_ref()
            .map(|organisation| organisation.name.as_str())
    }

    /// Returns the id of the last event that the caller has from an earlier attempt, on routes whose
    /// streams may be resumed.
    pub(super) fn resumed_after(&self) -> Option<u64> {
        self.head.last_event.filter(|_| self.route.can_resume)
    }

    /// Returns whether targets can migrate the memory of the call's stream, and stop its run.
    pub(super) fn can_migrate(&self) -> bool {
        let engine = self.demand.engine.as_ref();
        engine.is_some_and(|engine| engine.can_migrate)
    }

    /// Returns the class under which metrics count the call.
    pub(super) fn class(&self) -> telemetry::CallClass<'_> {
        call_class(&self.route, &self.demand.service)
    }

    /// Returns a decision record that names the request, its route and its organisation.
    pub(super) fn record(&self, kind: telemetry::RecordKind) -> telemetry::DecisionRecord {
        let record = telemetry::DecisionRecord::new(kind)
            .request(&self.head.request_id)
            .route(&self.route.name);
        match self.organisation_name() {
            Some(organisation) => record.organisation(organisation),
            None => record,
        }
    }
}

/// Result of a step of the intake. An error is the response that ends the request.
type Result<T> = result::Result<T, Box<responses::CallResponse>>;

/// Reads a request to its end, and finds its route and its organisation.
///
/// # Errors
///
/// The response to a request that is refused or rejected.
pub(super) async fn accept(
    state: &Rc<RelayState>,
    tracker: &caller_socket::ConnectionTracker,
    request: Request<body::Incoming>,
) -> Result<Box<AcceptedCall>> {
    let arrived_at = state.now();
    let (parts, body) = request.into_parts();
    let head = state.protocol.read_call_head(&parts.headers);
    let limits = state.routes().map(|routes| routes.table.limits());
    let (body, body_reservation) =
        read_body(state, tracker, &parts, body, limits, &head, arrived_at).await?;
    // The routes may have changed while the body was received; the active ones decide.
    let Some(routes) = state.routes() else {
        let reason = dispatch::RefusalReason::NotConfigured;
        return Err(refuse_request(state, &head, reason, ROUTES_RETRY_AFTER));
    };
    let table = &routes.table;
    let route = find_route(state, table, &parts, &head)?;
    let organisation = find_organisation(state, table, &route, &head)?;
    let Some(service) = route.choose_service(state.random_fraction()) else {
        let reason = dispatch::RefusalReason::NoTarget;
        return Err(refuse_request(state, &head, reason, ROUTES_RETRY_AFTER));
    };
    let caller_name = caller_name(organisation.as_deref());
    let rank = call_rank(&route, organisation.as_deref());
    let fingerprint = request_fingerprint(&caller_name, &parts, &body);
    let allowed_zones = state.allowed_zones(&route, organisation.as_deref());
    let demand = dispatch::CallDemand {
        allowed_zones,
        ..call_demand(table, &route, service, &head, arrived_at, rank, fingerprint)
    };
    if let Some(refusal) = stop_refusal(state, &route, &demand) {
        let dispatch::CallRefusal {
            reason,
            retry_after,
        } = refusal;
        return Err(refuse_request(state, &head, reason, retry_after));
    }
    if state.free_descriptors() <= 0
        && state.clients.reclaim_connection() != clients::ReclaimOutcome::Yields
    {
        return Err(refuse_for_memory(state, &head));
    }
    tracker.record_request(state.instant(demand.deadline));
    let (call_id, inbox) = state.open_call();
    state.count_request(service);
    let guard = CallGuard {
        state: Rc::clone(state),
        call_id,
        route: Rc::clone(&route),
        service: service.clone(),
        request_id: head.request_id.clone(),
        organisation: caller_name,
        arrived_at,
        has_outcome: false,
    };

    Ok(Box::new(AcceptedCall {
        id: call_id,
        inbox,
        head,
        request: StoredRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
        },
        demand,
        route,
        organisation,
        guard,
        pending_stops: former_runs::PendingStops::default(),
        held: Rc::clone(tracker.held()),
        _body_reservation: body_reservation,
    }))
}

async fn read_body(
    state: &Rc<RelayState>,
    tracker: &caller_socket::ConnectionTracker,
    parts: &request::Parts,
    body: body::Incoming,
    limits: Option<directory::CallerLimits>,
    head: &protocol::CallHead,
    arrived_at: time::Timestamp,
) -> Result<(Bytes, memory::MemoryReservation)> {
    let max_body_bytes = limits.map_or(u64::MAX, |limits| limits.body.get());
    let declared_bytes = body::Body::size_hint(&body).lower();
    if declared_bytes > max_body_bytes {
        return Err(reject_request(
            state,
            head,
            parts,
            StatusCode::PAYLOAD_TOO_LARGE,
        ));
    }
    let clients = &state.clients;
    let mut reservation = state.memory.clients.reserve_nothing_for(tracker.held());
    let needed = declared_bytes + REQUEST_OVERHEAD_BYTES;
    let reserved = reservation.grow_or_reclaim(needed, memory::GrowthRule::Any, clients);
    if !reserved.await {
        return Err(refuse_for_memory(state, head));
    }

    let standstill = limits.map_or(caller_socket::DEFAULT_TIMEOUT, |limits| limits.idle_timeout);
    let body_limits = memory::BodyLimits {
        max_bytes: usize::try_from(max_body_bytes).unwrap_or(usize::MAX),
        reserved_bytes: usize::try_from(declared_bytes).unwrap_or(usize::MAX),
        standstill: Some(standstill),
        clients: Some(clients),
    };
    let body_read = memory::read_body(body, body_limits, &mut reservation);
    let timeout = body_timeout(state, parts, head)
        .or(limits.map(|limits| limits.idle_timeout))
        .unwrap_or(ROUTES_RETRY_AFTER);
    let deadline = state.instant(arrived_at + timeout);
    match tokio::time::timeout_at(deadline, body_read).await {
        Ok(Ok(body)) => Ok((body, reservation)),
        Ok(Err(memory::BodyError::OutOfMemory)) => Err(refuse_for_memory(state, head)),
        Ok(Err(memory::BodyError::TooLong(_))) => Err(reject_request(
            state,
            head,
            parts,
            StatusCode::PAYLOAD_TOO_LARGE,
        )),
        Ok(Err(memory::BodyError::Broken(_))) => {
            Err(reject_request(state, head, parts, StatusCode::BAD_REQUEST))
        }
        Ok(Err(memory::BodyError::StoodStill(_))) | Err(_) => Err(reject_request(
            state,
            head,
            parts,
            StatusCode::REQUEST_TIMEOUT,
        )),
    }
}

/// Returns the time that a request has until its body is complete: no longer than its route allows
/// for all of it.
fn body_timeout(
    state: &RelayState,
    parts: &request::Parts,
    head: &protocol::CallHead,
) -> Option<Duration> {
    let routes = state.routes();
    let route = routes
        .as_ref()
        .and_then(|routes| routes.table.route(request_host(parts), parts.uri.path()));
    let limits = [head.timeout, route.map(|route| route.timeout)];
    limits.into_iter().flatten().min()
}

fn request_host(parts: &request::Parts) -> &str {
    parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or(parts.uri.host())
        .unwrap_or_default()
}

/// Refuses a request for which no memory or no descriptor is left.
fn refuse_for_memory(
    state: &RelayState,
    head: &protocol::CallHead,
) -> Box<responses::CallResponse> {
    let reason = dispatch::RefusalReason::Overloaded;
    let mut response = refuse_request(state, head, reason, MEMORY_RETRY_AFTER);
    responses::close_connection_after(&mut response);
    response
}

fn find_route(
    state: &RelayState,
    table: &directory::RouteTable,
    parts: &request::Parts,
    head: &protocol::CallHead,
) -> Result<Rc<directory::RouteRule>> {
    table
        .route(request_host(parts), parts.uri.path())
        .map(Rc::clone)
        .ok_or_else(|| reject_request(state, head, parts, StatusCode::NOT_FOUND))
}

fn find_organisation(
    state: &RelayState,
    table: &directory::RouteTable,
    route: &directory::RouteRule,
    head: &protocol::CallHead,
) -> Result<Option<Rc<directory::OrganisationRule>>> {
    let organisation = head
        .key
        .as_deref()
        .and_then(|key| table.organisation(key))
        .map(Rc::clone);
    if organisation.is_none() && table.needs_keys() && !route.is_anonymous {
        let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Rejected)
            .request(&head.request_id)
            .route(&route.name)
            .outcome("unknown key")
            .version(table.version().get())
            .status(StatusCode::UNAUTHORIZED.as_u16());
        state.record(&record);
        let response = responses::text_response(StatusCode::UNAUTHORIZED, "unknown key");
        return Err(Box::new(response));
    }
    Ok(organisation)
}

pub(super) fn call_demand(
    table: &directory::RouteTable,
    route: &directory::RouteRule,
    service: &ids::ServiceName,
    head: &protocol::CallHead,
    arrived_at: time::Timestamp,
    rank: u8,
    fingerprint: work::RequestFingerprint,
) -> dispatch::CallDemand {
    let engine = match route.kind {
        directory::CallKind::Stream => table
            .service(service)
            .and_then(|service| service.engine.clone()),
        directory::CallKind::Idempotent | directory::CallKind::AtMostOnce => None,
    };
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);

    dispatch::CallDemand {
        service: service.clone(),
        rank,
        prompt_tokens: head.prompt_tokens,
        output_tokens: head.output_tokens,
        engine: engine.map(Rc::new),
        arrived_at,
        first_requested_at: arrived_at,
        target_latency: route.target_latency,
        deadline: arrived_at + timeout,
        fingerprint,
        prompt_parts: head.prompt_parts.as_ref().into(),
        target_gap: route.target_gap,
        allowed_zones: None,
        tried: Vec::new(),
    }
}

/// Returns the priority of a call; the organisation's overrides that of the route.
pub(super) fn call_rank(
    route: &directory::RouteRule,
    organisation: Option<&directory::OrganisationRule>,
) -> u8 {
    let rank = organisation.and_then(|organisation| organisation.rank);
    rank.unwrap_or(route.rank)
}

/// Returns the refusal of a call that a stopping process does not accept any more.
pub(super) fn stop_refusal(
    state: &RelayState,
    route: &directory::RouteRule,
    demand: &dispatch::CallDemand,
) -> Option<dispatch::CallRefusal> {
    let plan = state.stop_plan.get()?;
    let is_refused = !plan.accepts(route.kind, demand.deadline);
    is_refused.then_some(dispatch::CallRefusal {
        reason: dispatch::RefusalReason::Stopping,
        retry_after: STOP_RETRY_AFTER,
    })
}

/// Returns the name under which a caller's requests are counted.
pub(super) fn caller_name(
    organisation: Option<&directory::OrganisationRule>,
) -> ids::OrganisationName {
    match organisation {
        Some(organisation) => organisation.name.clone(),
        None => UNNAMED
            .parse()
            .expect("`UNNAMED` is a valid organisation name"),
    }
}

/// Identifies a request and its repetitions. The query does not count, as callers vary it.
fn request_fingerprint(
    caller: &ids::OrganisationName,
    parts: &request::Parts,
    body: &[u8],
) -> work::RequestFingerprint {
    let resource = format!("{} {}", parts.method, parts.uri.path());
    work::RequestFingerprint::of_request(caller, &resource, body)
}

/// Refuses a request that has reached no target.
fn refuse_request(
    state: &RelayState,
    head: &protocol::CallHead,
    reason: dispatch::RefusalReason,
    retry_after: Duration,
) -> Box<responses::CallResponse> {
    state.metrics.record_refusal(reason.label());
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Refused)
        .request(&head.request_id)
        .outcome(reason.label())
        .version(state.routes_version().get())
        .retry_after(retry_after);
    state.record(&record);
    Box::new(responses::refusal_response(&dispatch::CallRefusal {
        reason,
        retry_after,
    }))
}

/// Rejects an invalid request. Its connection is closed unless the request was read to its end.
fn reject_request(
    state: &RelayState,
    head: &protocol::CallHead,
    parts: &request::Parts,
    status: StatusCode,
) -> Box<responses::CallResponse> {
    let reason = status.canonical_reason().unwrap_or_default();
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Rejected)
        .request(&head.request_id)
        .outcome(parts.uri.path())
        .version(state.routes_version().get())
        .status(status.as_u16());
    state.record(&record);
    let mut response = responses::text_response(status, reason);
    if status != StatusCode::NOT_FOUND {
        responses::close_connection_after(&mut response);
    }
    Box::new(response)
}
