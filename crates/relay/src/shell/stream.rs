//! Calls answered by a stream of events, up to the head of the answer.

use std::rc::Rc;

use http::Response;
use tokio::sync::mpsc;
use tokio::task;

use super::answers;
use super::client;
use super::intake;
use super::plain;
use super::pump;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// Parts that wait for a caller that reads slowly; then its target is held back.
const PART_LIMIT: usize = 64;

/// Rank from which on requests of a stream are given urgencies; more urgent ones are for streams
/// that go on at another target.
const FIRST_URGENCY: u8 = 3;

/// Least urgent that a target knows.
const LAST_URGENCY: u8 = 9;

/// What came of sending a stream's request.
enum OpenOutcome {
    /// The stream begins.
    Opened(client::OpenAnswer),
    /// Anything else, as for plain calls.
    Ended(plain::AttemptOutcome),
}

/// Serves one call.
pub(super) async fn serve(
    state: &Rc<RelayState>,
    mut call: Box<intake::AcceptedCall>,
) -> answers::CallAnswer {
    let mut counts = plain::AttemptCounts::default();
    loop {
        let placement = match plain::place(state, &mut call).await {
            Ok(placement) => placement,
            Err(refusal) => return plain::refuse(state, &mut call, &refusal),
        };
        let target = Rc::clone(&placement.target);
        let started = state.now();
        let outcome = match open(state, &call, &placement).await {
            OpenOutcome::Opened(answer) => return stream_on(state, call, placement, answer),
            OpenOutcome::Ended(outcome) => outcome,
        };
        plain::report(state, &call, &target, &outcome, started);
        if let Some(answer) = plain::conclude(state, &mut call, &mut counts, &target, outcome) {
            return answer;
        }
    }
}

/// Returns how urgent a request is among those of its target.
fn urgency(rank: u8) -> u8 {
    rank.saturating_add(FIRST_URGENCY).min(LAST_URGENCY)
}

async fn open(
    state: &RelayState,
    call: &intake::AcceptedCall,
    placement: &dispatch::CallPlacement,
) -> OpenOutcome {
    let head = protocol::ForwardedHead {
        target: &placement.target.key,
        time_left: call.demand.deadline.since(state.now()),
        organisation: call.organisation_name(),
        urgency: Some(urgency(call.demand.rank)),
        copy_to: placement.copy_holder.as_ref().map(|copy| copy.address),
        resumption: None,
    };
    let request = plain::forwarded(state, call, &head);
    let due = state.instant(call.demand.deadline);
    let sent = client::send(placement.target.address, request);
    let answer = match tokio::time::timeout_at(due, sent).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(client::SendError::Unreachable(_))) => {
            return OpenOutcome::Ended(plain::AttemptOutcome::Unreachable);
        }
        Ok(Err(_)) => {
            let broken = dispatch::AttemptResult::Broken;
            return OpenOutcome::Ended(plain::AttemptOutcome::Unknown(broken));
        }
        Err(_) => {
            let silent = dispatch::AttemptResult::TimedOut;
            return OpenOutcome::Ended(plain::AttemptOutcome::Unknown(silent));
        }
    };

    let verdict = state
        .protocol
        .classify_response(&answer.parts, &call.head.request);
    if verdict == protocol::ResponseClass::Success {
        return OpenOutcome::Opened(answer);
    }
    let outcome = match tokio::time::timeout_at(due, answer.read_whole()).await {
        Ok(Ok((parts, body))) => plain::judge(state, call, parts, body),
        Ok(Err(_)) if verdict == protocol::ResponseClass::NotRun => plain::AttemptOutcome::NotRun,
        Ok(Err(_)) | Err(_) => plain::AttemptOutcome::Unknown(dispatch::AttemptResult::Broken),
    };
    OpenOutcome::Ended(outcome)
}

/// Begins the caller's answer; a task of its own brings the events.
fn stream_on(
    state: &Rc<RelayState>,
    call: Box<intake::AcceptedCall>,
    placement: dispatch::CallPlacement,
    upstream: client::OpenAnswer,
) -> answers::CallAnswer {
    let (sender, receiver) = mpsc::channel(PART_LIMIT);
    let mut answer = Response::new(answers::AnswerBody::Stream(receiver));
    *answer.status_mut() = upstream.parts.status;
    *answer.headers_mut() = state.protocol.response_headers(&upstream.parts.headers);

    let pump = pump::StreamPump::new(Rc::clone(state), call, placement, upstream, sender);
    task::spawn_local(pump.run());
    answer
}

/// Returns a record of a stream that goes on elsewhere, or could not.
pub(super) fn move_record(
    call: &intake::AcceptedCall,
    kind: telemetry::RecordKind,
    target: &directory::TargetRecord,
    outcome: &str,
) -> telemetry::DecisionRecord {
    call.record(kind).target(&target.key.name).outcome(outcome)
}
