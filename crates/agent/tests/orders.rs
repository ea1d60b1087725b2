//! Handling of gateway orders by the agent's reducer.

use std::time::Duration;

use kingcupfall_agent::reducer;
use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule;
use yare::parameterized;

const FIRST_LINK: ids::LinkId = ids::LinkId::new(1);
const SECOND_LINK: ids::LinkId = ids::LinkId::new(2);
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Agent with two gateways, and the effects that it returned.
struct OrderHarness {
    now: time::Timestamp,
    agent: reducer::AgentReducer,
    effects: Vec<reducer::AgentEffect>,
}

impl OrderHarness {
    fn new() -> Self {
        let identity = reducer::AgentIdentity {
            target: "records-1".parse().unwrap(),
            incarnation: ids::Incarnation::from_u128(5),
            zone: "a".parse().unwrap(),
        };
        let mut harness = Self {
            now: time::Timestamp::from_micros(1_000_000),
            agent: reducer::AgentReducer::new(
                identity,
                Box::new(schedule::ImmediateScheduler::new()),
            ),
            effects: Vec::new(),
        };
        harness.apply(reducer::AgentEvent::TargetHealth { up: true });
        for (link, process) in [(FIRST_LINK, 1), (SECOND_LINK, 2)] {
            harness.apply(reducer::AgentEvent::LinkOpened { link });
            let hello = frames::GatewayHello {
                version: frames::PROTOCOL_VERSION,
                gateway: ids::ProcessId::from_u128(process),
                zone: "a".parse().unwrap(),
            };
            harness.frame(link, frames::GatewayFrame::Hello(hello));
        }
        harness.effects.clear();
        harness
    }

    fn apply(&mut self, event: reducer::AgentEvent) {
        self.agent.apply(self.now, event, &mut self.effects);
    }

    fn frame(&mut self, link: ids::LinkId, frame: frames::GatewayFrame) {
        self.apply(reducer::AgentEvent::FrameReceived { link, frame });
    }

    fn start(&mut self, link: ids::LinkId, order: frames::StartOrder) {
        self.frame(link, frames::GatewayFrame::Start(Box::new(order)));
    }

    fn order(&self, attempt: u128, key: Option<keys::IdempotencyKey>) -> frames::StartOrder {
        frames::StartOrder {
            attempt: ids::AttemptId::from_u128(attempt),
            tag: work::CallerTag {
                organisation: "qurum".parse().unwrap(),
                class: "sign-off".parse().unwrap(),
                priority: measures::Priority::new(3),
                weight: measures::Weight::new(1),
            },
            fingerprint: work::RequestFingerprint::new(9),
            request: work::WorkRequest::Service(work::ServiceRequest {
                service: "records".parse().unwrap(),
                path: "sign-offs".into(),
                content_type: "application/json".into(),
                body: b"{}".to_vec(),
            }),
            start_by: self.now + START_TIMEOUT,
            key,
            stream: false,
            suspect: false,
        }
    }

    fn key(&self, nonce: u128) -> keys::IdempotencyKey {
        keys::IdempotencyKey {
            target: "records-1".parse().unwrap(),
            incarnation: ids::Incarnation::from_u128(5),
            expires_at: self.now + Duration::from_secs(600),
            nonce: ids::Nonce::from_u128(nonce),
        }
    }

    fn respond(&mut self, attempt: u128, body: &str) {
        self.apply(reducer::AgentEvent::Responded {
            attempt: ids::AttemptId::from_u128(attempt),
            response: work::ServiceResponse {
                status: 201,
                content_type: "text/plain".into(),
                body: body.as_bytes().to_vec(),
            },
        });
    }

    fn started_calls(&self) -> usize {
        self.effects
            .iter()
            .filter(|effect| matches!(effect, reducer::AgentEffect::CallService { .. }))
            .count()
    }

    fn refusals(&self) -> Vec<frames::RefusalCode> {
        self.sent_frames()
            .filter_map(|frame| match frame {
                frames::AgentFrame::Refused(report) => Some(report.code),
                _ => None,
            })
            .collect()
    }

    fn failures(&self) -> Vec<frames::FailureCause> {
        self.sent_frames()
            .filter_map(|frame| match frame {
                frames::AgentFrame::Failed(report) => Some(report.cause),
                _ => None,
            })
            .collect()
    }

    fn responses(&self) -> Vec<frames::ResponseReport> {
        self.sent_frames()
            .filter_map(|frame| match frame {
                frames::AgentFrame::Responded(report) => Some(report.clone()),
                _ => None,
            })
            .collect()
    }

