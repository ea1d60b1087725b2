//! Command line interface of the bench.

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

/// Value of `--policy` that selects all policy sets.
const ALL_POLICIES: &str = "all";

/// Default number of concurrent streams on each side of the latency measurement.
const DEFAULT_STREAMS: usize = 8;

/// Default number of tokens in each of these streams.
const DEFAULT_TOKENS: u64 = 500;

/// Subcommand of the bench.
#[derive(Debug, Clone)]
enum BenchCommand {
    /// Runs a scenario in simulated time under one or more policy sets.
    Run(RunArguments),
    /// Measures the token delay that the system adds, over loopback sockets.
    Latency(latency::LatencyArguments),
    /// Measures how costs grow with the size of the fleet.
    Slopes(slopes::SlopeArguments),
    /// Runs relay processes under faults.
    Soak(soak::SoakCommand),
}

/// Arguments of `run`.
#[derive(Debug, Clone)]
struct RunArguments {
    scenario: PathBuf,
    policy: String,
    disabled_feature: Option<String>,
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
            "Measures the policies of kingcupfall in simulated time, and its latency over sockets",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn run_arguments() -> impl Parser<BenchCommand> {
    let scenario = bpaf::long("scenario")
        .help("Scenario file to run")
        .argument::<PathBuf>("FILE");
    let policy = bpaf::long("policy")
        .help("Policy set: naive, least-outstanding, kingcupfall or all")
        .argument::<String>("NAME")
        .fallback(ALL_POLICIES.to_owned())
        .display_fallback();
    let json = bpaf::long("json")
        .help("File for the results as JSON; standard output if not given")
        .argument::<PathBuf>("OUT")
        .optional();
    let disabled_feature = bpaf::long("without")
        .help("Feature of the kingcupfall scheduler to disable, such as forecast or pauses")
        .argument::<String>("DECISION")
        .optional();
    let report = bpaf::long("report")
        .help("Folder for an HTML page with plots")
        .argument::<PathBuf>("DIR")
        .optional();
    let run = bpaf::construct!(RunArguments {
        scenario,
        policy,
        disabled_feature,
        json,
        report,
    });

    run.to_options()
        .descr("Runs a scenario under one or all policy sets")
        .command("run")
        .map(BenchCommand::Run)
}

fn latency_arguments() -> impl Parser<BenchCommand> {
    let streams = bpaf::long("streams")
        .help("Concurrent streams on each of the two sides")
        .argument::<usize>("COUNT")
        .fallback(DEFAULT_STREAMS)
        .display_fallback();
    let tokens = bpaf::long("tokens")
        .help("Tokens in each stream")
        .argument::<u64>("COUNT")
        .fallback(DEFAULT_TOKENS)
        .display_fallback();
    let json = bpaf::long("json")
        .help("File for the results as JSON")
        .argument::<PathBuf>("OUT")
        .optional();
    let arguments = bpaf::construct!(latency::LatencyArguments {
        streams,
        tokens,
        json,
    });

    arguments
        .to_options()
        .descr("Measures the delay that gateway and agent add to a token, over loopback sockets")
        .command("latency")
        .map(BenchCommand::Latency)
}

fn slopes_arguments() -> impl Parser<BenchCommand> {
    slopes::arguments()
        .to_options()
        .descr("Measures the costs of a process, a change and a frame as the fleet grows")
        .command("slopes")
        .map(BenchCommand::Slopes)
}

fn soak_arguments() -> impl Parser<BenchCommand> {
    soak::arguments()
        .to_options()
        .descr("Runs relays on loopback under faults, and checks their promises")
        .command("soak")
        .map(BenchCommand::Soak)
}

fn run(arguments: &RunArguments) -> Result<()> {
    let scenario = scenario::Scenario::load(&arguments.scenario)?;
    let policy_sets = match arguments.policy.as_str() {
        ALL_POLICIES => policies::PolicySet::ALL.to_vec(),
        name => vec![name.parse::<policies::PolicySet>().map_err(String::from)?],
    };

    let disabled_feature = match arguments.disabled_feature.as_deref() {
        None => None,
        Some(name) => Some(
            name.parse::<policies::SchedulerFeature>()
                .map_err(String::from)?,
        ),
    };

    let runs: Vec<report::PolicyRun> = policy_sets
        .into_iter()
        .map(|policy_set| {
            run_policy_set(
                &scenario,
                simulation::RunPolicies {
                    set: policy_set,
                    disabled_feature,
                },
            )
        })
        .collect();
    let results: BTreeMap<_, _> = runs
        .iter()
        .map(|run| (run.name.clone(), run.result.clone()))
        .collect();
    let scenario_name = scenario_name(&arguments.scenario);
    if let Some(folder) = &arguments.report {
        report::write_page(folder, &scenario_name, &runs)?;
    }
    let result = observer::RunResult {
        scenario: scenario_name,
        policies: results,
    };
    write_result(arguments, &result)
}

fn run_policy_set(
    scenario: &scenario::Scenario,
    policies: simulation::RunPolicies,
) -> report::PolicyRun {
    let policy_set = policies.set;
    let requests = scenario::draw_requests(scenario);
    eprintln!("{policy_set}: simulating {} requests", requests.len());

    let start = Instant::now();
    let (result, traces) = simulation::Simulation::new(scenario, policies, requests).run();
    eprintln!(
        "{policy_set}: finished in {:.1} s",
        start.elapsed().as_secs_f64()
    );
    report::PolicyRun {
        name: policy_set.name().into(),
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
