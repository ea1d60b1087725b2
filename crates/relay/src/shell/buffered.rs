//! Serves calls whose response is buffered rather than streamed. Streamed calls share the
//! placement, the retries and the outcome handling up to the head of their response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;

use http_body_util::Full;
use kingcupfall_core::time;

use super::client;
use super::intake;
use super::responses;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// Attempts after which a call is refused if each target responded that it did not run the request.
const MAX_NOT_RUN_ATTEMPTS: u32 = 3;

/// Attempts that a call always has if no target can be reached. Nothing was sent, so
/// `max_attempts` of the route does not apply.
const MIN_UNREACHABLE_ATTEMPTS: u32 = 4;

/// Share of the target latency within which a call may have more such attempts: a target that has
/// ended refuses a connection within milliseconds, and while the directory does not respond many
/// that it lists may have ended.
const UNREACHABLE_TIME_SHARE: f64 = 0.5;

/// Share of the time left that an attempt may take if the call can be retried instead.
const RETRYABLE_ATTEMPT_SHARE: f64 = 0.45;

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// A complete response to be returned to the caller, with its classification.
    Responded(client::BufferedResponse, protocol::ResponseClass),
    /// The target responded that it did not run the request.
    NotRun,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The target may have run the request, but there is no usable response.
    Unknown(dispatch::AttemptResult),
    /// The target has not responded, and a retry has been taken from the budget.
    Abandoned,
}

impl AttemptOutcome {
    /// Returns whether the target may still be running the call.
    pub(super) const fn may_run_on(&self) -> bool {
        match self {
            Self::Unknown(result) => result.may_run_on(),
            Self::Abandoned => true,
            Self::Responded(..) | Self::NotRun | Self::Unreachable => false,
        }
    }
}

/// Attempts of one call so far, by outcome.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AttemptCounts {
    pub(super) may_have_run: u32,
    not_run: u32,
    unreachable: u32,
}