    fn sent_frames(&self) -> impl Iterator<Item = &frames::AgentFrame> {
        self.effects.iter().filter_map(|effect| match effect {
            reducer::AgentEffect::Send { frame, .. } => Some(frame),
            _ => None,
        })
    }
}

#[test]
fn repeat_while_running_receives_the_same_response() {
    let mut harness = OrderHarness::new();
    harness.start(FIRST_LINK, harness.order(1, Some(harness.key(1))));
    harness.start(SECOND_LINK, harness.order(2, Some(harness.key(1))));

    harness.respond(1, "signed");

    assert_eq!(harness.started_calls(), 1);
    let responses = harness.responses();
    assert_eq!(responses.len(), 2);
    assert!(!responses[0].replayed);
    assert!(responses[1].replayed);
    assert_eq!(responses[0].response, responses[1].response);
}

#[test]
fn repeat_after_the_end_receives_the_recorded_response() {
    let mut harness = OrderHarness::new();
    harness.start(FIRST_LINK, harness.order(1, Some(harness.key(1))));
    harness.respond(1, "signed");
    harness.now = harness.now + Duration::from_secs(300);
    harness.frame(SECOND_LINK, frames::GatewayFrame::Heartbeat);
    harness.apply(reducer::AgentEvent::Tick);

    let key = keys::IdempotencyKey {
        expires_at: time::Timestamp::from_micros(1_000_000) + Duration::from_secs(600),
        ..harness.key(1)
    };
    harness.start(SECOND_LINK, harness.order(2, Some(key)));

    assert_eq!(harness.started_calls(), 1);
    assert_eq!(harness.responses().len(), 2);
}

#[test]
fn repeat_of_a_lost_call_fails_with_response_lost() {
    let mut harness = OrderHarness::new();
    harness.start(FIRST_LINK, harness.order(1, Some(harness.key(1))));
    harness.apply(reducer::AgentEvent::TargetHealth { up: false });
    harness.apply(reducer::AgentEvent::TargetHealth { up: true });

    harness.start(SECOND_LINK, harness.order(2, Some(harness.key(1))));

    assert_eq!(harness.started_calls(), 1);
    assert_eq!(
        harness.failures(),
        [
            frames::FailureCause::TargetLost,
            frames::FailureCause::ResponseLost
        ]
    );
}

#[test]
fn used_key_with_another_request_is_refused() {
    let mut harness = OrderHarness::new();
    harness.start(FIRST_LINK, harness.order(1, Some(harness.key(1))));
    let changed = frames::StartOrder {
        fingerprint: work::RequestFingerprint::new(10),
        ..harness.order(2, Some(harness.key(1)))
    };

    harness.start(SECOND_LINK, changed);

    assert_eq!(harness.started_calls(), 1);
    assert_eq!(harness.refusals(), [frames::RefusalCode::KeyMismatch]);
}

#[test]
fn used_key_of_another_organisation_is_refused() {
    let mut harness = OrderHarness::new();
    harness.start(FIRST_LINK, harness.order(1, Some(harness.key(1))));
    let mut other = harness.order(2, Some(harness.key(1)));
    other.tag.organisation = "rivals".parse().unwrap();

    harness.start(SECOND_LINK, other);

    assert_eq!(harness.started_calls(), 1);
    assert_eq!(harness.refusals(), [frames::RefusalCode::KeyMismatch]);
}

#[parameterized(
    other_incarnation = { |key: keys::IdempotencyKey| keys::IdempotencyKey {
        incarnation: ids::Incarnation::from_u128(4), ..key
    } },
    other_target = { |key: keys::IdempotencyKey| keys::IdempotencyKey {
        target: "records-2".parse().unwrap(), ..key
    } },
    expired = { |key: keys::IdempotencyKey| keys::IdempotencyKey {
        expires_at: time::Timestamp::from_micros(999_999), ..key
    } },
    expires_too_late = { |key: keys::IdempotencyKey| keys::IdempotencyKey {
        expires_at: key.expires_at + Duration::from_secs(100_000), ..key
    } },
)]
fn invalid_key_is_refused(change: fn(keys::IdempotencyKey) -> keys::IdempotencyKey) {
    let mut harness = OrderHarness::new();
    let key = change(harness.key(1));

    harness.start(FIRST_LINK, harness.order(1, Some(key)));

    assert_eq!(harness.started_calls(), 0);
    assert_eq!(harness.refusals(), [frames::RefusalCode::KeyExpired]);
}

