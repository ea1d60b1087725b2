//! Faults of the parts of a complete system and of the links between them, over real sockets.

mod common;

use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::proxy;
use kingcupfall_standin::system;

use common::harness;

#[ntex::test]
async fn silent_link_replaced_without_lost_or_duplicate_tokens() {
    let proxied = ProxiedSystem::start(1).await;
    let gateway = proxied.system.gateways[0].caller_address();
    let caller = caller::CallerClient::new(gateway, system::EXAUSTAO_KEY).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(3_000)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 20).await;

    proxied.proxies[0].silence_connections();
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(3_000);
    assert_eq!(proxied.proxies[0].connection_count(), 2);
    assert_eq!(proxied.system.engines[0].counters().started, 1);
}

#[ntex::test]
async fn links_closed_repeatedly_stream_completes() {
    let proxied = ProxiedSystem::start(1).await;
    let gateway = proxied.system.gateways[0].caller_address();
    let caller = caller::CallerClient::new(gateway, system::EXAUSTAO_KEY).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(2_000)).await;
    let mut reading = harness::StreamReading::default();

    for token_count in [50, 100, 150, 200, 250] {
        reading.read_tokens(&mut stream, token_count).await;
        proxied.proxies[0].close_connections();
    }
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(2_000);
    assert_eq!(proxied.system.engines[0].counters().started, 1);
}

#[ntex::test]
async fn gateway_killed_stream_resumes_at_other_gateway() {
    let system = harness::start_system(2).await;
    let gateway = system.spawn_gateway().await.unwrap();
    let caller = caller::CallerClient::new(gateway.addresses.callers, system::EXAUSTAO_KEY).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(1_500)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 30).await;

    gateway.kill().await;
    reading.read_to_end(&mut stream).await;
    assert_eq!(reading.end, Some(harness::StreamEnd::Broken));

    reading.end = None;
    let other = caller.at_gateway(system.gateways[0].caller_address());
    let resumed =
        common::with_timeout("the rest of the stream", other.resume(&reading.last_id)).await;
    reading.read_to_end(&mut resumed.unwrap()).await;

    reading.assert_complete(1_500);
    let started: u64 = system
        .engines
        .iter()
        .map(|engine| engine.counters().started)
        .sum();
    assert_eq!(started, 1);
}

#[ntex::test]
async fn engine_killed_after_first_token_stream_ends_as_unknown() {
    let system = harness::start_system(2).await;
    let caller = harness::caller_client(&system).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(4_000)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 5).await;

    let index = engine_with_stream(&system);
    system.engines[index].kill().await;
    reading.read_to_end(&mut stream).await;

    let Some(harness::StreamEnd::Problem(problem)) = &reading.end else {
        panic!(
            "a lost generation must end with a problem, not {:?}",
            reading.end
        );
    };
    assert_eq!(problem.code.as_ref(), "target_lost");
    assert_eq!(problem.outcome, work::CallOutcome::Unknown);
    assert_eq!(
        reading.text,
        common::expected_text(reading.generation(), reading.count)
    );
}

#[ntex::test]
async fn engine_killed_before_first_token_restarts_elsewhere() {
    // The prefill takes so long that the first engine is killed before its first token.
    let mut slow = harness::engine_config();
    slow.profile.prefill_tokens_per_s = 1.0;
    let config = system::SystemConfig::with_engines(vec![slow.clone(), slow]);
    let system = system::LocalSystem::start(config).await.unwrap();
    let caller = harness::caller_client(&system).await;
    let opening = ntex::rt::spawn(async move {
        let mut stream = harness::open_stream(&caller, &harness::report_call(40)).await;
        let mut reading = harness::StreamReading::default();
        reading.read_to_end(&mut stream).await;
        reading
    });
    common::wait_until("an engine has the stream", || {
        system
            .engines
            .iter()
            .any(|engine| engine.stream_count() == 1)
    })
    .await;

    system.engines[engine_with_stream(&system)].kill().await;

    let reading = common::with_timeout("the response", opening).await.unwrap();
    reading.assert_complete(40);
}

#[ntex::test]
async fn agent_stop_finishes_running_stream() {
    let mut system = harness::start_system(2).await;
    let caller = harness::caller_client(&system).await;
    let mut stream = harness::open_stream(&caller, &harness::report_call(1_200)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_tokens(&mut stream, 5).await;
    let index = engine_with_stream(&system);

    let agent = system.agents.remove(index);
    agent.handle.stop().await;
    // New work goes to the other engine while the stream continues.
    let mut second = harness::open_stream(&caller, &harness::report_call(30)).await;
    let mut second_reading = harness::StreamReading::default();
    second_reading.read_to_end(&mut second).await;
    second_reading.assert_complete(30);
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(1_200);
    assert_eq!(system.engines[index].counters().started, 1);
    common::with_timeout("the end of the agent", agent.task)
        .await
        .unwrap();
}

#[ntex::test]
async fn crashing_request_does_not_reach_all_engines() {
    let system = harness::start_system(3).await;
    let caller = harness::caller_client(&system).await;
    harness::open_stream(&caller, &harness::report_call(1)).await;
    let crashing_call = caller::GenerationCall {
        prompt: harness::CRASH_PROMPT.into(),
        ..harness::report_call(10)
    };

    let result = common::with_timeout("a response", caller.stream(&crashing_call)).await;

    assert!(result.is_err());
    let alive_engines = system
        .engines
        .iter()
        .filter(|engine| engine.is_alive())
        .count();
    assert!(
        alive_engines >= 1,
        "a crashing request must not reach all engines"
    );
    let mut stream = harness::open_stream(&caller, &harness::report_call(20)).await;
    let mut reading = harness::StreamReading::default();
    reading.read_to_end(&mut stream).await;
    reading.assert_complete(20);
}

/// A system whose gateway reaches each agent through a TCP proxy.
struct ProxiedSystem {
    system: system::LocalSystem,
    proxies: Vec<proxy::TcpProxy>,
}

impl ProxiedSystem {
    async fn start(engines: usize) -> Self {
        let configs = (0..engines).map(|_| harness::engine_config()).collect();
        let mut config = system::SystemConfig::with_engines(configs);
        config.gateways = 0;
        let mut system = system::LocalSystem::start(config).await.unwrap();

        let mut proxies = Vec::new();
        for agent in &mut system.agents {
            let proxy = proxy::TcpProxy::start(agent.handle.link_address())
                .await
                .unwrap();
            agent.advertised_address = proxy.address();
            proxies.push(proxy);
        }
        system.publish_document();
        system.add_gateway().unwrap();
        Self { system, proxies }
    }
}

/// Returns the index of the engine that has a stream.
fn engine_with_stream(system: &system::LocalSystem) -> usize {
    system
        .engines
        .iter()
        .position(|engine| engine.stream_count() > 0)
        .expect("an engine has the stream")
}
