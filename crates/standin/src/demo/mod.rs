//! Demonstration of the complete system in one process, with an optional request for one report.

use std::io;
use std::io::Write;
use std::net;
use std::result;

use kingcupfall_core::measures;
use kingcupfall_core::work;
use quick_error::quick_error;

use crate::caller;
use crate::engine;
use crate::system;

/// Prompt of the report that `--once` requests.
const PROMPT: &str = "Kitchen 12, hood 3, duct 7. Grease 4 mm at the fan, 2 mm at the panel. \
                      Write the grease-deposit report and tag the fire risk.";

/// Maximum number of tokens of the report.
const MAX_REPORT_TOKENS: u64 = 400;

/// Median length of a generation, in tokens.
const MEDIAN_TOKENS: f64 = 120.0;

/// Standard deviation of the logarithm of the lengths.
const LENGTH_SIGMA: f64 = 0.6;

/// Number of engines.
const ENGINE_COUNT: u64 = 2;

/// Result of the demonstration.
pub type Result<T> = result::Result<T, DemoError>;

quick_error! {
    /// Error of the demonstration.
    #[derive(Debug)]
    pub enum DemoError {
        /// The system could not start.
        System(error: system::SystemError) {
            from()
            source(error)
            display("{}", error)
        }
        /// The report was refused or not completed.
        Call(error: caller::CallerError) {
            from()
            source(error)
            display("{}", error)
        }
        /// The output can't be written.
        Output(error: io::Error) {
            from()
            source(error)
            display("can't write the output: {}", error)
        }
    }
}

/// Starts the system and prints its addresses and an example call.
///
/// With `once`, requests one report, prints its tokens and outcome, and returns; otherwise runs
/// until the process is interrupted.
///
/// # Errors
///
/// Any [`DemoError`]; a report that ends with a problem is one of them.
pub async fn run(once: bool, output: &mut dyn Write) -> Result<()> {
    let engines = (0..ENGINE_COUNT).map(engine_config).collect();
    let config = system::SystemConfig::with_engines(engines);
    let system = system::LocalSystem::start(config).await?;
    let gateway = system.gateways[0].caller_address();
    print_addresses(&system, output)?;

    if once {
        let outcome = request_report(gateway, output).await?;
        writeln!(output, "outcome: {outcome}")?;
        return Ok(());
    }
    // If the process can't wait for signals, the demonstration ends at once.
    let _ = tokio::signal::ctrl_c().await;
    Ok(())
}

fn engine_config(seed: u64) -> engine::EngineConfig {
    let model = system::MODEL.parse().expect("the model name is valid");

    engine::EngineConfig {
        lengths: engine::LengthSource::LogNormal {
            median: MEDIAN_TOKENS,
            sigma: LENGTH_SIGMA,
        },
        seed,
        ..engine::EngineConfig::on_loopback(&model)
    }
}

fn print_addresses(system: &system::LocalSystem, output: &mut dyn Write) -> Result<()> {
    let gateway = system.gateways[0].caller_address();
    writeln!(output, "gateways for callers:")?;
    for gateway in &system.gateways {
        writeln!(
            output,
            "  http://{}  (administration: http://{})",
            gateway.caller_address(),
            gateway.administration_address()
        )?;
    }
    writeln!(
        output,
        "configuration service: http://{}/v1/sections",
        system.configuration.address()
    )?;
    writeln!(output, "try:\n  {}\n", curl_command(gateway))?;
    output.flush()?;
    Ok(())
}

fn curl_command(gateway: net::SocketAddr) -> String {
    let body = r#"{"model":"report","class":"report","prompt":"duct 7, thick deposits","max_tokens":200,"stream":true}"#;
    let key = system::EXAUSTAO_KEY;

    format!(
        "curl -N http://{gateway}/v1/generations -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' -d '{body}'"
    )
}

/// Requests one report, prints its tokens as they arrive, and returns its outcome.
async fn request_report(
    gateway: net::SocketAddr,
    output: &mut dyn Write,
) -> Result<work::CallOutcome> {
    let caller = caller::CallerClient::new(gateway, system::EXAUSTAO_KEY).await;
    let call = caller::GenerationCall {
        model: system::MODEL.into(),
        prompt: PROMPT.into(),
        max_tokens: MAX_REPORT_TOKENS,
        class: "report".into(),
        stream: true,
    };
    let mut stream = caller.stream(&call).await?;
    let mut received = measures::TokenCount::ZERO;

    while let Some(item) = stream.next().await {
        match item? {
            caller::StreamItem::Tokens { data, .. } => {
                received += measures::TokenCount::new(data.tokens.len() as u64);
                write!(output, "{}", data.tokens.concat())?;
                output.flush()?;
            }
            caller::StreamItem::End(end) => {
                writeln!(output, "\n\ntokens: {received} of {}", end.total)?;
                return Ok(end.outcome);
            }
            caller::StreamItem::Problem(problem) => {
                return Err(caller::CallerError::Problem(Box::new(problem)).into());
            }
        }
    }
    Err(caller::CallerError::NoResponse("the stream ended without an `end` event".into()).into())
}
