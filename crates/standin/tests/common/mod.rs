//! Helpers of the tests over real sockets.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

pub mod harness;
pub mod link;

use std::time::Duration;

use kingcupfall_agent::shell;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_link::transport;
use kingcupfall_policy::schedule;
use kingcupfall_standin::engine;
use tokio::time;

/// Timeout of each wait; so long that only a failing test reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `condition` returns true; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            time::Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for `future`; panics after [`WAIT_TIMEOUT`].
pub async fn with_timeout<T>(description: &str, future: impl Future<Output = T>) -> T {
    match time::timeout(WAIT_TIMEOUT, future).await {
        Ok(value) => value,
        Err(_) => panic!("timed out waiting for {description}"),
    }
}

/// Returns the key that all links of the tests share.
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
    pub task: ntex::rt::JoinHandle<()>,
}

/// Opens an agent of the target at `target_address` without running it.
pub async fn open_agent(
    target: &str,
    target_address: shell::TargetAddress,
) -> shell::Result<(shell::AgentShell, shell::AgentHandle)> {
    let config = shell::AgentConfig {
        target: target.parse().unwrap(),
        vm: "vm-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        link_address: "127.0.0.1:0".parse().unwrap(),
        administration_address: "127.0.0.1:0".parse().unwrap(),
        instance_lock: None,
        link_key: link_key(),
        target_address,
    };
    let incarnation = ids::Incarnation::random(&mut rand::rng());
    let scheduler = Box::new(schedule::ImmediateScheduler::new());
    shell::AgentShell::open(config, incarnation, scheduler).await
}

/// Opens an agent of the target at `target_address` and runs it.
pub async fn start_agent(target: &str, target_address: shell::TargetAddress) -> RunningAgent {
    let (shell, handle) = open_agent(target, target_address).await.unwrap();
    let task = ntex::rt::spawn(shell.run());

    RunningAgent { handle, task }
}

/// Starts an engine that generates the requested number of tokens in steps of a few milliseconds.
pub fn start_engine() -> engine::EngineStandin {
    let mut config = engine::EngineConfig::on_loopback(&model());
    config.profile.step_base = Duration::from_millis(2);
    config.crash_marker = Some("crash the engine".into());
    engine::EngineStandin::start(config).unwrap()
}

/// Returns the text that the first `count` tokens of `stream` must have.
pub fn expected_text(stream: ids::AttemptId, count: u64) -> String {
    (0..count)
        .map(|index| {
            let index = measures::SequenceNumber::new(index);
            String::from(kingcupfall_standin::text::token_text(stream, index))
        })
        .collect()
}