/// What to do after an attempt.
enum NextStep {
    Retry,
    /// No further target is tried.
    GiveUp(dispatch::RefusalReason),
    Respond(responses::CallResponse, &'static str),
}

/// Serves a call with a buffered response, retrying on other targets as the route allows.
pub(super) async fn serve(
    state: &Rc<RelayState>,
    mut call: Box<intake::AcceptedCall>,
) -> responses::CallResponse {
    let mut counts = AttemptCounts::default();
    loop {
        let target = match place_call(state, &mut call).await {
            Ok(placement) => placement.target,
            Err(refusal) => return end_unplaced(state, &mut call, &counts, &refusal),
        };
        let started_at = state.now();
        let outcome = send_attempt(state, &call, &target, &counts).await;
        report_attempt(state, &call, &target, &outcome, started_at);
        if let Some(response) = conclude_attempt(state, &mut call, &mut counts, &target, outcome) {
            return response;
        }
    }
}

/// Handles the outcome of an attempt. Returns the response that ends the call, or `None` if another
/// target is to be tried.
pub(super) fn conclude_attempt(
    state: &RelayState,
    call: &mut intake::AcceptedCall,
    counts: &mut AttemptCounts,
    target: &directory::TargetRecord,
    outcome: AttemptOutcome,
) -> Option<responses::CallResponse> {
    call.demand.tried.push(target.key.name.clone());
    match next_step(state, call, counts, outcome) {
        NextStep::Retry => None,
        NextStep::GiveUp(reason) => {
            let refusal = dispatch::CallRefusal {
                reason,
                retry_after: call.demand.target_latency / 2,
            };
            Some(end_unplaced(state, call, counts, &refusal))
        }
        NextStep::Respond(response, label) => {
            call.guard.record_outcome(label);
            Some(response)
        }
    }
}

/// Waits until the dispatcher places the call at a target.
///
/// # Errors
///
/// The refusal to return to the caller if no target takes the call before its deadline.
pub(super) async fn place_call(
    state: &RelayState,
    call: &mut intake::AcceptedCall,
) -> Result<dispatch::CallPlacement, dispatch::CallRefusal> {
    let arrival = dispatch::DispatchEvent::Arrived {
        call: call.id,
        demand: Box::new(call.demand.clone()),
    };
    let mut effects = state.submit_for_call(call.id, arrival);
    let mut is_recorded_as_queued = false;
    loop {
        for effect in effects.drain(..) {
            match effect {
                dispatch::DispatchEffect::Place { placement, .. } => {
                    record_placed(state, call, &placement);
                    return Ok(placement);
                }
                dispatch::DispatchEffect::Refuse { refusal, .. } => return Err(refusal),
                dispatch::DispatchEffect::Migrate { .. }
                | dispatch::DispatchEffect::DropCopy { .. }
                | dispatch::DispatchEffect::MigrationTarget { .. }
                | dispatch::DispatchEffect::HealthChanged { .. }
                | dispatch::DispatchEffect::LimitChanged { .. }
                | dispatch::DispatchEffect::ColdChanged(_)
                | dispatch::DispatchEffect::Probe { .. }
                | dispatch::DispatchEffect::SuspectsChanged { .. }
                | dispatch::DispatchEffect::PromptsLost { .. }
                | dispatch::DispatchEffect::PromptCrashesChanged(_)
                | dispatch::DispatchEffect::PartsChanged { .. }
                | dispatch::DispatchEffect::Send { .. } => {}
            }
        }
        if !is_recorded_as_queued && state.is_waiting(call.id) {
            is_recorded_as_queued = true;
            record_queued(state, call);
        }
        let deadline = state.instant(call.demand.deadline);
        match tokio::time::timeout_at(deadline, call.inbox.recv()).await {
            Ok(Some(effect)) => effects.push(effect),
            Ok(None) | Err(_) => {
                return Err(dispatch::CallRefusal {
                    reason: dispatch::RefusalReason::WaitTimedOut,
                    retry_after: Duration::ZERO,
                });
            }
        }
    }
}

fn record_queued(state: &RelayState, call: &intake::AcceptedCall) {
    let (waiting, _) = state.with_dispatcher(|dispatcher, _| dispatcher.call_counts());
    let record = call
        .record(telemetry::RecordKind::Queued)
        .outcome(call.demand.service.as_str())
        .count(waiting as u64)
        .after(state.now().since(call.demand.arrived_at));
    state.record(&record);
}

fn record_placed(
    state: &RelayState,
    call: &intake::AcceptedCall,
    placement: &dispatch::CallPlacement,
) {
    let waited = state.now().since(call.demand.arrived_at);
    state.metrics.record_wait(&call.class(), waited);
    let copy = placement
        .copy_holder
        .as_ref()
        .map(|holder| &holder.key.name);
    let record = call
        .record(telemetry::RecordKind::Placed)
        .target(&placement.target.key.name)
        .copy(copy)
        .version(placement.target.revision.get())
        .count(call.demand.tried.len() as u64)
        .load(placement.load.calls, placement.load.forecast_tokens)
        .after(waited);
    let record = match &call.demand.engine {
        Some(_) => {
            let dispatch::PlacementForecast {
                factor_thousandths,
                risk_thousandths,
            } = placement.forecast;
            let metrics = &state.metrics;
            metrics.record_placement_forecast(factor_thousandths, risk_thousandths);
            record.forecast(factor_thousandths, risk_thousandths)
        }
        None => record,
    };
    state.record(&record);
}

/// Ends a call that no further target takes: with a refusal only if none can have run it, as a refusal
/// promises.
pub(super) fn end_unplaced(
    state: &RelayState,
    call: &mut intake::AcceptedCall,
    counts: &AttemptCounts,
    refusal: &dispatch::CallRefusal,
) -> responses::CallResponse {
    if counts.may_have_run == 0 {
        return refuse_call(state, call, refusal);
    }
    let record = call
        .record(telemetry::RecordKind::Ended)
        .fingerprint(call.demand.fingerprint)
        .outcome("unknown")
        .after(state.now().since(call.demand.arrived_at));
    state.record(&record);
    call.guard.record_outcome("unknown");
    unknown_outcome_response(state, &call.demand)
}

/// Records a refusal and returns its response.
fn refuse_call(
    state: &RelayState,
    call: &mut intake::AcceptedCall,
    refusal: &dispatch::CallRefusal,
) -> responses::CallResponse {
    state.metrics.record_refusal(refusal.reason.label());
    let record = call
        .record(telemetry::RecordKind::Refused)
        .fingerprint(call.demand.fingerprint)
        .outcome(refusal.reason.label())
        .part(refusal.reason.part())
        .version(state.targets.borrow().revision().get())
        .after(state.now().since(call.demand.arrived_at))
        .retry_after(refusal.retry_after);
    state.record(&record);
    call.guard.record_outcome("refused");
    responses::refusal_response(refusal)
}

/// Builds the request that is forwarded to a target.
pub(super) fn forwarded_request(
    state: &RelayState,
    call: &intake::AcceptedCall,
    head: &protocol::ForwardedHead<'_>,
) -> Request<Full<Bytes>> {
    let stored = &call.request;
    let mut request = Request::new(Full::new(stored.body.clone()));
    *request.method_mut() = stored.method.clone();
    *request.uri_mut() = stored.uri.clone();
    *request.headers_mut() = state.protocol.forwarded_headers(&stored.headers, head);
    request
}

async fn send_attempt(
    state: &RelayState,
    call: &intake::AcceptedCall,
    target: &directory::TargetRecord,
    counts: &AttemptCounts,
) -> AttemptOutcome {
    let time_left = call.demand.deadline.since(state.now());
    let head = protocol::ForwardedHead {
        target: &target.key,
        time_left,
        organisation: call.organisation_name(),
        urgency: None,
        copy_to: None,
        resumption: None,
        last_event: None,
    };
    let request = forwarded_request(state, call, &head);
    let sent_at = state.now();
    let exchange = async {
        let response = client::send(target.address, request).await?;
        state.handle_notice(&target.key, sent_at, &response.parts);
        Ok(read_response(state, call, response).await)
    };
    let deadline = state.instant(call.demand.deadline);
    let exchange = async {
        match tokio::time::timeout_at(deadline, exchange).await {
            Ok(result) => attempt_outcome(result),
            Err(_) => AttemptOutcome::Unknown(dispatch::AttemptResult::TimedOut),
        }
    };
    let mut exchange = std::pin::pin!(exchange);
    let may_retry = call.route.kind == directory::CallKind::Idempotent
        && counts.may_have_run + 1 < call.route.max_attempts;
    if may_retry {
        let timeout = time_left.mul_f64(RETRYABLE_ATTEMPT_SHARE);
        match tokio::time::timeout(timeout, exchange.as_mut()).await {
            Ok(outcome) => return outcome,
            Err(_) if try_acquire_replacement(state, call, target) => {
                return AttemptOutcome::Abandoned;
            }
            // Without a retry, only this target can still respond.
            Err(_) => {}
        }
    }
    exchange.await
}

/// Takes a retry from the budget that replaces an attempt at a silent target, if another target is
/// free and the budget allows it. Returns whether it did.
fn try_acquire_replacement(
    state: &RelayState,
    call: &intake::AcceptedCall,
    target: &directory::TargetRecord,
) -> bool {
    let has_other_target = state.with_dispatcher(|dispatcher, now| {
        dispatcher.has_other_target(now, &call.demand, &target.key.name)
    });
    has_other_target && state.try_acquire_repeat(&call.demand.service, dispatch::RepeatKind::Retry)
}

fn attempt_outcome(result: client::Result<AttemptOutcome>) -> AttemptOutcome {
    match result {
        Ok(outcome) => outcome,
        Err(client::SendError::Unreachable(_)) => AttemptOutcome::Unreachable,
        Err(client::SendError::Broken(_) | client::SendError::Incomplete(_)) => {
            AttemptOutcome::Unknown(dispatch::AttemptResult::Broken)
        }
        Err(client::SendError::TimedOut) => {
            AttemptOutcome::Unknown(dispatch::AttemptResult::TimedOut)
        }
    }
}

/// Reads a response whose head has arrived. The body is read only if the head shows that it is the
/// target's own answer.
pub(super) async fn read_response(
    state: &RelayState,
    call: &intake::AcceptedCall,
    response: client::OpenResponse,
) -> AttemptOutcome {
    let class = state
        .protocol
        .classify_response(&response.parts, &call.head.request_id);
    match class {
        protocol::ResponseClass::NotRun => return AttemptOutcome::NotRun,
        protocol::ResponseClass::Foreign => {
            return AttemptOutcome::Unknown(dispatch::AttemptResult::Broken);
        }
        protocol::ResponseClass::Success | protocol::ResponseClass::Failure => {}
    }
    let reservation = state.memory.responses.reserve_nothing_for(&call.held);
    let clients = Some(&state.clients);
    match response
        .read_buffered(client::MAX_RESPONSE_BYTES, reservation, clients)
        .await
    {
        Ok(response) => AttemptOutcome::Responded(response, class),
        Err(error) => {
            log::debug!("request {}: {error}", call.head.request_id);
            AttemptOutcome::Unknown(dispatch::AttemptResult::Broken)
        }
    }
}

/// Reports the outcome of an attempt to the dispatcher, the decision log and the metrics.
pub(super) fn report_attempt(
    state: &RelayState,
    call: &intake::AcceptedCall,
    target: &directory::TargetRecord,
    outcome: &AttemptOutcome,
    started_at: time::Timestamp,
) {
    let took = state.now().since(started_at);
    let (result, label) = match outcome {
        AttemptOutcome::Responded(_, protocol::ResponseClass::Success) => {
            (dispatch::AttemptResult::Succeeded { took }, None)
        }
        AttemptOutcome::Responded(..) => (dispatch::AttemptResult::Failed, Some("failed")),
        AttemptOutcome::NotRun => (dispatch::AttemptResult::NotRun, Some("shed")),
        AttemptOutcome::Unreachable => (dispatch::AttemptResult::Unreachable, Some("unreachable")),
        AttemptOutcome::Unknown(result) => (*result, Some("unknown")),
        AttemptOutcome::Abandoned => (dispatch::AttemptResult::TimedOut, Some("unknown")),
    };
    state.submit(dispatch::DispatchEvent::AttemptEnded {
        call: call.id,
        result,
    });
    let Some(label) = label else {
        return;
    };
    state.metrics.record_attempt_failure(label);
    let record = call
        .record(telemetry::RecordKind::AttemptFailed)
        .fingerprint(call.demand.fingerprint)
        .target(&target.key.name)
        .version(target.revision.get())
        .outcome(label)
        .after(took);
    state.record(&record);
}

fn next_step(
    state: &RelayState,
    call: &intake::AcceptedCall,
    counts: &mut AttemptCounts,
    outcome: AttemptOutcome,
) -> NextStep {
    let is_repeatable = call.route.is_repeatable();
    match outcome {
        AttemptOutcome::Responded(response, class) => {
            counts.may_have_run += 1;
            let is_failure = class == protocol::ResponseClass::Failure
                && response.parts.status.is_server_error();
            if is_failure && is_repeatable && try_acquire_retry(state, call, counts) {
                return NextStep::Retry;
            }
            let label = match class {
                protocol::ResponseClass::Success => "completed",
                _ => "target_failure",
            };
            NextStep::Respond(buffered_response(state, response), label)
        }
        AttemptOutcome::NotRun => {
            counts.not_run += 1;
            if counts.not_run < MAX_NOT_RUN_ATTEMPTS
                && state.try_acquire_repeat(&call.demand.service, dispatch::RepeatKind::Retry)
            {
                return NextStep::Retry;
            }
            NextStep::GiveUp(dispatch::RefusalReason::TargetsRefused)
        }
        AttemptOutcome::Unreachable => {
            counts.unreachable += 1;
            let waited = state.now().since(call.demand.arrived_at);
            let max_wait = call.demand.target_latency.mul_f64(UNREACHABLE_TIME_SHARE);
            if counts.unreachable < MIN_UNREACHABLE_ATTEMPTS || waited < max_wait {
                return NextStep::Retry;
            }
            NextStep::GiveUp(dispatch::RefusalReason::NoTarget)
        }
        AttemptOutcome::Unknown(_) => {
            counts.may_have_run += 1;
            if is_repeatable && try_acquire_retry(state, call, counts) {
                return NextStep::Retry;
            }
            NextStep::Respond(unknown_outcome_response(state, &call.demand), "unknown")
        }
        AttemptOutcome::Abandoned => {
            counts.may_have_run += 1;
            NextStep::Retry
        }
    }
}

/// Takes a retry from the budget if the route, the deadline and the budget allow one. Returns
/// whether they do.
pub(super) fn try_acquire_retry(
    state: &RelayState,
    call: &intake::AcceptedCall,
    counts: &AttemptCounts,
) -> bool {
    counts.may_have_run < call.route.max_attempts
        && state.now() < call.demand.deadline
        && state.try_acquire_repeat(&call.demand.service, dispatch::RepeatKind::Retry)
}

/// Returns the response to a call that a target may have run.
fn unknown_outcome_response(
    state: &RelayState,
    demand: &dispatch::CallDemand,
) -> responses::CallResponse {
    let status = match state.now() >= demand.deadline {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::BAD_GATEWAY,
    };
    responses::text_response(status, "no answer of the target")
}

/// Converts a target's complete response into the response to the caller.
fn buffered_response(
    state: &RelayState,
    target_response: client::BufferedResponse,
) -> responses::CallResponse {
    let client::BufferedResponse {
        parts,
        body,
        reservation,
    } = target_response;
    let body = responses::BufferedBody::new(body, Some(reservation));
    let mut response = Response::new(responses::ResponseBody::Buffered(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = state.protocol.response_headers(&parts.headers);
    response
}
