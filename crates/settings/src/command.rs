//! Command line of the binaries that read a settings file.

use std::fs;
use std::path;
use std::process;
use std::result;

use bpaf::Parser;
use kingcupfall_document::reader;

/// Exit status if the settings have findings.
const INVALID_SETTINGS_STATUS: u8 = 2;

/// Parsed command line of a gateway or an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsCommand {
    /// Path of the settings file.
    pub settings: path::PathBuf,
    /// Whether to check the settings and exit without starting.
    pub check: bool,
}

impl SettingsCommand {
    /// Reads and checks the settings file.
    ///
    /// # Errors
    ///
    /// Prints what is wrong and returns the exit status of the process: 2 for settings with
    /// findings, which go to standard output, and 1 for a file that cannot be read.
    pub fn read<T: reader::TableValue>(&self) -> result::Result<T, process::ExitCode> {
        let name = self.settings.display();
        let text = fs::read_to_string(&self.settings).map_err(|error| {
            eprintln!("can't read settings file {name}: {error}");
            process::ExitCode::FAILURE
        })?;

        crate::load(&text).map_err(|findings| {
            for finding in findings.iter() {
                println!("{finding}");
            }
            process::ExitCode::from(INVALID_SETTINGS_STATUS)
        })
    }
}

/// Returns the command line parser of a binary; `description` is shown in its help.
pub fn parse(description: &'static str) -> bpaf::OptionParser<SettingsCommand> {
    let settings = bpaf::long("settings")
        .help("TOML file with the settings")
        .argument::<path::PathBuf>("FILE");
    let check = bpaf::long("check")
        .help("Check the settings, print all findings with their positions, and exit")
        .switch();

    bpaf::construct!(SettingsCommand { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(description)
}
