//! Command line of the bench.

use std::collections::BTreeMap;
use std::error;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::result;
use std::time::Instant;

use bpaf::Parser;
use kingcupfall_bench::latency;
use kingcupfall_bench::observer;
use kingcupfall_bench::policies;
use kingcupfall_bench::report;
use kingcupfall_bench::scenario;
use kingcupfall_bench::simulation;
use kingcupfall_bench::slopes;
use kingcupfall_bench::soak;

/// Result of a command.
type Result<T> = result::Result<T, Box<dyn error::Error>>;

/// Value of `--policy` that stands for all sets.
const ALL_POLICIES: &str = "all";

/// Streams on each side of the latency measurement, unless the command says otherwise.
const DEFAULT_STREAMS: usize = 8;

/// Tokens of each of these streams, unless the command says otherwise.
const DEFAULT_TOKENS: u64 = 500;

/// What to measure.
#[derive(Debug, Clone)]
enum BenchCommand {
    /// Policies in simulated time.
    Run(RunArguments),
    /// Delay of tokens over sockets.
    Latency(latency::LatencyArguments),
    /// Costs as the fleet grows.
    Slopes(slopes::SlopeArguments),
    /// Real relays under faults.
    Soak(soak::SoakCommand),
}

/// Arguments of `run`.
#[derive(Debug, Clone)]
struct RunArguments {
    scenario: PathBuf,
    policy: String,
    without: Option<String>,
    json: Option<PathBuf>,
    report: Option<PathBuf>,
}

fn main() -> ExitCode {
    let result = match arguments().run() {
        BenchCommand::Run(arguments) => run(&arguments),
        BenchCommand::Latency(arguments) => latency::run(&arguments).map_err(Into::into),
        BenchCommand::Slopes(arguments) => slopes::run(&arguments),
        BenchCommand::Soak(command) => soak::run(&command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn arguments() -> bpaf::OptionParser<BenchCommand> {
    let run = run_arguments();
    let latency = latency_arguments();
    let slopes = slopes_arguments();
    let soak = soak_arguments();

    bpaf::construct!([run, latency, slopes, soak])
        .to_options()
        .descr(
            "Measures the decisions of kingcupfall in simulated time, and its delay over sockets",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn run_arguments() -> impl Parser<BenchCommand> {
    let scenario = bpaf::long("scenario")
        .help("Scenario to run")
        .argument::<PathBuf>("FILE");
    let policy = bpaf::long("policy")
        .help("naive, least-outstanding, kingcupfall or all")
        .argument::<String>("NAME")
        .fallback(ALL_POLICIES.to_owned())
        .display_fallback();
    let json = bpaf::long("json")
        .help("Where the figures are written; standard output without it")
        .argument::<PathBuf>("OUT")
        .optional();
    let without = bpaf::long("without")
        .help("Decision of kingcupfall to turn off, such as forecast or pauses")
        .argument::<String>("DECISION")
        .optional();
    let report = bpaf::long("report")
        .help("Folder in which a page with plots is written")
        .argument::<PathBuf>("DIR")
        .optional();
    let run = bpaf::construct!(RunArguments {
        scenario,
        policy,
        without,
        json,
        report,
    });

    run.to_options()
        .descr("Runs a scenario under one or all policies")
        .command("run")
        .map(BenchCommand::Run)
}

fn latency_arguments() -> impl Parser<BenchCommand> {
    let streams = bpaf::long("streams")
        .help("Streams at a time, on each of the two sides")
        .argument::<usize>("COUNT")
        .fallback(DEFAULT_STREAMS)
        .display_fallback();
    let tokens = bpaf::long("tokens")
        .help("Tokens of each stream")
        .argument::<u64>("COUNT")
        .fallback(DEFAULT_TOKENS)
        .display_fallback();
    let json = bpaf::long("json")
        .help("Where the figures are written as JSON")
        .argument::<PathBuf>("OUT")
        .optional();
    let arguments = bpaf::construct!(latency::LatencyArguments {
        streams,
        tokens,
        json,
    });

    arguments
        .to_options()
        .descr("Measures the delay that gateway and agent add to a token, over loopback")
        .command("latency")
        .map(BenchCommand::Latency)
}

fn slopes_arguments() -> impl Parser<BenchCommand> {
    slopes::arguments()
        .to_options()
        .descr("Measures what a process, a change and a frame cost as the fleet grows")
        .command("slopes")
        .map(BenchCommand::Slopes)
}

fn soak_arguments() -> impl Parser<BenchCommand> {
    soak::arguments()
        .to_options()
        .descr("Runs relays on loopback under faults, and checks what must hold")
        .command("soak")
        .map(BenchCommand::Soak)
}

fn run(arguments: &RunArguments) -> Result<()> {
    let scenario = scenario::Scenario::load(&arguments.scenario)?;
    let sets = match arguments.policy.as_str() {
        ALL_POLICIES => policies::PolicySet::ALL.to_vec(),
        name => vec![name.parse::<policies::PolicySet>().map_err(String::from)?],
    };

    let ablation = match arguments.without.as_deref() {
        None => None,
        Some(name) => Some(name.parse::<policies::Ablation>().map_err(String::from)?),
    };

    let runs: Vec<report::PolicyRun> = sets
        .into_iter()
        .map(|set| run_set(&scenario, simulation::RunPolicies { set, ablation }))
        .collect();
    let figures: BTreeMap<_, _> = runs
        .iter()
        .map(|run| (run.name.clone(), run.result.clone()))
        .collect();
    let name = scenario_name(&arguments.scenario);
    if let Some(folder) = &arguments.report {
        report::write_page(folder, &name, &runs)?;
    }
    let result = observer::RunResult {
        scenario: name,
        policies: figures,
    };
    write_result(arguments, &result)
}

fn run_set(scenario: &scenario::Scenario, policies: simulation::RunPolicies) -> report::PolicyRun {
    let set = policies.set;
    let requests = scenario::draw_requests(scenario);
    eprintln!("{set}: {} requests", requests.len());

    let start = Instant::now();
    let (result, traces) = simulation::Simulation::new(scenario, policies, requests).run();
    eprintln!("{set}: done in {:.1} s", start.elapsed().as_secs_f64());
    report::PolicyRun {
        name: set.name().into(),
        result,
        traces,
    }
}

fn write_result(arguments: &RunArguments, result: &observer::RunResult) -> Result<()> {
    match &arguments.json {
        Some(path) => report::write_json(path, result)?,
        None => println!("{}", serde_json::to_string_pretty(result)?),
    }
    Ok(())
}

fn scenario_name(path: &Path) -> Box<str> {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into()
}
