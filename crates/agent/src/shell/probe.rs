//! Health, load and cache events of the target, asked for at intervals.

use std::net;
use std::time::Duration;

use kingcupfall_core::engine;
use ntex::client;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::time;

use super::ShellClock;
use super::TargetAddress;
use super::http;
use super::turn;
use crate::protocol;
use crate::reducer;

/// Time between two questions whether the target answers.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two questions for the engine's load and cache events.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which the target answers a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Probes without an answer after which the target is taken for dead.
const MISSED_PROBES: u32 = 2;

/// Asks the target how it is, until its task is dropped.
pub(super) struct TargetProbe {
    /// Client of the target.
    pub(super) client: client::Client,
    /// The target.
    pub(super) target: TargetAddress,
    /// Clock of the process.
    pub(super) clock: ShellClock,
    /// Where events go.
    pub(super) events: mpsc::Sender<turn::ShellEvent>,
}

/// Answer to a health probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeAnswer {
    Healthy,
    /// No answer in time, or an error.
    Silent,
    /// Nothing listens.
    Refused,
}

impl TargetProbe {
    /// Probes for ever.
    pub(super) async fn run(self) {
        match self.target {
            TargetAddress::Engine(address) => {
                tokio::join!(
                    self.watch_health(address, "v1/health"),
                    self.watch_load(address),
                    self.watch_cache(address),
                );
            }
            TargetAddress::Service { address, .. } => self.watch_health(address, "health").await,
        }
    }

    async fn watch_health(&self, address: net::SocketAddr, path: &str) {
        let url = format!("http://{address}/{path}");
        let mut missed = 0;

        loop {
            let up = match self.ask_health(&url).await {
                ProbeAnswer::Healthy => {
                    missed = 0;
                    Some(true)
                }
                ProbeAnswer::Refused => Some(false),
                ProbeAnswer::Silent => {
                    missed += 1;
                    (missed >= MISSED_PROBES).then_some(false)
                }
            };
            if let Some(up) = up {
                turn::report(&self.events, reducer::AgentEvent::TargetHealth { up }).await;
            }
            time::sleep(HEALTH_INTERVAL).await;
        }
    }

    async fn ask_health(&self, url: &str) -> ProbeAnswer {
        match time::timeout(PROBE_TIMEOUT, self.client.get(url).send()).await {
            Ok(Ok(response)) if response.status().is_success() => ProbeAnswer::Healthy,
            Ok(Err(error)) if http::classify(&error) == reducer::WorkFailure::NotSent => {
                ProbeAnswer::Refused
            }
            Ok(_) | Err(_) => ProbeAnswer::Silent,
        }
    }

    async fn watch_load(&self, address: net::SocketAddr) {
        let url = format!("http://{address}/v1/load");
        loop {
            if let Some(body) = self.ask::<protocol::LoadBody>(&url).await {
                let report = self.engine_report(&body);
                turn::report(&self.events, reducer::AgentEvent::EngineReport(report)).await;
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

    async fn watch_cache(&self, address: net::SocketAddr) {
        let mut after = 0;
        loop {
            let url = format!("http://{address}/v1/cache-events?after={after}");
            if let Some(body) = self.ask::<protocol::CacheBody>(&url).await {
                after = body.next;
                for event in body.events {
                    turn::report(&self.events, reducer::AgentEvent::CacheChanged(event)).await;
                }
            }
            time::sleep(LOAD_INTERVAL).await;
        }
    }

    async fn ask<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let asking = async {
            let response = self.client.get(url).send().await.ok()?;
            response.json::<T>().await.ok()
        };
        time::timeout(PROBE_TIMEOUT, asking).await.ok().flatten()
    }
}
