//! Command line of `kingcupfall-standin`.

use bpaf::Parser;

/// What to run.
#[derive(Debug, Clone, PartialEq)]
pub enum StandinCommand {
    /// The whole system in this process.
    Demo {
        /// Whether to ask for one report and end.
        once: bool,
    },
}

/// Returns the parser of the command line.
pub fn parse() -> bpaf::OptionParser<StandinCommand> {
    demo()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Stand-ins of targets and platform, and a demonstration of the whole system")
}

fn demo() -> impl Parser<StandinCommand> {
    let once = bpaf::long("once")
        .help("Ask for one report, stream it, print its outcome and end")
        .switch();

    bpaf::construct!(StandinCommand::Demo { once })
        .to_options()
        .descr("Runs the whole system on loopback in this process")
        .command("demo")
}
