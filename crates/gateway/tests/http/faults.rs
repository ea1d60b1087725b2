//! Tests with faulty callers: slow, disconnecting, or sending malformed or oversized requests.

use std::time::Duration;

use crate::agent;
use crate::client;
use crate::events;
use crate::system;

const STREAM_BODY: &str = r#"{"model":"report","prompt":"Duct 7","stream":true}"#;
const BUFFERED_BODY: &str = r#"{"model":"report","prompt":"Duct 7"}"#;

#[yare::parameterized(
    no_json = { r#"{"model": "#, "400" },
    not_an_object = { "[]", "400" },
    unknown_field = { r#"{"model":"report","prompt":"x","temperature":1}"#, "400" },
    wrong_type = { r#"{"model":"report","prompt":7}"#, "400" },
    bad_name = { r#"{"model":"../report","prompt":"x"}"#, "400" },
    unknown_model = { r#"{"model":"poems","prompt":"x"}"#, "404" },
    too_many_tokens = { r#"{"model":"report","prompt":"x","max_tokens":201}"#, "400" },
    deep_nesting = { &"[".repeat(100_000), "400" },
)]
#[test_macro(ntex::test)]
async fn malformed_body_refused_and_next_call_completes(body: &str, status: &str) {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let refused = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, body))
        .await;
    let next = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY))
        .await;

    assert_eq!(refused.status(), status, "{refused:?}");
    assert_eq!(refused.json()["outcome"], "not_run");
    assert_eq!(next.json()["outcome"], "completed");
}

#[yare::parameterized(
    no_request = { "nonsense\r\n\r\n" },
    bad_length = { "POST /v1/generations HTTP/1.1\r\ncontent-length: x\r\n\r\n" },
    two_lengths = {
        "POST /v1/generations HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
    },
)]
#[test_macro(ntex::test)]
async fn malformed_request_closes_only_its_connection(text: &str) {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let mut connection = system.connect().await;
    connection.send(text.as_bytes()).await;
    let refused = connection.read_response().await;
    let next = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY))
        .await;

    assert!(refused.status().is_empty() || refused.status().starts_with('4'));
    assert_eq!(next.json()["outcome"], "completed");
}

#[ntex::test]
async fn oversized_body_refused_before_it_is_read() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;
    let head = "POST /v1/generations HTTP/1.1\r\nhost: test\r\nauthorization: Bearer \
                key-of-exaustao\r\ncontent-length: 104857600\r\n\r\n";

    let mut connection = system.connect().await;
    connection.send(head.as_bytes()).await;
    let refused = connection.read_response().await;

    assert_eq!(refused.status(), "413");
    assert_eq!(refused.json()["code"], "body_too_large");
}

#[ntex::test]
async fn oversized_chunked_body_refused() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;
    let head = "POST /v1/generations HTTP/1.1\r\nhost: test\r\nauthorization: Bearer \
                key-of-exaustao\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));

    let mut connection = system.connect().await;
    connection.send(head.as_bytes()).await;
    for _ in 0..32 {
        connection.send(chunk.as_bytes()).await;
    }
    let refused = connection.read_response().await;

    assert_eq!(refused.status(), "413", "{refused:?}");
}

#[ntex::test]
async fn caller_disconnect_cancels_buffered_generation() {
    let script = agent::TargetScript::Hang(Vec::new());
    let system = system::TestSystem::start(options(script)).await;

    let mut connection = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY);
    connection.send(&request.bytes()).await;
    wait_for(|| system.engine.borrow().started.len() == 1).await;
    drop(connection);
    wait_for(|| system.engine.borrow().cancelled.len() == 1).await;

    let engine = system.engine.borrow();
    assert_eq!(engine.cancelled, engine.started);
}

#[ntex::test]
async fn slow_caller_receives_every_token_in_order() {
    let tokens = vec!["0123456789abcdef"; 40_000];
    let system = system::TestSystem::start(options(agent::TargetScript::Generate(tokens))).await;

    let mut connection = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    connection.send(&request.bytes()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = connection.read_response().await;

    let stream = events::StreamText::parse(&response.body);
    assert_eq!(stream.tokens.len(), 40_000);
    assert_eq!(stream.end.unwrap().1["total"], 40_000);
}

#[ntex::test]
async fn only_caller_that_reads_nothing_is_disconnected() {
    let mut options = options(agent::TargetScript::Flood);
    options.limits.write_timeout = Duration::from_millis(500);
    let system = system::TestSystem::start(options).await;

    let mut stalled = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    stalled.send(&request.bytes()).await;
    wait_for(|| system.gateway.context().open_calls() == 1).await;
    wait_for(|| system.gateway.context().open_calls() == 0).await;

    let response = stalled.read_response().await;
    assert!(
        events::StreamText::parse_complete_events(&response.body)
            .end
            .is_none()
    );
    let booking = client::RequestText::new(
        "POST",
        "/v1/services/bookings/lookups",
        system::EXAUSTAO_KEY,
    );
    let next = system.exchange(&booking.body("7")).await;
    assert_eq!(next.body, "7");
}

#[ntex::test]
async fn caller_that_never_reads_the_end_is_disconnected() {
    // All tokens and the end fit into the stream's window, but not into the socket buffers.
    let token: &str = "0123456789abcdef".repeat(1_024).leak();
    let mut options = options(agent::TargetScript::Generate(vec![token; 1_000]));
    options.limits.write_timeout = Duration::from_millis(500);
    let system = system::TestSystem::start(options).await;

    let mut stalled = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    stalled.send(&request.bytes()).await;
    wait_for(|| system.gateway.context().open_calls() == 1).await;
    wait_for(|| system.gateway.context().open_calls() == 0).await;

    let response = stalled.read_response().await;
    let stream = events::StreamText::parse_complete_events(&response.body);
    assert!(stream.end.is_none());
}

#[ntex::test]
async fn call_over_concurrency_limit_refused_with_retry_after() {
    let mut options = options(agent::TargetScript::Hang(Vec::new()));
    options.limits.concurrent_calls = 1;
    let system = system::TestSystem::start(options).await;

    let mut connection = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY);
    connection.send(&request.bytes()).await;
    wait_for(|| system.gateway.context().open_calls() == 1).await;
    let refused = system.exchange(&request).await;

    assert_eq!(refused.status(), "503");
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(refused.json()["code"], "gateway_busy");
    assert_eq!(refused.json()["outcome"], "not_run");
}

