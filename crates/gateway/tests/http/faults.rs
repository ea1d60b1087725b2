//! Callers that are slow, that leave, or that send what nobody should.

use std::time::Duration;

use crate::agent;
use crate::client;
use crate::events;
use crate::system;

const STREAM_BODY: &str = r#"{"model":"report","prompt":"Duct 7","stream":true}"#;
const WHOLE_BODY: &str = r#"{"model":"report","prompt":"Duct 7"}"#;

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
async fn malformed_body_harms_no_one(body: &str, status: &str) {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let refused = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, body))
        .await;
    let next = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, WHOLE_BODY))
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
async fn malformed_request_closes_its_connection_only(text: &str) {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let mut connection = system.connect().await;
    connection.send(text.as_bytes()).await;
    let refused = connection.read_answer().await;
    let next = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, WHOLE_BODY))
        .await;

    assert!(refused.status().is_empty() || refused.status().starts_with('4'));
    assert_eq!(next.json()["outcome"], "completed");
}

#[ntex::test]
async fn huge_body_refused_unread() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;
    let head = "POST /v1/generations HTTP/1.1\r\nhost: test\r\nauthorization: Bearer \
                key-of-exaustao\r\ncontent-length: 104857600\r\n\r\n";

    let mut connection = system.connect().await;
    connection.send(head.as_bytes()).await;
    let refused = connection.read_answer().await;

    assert_eq!(refused.status(), "413");
    assert_eq!(refused.json()["code"], "body_too_large");
}

#[ntex::test]
async fn huge_chunked_body_refused() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;
    let head = "POST /v1/generations HTTP/1.1\r\nhost: test\r\nauthorization: Bearer \
                key-of-exaustao\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));

    let mut connection = system.connect().await;
    connection.send(head.as_bytes()).await;
    for _ in 0..32 {
        connection.send(chunk.as_bytes()).await;
    }
    let refused = connection.read_answer().await;

    assert_eq!(refused.status(), "413", "{refused:?}");
}

#[ntex::test]
async fn leaving_caller_cancels_unreleased_work() {
    let script = agent::TargetScript::Hang(Vec::new());
    let system = system::TestSystem::start(options(script)).await;

    let mut connection = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, WHOLE_BODY);
    connection.send(&request.bytes()).await;
    wait_for(|| system.engine.borrow().started.len() == 1).await;
    drop(connection);
    wait_for(|| system.engine.borrow().cancelled.len() == 1).await;

    let engine = system.engine.borrow();
    assert_eq!(engine.cancelled, engine.started);
}

#[ntex::test]
async fn slow_caller_gets_every_token_in_order() {
    let tokens = vec!["0123456789abcdef"; 40_000];
    let system = system::TestSystem::start(options(agent::TargetScript::Generate(tokens))).await;

    let mut connection = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    connection.send(&request.bytes()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = connection.read_answer().await;

    let stream = events::StreamText::parse(&answer.body);
    assert_eq!(stream.tokens.len(), 40_000);
    assert_eq!(stream.end.unwrap().1["total"], 40_000);
}

#[ntex::test]
async fn caller_that_reads_nothing_is_cut_off_alone() {
    let mut options = options(agent::TargetScript::Flood);
    options.limits.write_timeout = Duration::from_millis(500);
    let system = system::TestSystem::start(options).await;

    let mut stuck = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    stuck.send(&request.bytes()).await;
    wait_for(|| system.gateway.context().open_calls() == 1).await;
    wait_for(|| system.gateway.context().open_calls() == 0).await;

    let answer = stuck.read_answer().await;
    assert!(
        events::StreamText::parse_whole_events(&answer.body)
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
async fn caller_that_never_reads_the_end_is_cut_off() {
    // All tokens and the end fit into one window, and not into the buffers of a socket.
    let token: &str = "0123456789abcdef".repeat(1_024).leak();
    let mut options = options(agent::TargetScript::Generate(vec![token; 1_000]));
    options.limits.write_timeout = Duration::from_millis(500);
    let system = system::TestSystem::start(options).await;

    let mut stuck = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, STREAM_BODY);
    stuck.send(&request.bytes()).await;
    wait_for(|| system.gateway.context().open_calls() == 1).await;
    wait_for(|| system.gateway.context().open_calls() == 0).await;

    let answer = stuck.read_answer().await;
    let stream = events::StreamText::parse_whole_events(&answer.body);
    assert!(stream.end.is_none());
}

#[ntex::test]
async fn calls_beyond_the_limit_are_told_when_to_come_back() {
    let mut options = options(agent::TargetScript::Hang(Vec::new()));
    options.limits.concurrent_calls = 1;
    let system = system::TestSystem::start(options).await;

    let mut connection = system.connect().await;
    let request = system::generation(system::EXAUSTAO_KEY, WHOLE_BODY);
    connection.send(&request.bytes()).await;
    wait_for(|| system.gateway.context().open_calls() == 1).await;
    let refused = system.exchange(&request).await;

    assert_eq!(refused.status(), "503");
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(refused.json()["code"], "gateway_busy");
    assert_eq!(refused.json()["outcome"], "not_run");
}

#[ntex::test]
async fn request_that_crashes_every_target_ends_without_answer() {
    let system = system::TestSystem::start(options(agent::TargetScript::Crash)).await;

    let answer = system
        .exchange(&system::generation(system::EXAUSTAO_KEY, WHOLE_BODY))
        .await;

    assert_eq!(answer.json()["outcome"], "unknown");
    assert_eq!(answer.json()["code"], "target_lost");
}

#[ntex::test]
async fn body_that_never_ends_refused() {
    let mut options = system::SystemOptions::default();
    options.limits.body_timeout = Duration::from_millis(100);
    let system = system::TestSystem::start(options).await;
    let head = "POST /v1/generations HTTP/1.1\r\nhost: test\r\nauthorization: Bearer \
                key-of-exaustao\r\ncontent-length: 100\r\n\r\n{";

    let mut connection = system.connect().await;
    connection.send(head.as_bytes()).await;
    let refused = connection.read_answer().await;

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
async fn wrong_endpoint_refused(method: &'static str, path: &str, status: &str) {
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
    let answer = connection.read_answer().await;

    let stream = events::StreamText::parse(&answer.body);
    assert_eq!(stream.tokens, ["weld ", "seam"]);
}

#[ntex::test]
async fn idle_connection_of_stopping_gateway_told_to_close() {
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
    let first = idle.read_answer().await;
    idle.clear();
    system.gateway.stop();
    idle.send(&booking.bytes()).await;
    let second = idle.read_answer().await;

    assert_eq!(first.header("connection"), None);
    assert_eq!(second.header("connection"), Some("close"));
    assert_eq!(second.json()["code"], "gateway_stopping");
    system.engine.borrow_mut().finish(1, &["seam"]);
    system.gateway.wait().await;
}

#[ntex::test]
async fn callers_that_come_together_get_their_own_answers() {
    let script = agent::TargetScript::Echo;
    let system = system::TestSystem::start(options(script)).await;
    let booking = |number: usize| {
        let path = "/v1/services/bookings/lookups";
        client::RequestText::new("POST", path, system::EXAUSTAO_KEY).body(&number.to_string())
    };

    let requests: Vec<client::RequestText> = (0..200).map(booking).collect();
    let answers = requests.iter().map(|request| system.exchange(request));
    let answers = futures_util::future::join_all(answers).await;

    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.body, number.to_string());
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
