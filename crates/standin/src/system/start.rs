//! Start of the parts of the system, in the order of their dependencies.

use std::net;
use std::time::Duration;

use kingcupfall_agent::shell as agent;
use kingcupfall_core::engine::FencingMode;
use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_gateway::reducer as gateway_reducer;
use kingcupfall_gateway::shell as gateway;
use kingcupfall_link::transport;
use rand::Rng;

use super::GatewayAddresses;
use super::GatewayThread;
use super::LocalSystem;
use super::Result;
use super::RunningAgent;
use super::SystemConfig;
use super::document;
use super::thread;
use crate::configuration;
use crate::engine;
use crate::service;

/// Loopback address with port 0, which selects a free port.
const ANY_LOOPBACK_PORT: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Zones to which targets and gateways are assigned in turn.
const ZONES: [&str; 2] = ["poa-a", "poa-b"];

/// Timeout of calls from an agent to the plain service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);

/// Bearer key of the administration API of all gateways.
const ADMINISTRATION_KEY: &str = "operator-demo";

impl LocalSystem {
    /// Starts all parts in the current ntex system.
    ///
    /// # Errors
    ///
    /// Any [`super::SystemError`], if a part can't start.
    pub async fn start(config: SystemConfig) -> Result<Self> {
        let secrets = SystemSecrets::random();
        let configuration = configuration::ConfigurationStandin::start(ANY_LOOPBACK_PORT)?;
        let engines = start_engines(config.engines)?;
        let services = (0..config.services)
            .map(|_| service::ServiceStandin::start(ANY_LOOPBACK_PORT))
            .collect::<std::io::Result<Vec<_>>>()?;

        let mut agents = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            agents.push(start_engine_agent(index, engine, &secrets).await?);
        }
        for (index, service) in services.iter().enumerate() {
            agents.push(start_service_agent(index, service, &secrets).await?);
        }

        let mut system = Self {
            configuration,
            engines,
            services,
            agents,
            gateways: Vec::new(),
            secrets,
            acceptance: acceptance::DocumentAcceptance::default(),
        };
        system.publish_document();
        for _ in 0..config.gateways {
            system.add_gateway()?;
        }
        Ok(system)
    }

    /// Publishes new versions of all sections, with the current advertised addresses of the agents.
    pub fn publish_document(&mut self) {
        for section in sections::SectionName::ALL {
            let text = document::section_text(section, &self.agents);
            let version = self.configuration.set_section(section, &text);
            self.acceptance.offer(acceptance::SectionText {
                section,
                version,
                text,
            });
        }
        for gateway in &self.gateways {
            gateway.set_document(self.acceptance.clone());
        }
    }

    /// Kills an agent and starts a new one of the same target at another address.
    ///
    /// # Errors
    ///
    /// [`super::SystemError::Agent`].
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        let previous = self.agents.remove(index);
        previous.task.cancel();

        let replacement = start_agent(
            previous.target,
            previous.zone,
            previous.kind,
            previous.address,
            &self.secrets,
        )
        .await?;
        self.agents.insert(index, replacement);
        self.publish_document();
        Ok(())
    }

    /// Starts one more gateway in the current ntex system.
    ///
    /// # Errors
    ///
    /// [`super::SystemError::Gateway`].
    pub fn add_gateway(&mut self) -> Result<()> {
        let setup = gateway_setup(self.gateways.len(), &self.secrets);
        let gateway = gateway::start(setup)?;
        gateway.set_document(self.acceptance.clone());
        self.gateways.push(gateway);
        Ok(())
    }

    /// Starts a gateway in a thread and ntex system of its own, so that it can be killed.
    ///
    /// # Errors
    ///
    /// [`super::SystemError::Gateway`].
    pub async fn spawn_gateway(&self) -> Result<GatewayThread> {
        let secrets = self.secrets.clone();
        let document = self.acceptance.clone();

        let (thread, addresses) = thread::SystemThread::spawn(move || async move {
            let gateway = gateway::start(gateway_setup(0, &secrets))?;
            gateway.set_document(document);
            let addresses = GatewayAddresses {
                callers: gateway.caller_address(),
                administration: gateway.administration_address(),
            };
            Ok::<_, gateway::ShellError>((addresses, gateway))
        })
        .await?;
        Ok(GatewayThread { addresses, thread })
    }
}

