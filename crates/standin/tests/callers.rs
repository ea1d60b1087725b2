//! Well-behaved and faulty callers of a complete system, over real sockets.

mod common;

use std::time::Duration;

use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::system;
use ntex::client;
use ntex::util::Bytes;

use common::harness;

#[ntex::test]
async fn report_streams_each_token_once() {
    let system = harness::start_system(2).await;
    let caller = harness::caller_client(&system).await;

    let mut stream = harness::open_stream(&caller, &harness::report_call(500)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(500);
}

#[ntex::test]
async fn concurrent_reports_are_separate_generations() {
    const CALLERS: u64 = 24;
    let system = harness::start_system(2).await;
    let caller = harness::caller_client(&system).await;
    harness::open_stream(&caller, &harness::report_call(1)).await;

    let mut tasks = Vec::new();
    for index in 0..CALLERS {
        let gateway = system.gateways[(index % 2) as usize].caller_address();
        let caller = caller.at_gateway(gateway);
        let tokens = 50 + index;
        tasks.push(ntex::rt::spawn(async move {
            let mut stream = harness::open_stream(&caller, &harness::report_call(tokens)).await;
            let mut reading = harness::StreamReading::default();
            reading.read_to_end(&mut stream).await;
            reading.assert_complete(tokens);
            reading.generation()
        }));
    }

    let mut generations = std::collections::BTreeSet::new();
    for task in tasks {
        generations.insert(task.await.unwrap());
    }
    assert_eq!(generations.len() as u64, CALLERS);
}

#[ntex::test]
async fn tag_buffered_response_is_complete() {
    let system = harness::start_system(1).await;
    let caller = harness::caller_client(&system).await;
    harness::open_stream(&caller, &harness::report_call(1)).await;

    let call = caller::GenerationCall {
        stream: false,
        class: "tag".into(),
        ..harness::report_call(12)
    };
    let response = common::with_timeout("a response", caller.generate(&call)).await;
    let response = response.unwrap();

    assert_eq!(response.outcome, work::CallOutcome::Completed);
    assert_eq!(response.total, 12);
    assert_eq!(
        response.text.as_ref(),
        common::expected_text(response.generation, 12)
    );
}

#[ntex::test]
async fn slow_caller_receives_all_tokens_and_delays_no_other() {
    let system = harness::start_system(1).await;
    let caller = harness::caller_client(&system).await;
    let mut slow = harness::open_stream(&caller, &harness::report_call(3_000)).await;
    let mut slow_reading = harness::StreamReading::default();
    slow_reading.read_tokens(&mut slow, 1).await;

    // The slow caller reads nothing while the fast one reads its complete stream.
    let mut fast = harness::open_stream(&caller, &harness::report_call(400)).await;
    let mut fast_reading = harness::StreamReading::default();
    fast_reading.read_to_end(&mut fast).await;
    fast_reading.assert_complete(400);

    slow_reading.read_to_end(&mut slow).await;
    slow_reading.assert_complete(3_000);
}

#[ntex::test]
async fn caller_disconnected_midway_frees_engine() {
    // Slow enough that the stream does not end by itself within the grace period of its caller.
    let mut config = harness::engine_config();
    config.profile.step_base = Duration::from_millis(50);
    let config = system::SystemConfig::with_engines(vec![config]);
    let system = system::LocalSystem::start(config).await.unwrap();
    let caller = harness::caller_client(&system).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(4_000)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 3).await;

    drop(stream);

    let engine = &system.engines[0];
    common::wait_until("the engine is free", || engine.stream_count() == 0).await;
    assert_eq!(engine.counters().cancelled, 1);
}

#[yare::parameterized(
    invalid_json = { "{ \"model\": ", "invalid_request" },
    wrong_type = { "{\"model\": 7}", "invalid_request" },
    no_prompt = { "{\"model\": \"report\", \"prompt\": \"\"}", "invalid_request" },
    unknown_model = { "{\"model\": \"nobody\", \"prompt\": \"x\"}", "unknown_model" },
)]
#[test_macro(ntex::test)]
async fn body_malformed_refused(body: &'static str, code: &str) {
    let system = harness::start_system(1).await;
    let caller = harness::caller_client(&system).await;

    let request = caller.post("v1/generations");
    let problem = receive_problem(request.send_body(body)).await;

    assert_eq!(problem.outcome, work::CallOutcome::NotRun);
    assert_eq!(problem.code.as_ref(), code);
    assert_eq!(system.engines[0].counters().started, 0);
}

