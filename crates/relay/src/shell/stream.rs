//! Serves streamed calls up to the head of the response.

use std::rc::Rc;

use http::Response;
use tokio::task;

use super::buffered;
use super::client;
use super::former_runs;
use super::forwarder;
use super::intake;
use super::responses;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// Events that are queued for a caller that reads slowly; beyond that, its target is slowed down.
const MAX_QUEUED_EVENTS: usize = 64;

/// Urgency of new streams with rank 0. Smaller values, which are more urgent, are for streams that
/// are resumed at another target.
const HIGHEST_NEW_STREAM_URGENCY: u8 = 3;

/// Least urgent value that targets know.
const LOWEST_URGENCY: u8 = 9;

/// Outcome of opening a stream at a target.
pub(super) enum OpenOutcome {
    /// The stream has started.
    Opened(client::OpenResponse),
    /// Any other outcome, handled as for buffered calls.
    Ended(buffered::AttemptOutcome),
}

/// Serves a streamed call, retrying on other targets until a stream starts.
pub(super) async fn serve(
    state: &Rc<RelayState>,
    mut call: Box<intake::AcceptedCall>,
) -> responses::CallResponse {
    let mut counts = buffered::AttemptCounts::default();
    let mut former_run: Option<former_runs::FormerRun> = None;
    loop {
        let placement = match buffered::place_call(state, &mut call).await {
            Ok(placement) => placement,
            Err(refusal) => return buffered::end_unplaced(state, &mut call, &counts, &refusal),
        };
        let earlier_run = call
            .pending_stops
            .cancel(&placement.target)
            .or_else(|| former_run.take_if(|run| run.target.key == placement.target.key));
        if let Some(run) = former_run.take() {
            let next = Rc::clone(&placement.target);
            former_runs::stop(state, &mut call, former_runs::FormerRun { next, ..run });
        }
        let target = Rc::clone(&placement.target);
        let started_at = state.now();
        let last_event = call.resumed_after();
        let outcome = match open_stream(state, &call, &placement, last_event).await {
            OpenOutcome::Opened(response) => {
                return start_response(state, call, counts, placement, response);
            }
            OpenOutcome::Ended(outcome) => outcome,
        };
        buffered::report_attempt(state, &call, &target, &outcome, started_at);
        former_run = match outcome.may_run_on() {
            true => Some(former_runs::FormerRun {
                target: Rc::clone(&target),
                next: Rc::clone(&target),
                has_begun: false,
            }),
            false => earlier_run,
        };
        if let Some(response) =
            buffered::conclude_attempt(state, &mut call, &mut counts, &target, outcome)
        {
            return response;
        }
    }
}

/// Returns the urgency of a new stream among the requests of its target.
fn urgency(rank: u8) -> u8 {
    rank.saturating_add(HIGHEST_NEW_STREAM_URGENCY)
        .min(LOWEST_URGENCY)
}

/// Sends a stream to a target, which continues it after the last event that its caller has.
pub(super) async fn open_stream(
    state: &RelayState,
    call: &intake::AcceptedCall,
    placement: &dispatch::CallPlacement,
    last_event: Option<u64>,
) -> OpenOutcome {
    let head = protocol::ForwardedHead {
        target: &placement.target.key,
        time_left: call.demand.deadline.since(state.now()),
        organisation: call.organisation_name(),
        urgency: Some(urgency(call.demand.rank)),
        copy_to: placement.copy_holder.as_ref().map(|holder| holder.address),
        resumption: None,
        last_event,
    };
    let request = buffered::forwarded_request(state, call, &head);
    let deadline = state.instant(call.demand.deadline);
    let sent_at = state.now();
    let sent = client::send(placement.target.address, request);
    let response = match tokio::time::timeout_at(deadline, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(client::SendError::Unreachable(_))) => {
            return OpenOutcome::Ended(buffered::AttemptOutcome::Unreachable);
        }
        Ok(Err(_)) => {
            let broken = dispatch::AttemptResult::Broken;
            return OpenOutcome::Ended(buffered::AttemptOutcome::Unknown(broken));
        }
        Err(_) => {
            let timed_out = dispatch::AttemptResult::TimedOut;
            return OpenOutcome::Ended(buffered::AttemptOutcome::Unknown(timed_out));
        }
    };

    state.handle_notice(&placement.target.key, sent_at, &response.parts);
    let class = state
        .protocol
        .classify_response(&response.parts, &call.head.request_id);
    if class == protocol::ResponseClass::Success {
        return OpenOutcome::Opened(response);
    }
    let read = buffered::read_response(state, call, response);
    OpenOutcome::Ended(match tokio::time::timeout_at(deadline, read).await {
        Ok(outcome) => outcome,
        Err(_) => buffered::AttemptOutcome::Unknown(dispatch::AttemptResult::Broken),
    })
}

/// Starts the response to the caller, and a task that forwards the events.
fn start_response(
    state: &Rc<RelayState>,
    call: Box<intake::AcceptedCall>,
    counts: buffered::AttemptCounts,
    placement: dispatch::CallPlacement,
    upstream: client::OpenResponse,
) -> responses::CallResponse {
    let (sender, body) = responses::stream_channel(MAX_QUEUED_EVENTS, state, &call.held);
    let mut response = Response::new(body);
    *response.status_mut() = upstream.parts.status;
    *response.headers_mut() = state.protocol.response_headers(&upstream.parts.headers);

    let forwarder = forwarder::StreamForwarder::new(
        Rc::clone(state),
        call,
        counts,
        placement,
        upstream,
        sender,
    );
    task::spawn_local(forwarder.run());
    response
}

/// Returns a record of a stream that was resumed at another target, or could not be.
pub(super) fn migration_record(
    call: &intake::AcceptedCall,
    kind: telemetry::RecordKind,
    target: &directory::TargetRecord,
    outcome: &str,
) -> telemetry::DecisionRecord {
    call.record(kind)
        .fingerprint(call.demand.fingerprint)
        .target(&target.key.name)
        .outcome(outcome)
}
