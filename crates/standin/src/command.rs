//! Command line of `kingcupfall-standin`.

use std::net;
use std::path;

use bpaf::Parser;

/// Default address to listen on: a free loopback port.
const DEFAULT_LISTEN: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Model that an engine has loaded by default.
const DEFAULT_MODEL: &str = "report";

/// Default delay until the VM list shows a change.
const DEFAULT_LAG_MS: u64 = 5_000;

/// One command with its arguments.
#[derive(Debug, Clone, PartialEq)]
pub enum StandinCommand {
    /// Run the complete system in this process.
    Demo {
        /// Whether to request one report and exit.
        once: bool,
    },
    /// Run a model engine.
    Engine {
        /// Address to listen on.
        listen: net::SocketAddr,
        /// Model that is loaded at the start.
        model: Box<str>,
        /// Whether orders are executed regardless of their fencing number.
        ignore_fencing: bool,
    },
    /// Run a plain service.
    Service {
        /// Address to listen on.
        listen: net::SocketAddr,
    },
    /// Run the configuration service.
    Configuration {
        /// Address to listen on.
        listen: net::SocketAddr,
        /// TOML document whose sections are served.
        document: path::PathBuf,
    },
    /// Run the VM list.
    Vms {
        /// Address to listen on.
        listen: net::SocketAddr,
        /// JSON file with the VMs, in the format of `GET /v1/vms`.
        vms: path::PathBuf,
        /// Milliseconds until a change is shown.
        lag_ms: u64,
    },
}

/// Returns the parser of the command line.
pub fn option_parser() -> bpaf::OptionParser<StandinCommand> {
    let demo = demo();
    let engine = engine();
    let service = service();
    let configuration = configuration();
    let vms = vms();

    bpaf::construct!([demo, engine, service, configuration, vms])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Stand-ins of targets and platform, and a demonstration of the complete system")
}

fn demo() -> impl Parser<StandinCommand> {
    let once = bpaf::long("once")
        .help("Request one report, print its tokens and its outcome, and exit")
        .switch();

    bpaf::construct!(StandinCommand::Demo { once })
        .to_options()
        .descr("Runs the complete system on loopback in this process")
        .command("demo")
}

fn engine() -> impl Parser<StandinCommand> {
    let listen = listen();
    let model = bpaf::long("model")
        .help("Model that is loaded at the start")
        .argument::<String>("NAME")
        .map(Box::from)
        .fallback(DEFAULT_MODEL.into());
    let ignore_fencing = bpaf::long("ignore-fencing")
        .help("Execute orders regardless of their fencing number")
        .switch();

    bpaf::construct!(StandinCommand::Engine {
        listen,
        model,
        ignore_fencing
    })
    .to_options()
    .descr("Runs a model engine")
    .command("engine")
}

fn service() -> impl Parser<StandinCommand> {
    let listen = listen();

    bpaf::construct!(StandinCommand::Service { listen })
        .to_options()
        .descr("Runs a plain service that counts how often each call was executed")
        .command("service")
}

fn configuration() -> impl Parser<StandinCommand> {
    let listen = listen();
    let document = bpaf::long("document")
        .help("TOML document whose sections are served; its changes are published")
        .argument::<path::PathBuf>("FILE");

    bpaf::construct!(StandinCommand::Configuration { listen, document })
        .to_options()
        .descr("Runs the configuration service")
        .command("configuration")
}

fn vms() -> impl Parser<StandinCommand> {
    let listen = listen();
    let vms = bpaf::long("vms")
        .help("JSON file with the list, in the format of GET /v1/vms; its changes are published")
        .argument::<path::PathBuf>("FILE");
    let lag_ms = bpaf::long("lag-ms")
        .help("Milliseconds until a change is shown")
        .argument::<u64>("MS")
        .fallback(DEFAULT_LAG_MS)
        .display_fallback();

    bpaf::construct!(StandinCommand::Vms {
        listen,
        vms,
        lag_ms
    })
    .to_options()
    .descr("Runs the VM list, which shows changes with a delay")
    .command("vms")
}

fn listen() -> impl Parser<net::SocketAddr> {
    bpaf::long("listen")
        .help("IP address and port to listen on; port 0 selects a free one")
        .argument::<net::SocketAddr>("ADDRESS")
        .fallback(DEFAULT_LISTEN)
        .display_fallback()
}
