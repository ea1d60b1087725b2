//! Stand-in of a model engine.
//!
//! It drives [`kingcupfall_model::EngineModel`] on the runtime's clock and speaks the HTTP protocol
//! of [`kingcupfall_agent::protocol`].

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

/// What a stand-in engine is like.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Where it listens; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Sizes and speeds.
    pub profile: EngineProfile,
    /// Models it has loaded at the start.
    pub models: Vec<protocol::LoadedModel>,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: engine::FencingMode,
    /// How many tokens a stream generates.
    pub lengths: LengthSource,
    /// Age of the load that it reports.
    pub report_lag: Duration,
    /// Text in a prompt that kills the engine.
    pub crash_marker: Option<Box<str>>,
    /// Whether the time of each token is kept for [`EngineStandin::take_emissions`].
    pub record_emissions: bool,
    /// Seed of lengths and of lost cache events.
    pub seed: u64,
}

impl EngineConfig {
    /// Returns an engine on a free loopback port that serves `model`.
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
    /// Starts an engine. Must be called in an ntex system.
    ///
    /// # Errors
    ///
    /// The operating system's, when the address is taken.
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

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns counts of its streams.
    pub fn counters(&self) -> EngineCounters {
        self.core.counters()
    }

    /// Returns the orders that it took, in their order.
    pub fn orders(&self) -> Vec<protocol::OrderBody> {
        self.core.orders()
    }

    /// Returns how many streams it holds, paused ones included.
    pub fn streams(&self) -> usize {
        self.core.streams()
    }

    /// Returns how many tokens of `stream` it has generated.
    pub fn generated(&self, stream: ids::AttemptId) -> measures::TokenCount {
        self.core.generated(stream)
    }

    /// Takes the times at which tokens were given out so far.
    pub fn take_emissions(&self) -> Vec<TokenEmission> {
        self.core.take_emissions()
    }

    /// Says whether it has not died.
    pub fn is_alive(&self) -> bool {
        self.core.health().is_some()
    }

    /// Kills it: all streams break, and nothing answers any more.
    pub async fn kill(&self) {
        self.core.kill();
        self.server.kill().await;
    }
}
