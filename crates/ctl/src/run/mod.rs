//! Carrying a command out.

use std::fs;
use std::io;
use std::path;
use std::result;

use kingcupfall_core::findings;
use kingcupfall_document::check;
use kingcupfall_document::sections;
use quick_error::quick_error;
use serde::Serialize;

use crate::client;
use crate::command;
use crate::show;
use crate::trace;

/// Exit status for input with findings.
pub const FINDINGS_STATUS: u8 = 2;

/// Result of a command.
pub type Result<T> = result::Result<T, RunError>;

quick_error! {
    /// Reason why a command can't be carried out.
    #[derive(Debug)]
    pub enum RunError {
        /// A file can't be read.
        File(file: path::PathBuf, error: io::Error) {
            display("{}: {}", file.display(), error)
            source(error)
        }
        /// The gateway gave no answer.
        Client(error: client::ClientError) {
            from()
            source(error)
            display("{}", error)
        }
    }
}

/// What a command prints, and the status that it exits with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Exit status.
    pub status: u8,
}

/// Carries out a command.
///
/// # Errors
///
/// Any [`RunError`]. Findings are no error: they are output, with [`FINDINGS_STATUS`].
pub async fn run(command: command::CtlCommand) -> Result<CommandOutput> {
    match command {
        command::CtlCommand::Status(options) => run_status(&options).await,
        command::CtlCommand::Explain(options, explain) => run_explain(&options, &explain).await,
        command::CtlCommand::DryRun(options, section, file) => {
            run_dry_run(&options, section, &file).await
        }
        command::CtlCommand::Check { json, document } => run_check(json, &document),
        command::CtlCommand::Trace { request, files } => run_trace(&request, &files),
    }
}

async fn run_status(options: &command::GatewayOptions) -> Result<CommandOutput> {
    let client = client::AdministrationClient::new(options).await;
    let status = show::StatusReport {
        sections: client.sections().await?,
        targets: client.targets().await?,
        quarantine: client.quarantine().await?,
        fleet: client.fleet().await?,
    };
    Ok(output(options.json, &status, show::show_status(&status), 0))
}

async fn run_explain(
    options: &command::GatewayOptions,
    explain: &command::ExplainOptions,
) -> Result<CommandOutput> {
    let client = client::AdministrationClient::new(options).await;
    let report = client.explain(explain).await?;
    Ok(output(
        options.json,
        &report,
        show::show_explain(&report),
        0,
    ))
}

async fn run_dry_run(
    options: &command::GatewayOptions,
    section: sections::SectionName,
    file: &path::Path,
) -> Result<CommandOutput> {
    let text = read_file(file)?;
    let client = client::AdministrationClient::new(options).await;
    let report = client.dry_run(section, &text).await?;

    let status = findings_status(&report.findings);
    let shown = show::show_dry_run(&report);
    Ok(output(options.json, &report, shown, status))
}

fn run_check(json: bool, file: &path::Path) -> Result<CommandOutput> {
    let text = read_file(file)?;
    let checked = check::check_document(&text);
    let status = findings_status(&checked.findings);

    let shown = match checked.findings.is_empty() {
        true => check::DocumentSummary::of_document(&checked.document).to_string(),
        false => checked.findings.to_string(),
    };
    Ok(output(json, &checked.findings, shown, status))
}

fn run_trace(request: &str, files: &[path::PathBuf]) -> Result<CommandOutput> {
    let texts = files
        .iter()
        .map(|file| read_file(file))
        .collect::<Result<Vec<_>>>()?;
    let text = trace::trace(request, &texts);
    let status = match text.is_empty() {
        true => FINDINGS_STATUS,
        false => 0,
    };
    Ok(CommandOutput { text, status })
}

fn read_file(file: &path::Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| RunError::File(file.into(), error))
}

fn findings_status(findings: &findings::FindingList) -> u8 {
    match findings.is_empty() {
        true => 0,
        false => FINDINGS_STATUS,
    }
}

fn output(json: bool, value: &impl Serialize, shown: String, status: u8) -> CommandOutput {
    let text = match json {
        true => {
            let text = serde_json::to_string_pretty(value);
            text.expect("the reports can be written as JSON") + "\n"
        }
        false => shown,
    };
    CommandOutput { text, status }
}
