//! Delay that gateway and agent add to a token, measured over loopback sockets.
//!
//! Callers of a whole system and callers of the engine itself stream side by side from the same
//! engine. The engine notes when it gives each token out; the delay of a token is the time from
//! then to its arrival at the caller.

mod callers;
mod figures;

use std::net;
use std::path;
use std::result;
use std::time::Duration;

use kingcupfall_standin::engine;
use kingcupfall_standin::system;
use quick_error::quick_error;

pub use figures::DelayFigures;
pub use figures::LatencyResult;

/// Time of one step of the measured engine without streams.
const STEP: Duration = Duration::from_millis(10);

/// Result of the measurement.
pub type Result<T> = result::Result<T, LatencyError>;

quick_error! {
    /// Reason why there are no figures.
    #[derive(Debug)]
    pub enum LatencyError {
        /// The system could not start.
        System(error: system::SystemError) {
            from()
            source(error)
            display("{}", error)
        }
        /// A stream broke off, or tokens are missing.
        Stream(reason: Box<str>) {
            display("{}", reason)
        }
        /// The figures could not be written.
        Output(error: std::io::Error) {
            from()
            source(error)
            display("can't write the figures: {}", error)
        }
    }
}

/// Size of the measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LatencyArguments {
    /// Streams on each side at a time.
    pub streams: usize,
    /// Tokens of each stream.
    pub tokens: u64,
    /// File for the figures as JSON.
    pub json: Option<path::PathBuf>,
}

/// Measures, prints a table, and writes JSON where it is asked for.
///
/// # Errors
///
/// A [`LatencyError`]; a lost or doubled token is one of them.
pub fn run(arguments: &LatencyArguments) -> Result<()> {
    let size = callers::LoadSize {
        streams: arguments.streams,
        tokens: arguments.tokens,
    };
    let runner = ntex::rt::System::build()
        .name("kingcupfall-bench")
        .build(ntex::rt::DefaultRuntime);
    let result = runner.block_on(measure(size))?;

    print!("{}", result.table());
    if let Some(path) = &arguments.json {
        std::fs::write(path, result.json())?;
    }
    Ok(())
}

async fn measure(size: callers::LoadSize) -> Result<LatencyResult> {
    let mut config = system::SystemConfig::with_engines(vec![engine_config()]);
    config.services = 0;
    config.gateways = 0;
    let system = system::LocalSystem::start(config).await?;
    let gateway = system.spawn_gateway().await?;
    let engine: net::SocketAddr = system.engines[0].address();

    // Each side has a thread of its own, as callers of different VMs would have.
    let through = callers::spawn_system_callers(gateway.addresses.callers, size);
    let direct = callers::spawn_engine_callers(engine, size);
    let (through, direct) = tokio::join!(through, direct);
    let emissions = system.engines[0].take_emissions();
    gateway.kill().await;

    figures::compare(size, &emissions, &direct?, &through?)
}

fn engine_config() -> engine::EngineConfig {
    let model = system::MODEL.parse().expect("a valid name");
    let mut config = engine::EngineConfig::on_loopback(&model);
    config.profile.step_base = STEP;
    config.record_emissions = true;
    config
}
