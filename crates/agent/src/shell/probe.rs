//! Periodic polling of the target's health, load and cache events.

use std::net;
use std::time::Duration;

use kingcupfall_core::engine;
use ntex::client;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::time;

use super::ShellClock;
use super::TargetAddress;
use super::event_loop;
use super::http;
use crate::protocol;
use crate::reducer;

/// Time from the end of one health probe to the next.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the end of one load or cache request to the next.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Response timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Failed probes since the last healthy one after which the target counts as down. A refused
/// connection means that it is down at once.
const FAILED_PROBES_UNTIL_DOWN: u32 = 2;

/// Polls the target until its task is cancelled.
pub(super) struct TargetProbe {
    /// HTTP client for the target.
    pub(super) client: client::Client,
    /// Kind and address of the target.
    pub(super) target_address: TargetAddress,
    /// Clock of the process.
    pub(super) clock: ShellClock,
    /// Channel to the event loop.
    pub(super) events: mpsc::Sender<event_loop::ShellEvent>,
}

/// Result of a health probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    Healthy,
    /// Timeout, broken connection or error status.
    Failed,
    /// Nothing listens at the address.
    ConnectionRefused,
}

impl TargetProbe {
    /// Polls until the task is cancelled.
    pub(super) async fn run(self) {
        match self.target_address {
            TargetAddress::Engine(address) => {
                tokio::join!(
                    self.poll_health(address, "v1/health"),
                    self.poll_load(address),
                    self.poll_cache(address),
                );
            }
            TargetAddress::Service { address, .. } => self.poll_health(address, "health").await,
        }
    }

    async fn poll_health(&self, address: net::SocketAddr, path: &str) {
        let url = format!("http://{address}/{path}");
        let mut failed = 0;

        loop {
            let up = match self.probe_health(&url).await {
                ProbeResult::Healthy => {
                    failed = 0;
                    Some(true)
                }
                ProbeResult::ConnectionRefused => Some(false),
                ProbeResult::Failed => {
                    failed += 1;
                    (failed >= FAILED_PROBES_UNTIL_DOWN).then_some(false)
                }
            };
            if let Some(up) = up {
                event_loop::send_event(&self.events, reducer::AgentEvent::TargetHealth { up })
                    .await;
            }
            time::sleep(HEALTH_INTERVAL).await;
        }
    }

    async fn probe_health(&self, url: &str) -> ProbeResult {
        match time::timeout(PROBE_TIMEOUT, self.client.get(url).send()).await {
            Ok(Ok(response)) if response.status().is_success() => ProbeResult::Healthy,
            Ok(Err(error)) if http::classify_failure(&error) == reducer::WorkFailure::NotSent => {
                ProbeResult::ConnectionRefused
            }
            Ok(_) | Err(_) => ProbeResult::Failed,
        }
    }

    async fn poll_load(&self, address: net::SocketAddr) {
        let url = format!("http://{address}/v1/load");
        loop {
            if let Some(body) = self.get_json::<protocol::LoadBody>(&url).await {
                let report = self.engine_report(&body);
                event_loop::send_event(&self.events, reducer::AgentEvent::EngineReport(report))
                    .await;
            }
            time::sleep(LOAD_INTERVAL).await;
        }
    }

    fn engine_report(&self, body: &protocol::LoadBody) -> engine::EngineReport {
        let now = self.clock.now().as_micros();
        let age = body.age_ms.saturating_mul(1_000);

        engine::EngineReport {
            taken_at: kingcupfall_core::time::Timestamp::from_micros(now.saturating_sub(age)),
            running: body.running,
            waiting: body.waiting,
            memory_used: body.memory_used,
            memory_total: body.memory_total,
            preemptions: body.preemptions,
        }
    }

    async fn poll_cache(&self, address: net::SocketAddr) {
        let mut after = 0;
        loop {
            let url = format!("http://{address}/v1/cache-events?after={after}");
            if let Some(body) = self.get_json::<protocol::CacheBody>(&url).await {
                after = body.next;
                for event in body.events {
                    event_loop::send_event(&self.events, reducer::AgentEvent::CacheChanged(event))
                        .await;
                }
            }
            time::sleep(LOAD_INTERVAL).await;
        }
    }

    async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let response = async {
            let response = self.client.get(url).send().await.ok()?;
            response.json::<T>().await.ok()
        };
        time::timeout(PROBE_TIMEOUT, response).await.ok().flatten()
    }
}