/// Secrets shared by the agents and gateways of one system.
#[derive(Clone)]
pub(super) struct SystemSecrets {
    link: transport::LinkKey,
    signing: keys::SigningKey,
}

impl SystemSecrets {
    fn random() -> Self {
        let link: [u8; 32] = rand::rng().random();
        let signing: [u8; 32] = rand::rng().random();

        Self {
            link: transport::LinkKey::new(&link),
            signing: keys::SigningKey::new(&signing),
        }
    }
}

fn start_engines(configs: Vec<engine::EngineConfig>) -> Result<Vec<engine::EngineStandin>> {
    let mut engines = Vec::new();
    for config in configs {
        engines.push(engine::EngineStandin::start(config)?);
    }
    Ok(engines)
}

async fn start_engine_agent(
    index: usize,
    engine: &engine::EngineStandin,
    secrets: &SystemSecrets,
) -> Result<RunningAgent> {
    let kind = sections::TargetKind::Engine {
        models: vec![document::MODEL.parse().expect("the name is valid")],
        fencing: FencingMode::Checked,
    };
    let address = agent::TargetAddress::Engine(engine.address());
    start_numbered_agent("engine", index, kind, address, secrets).await
}

async fn start_service_agent(
    index: usize,
    service: &service::ServiceStandin,
    secrets: &SystemSecrets,
) -> Result<RunningAgent> {
    let kind = sections::TargetKind::Service {
        service: document::SERVICE.parse().expect("the name is valid"),
    };
    let address = agent::TargetAddress::Service {
        address: service.address(),
        timeout: SERVICE_TIMEOUT,
    };
    start_numbered_agent(document::SERVICE, index, kind, address, secrets).await
}

/// Starts an agent whose target is named `prefix` and the one-based index.
async fn start_numbered_agent(
    prefix: &str,
    index: usize,
    kind: sections::TargetKind,
    address: agent::TargetAddress,
    secrets: &SystemSecrets,
) -> Result<RunningAgent> {
    let target = format!("{prefix}-{}", index + 1)
        .parse()
        .expect("the name is valid");
    start_agent(target, zone_name(index), kind, address, secrets).await
}

async fn start_agent(
    target: ids::TargetName,
    zone: ids::ZoneName,
    kind: sections::TargetKind,
    address: agent::TargetAddress,
    secrets: &SystemSecrets,
) -> Result<RunningAgent> {
    let config = agent::AgentConfig {
        target: target.clone(),
        vm: document::vm_name(&target),
        zone: zone.clone(),
        link_address: ANY_LOOPBACK_PORT,
        administration_address: ANY_LOOPBACK_PORT,
        instance_lock: None,
        link_key: secrets.link.clone(),
        target_address: address.clone(),
    };
    let incarnation = ids::Incarnation::random(&mut rand::rng());
    let scheduler = agent::default_scheduler(&config.target_address);

    let (shell, handle) = agent::AgentShell::open(config, incarnation, scheduler).await?;
    Ok(RunningAgent {
        target,
        kind,
        zone,
        address,
        advertised_address: handle.link_address(),
        handle,
        task: ntex::rt::spawn(shell.run()),
    })
}

fn gateway_setup(index: usize, secrets: &SystemSecrets) -> gateway::GatewaySetup {
    gateway::GatewaySetup {
        identity: gateway_reducer::GatewayIdentity {
            process: ids::ProcessId::random(&mut rand::rng()),
            zone: zone_name(index),
            seed: rand::rng().random(),
        },
        policies: gateway::default_policies(rand::rng().random()),
        signing_key: secrets.signing.clone(),
        caller_address: ANY_LOOPBACK_PORT,
        administration_address: ANY_LOOPBACK_PORT,
        administration_key: keys::KeyHash::of_key(ADMINISTRATION_KEY),
        limits: gateway::ShellLimits::default(),
        connector: Box::new(gateway::TransportConnector::new(secrets.link.clone())),
    }
}

fn zone_name(index: usize) -> ids::ZoneName {
    ZONES[index % ZONES.len()]
        .parse()
        .expect("the name is valid")
}
