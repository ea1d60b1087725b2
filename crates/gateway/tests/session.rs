//! Complete sessions between the reducers of one gateway and one agent.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_gateway::state;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;
use kingcupfall_policy::schedule;

/// One gateway and one agent on a link without loss or delay, with the replies and starts that
/// their effects request.
struct SessionHarness {
    now: time::Timestamp,
    gateway: gateway::GatewayReducer,
    agent: agent::AgentReducer,
    replies: Vec<gateway::CallReply>,
    started: Vec<ids::AttemptId>,
}

impl SessionHarness {
    fn new() -> Self {
        let identity = agent::AgentIdentity {
            target: "engine-1".parse().unwrap(),
            incarnation: ids::Incarnation::from_u128(1),
            zone: "a".parse().unwrap(),
        };
        let scheduler = Box::new(schedule::ImmediateScheduler::new());
        let policies = gateway::GatewayPolicies {
            placement: Box::new(place::RoundRobinPlacement::default()),
            retry: Box::new(retry::BudgetedRetry::new(1)),
            limit: Box::new(limit::NoLimit),
            quarantine: Box::new(quarantine::SuspectQuarantine::default()),
        };
        let gateway_identity = gateway::GatewayIdentity {
            process: ids::ProcessId::from_u128(1),
            zone: "a".parse().unwrap(),
            seed: 1,
        };

        let mut harness = Self {
            now: time::Timestamp::ZERO,
            gateway: gateway::GatewayReducer::new(gateway_identity, policies),
            agent: agent::AgentReducer::new(identity, scheduler),
            replies: Vec::new(),
            started: Vec::new(),
        };
        harness.agent_event(agent::AgentEvent::TargetHealth { up: true });
        harness.gateway_event(gateway::GatewayEvent::TargetsChanged(vec![listing()]));
        harness
    }

    fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.agent_event(agent::AgentEvent::Tick);
        self.gateway_event(gateway::GatewayEvent::Tick);
    }

    fn gateway_event(&mut self, event: gateway::GatewayEvent) {
        let mut effects = Vec::new();
        self.gateway.apply(self.now, event, &mut effects);

        for effect in effects {
            match effect {
                gateway::GatewayEffect::Connect { link, .. } => {
                    self.agent_event(agent::AgentEvent::LinkOpened { link });
                    self.gateway_event(gateway::GatewayEvent::LinkOpened { link });
                }
                gateway::GatewayEffect::CloseLink { link } => {
                    self.agent_event(agent::AgentEvent::LinkClosed { link });
                }
                gateway::GatewayEffect::Send { link, frame } => {
                    self.agent_event(agent::AgentEvent::FrameReceived { link, frame });
                }
                gateway::GatewayEffect::Reply { reply, .. } => self.replies.push(reply),
                gateway::GatewayEffect::Exit => {}
            }
        }
    }

    fn agent_event(&mut self, event: agent::AgentEvent) {
        let mut effects = Vec::new();
        self.agent.apply(self.now, event, &mut effects);

        for effect in effects {
            match effect {
                agent::AgentEffect::Send { link, frame } => {
                    self.gateway_event(gateway::GatewayEvent::FrameReceived { link, frame });
                }
                agent::AgentEffect::CloseLink { link } => {
                    self.gateway_event(gateway::GatewayEvent::LinkClosed { link });
                }
                agent::AgentEffect::Generate(command) => self.started.push(command.attempt),
                agent::AgentEffect::CallService { attempt, .. } => self.started.push(attempt),
                agent::AgentEffect::Pause { .. }
                | agent::AgentEffect::Resume { .. }
                | agent::AgentEffect::Cancel { .. }
                | agent::AgentEffect::Exit => {}
            }
        }
    }

    fn call(&mut self, stream: bool) {
        let request = call_request(self.now, stream);
        self.gateway_event(gateway::GatewayEvent::Call(Box::new(request)));
    }

    fn generate(&mut self, tokens: &[&str]) {
        let attempt = *self.started.last().expect("an attempt was started");
        for (index, token) in tokens.iter().enumerate() {
            self.agent_event(agent::AgentEvent::Token {
                attempt,
                index: measures::SequenceNumber::new(index as u64),
                text: (*token).into(),
            });
        }
        self.agent_event(agent::AgentEvent::GenerationEnded {
            attempt,
            reason: work::FinishReason::Stop,
        });
    }
}