#[test]
fn start_after_its_cancel_is_refused() {
    let mut harness = OrderHarness::new();
    let order = harness.order(1, None);
    let cancel = frames::CancelOrder {
        attempt: order.attempt,
        start_by: order.start_by,
        only_waiting: false,
    };

    harness.frame(SECOND_LINK, frames::GatewayFrame::Cancel(cancel));
    harness.start(FIRST_LINK, order);

    assert_eq!(harness.started_calls(), 0);
    assert_eq!(
        harness.refusals(),
        [
            frames::RefusalCode::Cancelled,
            frames::RefusalCode::Cancelled
        ]
    );
}

#[test]
fn start_after_its_deadline_is_refused() {
    let mut harness = OrderHarness::new();
    let order = harness.order(1, None);
    harness.now = harness.now + START_TIMEOUT + Duration::from_micros(1);

    harness.start(FIRST_LINK, order);

    assert_eq!(harness.started_calls(), 0);
    assert_eq!(harness.refusals(), [frames::RefusalCode::TooLate]);
}

#[test]
fn cancel_after_the_retention_fails_with_expired() {
    let mut harness = OrderHarness::new();
    let order = harness.order(1, None);
    let cancel = frames::CancelOrder {
        attempt: order.attempt,
        start_by: order.start_by,
        only_waiting: false,
    };
    harness.now = harness.now + Duration::from_secs(3_600);

    harness.frame(FIRST_LINK, frames::GatewayFrame::Cancel(cancel));

    assert_eq!(harness.refusals(), []);
    assert_eq!(harness.failures(), [frames::FailureCause::Expired]);
}

#[test]
fn second_suspect_is_refused_while_one_runs() {
    let mut harness = OrderHarness::new();
    let suspect = |order| frames::StartOrder {
        suspect: true,
        ..order
    };
    harness.start(FIRST_LINK, suspect(harness.order(1, None)));
    harness.start(FIRST_LINK, suspect(harness.order(2, None)));
    harness.start(FIRST_LINK, harness.order(3, None));

    assert_eq!(harness.started_calls(), 2);
    assert_eq!(harness.refusals(), [frames::RefusalCode::SuspectBusy]);
}

#[test]
fn previous_gateway_of_a_resumed_stream_receives_superseded_at_the_end() {
    let mut harness = OrderHarness::new();
    let mut order = harness.order(1, None);
    order.stream = true;
    let resume = frames::ResumeOrder {
        attempt: order.attempt,
        organisation: order.tag.organisation.clone(),
        next: measures::SequenceNumber::ZERO,
        subscription: Some(ids::Nonce::from_u128(1)),
        start_by: None,
    };
    harness.start(FIRST_LINK, order);

    harness.frame(SECOND_LINK, frames::GatewayFrame::Resume(resume));
    harness.respond(1, "signed");

    assert!(harness.effects.iter().any(|effect| matches!(
        effect,
        reducer::AgentEffect::Send {
            link: FIRST_LINK,
            frame: frames::AgentFrame::Superseded {
                subscription: None,
                ..
            },
        }
    )));
}

#[test]
fn resume_by_another_organisation_fails_with_expired() {
    let mut harness = OrderHarness::new();
    let order = harness.order(1, None);
    let resume = frames::ResumeOrder {
        attempt: order.attempt,
        organisation: "rivals".parse().unwrap(),
        next: measures::SequenceNumber::ZERO,
        subscription: Some(ids::Nonce::from_u128(1)),
        start_by: None,
    };
    harness.start(FIRST_LINK, order);

    harness.frame(SECOND_LINK, frames::GatewayFrame::Resume(resume));
    harness.respond(1, "signed");

    assert_eq!(harness.failures(), [frames::FailureCause::Expired]);
    assert!(harness.effects.iter().any(|effect| matches!(
        effect,
        reducer::AgentEffect::Send {
            link: FIRST_LINK,
            frame: frames::AgentFrame::Responded(_)
        }
    )));
}

#[test]
fn frame_before_the_hello_closes_the_link() {
    let mut harness = OrderHarness::new();
    let link = ids::LinkId::new(3);
    harness.apply(reducer::AgentEvent::LinkOpened { link });

    harness.frame(link, frames::GatewayFrame::Heartbeat);

    assert!(
        harness
            .effects
            .contains(&reducer::AgentEffect::CloseLink { link })
    );
}
