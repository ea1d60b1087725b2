//! Execution of commands.

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
use crate::client::relay;
use crate::command;
use crate::render;
use crate::trace;

/// Exit status for input with findings, and for a trace without records.
pub const FINDINGS_STATUS: u8 = 2;

/// Result of executing a command.
pub type Result<T> = result::Result<T, RunError>;

quick_error! {
    /// Error of executing a command.
    #[derive(Debug)]
    pub enum RunError {
        /// A file can't be read.
        File(file: path::PathBuf, error: io::Error) {
            display("can't read {}: {}", file.display(), error)
            source(error)
        }
        /// The request to the relay failed.
        Relay(error: relay::RelayError) {
            from()
            source(error)
            display("{}", error)
        }
        /// The request to the gateway failed.
        Client(error: client::ClientError) {
            from()
            source(error)
            display("{}", error)
        }
    }
}

/// Text and exit status of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Exit status of the process.
    pub status: u8,
}

/// Executes a command.
///
/// # Errors
///
/// Any [`RunError`]. Findings are not an error: they are printed, and the status is
/// [`FINDINGS_STATUS`].
pub async fn run(command: command::CtlCommand) -> Result<CommandOutput> {
    match command {
        command::CtlCommand::Status(options) => run_status(&options).await,
        command::CtlCommand::Explain(options, explain) => run_explain(&options, &explain).await,
        command::CtlCommand::ExplainRequest(options) => run_explain_request(&options).await,
        command::CtlCommand::DryRun(options, section, file) => {
            run_dry_run(&options, section, &file).await
        }
        command::CtlCommand::Check { json, document } => run_check(json, &document),
        command::CtlCommand::Trace { request, files } => run_trace(&request, &files),
    }
}

async fn run_status(options: &command::GatewayOptions) -> Result<CommandOutput> {
    let client = client::AdministrationClient::new(options).await;
    let report = render::StatusReport {
        sections: client.sections().await?,
        targets: client.targets().await?,
        quarantine: client.quarantine().await?,
        fleet: client.fleet().await?,
    };
    Ok(command_output(
        options.json,
        &report,
        render::render_status(&report),
        0,
    ))
}

async fn run_explain(
    options: &command::GatewayOptions,
    explain: &command::ExplainOptions,
) -> Result<CommandOutput> {
    let client = client::AdministrationClient::new(options).await;
    let report = client.explain(explain).await?;
    Ok(command_output(
        options.json,
        &report,
        render::render_explain(&report),
        0,
    ))
}

async fn run_explain_request(options: &command::RequestOptions) -> Result<CommandOutput> {
    let explanation = relay::explain(options).await?;
    let rendered = render::render_request(&explanation);
    Ok(command_output(options.json, &explanation, rendered, 0))
}

async fn run_dry_run(
    options: &command::GatewayOptions,
    section: sections::SectionName,
    file: &path::Path,
) -> Result<CommandOutput> {
    let text = read_file(file)?;
    let client = client::AdministrationClient::new(options).await;
    let report = client.dry_run(section, &text).await?;

    let status = exit_status(&report.findings);
    let rendered = render::render_dry_run(&report);
    Ok(command_output(options.json, &report, rendered, status))
}

fn run_check(json: bool, file: &path::Path) -> Result<CommandOutput> {
    let text = read_file(file)?;
    let checked = check::check_document(&text);
    let status = exit_status(&checked.findings);

    let rendered = match checked.findings.is_empty() {
        true => check::DocumentSummary::of_document(&checked.document).to_string(),
        false => checked.findings.to_string(),
    };
    Ok(command_output(json, &checked.findings, rendered, status))
}

fn run_trace(request: &str, files: &[path::PathBuf]) -> Result<CommandOutput> {
    let texts = files
        .iter()
        .map(|file| read_file(file))
        .collect::<Result<Vec<_>>>()?;
    let text = trace::trace_request(request, &texts);
    let status = match text.is_empty() {
        true => FINDINGS_STATUS,
        false => 0,
    };
    Ok(CommandOutput { text, status })
}

fn read_file(file: &path::Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| RunError::File(file.into(), error))
}

fn exit_status(findings: &findings::FindingList) -> u8 {
    match findings.is_empty() {
        true => 0,
        false => FINDINGS_STATUS,
    }
}

fn command_output(
    json: bool,
    value: &impl Serialize,
    rendered: String,
    status: u8,
) -> CommandOutput {
    let text = match json {
        true => {
            let text = serde_json::to_string_pretty(value);
            text.expect("reports can be serialised as JSON") + "\n"
        }
        false => rendered,
    };
    CommandOutput { text, status }
}
