//! Command line of the processes that take settings.

use std::fs;
use std::path;
use std::process;
use std::result;

use bpaf::Parser;
use kingcupfall_document::reader;

/// Exit status for settings with findings.
const FINDINGS_STATUS: u8 = 2;

/// What a process is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsCommand {
    /// File with the settings.
    pub settings: path::PathBuf,
    /// Whether to check the settings and end.
    pub check: bool,
}

impl SettingsCommand {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// The exit status of the process, after what is wrong was printed: 2 for settings with
    /// findings, and the usual failure for a file that can't be read.
    pub fn read<T: reader::TableValue>(&self) -> result::Result<T, process::ExitCode> {
        let name = self.settings.display();
        let text = fs::read_to_string(&self.settings).map_err(|error| {
            eprintln!("{name}: {error}");
            process::ExitCode::FAILURE
        })?;

        crate::load(&text).map_err(|findings| {
            for finding in findings.iter() {
                println!("{finding}");
            }
            process::ExitCode::from(FINDINGS_STATUS)
        })
    }
}

/// Returns the parser of the command line of a process with this description.
pub fn parse(description: &'static str) -> bpaf::OptionParser<SettingsCommand> {
    let settings = bpaf::long("settings")
        .help("TOML file with the settings")
        .argument::<path::PathBuf>("FILE");
    let check = bpaf::long("check")
        .help("Check the settings, print everything that is wrong with its place, and end")
        .switch();

    bpaf::construct!(SettingsCommand { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(description)
}
