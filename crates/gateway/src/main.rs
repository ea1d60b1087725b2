//! `kingcupfall-gateway`: forwards calls to targets, and returns each response complete and only
//! once.

use std::error;
use std::process;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_fleet::shell as fleet_shell;
use kingcupfall_gateway::reducer;
use kingcupfall_gateway::shell;
use kingcupfall_link::transport;
use kingcupfall_settings::command;
use kingcupfall_settings::gateway;
use kingcupfall_telemetry::logs;
use kingcupfall_telemetry::signals;
use rand::Rng;

/// Prefix that derives the signing key of idempotency keys from the link secret, so that it differs
/// from the link key.
const SIGNING_LABEL: &[u8] = b"idempotency-keys:";

type Result<T> = std::result::Result<T, Box<dyn error::Error>>;

/// Shown by `--help`.
const DESCRIPTION: &str = "A gateway: forwards callers' calls to targets and returns the responses";

fn main() -> process::ExitCode {
    let command = command::parse(DESCRIPTION).run();
    let settings = match command.read::<gateway::GatewaySettings>() {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    if command.check {
        println!("{}: no findings", command.settings.display());
        return process::ExitCode::SUCCESS;
    }

    let system = ntex::rt::System::build()
        .name("kingcupfall-gateway")
        .build(ntex::rt::DefaultRuntime);
    match system.block_on(run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(settings: gateway::GatewaySettings) -> Result<()> {
    logs::start(settings.log.level.get())?;
    let stop_signals = signals::StopSignals::install();
    let process = ids::ProcessId::random(&mut rand::rng());
    let gateway = shell::start(gateway_setup(&settings, process))?;
    let fleet = fleet_shell::start(fleet_setup(&settings, process, gateway.fleet_host())).await?;
    gateway.join_fleet(fleet);
    log::info!(
        "gateway {process} on {}: callers at {}, administration at {}",
        settings.node.vm,
        gateway.caller_address(),
        gateway.administration_address(),
    );

    stop_signals.wait().await;
    log::info!("stopping: refusing new work and waiting for the work in progress to end");
    gateway.stop();
    wait_for_stop(&gateway, settings.drain.deadline).await;
    log::info!("stopped");
    Ok(())
}

fn gateway_setup(
    settings: &gateway::GatewaySettings,
    process: ids::ProcessId,
) -> shell::GatewaySetup {
    let secret = settings.link.key.as_bytes();
    shell::GatewaySetup {
        identity: reducer::GatewayIdentity {
            process,
            zone: settings.node.zone.clone(),
            seed: rand::rng().random(),
        },
        policies: shell::default_policies(rand::rng().random()),
        signing_key: keys::SigningKey::new(&[SIGNING_LABEL, secret].concat()),
        caller_address: settings.listen.callers,
        administration_address: settings.listen.administration,
        administration_key: settings.administration.key_hash,
        limits: shell_limits(&settings.limits),
        connector: Box::new(shell::TransportConnector::new(link_key(settings))),
    }
}

fn shell_limits(limits: &gateway::GatewayLimits) -> shell::ShellLimits {
    let connections = usize::try_from(limits.max_connections).unwrap_or(usize::MAX);
    shell::ShellLimits {
        body_bytes: usize::try_from(limits.max_body_size.get()).unwrap_or(usize::MAX),
        connections,
        concurrent_calls: connections,
        keep_alive: limits.idle_timeout,
        write_timeout: limits.idle_timeout,
        ..shell::ShellLimits::default()
    }
}

fn fleet_setup(
    settings: &gateway::GatewaySettings,
    process: ids::ProcessId,
    host: Box<dyn fleet_shell::FleetHost>,
) -> fleet_shell::FleetSetup {
    fleet_shell::FleetSetup {
        identity: fleet_reducer::FleetIdentity {
            vm: settings.node.vm.clone(),
            zone: settings.node.zone.clone(),
            address: settings.listen.peers,
            process,
            role: fleet_reducer::FleetRole::Gateway,
            seed: rand::rng().random(),
        },
        link_key: link_key(settings),
        platform: Some(fleet_shell::PlatformAddresses {
            configuration_service: settings.platform.configuration_service,
            vm_list: settings.platform.vm_list,
        }),
        host,
    }
}

fn link_key(settings: &gateway::GatewaySettings) -> transport::LinkKey {
    transport::LinkKey::new(settings.link.key.as_bytes())
}

/// Waits until the gateway has stopped, at most for `drain_timeout`; `None` sets no limit.
async fn wait_for_stop(gateway: &shell::GatewayHandle, drain_timeout: Option<Duration>) {
    let Some(drain_timeout) = drain_timeout else {
        return gateway.wait().await;
    };
    if tokio::time::timeout(drain_timeout, gateway.wait())
        .await
        .is_err()
    {
        log::warn!("drain deadline passed; aborting the work in progress");
    }
}
