//! Command line of `kingcupfall-gateway`.

use std::path;

use bpaf::Parser;

/// What the process is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayCommand {
    /// File with the settings.
    pub settings: path::PathBuf,
    /// Whether to check the settings and end.
    pub check: bool,
}

/// Returns the parser of the command line.
pub fn parse() -> bpaf::OptionParser<GatewayCommand> {
    let settings = bpaf::long("settings")
        .help("TOML file with the settings")
        .argument::<path::PathBuf>("FILE");
    let check = bpaf::long("check")
        .help("Check the settings, print everything that is wrong with its place, and end")
        .switch();

    bpaf::construct!(GatewayCommand { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A gateway: takes callers' calls and brings their answers back")
}
