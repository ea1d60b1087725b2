//! One agent between a gateway link and a stand-in engine, over real sockets.

mod common;

use kingcupfall_agent::shell;
use kingcupfall_core::work;
use kingcupfall_link::frames;

use common::link;

#[ntex::test]
async fn generation_delivers_all_tokens_in_order() {
    let engine = common::start_engine();
    let address = shell::TargetAddress::Engine(engine.address());
    let agent = common::start_agent("engine-1", address).await;
    let mut link = link::GatewayLink::open(agent.handle.link_address()).await;

    let attempt = link.start_generation("duct 7, thick deposits", 300);
    let reading = link.read_tokens(attempt, 300).await;

    assert_eq!(reading.text, common::expected_text(attempt, 300));
    let Some(frames::AgentFrame::Finished(report)) = link.next_attempt_frame().await else {
        panic!("a finish report follows the last token");
    };
    assert_eq!(report.attempt, attempt);
    assert_eq!(report.total.get(), 300);
    assert_eq!(report.reason, work::FinishReason::Length);
}

#[ntex::test]
async fn cancel_running_attempt_frees_engine() {
    let engine = common::start_engine();
    let address = shell::TargetAddress::Engine(engine.address());
    let agent = common::start_agent("engine-1", address).await;
    let mut link = link::GatewayLink::open(agent.handle.link_address()).await;
    let attempt = link.start_generation("a long one", 1_000_000);
    link.read_tokens(attempt, 3).await;

    link.send(frames::GatewayFrame::Cancel(frames::CancelOrder {
        attempt,
        start_by: link.agent_now,
        only_waiting: false,
    }));

    common::wait_until("the engine is free", || engine.stream_count() == 0).await;
    assert_eq!(engine.counters().cancelled, 1);
}

#[ntex::test]
async fn engine_killed_attempt_fails_as_suspect() {
    let engine = common::start_engine();
    let address = shell::TargetAddress::Engine(engine.address());
    let agent = common::start_agent("engine-1", address).await;
    let mut link = link::GatewayLink::open(agent.handle.link_address()).await;
    let attempt = link.start_generation("a long one", 1_000_000);
    link.read_tokens(attempt, 3).await;

    engine.kill().await;

    loop {
        match link
            .next_attempt_frame()
            .await
            .expect("the link outlives the engine")
        {
            frames::AgentFrame::Tokens(_) => {}
            frames::AgentFrame::Failed(report) => {
                assert_eq!(report.cause, frames::FailureCause::TargetLost);
                assert!(report.suspect);
                break;
            }
            frame => panic!("unexpected frame {frame:?}"),
        }
    }
}

#[ntex::test]
async fn stop_finishes_running_stream_and_refuses_new_work() {
    let engine = common::start_engine();
    let address = shell::TargetAddress::Engine(engine.address());
    let agent = common::start_agent("engine-1", address).await;
    let mut link = link::GatewayLink::open(agent.handle.link_address()).await;
    let attempt = link.start_generation("runs while the agent stops", 200);
    let mut next = link.read_tokens(attempt, 1).await.next.get();

    agent.handle.stop().await;
    let late_attempt = link.start_generation("comes too late", 5);

    let mut is_refused = false;
    while let Some(frame) = link.next_attempt_frame().await {
        match frame {
            frames::AgentFrame::Tokens(batch) => {
                assert_eq!(batch.first.get(), next);
                next += batch.tokens.len() as u64;
                link.send(frames::GatewayFrame::Acknowledge {
                    attempt,
                    next: kingcupfall_core::measures::SequenceNumber::new(next),
                });
            }
            frames::AgentFrame::Refused(report) => {
                assert_eq!(report.attempt, late_attempt);
                assert_eq!(report.code, frames::RefusalCode::Leaving);
                is_refused = true;
            }
            frames::AgentFrame::Finished(report) => assert_eq!(report.total.get(), 200),
            frame => panic!("unexpected frame {frame:?}"),
        }
    }
    assert_eq!(next, 200);
    assert!(is_refused);
    common::with_timeout("the end of the agent", agent.task)
        .await
        .unwrap();
}

#[ntex::test]
async fn metrics_count_admissions_by_organisation_and_class() {
    let engine = common::start_engine();
    let address = shell::TargetAddress::Engine(engine.address());
    let agent = common::start_agent("engine-1", address).await;
    let mut link = link::GatewayLink::open(agent.handle.link_address()).await;
    let attempt = link.start_generation("duct 7", 5);
    link.read_tokens(attempt, 5).await;

    let administration_address = agent.handle.administration_address();
    let client = ntex::client::Client::new().await;
    let url = format!("http://{administration_address}/metrics");
    let response = common::with_timeout("metrics", client.get(url).send()).await;
    let body = response.unwrap().body().await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();

    let count = "kingcupfall_queue_delay_seconds_count\
                 {organisation=\"exaustao\",class=\"report\"} 1";
    assert!(text.contains(count), "{text}");
}

#[ntex::test]
async fn health_200_while_target_is_up_and_503_after_stop() {
    let engine = common::start_engine();
    let address = shell::TargetAddress::Engine(engine.address());
    let agent = common::start_agent("engine-1", address).await;
    let mut link = link::GatewayLink::open(agent.handle.link_address()).await;
    let attempt = link.start_generation("keeps the agent alive", 4_000);
    link.read_tokens(attempt, 1).await;
    let url = format!("http://{}/healthz", agent.handle.administration_address());
    wait_for_status(&url, 200).await;

    agent.handle.stop().await;

    wait_for_status(&url, 503).await;
}

#[ntex::test]
async fn open_second_agent_of_target_refused() {
    let engine = common::start_engine();
    let lock_holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let config = shell::AgentConfig {
        target: "engine-1".parse().unwrap(),
        vm: "vm-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        link_address: "127.0.0.1:0".parse().unwrap(),
        administration_address: "127.0.0.1:0".parse().unwrap(),
        instance_lock: Some(lock_holder.local_addr().unwrap()),
        link_key: common::link_key(),
        target_address: shell::TargetAddress::Engine(engine.address()),
    };
    let incarnation = kingcupfall_core::ids::Incarnation::from_u128(1);
    let scheduler = Box::new(kingcupfall_policy::schedule::ImmediateScheduler::new());

    let opened = shell::AgentShell::open(config, incarnation, scheduler).await;

    assert!(matches!(
        opened.err().unwrap(),
        shell::ShellError::Occupied(..)
    ));
}

async fn wait_for_status(url: &str, status: u16) {
    let client = ntex::client::Client::new().await;
    common::with_timeout("a status", async {
        loop {
            let response = client.get(url).send().await.unwrap();
            if response.status().as_u16() == status {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    })
    .await;
}
