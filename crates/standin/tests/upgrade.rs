//! An upgrade of a stand-in engine by its agent, over real sockets.

mod common;

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_agent::shell;
use kingcupfall_agent::upgrade;
use kingcupfall_agent::upgrade::driver;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_document::sections;
use kingcupfall_link::frames;

use common::link;

const TARGET: &str = "engine-1";

/// Returns a document with one target, whose model may be upgraded at any time.
fn document(version: &str) -> sections::OperatorDocument {
    let model = sections::ModelEntry {
        version: version.into(),
        adapters: Vec::new(),
        max_tokens: measures::TokenCount::new(10_000),
        gap_target: Duration::from_millis(40),
        capacity_floor: 0.0,
        upgrade_window: Some(sections::UpgradeWindow {
            start_minute: 0,
            length_minutes: 1_440,
            parallel_loads: 1,
        }),
    };
    let target = sections::TargetEntry {
        kind: sections::TargetKind::Engine {
            models: vec![common::model()],
            fencing: engine::FencingMode::Checked,
        },
        vm: "vm-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        agent: "127.0.0.1:7001".parse().unwrap(),
        leaving: false,
    };

    let mut document = sections::OperatorDocument::default();
    document.models.insert(common::model(), model);
    document.targets.insert(TARGET.parse().unwrap(), target);
    document
}

/// Starts the lives of an agent, and the task that decides its upgrades.
async fn start_life(
    address: std::net::SocketAddr,
) -> (Rc<driver::AgentLife>, driver::UpgradeHandle) {
    let fence = driver::FencePort::hold("127.0.0.1:0".parse().unwrap()).unwrap();
    let life = driver::AgentLife::new(fence, Box::new(|_| {}));
    let setup = driver::UpgradeSetup {
        target: TARGET.parse().unwrap(),
        process: ids::Incarnation::from_u128(1),
        engine: address,
        wall: Box::new(|| upgrade::WallTime::from_unix_seconds(1_000_000)),
    };
    let host: Rc<dyn driver::UpgradeHost> = Rc::clone(&life) as _;
    let handle = driver::start(setup, host).await.unwrap();

    let (running, upgrading) = (Rc::clone(&life), handle.clone());
    ntex::rt::spawn(async move {
        let target = shell::TargetAddress::Engine(address);
        let open = async || common::open_agent(TARGET, target.clone()).await;
        running.run(open, Some(&upgrading)).await.unwrap();
    });
    common::wait_until("the agent serves", || life.handle().is_some()).await;
    (life, handle)
}

#[ntex::test]
async fn upgrade_cuts_no_stream_and_renews_incarnation() {
    let engine = common::start_engine();
    let (life, upgrades) = start_life(engine.address()).await;
    let first_life = life.handle().unwrap().address();
    let mut link = link::GatewayLink::open(first_life).await;
    let attempt = link.start("duct 7, thick deposits", 600);
    link.read_tokens(attempt, 3).await;

    upgrades.take_document(&document("2")).await;
    let end = next_event(&mut link)
        .await
        .expect("the link outlives the stream");
    let frames::AgentFrame::Finished(report) = end else {
        panic!("the stream ends whole, not with {end:?}");
    };
    assert_eq!(report.total.get(), 600);
    assert!(engine.orders().is_empty());
    let before = link.hello.as_ref().unwrap().incarnation;
    let reading = async { while next_event(&mut link).await.is_some() {} };
    common::within("the link ends", reading).await;

    common::wait_until("the engine has its order", || !engine.orders().is_empty()).await;
    common::wait_until("the agent serves again", || {
        let handle = life.handle();
        handle.is_some_and(|handle| handle.address() != first_life)
    })
    .await;
    let again = link::GatewayLink::open(life.handle().unwrap().address()).await;

    assert_ne!(again.hello.as_ref().unwrap().incarnation, before);
    let orders = engine.orders();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].fencing, measures::FencingNumber::new(1));
    life.stop();
}

/// Returns the next frame that carries no tokens; tokens are acknowledged.
async fn next_event(link: &mut link::GatewayLink) -> Option<frames::AgentFrame> {
    loop {
        match link.next().await? {
            frames::AgentFrame::Tokens(batch) => {
                let attempt = batch.attempt;
                let next = batch.first + measures::Sequence::new(batch.tokens.len() as u64);
                link.send(frames::GatewayFrame::Acknowledge { attempt, next });
            }
            frame => return Some(frame),
        }
    }
}

/// Starts generations until one is refused.
async fn wait_for_refusal(link: &mut link::GatewayLink) {
    loop {
        let probe = link.start("another", 1);
        loop {
            let frame = next_event(link).await.expect("the link is open");
            if matches!(&frame, frames::AgentFrame::Refused(report) if report.attempt == probe) {
                return;
            }
            if matches!(&frame, frames::AgentFrame::Finished(report) if report.attempt == probe) {
                break;
            }
        }
    }
}

#[ntex::test]
async fn stop_during_drain_ends_without_order() {
    let engine = common::start_engine();
    let (life, upgrades) = start_life(engine.address()).await;
    let mut link = link::GatewayLink::open(life.handle().unwrap().address()).await;
    let attempt = link.start("duct 7, thick deposits", 600);
    link.read_tokens(attempt, 3).await;
    upgrades.take_document(&document("2")).await;
    common::within("the agent drains", wait_for_refusal(&mut link)).await;

    life.stop();
    let reading = async { while next_event(&mut link).await.is_some() {} };
    common::within("the link ends", reading).await;
    common::wait_until("the agent has ended", || life.handle().is_none()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    assert!(engine.orders().is_empty());
}

#[ntex::test]
async fn second_agent_of_target_is_excluded() {
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = std::net::TcpListener::bind::<std::net::SocketAddr>(address).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let fence = driver::FencePort::hold(address).unwrap();
    assert!(fence.is_held());
    assert!(driver::FencePort::hold(address).is_err());

    drop(fence);
    assert!(driver::FencePort::hold(address).is_ok());
}
