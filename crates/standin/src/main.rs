//! `kingcupfall-standin`: runs a stand-in of a target or of the platform, or a demonstration of the
//! complete system.

mod command;
mod files;

use std::error;
use std::io;
use std::net;
use std::process;
use std::result;
use std::time::Duration;

use kingcupfall_core::engine as core_engine;
use kingcupfall_standin::configuration;
use kingcupfall_standin::demo;
use kingcupfall_standin::engine;
use kingcupfall_standin::service;
use kingcupfall_standin::vms;

/// Result of running a command.
type Result<T> = result::Result<T, Box<dyn error::Error>>;

fn main() -> process::ExitCode {
    let command = command::option_parser().run();
    let system = ntex::rt::System::build()
        .name("kingcupfall-standin")
        .build(ntex::rt::DefaultRuntime);

    match system.block_on(run(command)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(command: command::StandinCommand) -> Result<()> {
    match command {
        command::StandinCommand::Demo { once } => {
            return Ok(demo::run(once, &mut io::stdout()).await?);
        }
        command::StandinCommand::Engine {
            listen,
            model,
            ignore_fencing,
        } => {
            let config = engine_config(listen, &model, ignore_fencing)?;
            print_address(engine::EngineStandin::start(config)?.address());
        }
        command::StandinCommand::Service { listen } => {
            print_address(service::ServiceStandin::start(listen)?.address());
        }
        command::StandinCommand::Configuration { listen, document } => {
            let standin = configuration::ConfigurationStandin::start(listen)?;
            print_address(standin.address());
            return files::publish_document(&standin, &document).await;
        }
        command::StandinCommand::Vms {
            listen,
            vms,
            lag_ms,
        } => {
            let standin = vms::VmStandin::start(listen, Duration::from_millis(lag_ms))?;
            print_address(standin.address());
            return files::publish_vms(&standin, &vms).await;
        }
    }

    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn engine_config(
    listen: net::SocketAddr,
    model: &str,
    ignore_fencing: bool,
) -> Result<engine::EngineConfig> {
    let mut config = engine::EngineConfig::on_loopback(&model.parse()?);
    config.listen = listen;
    if ignore_fencing {
        config.fencing = core_engine::FencingMode::Ignored;
    }
    Ok(config)
}

fn print_address(address: net::SocketAddr) {
    println!("http://{address}");
}
