//! `kingcupfall-agent`: the agent that runs beside one target.

use std::process;
use std::time::Duration;

use kingcupfall_agent::shell;
use kingcupfall_core::ids;
use kingcupfall_link::transport;
use kingcupfall_settings::agent;
use kingcupfall_settings::command;
use kingcupfall_telemetry::logs;
use kingcupfall_telemetry::signals;

/// Response timeout of a plain service until the document sets one.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);

/// Shown by `--help`.
const DESCRIPTION: &str = "The agent beside one target: the only process that talks to it";

fn main() -> process::ExitCode {
    let command = command::parse(DESCRIPTION).run();
    let settings = match command.read::<agent::AgentSettings>() {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    if command.check {
        println!("{}: no findings", command.settings.display());
        return process::ExitCode::SUCCESS;
    }

    let system = ntex::rt::System::build()
        .name("kingcupfall-agent")
        .build(ntex::rt::DefaultRuntime);
    if let Err(error) = logs::start(settings.log.level.get()) {
        eprintln!("{error}");
        return process::ExitCode::FAILURE;
    }
    match system.block_on(run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(settings: agent::AgentSettings) -> shell::Result<()> {
    let stop_signals = signals::StopSignals::install();
    let drain_timeout = settings.drain.deadline;
    let incarnation = ids::Incarnation::random(&mut rand::rng());
    let target = settings.target.name.clone();
    let config = agent_config(settings);
    let scheduler = shell::default_scheduler(&config.target_address);
    let (agent, handle) = shell::AgentShell::open(config, incarnation, scheduler).await?;

    log::info!(
        "agent of target {target}: links at {}, administration at {}",
        handle.link_address(),
        handle.administration_address()
    );
    ntex::rt::spawn(stop_on_signal(handle, stop_signals, drain_timeout));
    agent.run().await;
    Ok(())
}

fn agent_config(settings: agent::AgentSettings) -> shell::AgentConfig {
    let address = settings.target.address;
    let target_address = match settings.target.kind {
        agent::TargetKind::Engine => shell::TargetAddress::Engine(address),
        agent::TargetKind::Service => shell::TargetAddress::Service {
            address,
            timeout: SERVICE_TIMEOUT,
        },
    };

    shell::AgentConfig {
        target: settings.target.name,
        vm: settings.node.vm,
        zone: settings.node.zone,
        link_address: settings.listen.links,
        administration_address: settings.listen.administration,
        instance_lock: Some(settings.listen.instance_lock),
        link_key: transport::LinkKey::new(settings.link.key.as_bytes()),
        target_address,
    }
}

/// Drains the agent after SIGTERM or SIGINT.
///
/// Exits with an error if the drain takes longer than `drain_timeout`; `None` sets no limit.
async fn stop_on_signal(
    handle: shell::AgentHandle,
    stop_signals: signals::StopSignals,
    drain_timeout: Option<Duration>,
) {
    stop_signals.wait().await;
    log::info!("stopping: refusing new work and waiting for the work in progress to end");
    handle.stop().await;

    if let Some(drain_timeout) = drain_timeout {
        tokio::time::sleep(drain_timeout).await;
        log::warn!("drain deadline passed; aborting the work in progress");
        process::exit(1);
    }
}