#[ntex::test]
async fn request_that_crashes_every_target_reports_target_lost() {
    let system = system::TestSystem::start(options(agent::TargetScript::Crash)).await;

    let response = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY))
        .await;

    assert_eq!(response.json()["outcome"], "unknown");
    assert_eq!(response.json()["code"], "target_lost");
}

#[ntex::test]
async fn incomplete_body_refused_after_timeout() {
    let mut options = system::SystemOptions::default();
    options.limits.body_timeout = Duration::from_millis(100);
    let system = system::TestSystem::start(options).await;
    let head = "POST /v1/generations HTTP/1.1\r\nhost: test\r\nauthorization: Bearer \
                key-of-exaustao\r\ncontent-length: 100\r\n\r\n{";

    let mut connection = system.connect().await;
    connection.send(head.as_bytes()).await;
    let refused = connection.read_response().await;

    assert_eq!(refused.status(), "408");
    assert_eq!(refused.json()["code"], "body_timeout");
    assert_eq!(refused.json()["outcome"], "not_run");
}

#[yare::parameterized(
    delete_generation = { "DELETE", "/v1/generations", "405" },
    get_key = { "GET", "/v1/idempotency-keys", "405" },
    get_service = { "GET", "/v1/services/bookings/lookups", "405" },
    unknown = { "GET", "/v1/generation", "404" },
    root = { "GET", "/", "404" },
    service_without_path = { "POST", "/v1/services/bookings", "404" },
    service_with_parent = { "POST", "/v1/services/bookings/lookups/../visits", "400" },
    service_with_escape = { "POST", "/v1/services/bookings/lookups/%2e%2e/visits", "400" },
    service_with_query = { "POST", "/v1/services/bookings/lookups?then=visits", "400" },
    resume_without_id = { "GET", "/v1/generations", "400" },
)]
#[test_macro(ntex::test)]
async fn wrong_method_or_path_refused(method: &'static str, path: &str, status: &str) {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let request = client::RequestText::new(method, path, system::EXAUSTAO_KEY);
    let refused = system.exchange(&request).await;

    assert_eq!(refused.status(), status, "{refused:?}");
    assert_eq!(
        refused.header("content-type"),
        Some("application/problem+json")
    );
    assert!(system.bookings.borrow().started.is_empty());
}

#[ntex::test]
async fn silent_stream_kept_alive_by_comments() {
    let mut options = options(agent::TargetScript::Hang(vec!["weld "]));
    options.limits.stream_comment_interval = Duration::from_millis(20);
    let system = system::TestSystem::start(options).await;

    let mut connection = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    connection.send(&request.bytes()).await;
    connection.read_until(": waiting").await;
    system.engine.borrow_mut().finish(1, &["seam"]);
    let response = connection.read_response().await;

    let stream = events::StreamText::parse(&response.body);
    assert_eq!(stream.tokens, ["weld ", "seam"]);
}

#[ntex::test]
async fn stopping_gateway_closes_idle_connection_after_response() {
    let script = agent::TargetScript::Hang(vec!["weld "]);
    let system = system::TestSystem::start(options(script)).await;
    let booking = client::RequestText::new(
        "POST",
        "/v1/services/bookings/lookups",
        system::EXAUSTAO_KEY,
    )
    .body("7");

    let mut streaming = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    streaming.send(&request.bytes()).await;
    streaming.read_until("weld ").await;
    let mut idle = system.connect().await;
    idle.send(&booking.bytes()).await;
    let first = idle.read_response().await;
    idle.clear();
    system.gateway.stop();
    idle.send(&booking.bytes()).await;
    let second = idle.read_response().await;

    assert_eq!(first.header("connection"), None);
    assert_eq!(second.header("connection"), Some("close"));
    assert_eq!(second.json()["code"], "gateway_stopping");
    system.engine.borrow_mut().finish(1, &["seam"]);
    system.gateway.wait().await;
}

#[ntex::test]
async fn concurrent_callers_receive_their_own_responses() {
    let script = agent::TargetScript::Echo;
    let system = system::TestSystem::start(options(script)).await;
    let booking = |number: usize| {
        let path = "/v1/services/bookings/lookups";
        client::RequestText::new("POST", path, system::EXAUSTAO_KEY).body(&number.to_string())
    };

    let requests: Vec<client::RequestText> = (0..200).map(booking).collect();
    let responses = requests.iter().map(|request| system.exchange(request));
    let responses = futures_util::future::join_all(responses).await;

    for (number, response) in responses.iter().enumerate() {
        assert_eq!(response.body, number.to_string());
    }
}

fn options(script: agent::TargetScript) -> system::SystemOptions {
    system::SystemOptions {
        script,
        ..system::SystemOptions::default()
    }
}

async fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
