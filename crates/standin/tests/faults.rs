//! Faults between and in the parts of a whole system, over real sockets.

mod common;

use kingcupfall_core::work;
use kingcupfall_standin::caller;
use kingcupfall_standin::relay;
use kingcupfall_standin::system;

use common::system as local;

#[ntex::test]
async fn silent_link_replaced_with_nothing_lost_or_doubled() {
    let relayed = RelayedSystem::start(1).await;
    let gateway = relayed.system.gateways[0].caller_address();
    let caller = caller::CallerClient::new(gateway, system::EXAUSTAO_KEY).await;
    let mut stream = local::open_stream(&caller, &local::report(3_000)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 20).await;

    relayed.relays[0].silence();
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(3_000);
    assert_eq!(relayed.relays[0].connections(), 2);
    assert_eq!(relayed.system.engines[0].counters().started, 1);
}

#[ntex::test]
async fn cut_links_resumed_again_and_again() {
    let relayed = RelayedSystem::start(1).await;
    let gateway = relayed.system.gateways[0].caller_address();
    let caller = caller::CallerClient::new(gateway, system::EXAUSTAO_KEY).await;
    let mut stream = local::open_stream(&caller, &local::report(2_000)).await;
    let mut reading = local::StreamReading::default();

    for goal in [50, 100, 150, 200, 250] {
        reading.read(&mut stream, goal).await;
        relayed.relays[0].cut();
    }
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(2_000);
    assert_eq!(relayed.system.engines[0].counters().started, 1);
}

#[ntex::test]
async fn gateway_death_resumed_elsewhere() {
    let system = local::start(2).await;
    let gateway = system.spawn_gateway().await.unwrap();
    let caller = caller::CallerClient::new(gateway.addresses.callers, system::EXAUSTAO_KEY).await;
    let mut stream = local::open_stream(&caller, &local::report(1_500)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 30).await;

    gateway.kill().await;
    reading.read_to_end(&mut stream).await;
    assert_eq!(reading.end, Some(local::StreamEnd::Broken));

    reading.end = None;
    let other = caller.at(system.gateways[0].caller_address());
    let resumed = common::within("the rest", other.resume(&reading.last_id)).await;
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
async fn engine_death_after_first_token_ends_stream_as_unknown() {
    let system = local::start(2).await;
    let caller = local::caller(&system).await;
    let mut stream = local::open_stream(&caller, &local::report(4_000)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 5).await;

    let index = running_engine(&system);
    system.engines[index].kill().await;
    reading.read_to_end(&mut stream).await;

    let Some(local::StreamEnd::Problem(problem)) = &reading.end else {
        panic!(
            "a lost generation ends with a problem, not {:?}",
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
async fn engine_death_before_first_token_starts_elsewhere() {
    // A prompt takes so long that the first engine dies before its first token.
    let mut slow = local::engine_config();
    slow.profile.prefill_tokens_per_s = 1.0;
    let config = system::SystemConfig::with_engines(vec![slow.clone(), slow]);
    let system = system::LocalSystem::start(config).await.unwrap();
    let caller = local::caller(&system).await;
    let opening = ntex::rt::spawn(async move {
        let mut stream = local::open_stream(&caller, &local::report(40)).await;
        let mut reading = local::StreamReading::default();
        reading.read_to_end(&mut stream).await;
        reading
    });
    common::wait_until("an engine has the stream", || {
        system.engines.iter().any(|engine| engine.streams() == 1)
    })
    .await;

    system.engines[running_engine(&system)].kill().await;

    let reading = common::within("the answer", opening).await.unwrap();
    reading.assert_complete(40);
}

#[ntex::test]
async fn agent_stop_cuts_no_stream() {
    let mut system = local::start(2).await;
    let caller = local::caller(&system).await;
    let mut stream = local::open_stream(&caller, &local::report(1_200)).await;
    let mut reading = local::StreamReading::default();
    reading.read(&mut stream, 5).await;
    let index = running_engine(&system);

    let agent = system.agents.remove(index);
    agent.handle.stop().await;
    // New work goes to the other engine while the stream goes on.
    let mut second = local::open_stream(&caller, &local::report(30)).await;
    let mut second_reading = local::StreamReading::default();
    second_reading.read_to_end(&mut second).await;
    second_reading.assert_complete(30);
    reading.read_to_end(&mut stream).await;

    reading.assert_complete(1_200);
    assert_eq!(system.engines[index].counters().started, 1);
    common::within("the agent ends", agent.ended).await.unwrap();
}

#[ntex::test]
async fn fatal_request_leaves_other_engines_alive() {
    let system = local::start(3).await;
    let caller = local::caller(&system).await;
    local::open_stream(&caller, &local::report(1)).await;
    let fatal = caller::GenerationCall {
        prompt: local::FATAL_PROMPT.into(),
        ..local::report(10)
    };

    let answer = common::within("an answer", caller.stream(&fatal)).await;

    assert!(answer.is_err());
    let alive = system
        .engines
        .iter()
        .filter(|engine| engine.is_alive())
        .count();
    assert!(alive >= 1, "a fatal request must not reach every engine");
    let mut stream = local::open_stream(&caller, &local::report(20)).await;
    let mut reading = local::StreamReading::default();
    reading.read_to_end(&mut stream).await;
    reading.assert_complete(20);
}

/// A system whose gateway reaches each agent through a relay.
struct RelayedSystem {
    system: system::LocalSystem,
    relays: Vec<relay::TcpRelay>,
}

impl RelayedSystem {
    async fn start(engines: usize) -> Self {
        let configs = (0..engines).map(|_| local::engine_config()).collect();
        let mut config = system::SystemConfig::with_engines(configs);
        config.gateways = 0;
        let mut system = system::LocalSystem::start(config).await.unwrap();

        let mut relays = Vec::new();
        for agent in &mut system.agents {
            let relay = relay::TcpRelay::start(agent.handle.address())
                .await
                .unwrap();
            agent.advertised = relay.address();
            relays.push(relay);
        }
        system.publish_document();
        system.add_gateway().unwrap();
        Self { system, relays }
    }
}

/// Returns the index of the engine that has a stream.
fn running_engine(system: &system::LocalSystem) -> usize {
    system
        .engines
        .iter()
        .position(|engine| engine.streams() > 0)
        .expect("an engine has the stream")
}
