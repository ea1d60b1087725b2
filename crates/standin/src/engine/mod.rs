//! Stand-in of a model engine.
//!
//! Runs [`kingcupfall_model::EngineModel`] in real time and serves the HTTP protocol of
//! [`kingcupfall_agent::protocol`].

mod core;
mod lengths;
mod routes;
mod streams;

use std::net;
use std::sync::Arc;
use std::time::Duration;

use kingcupfall_agent::protocol;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_model::EngineProfile;

pub use core::TokenEmission;
pub use lengths::LengthSource;
pub use streams::EngineCounters;

use crate::server;

/// Configuration of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on; port 0 selects a free one.
    pub listen: net::SocketAddr,
    /// Memory size and speeds of the model.
    pub profile: EngineProfile,
    /// Models that are loaded at the start.
    pub models: Vec<protocol::LoadedModel>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: engine::FencingMode,
    /// Rule for the number of tokens that a stream generates.
    pub lengths: LengthSource,
    /// Delay with which the load is reported.
    pub report_lag: Duration,
    /// Text that crashes the engine when a prompt contains it.
    pub crash_marker: Option<Box<str>>,
    /// Whether the time of each token is recorded for [`EngineStandin::take_emissions`].
    pub record_emissions: bool,
    /// Seed of the lengths and of the loss of cache events.
    pub seed: u64,
}

impl EngineConfig {
    /// Returns the configuration of an engine that serves `model` on a free loopback port.
    pub fn on_loopback(model: &ids::ModelName) -> Self {
        let loaded = protocol::LoadedModel {
            model: model.clone(),
            version: "1".into(),
            adapters: Vec::new(),
        };

        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            profile: EngineProfile::default(),
            models: vec![loaded],
            fencing: engine::FencingMode::Checked,
            lengths: LengthSource::Requested,
            report_lag: Duration::from_secs(1),
            crash_marker: None,
            record_emissions: false,
            seed: 1,
        }
    }
}

/// A running stand-in engine.
#[derive(Clone)]
pub struct EngineStandin {
    core: Arc<core::EngineCore>,
    server: server::StandinServer,
}

impl EngineStandin {
    /// Starts an engine. Must be called within an ntex system.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example if the address is in use.
    pub fn start(config: EngineConfig) -> server::Result<Self> {
        let (listener, address) = server::bind(config.listen)?;
        let core = Arc::new(core::EngineCore::new(config));
        let http = routes::serve(listener, Arc::clone(&core))?;

        ntex::rt::spawn(core::run(Arc::clone(&core)));
        Ok(Self {
            core,
            server: server::StandinServer::new(address, http),
        })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns the counters of its streams.
    pub fn counters(&self) -> EngineCounters {
        self.core.counters()
    }

    /// Returns the accepted orders, oldest first.
    pub fn orders(&self) -> Vec<protocol::OrderBody> {
        self.core.orders()
    }

    /// Returns the number of streams, including paused ones.
    pub fn stream_count(&self) -> usize {
        self.core.stream_count()
    }

    /// Returns the number of tokens generated so far for `stream`; zero once the stream has ended.
    pub fn generated_tokens(&self, stream: ids::AttemptId) -> measures::TokenCount {
        self.core.generated_tokens(stream)
    }

    /// Returns the times of the tokens sent since the last call, and forgets them.
    pub fn take_emissions(&self) -> Vec<TokenEmission> {
        self.core.take_emissions()
    }

    /// Returns true until the engine is killed or crashes.
    pub fn is_alive(&self) -> bool {
        self.core.health().is_some()
    }

    /// Kills the engine: its streams break, and its server stops at once.
    pub async fn kill(&self) {
        self.core.kill();
        self.server.kill().await;
    }
}
