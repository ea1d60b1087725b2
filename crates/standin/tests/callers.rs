//! Callers of a whole system, good and bad ones, over real sockets.

mod common;

use std::time::Duration;

use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::system;
use ntex::client;
use ntex::util::Bytes;

use common::system as local;

#[ntex::test]
async fn report_streams_each_token_once() {
    let system = local::start(2).await;
    let caller = local::caller(&system).await;

    let mut stream = local::open_stream(&caller, &local::report(500)).await;
    let mut reading = local::StreamReading::default();
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(500);
}

#[ntex::test]
async fn reports_side_by_side_keep_apart() {
    const CALLERS: u64 = 24;
    let system = local::start(2).await;
    let caller = local::caller(&system).await;
    local::open_stream(&caller, &local::report(1)).await;

    let mut tasks = Vec::new();
    for index in 0..CALLERS {
        let gateway = system.gateways[(index % 2) as usize].caller_address();
        let caller = caller.at(gateway);
        let tokens = 50 + index;
        tasks.push(ntex::rt::spawn(async move {
            let mut stream = local::open_stream(&caller, &local::report(tokens)).await;
            let mut reading = local::StreamReading::default();
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
async fn tag_whole_answer() {
    let system = local::start(1).await;
    let caller = local::caller(&system).await;
    local::open_stream(&caller, &local::report(1)).await;

    let call = caller::GenerationCall {
        stream: false,
        class: "tag".into(),
        ..local::report(12)
    };
    let answer = common::within("an answer", caller.generate(&call)).await;
    let answer = answer.unwrap();

    assert_eq!(answer.outcome, work::CallOutcome::Completed);
    assert_eq!(answer.total, 12);
    assert_eq!(
        answer.text.as_ref(),
        common::expected_text(answer.generation, 12)
    );
}

#[ntex::test]
async fn slow_caller_gets_all_and_holds_up_nobody() {
    let system = local::start(1).await;
    let caller = local::caller(&system).await;
    let mut slow = local::open_stream(&caller, &local::report(3_000)).await;
    let mut slow_reading = local::StreamReading::default();
    slow_reading.read(&mut slow, 1).await;

    // The slow caller reads nothing while the quick one reads all.
    let mut quick = local::open_stream(&caller, &local::report(400)).await;
    let mut quick_reading = local::StreamReading::default();
    quick_reading.read_to_end(&mut quick).await;
    quick_reading.assert_complete(400);

    slow_reading.read_to_end(&mut slow).await;
    slow_reading.assert_complete(3_000);
}

#[ntex::test]
async fn caller_leaving_midway_frees_engine() {
    // Slow enough that the stream does not end by itself in the grace time of its caller.
    let mut config = local::engine_config();
    config.profile.step_base = Duration::from_millis(50);
    let config = system::SystemConfig::with_engines(vec![config]);
    let system = system::LocalSystem::start(config).await.unwrap();
    let caller = local::caller(&system).await;
    let mut stream = local::open_stream(&caller, &local::report(4_000)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 3).await;

    drop(stream);

    let engine = &system.engines[0];
    common::wait_until("the engine is free", || engine.streams() == 0).await;
    assert_eq!(engine.counters().cancelled, 1);
}

#[yare::parameterized(
    no_json = { "{ \"model\": ", "invalid_request" },
    wrong_type = { "{\"model\": 7}", "invalid_request" },
    no_prompt = { "{\"model\": \"report\", \"prompt\": \"\"}", "invalid_request" },
    unknown_model = { "{\"model\": \"nobody\", \"prompt\": \"x\"}", "unknown_model" },
)]
#[test_macro(ntex::test)]
async fn body_malformed_refused(body: &'static str, code: &str) {
    let system = local::start(1).await;
    let caller = local::caller(&system).await;

    let request = caller.post("v1/generations");
    let problem = problem_of(request.send_body(body)).await;

    assert_eq!(problem.outcome, work::CallOutcome::NotRun);
    assert_eq!(problem.code.as_ref(), code);
    assert_eq!(system.engines[0].counters().started, 0);
}

#[ntex::test]
async fn body_of_100_megabytes_refused_and_harms_nobody() {
    const PART: usize = 64 * 1024;
    const PARTS: usize = 100 * 1024 * 1024 / PART;
    let system = local::start(1).await;
    let caller = local::caller(&system).await;
    let mut stream = local::open_stream(&caller, &local::report(800)).await;

    let parts = (0..PARTS).map(|_| Ok::<_, std::io::Error>(Bytes::from_static(&[b'x'; PART])));
    let request = caller.post("v1/generations");
    let answered = common::within(
        "an answer to the large body",
        request.send_stream(futures_util::stream::iter(parts)),
    )
    .await;
    // The gateway answers or closes the connection before it has read the body.
    if let Ok(response) = answered {
        assert_eq!(response.status().as_u16(), 413);
    }

    let mut reading = local::StreamReading::default();
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
async fn key_refused(key: &str) {
    let system = local::start(1).await;
    let address = system.gateways[0].caller_address();
    let caller = caller::CallerClient::new(address, key).await;

    let request = caller.post("v1/generations");
    let problem = problem_of(request.send_json(&local::report(5))).await;

    assert_eq!(problem.code.as_ref(), "unauthorized");
    assert_eq!(problem.outcome, work::CallOutcome::NotRun);
    assert_eq!(system.engines[0].counters().started, 0);
}

#[ntex::test]
async fn resume_of_other_organisation_refused() {
    let system = local::start(1).await;
    let caller = local::caller(&system).await;
    let mut stream = local::open_stream(&caller, &local::report(600)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 3).await;

    let address = system.gateways[1].caller_address();
    let stranger = caller::CallerClient::new(address, system::QURUM_KEY).await;
    let refused = common::within("an answer", stranger.resume(&reading.last_id)).await;

    let Err(caller::CallerError::Problem(problem)) = refused else {
        panic!("another organisation gets nothing of the stream");
    };
    assert_eq!(problem.code.as_ref(), "resume_expired");
    reading.read_to_end(&mut stream).await;
    reading.assert_complete(600);
}

#[ntex::test]
async fn resume_on_other_gateway_gets_rest() {
    let system = local::start(2).await;
    let caller = local::caller(&system).await;
    let mut stream = local::open_stream(&caller, &local::report(700)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 40).await;
    drop(stream);

    let other = caller.at(system.gateways[1].caller_address());
    let resumed = common::within("the rest", other.resume(&reading.last_id)).await;
    let mut rest = resumed.unwrap();
    reading.read_to_end(&mut rest).await;

    reading.assert_complete(700);
}

#[ntex::test]
async fn gateway_stop_finishes_streams() {
    let system = local::start(1).await;
    let caller = local::caller(&system).await;
    let mut stream = local::open_stream(&caller, &local::report(900)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 3).await;

    system.gateways[0].stop();
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(900);
    common::within("the gateway ends", system.gateways[0].wait()).await;
}

/// Waits for a response that must be a problem.
async fn problem_of(
    sending: impl Future<Output = Result<client::ClientResponse, client::error::ClientError>>,
) -> caller::ProblemBody {
    let response = common::within("an answer", sending).await.unwrap();
    match caller::check(response).await.err() {
        Some(caller::CallerError::Problem(problem)) => *problem,
        other => panic!("expected a problem, not {other:?}"),
    }
}
