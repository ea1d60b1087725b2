//! Command line of `kingcupfall-ctl`.

use std::net;
use std::path;

use bpaf::Parser;
use kingcupfall_core::ids;
use kingcupfall_document::sections;

/// Environment variable that holds the bearer key of the administration API.
pub const ADMINISTRATION_KEY_VARIABLE: &str = "KINGCUPFALL_ADMINISTRATION_KEY";

/// Gateway to query, and the output format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayOptions {
    /// Address of a gateway's administration API.
    pub gateway: net::SocketAddr,
    /// Bearer key of the administration API.
    pub key: String,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

/// Request whose placement is explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Requested model, unless a service is requested.
    pub model: Option<ids::ModelName>,
    /// Requested service, instead of a model.
    pub service: Option<ids::ServiceName>,
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Class of the request; the gateway uses its default class when `None`.
    pub class: Option<ids::ClassName>,
}

/// Request whose placement a relay explains, and the output format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOptions {
    /// Metrics address of the relay.
    pub relay: net::SocketAddr,
    /// Host name that the request is addressed to.
    pub host: Box<str>,
    /// Path of the request.
    pub path: Box<str>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Expected output tokens.
    pub output_tokens: u64,
    /// Organisation of the caller; `None` for a request without a key.
    pub organisation: Option<ids::OrganisationName>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

/// One command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlCommand {
    /// Show the sections, targets, quarantine and fleet of a gateway.
    Status(GatewayOptions),
    /// Show the cost of each target for a request, or why the target can't serve it.
    Explain(GatewayOptions, ExplainOptions),
    /// Show where a relay would send a request now, and why.
    ExplainRequest(RequestOptions),
    /// Validate a changed section at a gateway without activating it.
    DryRun(GatewayOptions, sections::SectionName, path::PathBuf),
    /// Check a document without a gateway.
    Check {
        /// Whether to print JSON instead of lines.
        json: bool,
        /// TOML file with all sections.
        document: path::PathBuf,
    },
    /// Show the records of one request from the log files of relays.
    Trace {
        /// Request id, as set by the caller.
        request: Box<str>,
        /// Log files to search.
        files: Vec<path::PathBuf>,
    },
}

/// Returns the parser of the command line.
pub fn option_parser() -> bpaf::OptionParser<CtlCommand> {
    bpaf::construct!([status(), explain(), dry_run(), check(), trace()])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Shows the state of gateways, checks documents and traces requests; changes nothing")
}

fn status() -> impl Parser<CtlCommand> {
    gateway_options()
        .map(CtlCommand::Status)
        .to_options()
        .descr(
            "Shows the active sections, the targets with their state, the quarantine and the fleet",
        )
        .command("status")
}

fn explain() -> impl Parser<CtlCommand> {
    let gateway = gateway_options();
    let explain = explain_options();
    let at_gateway = bpaf::construct!(CtlCommand::Explain(gateway, explain));
    let at_relay = request_options().map(CtlCommand::ExplainRequest);
    bpaf::construct!([at_gateway, at_relay])
        .to_options()
        .descr(
            "Shows the state and cost of each target for a caller's request; a relay also says \
             what would happen to it now",
        )
        .command("explain")
}

fn dry_run() -> impl Parser<CtlCommand> {
    let gateway = gateway_options();
    let section = bpaf::positional::<sections::SectionName>("SECTION")
        .help("models, organisations, targets, priorities, services or limits");
    let file = bpaf::positional::<path::PathBuf>("FILE").help("TOML text of the complete section");
    bpaf::construct!(CtlCommand::DryRun(gateway, section, file))
        .to_options()
        .descr("Validates a changed section against the other active sections of a gateway")
        .command("dry-run")
}

fn check() -> impl Parser<CtlCommand> {
    let json = json_switch();
    let document =
        bpaf::positional::<path::PathBuf>("DOCUMENT").help("TOML text with all sections");
    bpaf::construct!(CtlCommand::Check { json, document })
        .to_options()
        .descr("Checks a document without a gateway; exits with status 2 if there are findings")
        .command("check")
}

fn trace() -> impl Parser<CtlCommand> {
    let request = bpaf::positional::<String>("ID")
        .help("Request id, as set by the caller")
        .map(String::into_boxed_str);
    let files = bpaf::positional::<path::PathBuf>("FILE")
        .help("Log file of a relay")
        .some("name at least one log file");
    bpaf::construct!(CtlCommand::Trace { request, files })
        .to_options()
        .descr("Shows the log records of a request and of the targets that it used")
        .command("trace")
}

fn gateway_options() -> impl Parser<GatewayOptions> {
    let gateway = bpaf::long("gateway")
        .help("IP address and port of a gateway's administration API")
        .argument::<net::SocketAddr>("ADDRESS");
    let key = bpaf::long("key")
        .env(ADMINISTRATION_KEY_VARIABLE)
        .help("Bearer key of the administration API")
        .argument::<String>("KEY");
    let json = json_switch();
    bpaf::construct!(GatewayOptions { gateway, key, json })
}

fn explain_options() -> impl Parser<ExplainOptions> {
    let model = bpaf::long("model")
        .help("Requested model")
        .argument::<ids::ModelName>("NAME")
        .optional();
    let service = bpaf::long("service")
        .help("Requested service, instead of a model")
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

fn request_options() -> impl Parser<RequestOptions> {
    let relay = bpaf::long("relay")
        .help("IP address and port of a relay's metrics")
        .argument::<net::SocketAddr>("ADDRESS");
    let host = bpaf::long("host")
        .help("Host name that the request is addressed to")
        .argument::<String>("HOST")
        .map(String::into_boxed_str);
    let path = bpaf::long("path")
        .help("Path of the request")
        .argument::<String>("PATH")
        .map(String::into_boxed_str);
    let prompt_tokens = bpaf::long("prompt-tokens")
        .help("Tokens in the prompt")
        .argument::<u64>("N")
        .fallback(0);
    let output_tokens = bpaf::long("output-tokens")
        .help("Expected output tokens")
        .argument::<u64>("N")
        .fallback(0);
    let organisation = bpaf::long("organisation")
        .help("Organisation of the caller, by name")
        .argument::<ids::OrganisationName>("NAME")
        .optional();
    let json = json_switch();
    bpaf::construct!(RequestOptions {
        relay,
        host,
        path,
        prompt_tokens,
        output_tokens,
        organisation,
        json
    })
}

fn json_switch() -> impl Parser<bool> {
    bpaf::long("json")
        .help("Print JSON instead of tables")
        .switch()
}
