//! Measures the delay that gateway and agent add to a token, over loopback sockets.
//!
//! One group of callers streams through a gateway, another directly from the same engine at the
//! same time. The engine records when it emits each token; the delay of a token is the time from its
//! emission to its arrival at the caller.

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

/// Duration of an engine step without streams.
const STEP_DURATION: Duration = Duration::from_millis(10);

/// Result of an operation of the measurement.
pub type Result<T> = result::Result<T, LatencyError>;

quick_error! {
    /// Error of the latency measurement.
    #[derive(Debug)]
    pub enum LatencyError {
        /// The local system could not start.
        System(error: system::SystemError) {
            from()
            source(error)
            display("{}", error)
        }
        /// A stream failed, or its tokens don't match the engine's.
        Stream(reason: Box<str>) {
            display("latency measurement failed: {}", reason)
        }
        /// The JSON file could not be written.
        Output(error: std::io::Error) {
            from()
            source(error)
            display("can't write the latency figures: {}", error)
        }
    }
}

/// Arguments of `latency`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LatencyArguments {
    /// Concurrent streams on each side.
    pub streams: usize,
    /// Tokens in each stream.
    pub tokens: u64,
    /// File for the figures as JSON; `None` to write none.
    pub json: Option<path::PathBuf>,
}

/// Runs the measurement, prints its table, and writes the JSON file if one was given.
///
/// # Errors
///
/// Returns a [`LatencyError`] if the system can't start, the file can't be written, or the tokens
/// that callers received don't match those that the engine emitted.
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

    // Each side runs in a separate thread, like callers on different VMs.
    let through = callers::run_gateway_callers(gateway.addresses.callers, size);
    let direct = callers::run_engine_callers(engine, size);
    let (through, direct) = tokio::join!(through, direct);
    let emissions = system.engines[0].take_emissions();
    gateway.kill().await;

    figures::compare(size, &emissions, &direct?, &through?)
}

fn engine_config() -> engine::EngineConfig {
    let model = system::MODEL.parse().expect("a valid name");
    let mut config = engine::EngineConfig::on_loopback(&model);
    config.profile.step_base = STEP_DURATION;
    config.record_emissions = true;
    config
}
