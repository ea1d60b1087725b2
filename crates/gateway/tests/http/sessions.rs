//! Snapshot tests of complete sessions of callers.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::limit;
use kingcupfall_policy::quarantine;

use crate::agent;
use crate::client;
use crate::events;
use crate::system;

const STREAM_BODY: &str = r#"{"model":"report","prompt":"Duct 7","class":"report","stream":true}"#;
const BUFFERED_BODY: &str = r#"{"model":"report","prompt":"Duct 7","class":"report"}"#;
const KEY_BODY: &str = r#"{"service":"bookings"}"#;
const BOOKING_BODY: &str = r#"{"kitchen":"Centro 4","crew":2}"#;

#[ntex::test]
async fn generation_streams_tokens() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    let response = system.exchange(&request).await;

    let stream = events::StreamText::parse(&response.body);
    insta::assert_snapshot!(format!("{}\n\n{}", response.head, stream.render()));
}

#[ntex::test]
async fn generation_without_stream_is_buffered() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let request = system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY);
    let response = system.exchange(&request).await;

    insta::assert_snapshot!(render(&response));
}

#[ntex::test]
async fn booking_with_issued_key_runs_once() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;
    let key_request =
        client::RequestText::new("POST", "/v1/idempotency-keys", system::EXAUSTAO_KEY);

    let issued = system.exchange(&key_request.body(KEY_BODY)).await;
    let json = issued.json();
    let key = json["idempotency_key"].as_str().unwrap();
    let booking = booking().header("idempotency-key", key);
    let first = system.exchange(&booking).await;
    let second = system.exchange(&booking).await;
    let changed = system
        .exchange(&booking.clone().body(r#"{"kitchen":"Sul 1"}"#))
        .await;

    assert_eq!(system.bookings.borrow().started.len(), 1);
    let session = [issued, first, second, changed].map(|response| render(&response));
    insta::assert_snapshot!(session.join("\n\n----\n\n"));
}

#[ntex::test]
async fn booking_without_key_returns_new_key() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let response = system.exchange(&booking()).await;

    insta::assert_snapshot!(render(&response));
}

#[ntex::test]
async fn key_of_other_organisation_refused() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;
    let key_request = client::RequestText::new("POST", "/v1/idempotency-keys", system::QURUM_KEY);

    let json = system.exchange(&key_request.body(KEY_BODY)).await.json();
    let key = json["idempotency_key"].as_str().unwrap();
    let response = system
        .exchange(&booking().header("idempotency-key", key))
        .await;

    assert!(system.bookings.borrow().started.is_empty());
    insta::assert_snapshot!(render(&response));
}

#[ntex::test]
async fn wrong_bearer_key_refused() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let response = system
        .exchange(&system::generation("a wrong key", BUFFERED_BODY))
        .await;

    assert!(system.engine.borrow().started.is_empty());
    insta::assert_snapshot!(render(&response));
}

#[ntex::test]
async fn stream_resumes_on_other_connection() {
    let script = agent::TargetScript::Hang(vec!["weld ", "seam "]);
    let system = system::TestSystem::start(options(script)).await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);

    let mut connection = system.connect().await;
    connection.send(&request.bytes()).await;
    let broken = connection.read_until("seam ").await;
    drop(connection);
    let broken = events::StreamText::parse(&broken.body);
    system.engine.borrow_mut().finish(2, &["is ", "sound"]);
    let last_id = broken.last_id.clone().unwrap();
    let resume = client::RequestText::new("GET", "/v1/generations", system::EXAUSTAO_KEY)
        .header("last-event-id", &last_id);
    let rest = system.exchange(&resume).await;

    let rest = events::StreamText::parse(&rest.body);
    insta::assert_snapshot!(format!("{}\n\n----\n\n{}", broken.render(), rest.render()));
}

#[ntex::test]
async fn resume_of_other_organisation_refused() {
    let script = agent::TargetScript::Hang(vec!["weld ", "seam "]);
    let system = system::TestSystem::start(options(script)).await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);

    let mut connection = system.connect().await;
    connection.send(&request.bytes()).await;
    let stream = connection.read_until("seam ").await;
    let last_id = events::StreamText::parse(&stream.body).last_id.unwrap();
    let resume = client::RequestText::new("GET", "/v1/generations", system::QURUM_KEY)
        .header("last-event-id", &last_id);
    let refused = system.exchange(&resume).await;
    system.engine.borrow_mut().finish(2, &["is ", "sound"]);
    let owner_response = connection.read_response().await;

    let owner_stream = events::StreamText::parse(&owner_response.body);
    insta::assert_snapshot!(format!(
        "{}\n\n----\n\n{}",
        render(&refused),
        owner_stream.render()
    ));
}

#[ntex::test]
async fn quarantined_request_refused() {
    let options = system::SystemOptions {
        quarantine: Box::new(FixedQuarantine),
        ..system::SystemOptions::default()
    };
    let system = system::TestSystem::start(options).await;

    let response = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY))
        .await;

    assert!(system.engine.borrow().started.is_empty());
    insta::assert_snapshot!(render(&response));
}

