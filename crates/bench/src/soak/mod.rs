//! Command that runs fault soaks, one seed after the other.

use std::error;
use std::path;
use std::result;
use std::time::Duration;

use bpaf::Parser;
use kingcupfall_soak as soak;
use quick_error::quick_error;

use crate::scenario;

/// Relays, unless the command says otherwise: as on the first site.
const DEFAULT_RELAYS: usize = 4;

/// Model servers, unless the command says otherwise.
const DEFAULT_ENGINES: usize = 6;

/// Servers of the application, unless the command says otherwise.
const DEFAULT_REPLICAS: usize = 4;

/// Clients, unless the command says otherwise.
const DEFAULT_CLIENTS: usize = 40;

/// Time of a soak, unless the command says otherwise.
const DEFAULT_TIME: Duration = Duration::from_secs(40);

/// Name of the relay's program, beside that of the bench.
const RELAY_PROGRAM: &str = "kingcupfall-relay";

/// Result of the command.
type Result<T> = result::Result<T, Box<dyn error::Error>>;

quick_error! {
    /// Reason why the command fails after it has run.
    #[derive(Debug)]
    enum FoundError {
        /// Seeds under which something did not hold.
        Broken(seeds: Vec<u64>) {
            display("something did not hold with the seeds {:?}", seeds)
        }
    }
}

/// What to run.
#[derive(Debug, Clone)]
pub struct SoakCommand {
    relay: Option<path::PathBuf>,
    seed: u64,
    seeds: u64,
    time: scenario::DurationText,
    relays: usize,
    engines: usize,
    replicas: usize,
    clients: usize,
    untimed: bool,
}

/// Returns the parser of the command's arguments.
pub fn arguments() -> impl Parser<SoakCommand> {
    let relay = bpaf::long("relay")
        .help("Program of the relay; the one beside this program without it")
        .argument::<path::PathBuf>("FILE")
        .optional();
    let seed = number("seed", "First seed of requests and faults", "N", 1);
    let seeds = number("seeds", "Number of seeds, one after the other", "COUNT", 1);
    let time = number(
        "for",
        "Time of each run",
        "TIME",
        scenario::DurationText::new(DEFAULT_TIME),
    );
    let relays = number("relays", "Relays", "COUNT", DEFAULT_RELAYS);
    let engines = number("engines", "Model servers", "COUNT", DEFAULT_ENGINES);
    let replicas = number("replicas", "Application servers", "COUNT", DEFAULT_REPLICAS);
    let clients = number("clients", "Clients", "COUNT", DEFAULT_CLIENTS);
    let untimed = bpaf::long("untimed")
        .help("Leave out what a slow machine alone can break")
        .switch();
    bpaf::construct!(SoakCommand {
        relay,
        seed,
        seeds,
        time,
        relays,
        engines,
        replicas,
        clients,
        untimed,
    })
}

fn number<T>(
    name: &'static str,
    help: &'static str,
    metavar: &'static str,
    fallback: T,
) -> impl Parser<T>
where
    T: std::str::FromStr + std::fmt::Display + Clone + 'static,
    T::Err: std::fmt::Display,
{
    bpaf::long(name)
        .help(help)
        .argument::<T>(metavar)
        .fallback(fallback)
        .display_fallback()
}

/// Runs the soaks and prints their reports.
///
/// # Errors
///
/// When a soak can't start, or something did not hold.
pub fn run(command: &SoakCommand) -> Result<()> {
    let relay = match &command.relay {
        Some(relay) => relay.clone(),
        None => std::env::current_exe()?.with_file_name(RELAY_PROGRAM),
    };
    let mut broken = Vec::new();
    for seed in command.seed..command.seed + command.seeds {
        let report = soak::run(&soak::SoakArguments {
            relay: relay.clone(),
            seed,
            time: command.time.get(),
            relays: command.relays,
            engines: command.engines,
            replicas: command.replicas,
            clients: command.clients,
            untimed: command.untimed,
        })?;
        print!("{report}");
        if !report.broken.is_empty() {
            broken.push(seed);
        }
    }
    match broken.is_empty() {
        true => Ok(()),
        false => Err(FoundError::Broken(broken).into()),
    }
}
