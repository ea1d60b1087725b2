//! What the tests over real sockets share.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

pub mod link;
pub mod system;

use std::time::Duration;

use kingcupfall_agent::shell;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_link::transport;
use kingcupfall_policy::schedule;
use kingcupfall_standin::engine;
use tokio::time;

/// Generous limit on the wait for a condition; a test that reaches it has failed.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = time::Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(time::Instant::now() < deadline, "waited too long: {what}");
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for `future`, but not for ever.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    match time::timeout(WAIT_LIMIT, future).await {
        Ok(value) => value,
        Err(_) => panic!("waited too long: {what}"),
    }
}

/// Returns the key of all links.
pub fn link_key() -> transport::LinkKey {
    transport::LinkKey::new(&[3; 32])
}

/// Returns the model that the engines serve.
pub fn model() -> ids::ModelName {
    "report".parse().unwrap()
}

/// An agent that runs as a task of the test.
pub struct RunningAgent {
    pub handle: shell::AgentHandle,
    pub ended: ntex::rt::JoinHandle<()>,
}

/// Opens an agent of the target at `address`.
pub async fn open_agent(
    target: &str,
    address: shell::TargetAddress,
) -> shell::Result<(shell::AgentShell, shell::AgentHandle)> {
    let config = shell::AgentConfig {
        target: target.parse().unwrap(),
        vm: "vm-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        listen: "127.0.0.1:0".parse().unwrap(),
        administration: "127.0.0.1:0".parse().unwrap(),
        instance_lock: None,
        link_key: link_key(),
        address,
    };
    let incarnation = ids::Incarnation::random(&mut rand::rng());
    let scheduler = Box::new(schedule::NaiveScheduler::new());
    shell::AgentShell::open(config, incarnation, scheduler).await
}

/// Starts an agent of the target at `address`.
pub async fn start_agent(target: &str, address: shell::TargetAddress) -> RunningAgent {
    let (shell, handle) = open_agent(target, address).await.unwrap();
    let ended = ntex::rt::spawn(shell.run());

    RunningAgent { handle, ended }
}

/// Starts an engine that generates as many tokens as are asked for, a few milliseconds each.
pub fn start_engine() -> engine::EngineStandin {
    let mut config = engine::EngineConfig::on_loopback(&model());
    config.profile.step_base = Duration::from_millis(2);
    config.crash_marker = Some("crash the engine".into());
    engine::EngineStandin::start(config).unwrap()
}

/// Joins the token texts that `stream` must have.
pub fn expected_text(stream: ids::AttemptId, count: u64) -> String {
    (0..count)
        .map(|index| {
            let index = measures::SequenceNumber::new(index);
            String::from(kingcupfall_standin::text::token_text(stream, index))
        })
        .collect()
}