#[ntex::test]
async fn body_of_100_megabytes_refused_while_stream_completes() {
    const CHUNK_BYTES: usize = 64 * 1024;
    const CHUNK_COUNT: usize = 100 * 1024 * 1024 / CHUNK_BYTES;
    let system = harness::start_system(1).await;
    let caller = harness::caller_client(&system).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(800)).await;

    let chunks =
        (0..CHUNK_COUNT).map(|_| Ok::<_, std::io::Error>(Bytes::from_static(&[b'x'; CHUNK_BYTES])));
    let request = caller.post("v1/generations");
    let result = common::with_timeout(
        "a response to the large body",
        request.send_stream(futures_util::stream::iter(chunks)),
    )
    .await;
    // The gateway responds, or closes the connection, before it has read the body.
    if let Ok(response) = result {
        assert_eq!(response.status().as_u16(), 413);
    }

    let mut reading = harness::StreamReading::default();
    reading.read_to_end(&mut stream).await;
    reading.assert_complete(800);
    assert_eq!(system.engines[0].counters().started, 1);
}

#[yare::parameterized(
    none = { "" },
    wrong = { "no-such-key" },
    hash_of_key = { "0000000000000000000000000000000000000000000000000000000000000000" },
)]
#[test_macro(ntex::test)]
async fn invalid_key_refused(key: &str) {
    let system = harness::start_system(1).await;
    let address = system.gateways[0].caller_address();
    let caller = caller::CallerClient::new(address, key).await;

    let request = caller.post("v1/generations");
    let problem = receive_problem(request.send_json(&harness::report_call(5))).await;

    assert_eq!(problem.code.as_ref(), "unauthorized");
    assert_eq!(problem.outcome, work::CallOutcome::NotRun);
    assert_eq!(system.engines[0].counters().started, 0);
}

#[ntex::test]
async fn resume_by_other_organisation_refused() {
    let system = harness::start_system(1).await;
    let caller = harness::caller_client(&system).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(600)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 3).await;

    let address = system.gateways[1].caller_address();
    let other_organisation = caller::CallerClient::new(address, system::QURUM_KEY).await;
    let refused =
        common::with_timeout("a response", other_organisation.resume(&reading.last_id)).await;

    let Err(caller::CallerError::Problem(problem)) = refused else {
        panic!("a resumption by another organisation must be refused");
    };
    assert_eq!(problem.code.as_ref(), "resume_expired");
    reading.read_to_end(&mut stream).await;
    reading.assert_complete(600);
}

#[ntex::test]
async fn resume_at_other_gateway_delivers_rest() {
    let system = harness::start_system(2).await;
    let caller = harness::caller_client(&system).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(700)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 40).await;
    drop(stream);

    let other = caller.at_gateway(system.gateways[1].caller_address());
    let resumed =
        common::with_timeout("the rest of the stream", other.resume(&reading.last_id)).await;
    let mut rest = resumed.unwrap();
    reading.read_to_end(&mut rest).await;

    reading.assert_complete(700);
}

#[ntex::test]
async fn gateway_stop_finishes_running_stream() {
    let system = harness::start_system(1).await;
    let caller = harness::caller_client(&system).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(900)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 3).await;

    system.gateways[0].stop();
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(900);
    common::with_timeout("the end of the gateway", system.gateways[0].wait()).await;
}

/// Waits for the response, and returns the problem that it must be.
async fn receive_problem(
    sending: impl Future<Output = Result<client::ClientResponse, client::error::ClientError>>,
) -> caller::ProblemBody {
    let response = common::with_timeout("a response", sending).await.unwrap();
    match caller::check_response(response).await.err() {
        Some(caller::CallerError::Problem(problem)) => *problem,
        other => panic!("expected a problem, not {other:?}"),
    }
}
