//! `kingcupfall-agent`: the agent that runs beside one target.

use std::process;
use std::time::Duration;

use kingcupfall_agent::shell;
use kingcupfall_core::ids;
use kingcupfall_link::transport;
use kingcupfall_settings::agent;
use kingcupfall_settings::command;
use kingcupfall_telemetry::logs;
use tokio::signal::unix;

/// Response timeout of a plain service until the document sets one.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);

/// Text shown by `--help`.
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
    let deadline = settings.drain.deadline;
    let incarnation = ids::Incarnation::random(&mut rand::rng());
    let target = settings.target.name.clone();
    let config = agent_config(settings);
    let scheduler = shell::default_scheduler(&config.address);
    let (agent, handle) = shell::AgentShell::open(config, incarnation, scheduler).await?;

    log::info!(
        "agent of target {target} listening for links on {} and for administration on {}",
        handle.address(),
        handle.administration_address()
    );
    ntex::rt::spawn(stop_on_signal(handle, deadline));
    agent.run().await;
    Ok(())
}

fn agent_config(settings: agent::AgentSettings) -> shell::AgentConfig {
    let address = settings.target.address;
    let address = match settings.target.kind {
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
        listen: settings.listen.links,
        administration: settings.listen.administration,
        instance_lock: Some(settings.listen.instance_lock),
        link_key: transport::LinkKey::new(settings.link.key.as_bytes()),
        address,
    }
}

/// Drains the agent after a termination signal, and exits with an error after the deadline, if any.
async fn stop_on_signal(handle: shell::AgentHandle, deadline: Option<Duration>) {
    wait_for_signal().await;
    log::info!("stopping: refusing new work and waiting for running work to end");
    handle.stop().await;

    if let Some(deadline) = deadline {
        tokio::time::sleep(deadline).await;
        log::warn!("drain deadline passed; exiting without waiting for the remaining work");
        process::exit(1);
    }
}

async fn wait_for_signal() {
    let terminate = unix::signal(unix::SignalKind::terminate());
    let interrupt = unix::signal(unix::SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!("can't install signal handlers; the process ends only when it is killed");
        return std::future::pending().await;
    };

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
