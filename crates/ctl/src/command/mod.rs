//! Command line of `kingcupfall-ctl`.

use std::net;
use std::path;

use bpaf::Parser;
use kingcupfall_core::ids;
use kingcupfall_document::sections;

/// Environment variable that holds the bearer key of the administration API.
pub const KEY_VARIABLE: &str = "KINGCUPFALL_ADMINISTRATION_KEY";

/// Where to ask, and how to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayOptions {
    /// Address of a gateway's administration API.
    pub gateway: net::SocketAddr,
    /// Bearer key of the administration API.
    pub key: String,
    /// Whether to write JSON in place of tables.
    pub json: bool,
}

/// What to explain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Model that is asked for.
    pub model: Option<ids::ModelName>,
    /// Service that is asked for.
    pub service: Option<ids::ServiceName>,
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Class of the request.
    pub class: Option<ids::ClassName>,
}

/// What the process is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlCommand {
    /// Show sections, targets and quarantine of a gateway.
    Status(GatewayOptions),
    /// Show why targets are chosen or not.
    Explain(GatewayOptions, ExplainOptions),
    /// Try a changed section at a gateway.
    DryRun(GatewayOptions, sections::SectionName, path::PathBuf),
    /// Check a document without a gateway.
    Check {
        /// Whether to write JSON in place of lines.
        json: bool,
        /// The document.
        document: path::PathBuf,
    },
    /// Show one request's records out of log files of relays.
    Trace {
        /// The caller's id of its request.
        request: Box<str>,
        /// The log files.
        files: Vec<path::PathBuf>,
    },
}

/// Returns the parser of the command line.
pub fn parse() -> bpaf::OptionParser<CtlCommand> {
    bpaf::construct!([status(), explain(), dry_run(), check(), trace()])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Asks gateways what they know and why, and checks documents; changes nothing")
}

fn status() -> impl Parser<CtlCommand> {
    gateway_options()
        .map(CtlCommand::Status)
        .to_options()
        .descr("Shows the sections in force, the targets with their state, and the quarantine")
        .command("status")
}

fn explain() -> impl Parser<CtlCommand> {
    let gateway = gateway_options();
    let explain = explain_options();
    bpaf::construct!(CtlCommand::Explain(gateway, explain))
        .to_options()
        .descr("Shows how each target stands for a caller's work, and why")
        .command("explain")
}

fn dry_run() -> impl Parser<CtlCommand> {
    let gateway = gateway_options();
    let section = bpaf::positional::<sections::SectionName>("SECTION")
        .help("models, organisations, targets, priorities, services or limits");
    let file = bpaf::positional::<path::PathBuf>("FILE").help("TOML text of the whole section");
    bpaf::construct!(CtlCommand::DryRun(gateway, section, file))
        .to_options()
        .descr("Finds everything wrong with a changed section beside the others in force")
        .command("dry-run")
}

fn check() -> impl Parser<CtlCommand> {
    let json = json_switch();
    let document =
        bpaf::positional::<path::PathBuf>("DOCUMENT").help("TOML text with all sections");
    bpaf::construct!(CtlCommand::Check { json, document })
        .to_options()
        .descr("Checks a document; exits with 2 when there are findings")
        .command("check")
}

fn trace() -> impl Parser<CtlCommand> {
    let request = bpaf::positional::<String>("ID")
        .help("The caller's id of its request")
        .map(String::into_boxed_str);
    let files = bpaf::positional::<path::PathBuf>("FILE")
        .help("Log file of a relay")
        .some("name at least one log file");
    bpaf::construct!(CtlCommand::Trace { request, files })
        .to_options()
        .descr("Shows what happened to a request, and to the targets that it used")
        .command("trace")
}

fn gateway_options() -> impl Parser<GatewayOptions> {
    let gateway = bpaf::long("gateway")
        .help("IP number and port of a gateway's administration API")
        .argument::<net::SocketAddr>("ADDRESS");
    let key = bpaf::long("key")
        .env(KEY_VARIABLE)
        .help("Bearer key of the administration API")
        .argument::<String>("KEY");
    let json = json_switch();
    bpaf::construct!(GatewayOptions { gateway, key, json })
}

fn explain_options() -> impl Parser<ExplainOptions> {
    let model = bpaf::long("model")
        .help("Model that is asked for")
        .argument::<ids::ModelName>("NAME")
        .optional();
    let service = bpaf::long("service")
        .help("Service that is asked for, in place of a model")
        .argument::<ids::ServiceName>("NAME")
        .optional();
    let organisation = bpaf::long("organisation")
        .help("Organisation of the caller")
        .argument::<ids::OrganisationName>("NAME");
    let class = bpaf::long("class")
        .help("Class of the request")
        .argument::<ids::ClassName>("NAME")
        .optional();
    bpaf::construct!(ExplainOptions {
        model,
        service,
        organisation,
        class
    })
}

fn json_switch() -> impl Parser<bool> {
    bpaf::long("json")
        .help("Write JSON in place of tables")
        .switch()
}