#[test]
fn stream_delivers_all_tokens_in_order() {
    let mut harness = SessionHarness::new();

    harness.call(true);
    harness.generate(&["grease ", "depth ", "3 mm"]);

    let texts: Vec<Box<str>> = harness.replies.iter().flat_map(reply_tokens).collect();
    assert_eq!(texts.concat(), "grease depth 3 mm");
    assert!(matches!(
        harness.replies.last(),
        Some(gateway::CallReply::Finished { total, .. }) if total.get() == 3
    ));
}

#[test]
fn buffered_call_delivers_one_reply() {
    let mut harness = SessionHarness::new();

    harness.call(false);
    harness.generate(&["fire ", "risk ", "low"]);

    assert_eq!(harness.replies.len(), 1);
    assert!(matches!(
        &harness.replies[0],
        gateway::CallReply::Buffered(reply) if reply.tokens.concat() == "fire risk low"
    ));
}

#[test]
fn call_to_leaving_agent_ends_not_run() {
    let mut harness = SessionHarness::new();
    harness.agent_event(agent::AgentEvent::Leave);

    harness.call(true);
    harness.advance(Duration::from_secs(1));

    assert!(harness.started.is_empty());
    assert!(harness.replies.iter().all(|reply| matches!(
        reply,
        gateway::CallReply::Problem(problem) if problem.outcome == work::CallOutcome::NotRun
    )));
}

#[test]
fn call_is_retried_after_unhealthy_target_recovers() {
    let mut harness = SessionHarness::new();
    harness.call(true);
    let first = harness.started[0];

    harness.agent_event(agent::AgentEvent::WorkFailed {
        attempt: first,
        failure: agent::WorkFailure::ServerError,
    });
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.started.len(), 1, "an unhealthy target gets no work");
    assert_eq!(harness.gateway.suspects(harness.now).len(), 1);

    harness.agent_event(agent::AgentEvent::TargetHealth { up: true });
    harness.advance(Duration::from_millis(2_500));
    harness.generate(&["fire ", "risk"]);

    assert_eq!(harness.started.len(), 2);
    assert_eq!(harness.gateway.suspects(harness.now), []);
    assert!(matches!(
        harness.replies.last(),
        Some(gateway::CallReply::Finished { total, .. }) if total.get() == 2
    ));
}

#[test]
fn resume_from_unknown_target_ends_at_once() {
    let mut harness = SessionHarness::new();
    let request = gateway::ResumeRequest {
        call: ids::CallId::new(2),
        tag: call_request(harness.now, true).tag,
        token: state::ResumeToken {
            target: "engine-9".parse().unwrap(),
            incarnation: ids::Incarnation::from_u128(1),
            attempt: ids::AttemptId::from_u128(1),
            sequence: measures::SequenceNumber::new(4),
        },
    };

    harness.gateway_event(gateway::GatewayEvent::Resume(Box::new(request)));

    assert!(matches!(
        harness.replies.as_slice(),
        [gateway::CallReply::Problem(problem)]
            if problem.code == gateway::ProblemCode::ResumeExpired
                && problem.outcome == work::CallOutcome::Unknown
    ));
}

fn reply_tokens(reply: &gateway::CallReply) -> Vec<Box<str>> {
    match reply {
        gateway::CallReply::Tokens(reply) => reply.tokens.clone(),
        gateway::CallReply::Finished { .. }
        | gateway::CallReply::Buffered(_)
        | gateway::CallReply::Service(_)
        | gateway::CallReply::Key(_)
        | gateway::CallReply::Problem(_) => Vec::new(),
    }
}

fn listing() -> state::TargetListing {
    state::TargetListing {
        name: "engine-1".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        serves: state::ServedWork::Models(vec!["report".parse().unwrap()]),
        leaving: false,
    }
}

fn call_request(now: time::Timestamp, stream: bool) -> gateway::CallRequest {
    let model: ids::ModelName = "report".parse().unwrap();
    let prompt = "Duct 7, north wall";

    gateway::CallRequest {
        call: ids::CallId::new(1),
        tag: work::CallerTag {
            organisation: "exaustao".parse().unwrap(),
            class: "report".parse().unwrap(),
            priority: measures::Priority::new(2),
            weight: measures::Weight::new(1),
        },
        fingerprint: work::RequestFingerprint::new(7),
        work: work::WorkRequest::Generation(work::GenerationRequest {
            prefix: work::PrefixHash::of_prompt(&model, prompt),
            model,
            prompt: prompt.into(),
            prompt_tokens: work::estimate_tokens(prompt),
            max_tokens: measures::TokenCount::new(100),
        }),
        stream,
        repeatable: true,
        key: None,
        start_deadline: now + Duration::from_secs(60),
    }
}
