//! Runs fault soaks of the relay, one seed after the other.

use std::error;
use std::path;
use std::result;
use std::time::Duration;

use bpaf::Parser;
use kingcupfall_soak as soak;
use quick_error::quick_error;

use crate::scenario;

/// Default number of relays, which is that of the first site.
const DEFAULT_RELAYS: usize = 4;

/// Default number of model servers.
const DEFAULT_ENGINES: usize = 6;

/// Default number of application servers.
const DEFAULT_REPLICAS: usize = 4;

/// Default number of clients.
const DEFAULT_CLIENTS: usize = 40;

/// Default duration of the soak for each seed.
const DEFAULT_DURATION: Duration = Duration::from_secs(40);

/// File name of the relay's program, which by default is in the folder of the bench's program.
const RELAY_PROGRAM: &str = "kingcupfall-relay";

/// Result of the soak command.
type Result<T> = result::Result<T, Box<dyn error::Error>>;

quick_error! {
    /// Error of soaks that ran to their end but broke a promise.
    #[derive(Debug)]
    enum SoakCommandError {
        /// The relay broke a promise in the soaks with these seeds.
        PromisesBroken(seeds: Vec<u64>) {
            display("the relay broke promises in the soaks with seeds {:?}", seeds)
        }
    }
}

/// Arguments of `soak`.
#[derive(Debug, Clone)]
pub struct SoakCommand {
    relay: Option<path::PathBuf>,
    seed: u64,
    seeds: u64,
    duration: scenario::DurationText,
    relays: usize,
    engines: usize,
    replicas: usize,
    clients: usize,
    untimed: bool,
}

/// Parses the arguments of `soak`.
pub fn arguments() -> impl Parser<SoakCommand> {
    let relay = bpaf::long("relay")
        .help("Program of the relay; by default the one in the folder of this program")
        .argument::<path::PathBuf>("FILE")
        .optional();
    let seed = option_with_default("seed", "First seed of the requests and faults", "N", 1);
    let seeds = option_with_default("seeds", "Number of consecutive seeds to run", "COUNT", 1);
    let duration = option_with_default(
        "for",
        "Duration of the soak for each seed",
        "TIME",
        scenario::DurationText::new(DEFAULT_DURATION),
    );
    let relays = option_with_default("relays", "Relays", "COUNT", DEFAULT_RELAYS);
    let engines = option_with_default("engines", "Model servers", "COUNT", DEFAULT_ENGINES);
    let replicas =
        option_with_default("replicas", "Application servers", "COUNT", DEFAULT_REPLICAS);
    let clients = option_with_default("clients", "Clients", "COUNT", DEFAULT_CLIENTS);
    let untimed = bpaf::long("untimed")
        .help("Skip the checks that can fail just because the machine is slow")
        .switch();
    bpaf::construct!(SoakCommand {
        relay,
        seed,
        seeds,
        duration,
        relays,
        engines,
        replicas,
        clients,
        untimed,
    })
}

fn option_with_default<T>(
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

/// Runs the soaks and prints a report of each.
///
/// # Errors
///
/// Returns an error if a soak can't run, or if the relay broke a promise in any of them.
pub fn run(command: &SoakCommand) -> Result<()> {
    let relay = match &command.relay {
        Some(relay) => relay.clone(),
        None => std::env::current_exe()?.with_file_name(RELAY_PROGRAM),
    };
    let mut failed_seeds = Vec::new();
    for seed in command.seed..command.seed + command.seeds {
        let report = soak::run(&soak::SoakArguments {
            relay: relay.clone(),
            seed,
            time: command.duration.get(),
            relays: command.relays,
            engines: command.engines,
            replicas: command.replicas,
            clients: command.clients,
            untimed: command.untimed,
        })?;
        print!("{report}");
        if !report.broken.is_empty() {
            failed_seeds.push(seed);
        }
    }
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => Err(SoakCommandError::PromisesBroken(failed_seeds).into()),
    }
}
