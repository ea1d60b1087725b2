//! Command line of `kingcupfall-agent`.

use std::path;

use bpaf::Parser;

/// What the process is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentCommand {
    /// File with the settings.
    pub settings: path::PathBuf,
    /// Whether to check the settings and end.
    pub check: bool,
}

/// Returns the parser of the command line.
pub fn parse() -> bpaf::OptionParser<AgentCommand> {
    let settings = bpaf::long("settings")
        .help("TOML file with the settings")
        .argument::<path::PathBuf>("FILE");
    let check = bpaf::long("check")
        .help("Check the settings, print everything that is wrong with its place, and end")
        .switch();

    bpaf::construct!(AgentCommand { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The agent beside one target: the only process that talks to it")
}
