//! Measures the costs of a process as the fleet grows, and those of a frame, call, token and
//! heartbeat.

mod fleet;
mod frames;
mod plot;
mod reducers;
mod table;

use std::error;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::result;

use bpaf::Parser;
use serde::Serialize;

pub use fleet::FleetCost;
pub use frames::FrameCost;
pub use reducers::ReducerCost;

/// Result of the measurements and their output.
pub type Result<T> = result::Result<T, Box<dyn error::Error>>;

/// Sizes of the measured fleets, in processes.
const FLEET_SIZES: [usize; 5] = [10, 100, 300, 1_000, 3_000];

/// Arguments of `slopes`.
#[derive(Debug, Clone)]
pub struct SlopeArguments {
    json: Option<PathBuf>,
    plot: Option<PathBuf>,
    largest: usize,
}

/// Results of all measurements.
#[derive(Debug, Clone, Serialize)]
pub struct CostReport {
    /// Costs of a process, by size of the fleet.
    pub fleet: Vec<FleetCost>,
    /// Costs of frames on the links between gateways and agents.
    pub frames: Vec<FrameCost>,
    /// Costs of events in the reducers of the gateway and the agent.
    pub reducers: Vec<ReducerCost>,
}

/// Parses the arguments of `slopes`.
pub fn arguments() -> impl Parser<SlopeArguments> {
    let json = bpaf::long("json")
        .help("File for the results as JSON")
        .argument::<PathBuf>("OUT")
        .optional();
    let plot = bpaf::long("plot")
        .help("File for the plot as SVG")
        .argument::<PathBuf>("OUT")
        .optional();
    let largest = bpaf::long("largest")
        .help("Processes of the largest fleet to measure")
        .argument::<usize>("COUNT")
        .fallback(FLEET_SIZES[FLEET_SIZES.len() - 1])
        .display_fallback();
    bpaf::construct!(SlopeArguments {
        json,
        plot,
        largest,
    })
}

/// Runs all measurements, prints tables to standard output, and logs progress to standard error.
///
/// # Errors
///
/// Returns an error if a file can't be written or the plot can't be drawn.
pub fn run(arguments: &SlopeArguments) -> Result<()> {
    eprintln!("frames");
    let frames = frames::measure();
    eprintln!("reducers of gateway and agent");
    let reducers = reducers::measure();
    let mut fleet = Vec::new();
    for size in FLEET_SIZES {
        if size > arguments.largest {
            break;
        }
        eprintln!("fleet of {size} processes");
        fleet.push(fleet::measure(size));
    }

    let report = CostReport {
        fleet,
        frames,
        reducers,
    };
    print!("{}", table::render(&report));
    if let Some(path) = &arguments.json {
        write_json(path, &report)?;
    }
    if let Some(path) = &arguments.plot {
        plot::draw(path, &report.fleet)?;
    }
    Ok(())
}

fn write_json(path: &Path, report: &CostReport) -> Result<()> {
    let text = serde_json::to_string_pretty(report)?;
    fs::write(path, text)?;
    Ok(())
}