#[ntex::test]
async fn organisation_over_limit_refused() {
    let options = system::SystemOptions {
        limit: Box::new(FixedLimit),
        ..system::SystemOptions::default()
    };
    let system = system::TestSystem::start(options).await;

    let response = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY))
        .await;

    insta::assert_snapshot!(render(&response));
}

#[ntex::test]
async fn stopping_gateway_finishes_streams_and_refuses_new_calls() {
    let script = agent::TargetScript::Hang(vec!["weld ", "seam "]);
    let system = system::TestSystem::start(options(script)).await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    let health = client::RequestText::new("GET", "/healthz", "");

    let mut connection = system.connect().await;
    connection.send(&request.bytes()).await;
    connection.read_until("seam ").await;
    let healthy = system.exchange(&health).await;
    system.gateway.stop();
    let stopping = system.exchange(&health).await;
    let refused = system.exchange(&request).await;
    system.engine.borrow_mut().finish(2, &["is ", "sound"]);
    let stream = connection.read_response().await;
    system.gateway.wait().await;

    let stream = events::StreamText::parse(&stream.body);
    let responses = [healthy, stopping, refused].map(|response| render(&response));
    let session = responses.join("\n\n----\n\n");
    insta::assert_snapshot!(format!("{session}\n\n----\n\n{}", stream.render()));
}

#[ntex::test]
async fn gateway_without_document_refuses_calls() {
    let options = system::SystemOptions::default();
    let system = system::TestSystem::start_without_document(options);
    let health = client::RequestText::new("GET", "/healthz", "");

    let starting = system.exchange(&health).await;
    let request = system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY);
    let refused = system.exchange(&request).await;

    let responses = [starting, refused].map(|response| render(&response));
    insta::assert_snapshot!(responses.join("\n\n----\n\n"));
}

/// Quarantine that refuses every request for 30 s.
struct FixedQuarantine;

impl quarantine::QuarantinePolicy for FixedQuarantine {
    fn status(
        &mut self,
        now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
    ) -> quarantine::QuarantineStatus {
        quarantine::QuarantineStatus::Quarantined {
            until: now + Duration::from_secs(30),
        }
    }

    fn record_crash(
        &mut self,
        _now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
        _crash: ids::CrashId,
    ) {
    }

    fn record_completion(&mut self, _now: time::Timestamp, _fingerprint: work::RequestFingerprint) {
    }

    fn disprove_crash(&mut self, _crash: ids::CrashId) {}

    fn merge(&mut self, _now: time::Timestamp, _record: &quarantine::SuspectRecord) {}

    fn records(&self, _now: time::Timestamp) -> Vec<quarantine::SuspectRecord> {
        Vec::new()
    }

    fn records_after(
        &self,
        _now: time::Timestamp,
        _change_count: u64,
    ) -> (Vec<quarantine::SuspectRecord>, u64) {
        (Vec::new(), 0)
    }

    fn record(
        &self,
        _now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
    ) -> Option<quarantine::SuspectRecord> {
        None
    }

    fn boxed_clone(&self) -> Box<dyn quarantine::QuarantinePolicy> {
        Box::new(Self)
    }
}

/// Limit that refuses every call, with a retry after 2.5 s.
struct FixedLimit;

impl limit::LimitPolicy for FixedLimit {
    fn configure(
        &mut self,
        _organisation: &ids::OrganisationName,
        _limit: Option<limit::OrganisationLimit>,
    ) {
    }

    fn admit(
        &mut self,
        _now: time::Timestamp,
        _organisation: &ids::OrganisationName,
    ) -> limit::LimitDecision {
        limit::LimitDecision::Refuse {
            retry_after: Duration::from_millis(2_500),
        }
    }

    fn release(&mut self, _now: time::Timestamp, _organisation: &ids::OrganisationName) {}
}

fn options(script: agent::TargetScript) -> system::SystemOptions {
    system::SystemOptions {
        script,
        ..system::SystemOptions::default()
    }
}

fn booking() -> client::RequestText {
    client::RequestText::new("POST", "/v1/services/bookings/visits", system::EXAUSTAO_KEY)
        .header("content-type", "application/json")
        .body(BOOKING_BODY)
}

/// Renders a response for a snapshot, without the parts of idempotency keys that depend on time.
fn render(response: &client::ResponseText) -> String {
    let text = format!("{}\n\n{}", response.head, response.body);
    let lines: Vec<String> = text.lines().map(redact_key).collect();
    lines.join("\n")
}

/// Replaces the expiry in an idempotency key, and the signature, which covers the expiry.
fn redact_key(line: &str) -> String {
    let mut parts: Vec<&str> = line.split('~').collect();
    if parts.len() != 5 {
        return line.into();
    }
    let tail = parts[4].trim_start_matches(|character: char| character.is_ascii_hexdigit());
    parts[2] = "EXPIRY";
    let tag = format!("SIGNATURE{tail}");
    parts[4] = &tag;
    parts.join("~")
}
