//! Starting the parts of the system in their order.

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
use super::process;
use crate::configuration;
use crate::engine;
use crate::service;

/// Any free port of loopback.
const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Zones over which targets and gateways are spread.
const ZONES: [&str; 2] = ["poa-a", "poa-b"];

/// Longest wait for an answer of the plain service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);

/// Key of the administration API of a system on loopback.
const ADMINISTRATION_KEY: &str = "operator-demo";

impl LocalSystem {
    /// Starts everything in the current ntex system.
    ///
    /// # Errors
    ///
    /// A [`super::SystemError`] when a part can't start.
    pub async fn start(config: SystemConfig) -> Result<Self> {
        let secrets = SystemSecrets::draw();
        let configuration = configuration::ConfigurationStandin::start(LOOPBACK)?;
        let engines = start_engines(config.engines)?;
        let services = (0..config.services)
            .map(|_| service::ServiceStandin::start(LOOPBACK))
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

    /// Publishes all sections again, with the agents' addresses as they are advertised now.
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

    /// Kills an agent and starts another one of the same target, at another address.
    ///
    /// # Errors
    ///
    /// [`super::SystemError::Agent`].
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        let old = self.agents.remove(index);
        old.ended.cancel();

        let fresh =
            launch_agent(old.target, old.zone, old.kind, old.address, &self.secrets).await?;
        self.agents.insert(index, fresh);
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

        let (thread, addresses) = process::SystemThread::spawn(move || async move {
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

/// Secrets that the processes of one system share.
#[derive(Clone)]
pub(super) struct SystemSecrets {
    link: transport::LinkKey,
    signing: keys::SigningKey,
}

impl SystemSecrets {
    fn draw() -> Self {
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
        models: vec![document::MODEL.parse().expect("a valid name")],
        fencing: FencingMode::Checked,
    };
    let address = agent::TargetAddress::Engine(engine.address());
    start_agent("engine", index, kind, address, secrets).await
}

async fn start_service_agent(
    index: usize,
    service: &service::ServiceStandin,
    secrets: &SystemSecrets,
) -> Result<RunningAgent> {
    let kind = sections::TargetKind::Service {
        service: document::SERVICE.parse().expect("a valid name"),
    };
    let address = agent::TargetAddress::Service {
        address: service.address(),
        timeout: SERVICE_TIMEOUT,
    };
    start_agent(document::SERVICE, index, kind, address, secrets).await
}

async fn start_agent(
    prefix: &str,
    index: usize,
    kind: sections::TargetKind,
    address: agent::TargetAddress,
    secrets: &SystemSecrets,
) -> Result<RunningAgent> {
    let target = format!("{prefix}-{}", index + 1)
        .parse()
        .expect("a valid name");
    launch_agent(target, zone(index), kind, address, secrets).await
}

async fn launch_agent(
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
        listen: LOOPBACK,
        administration: LOOPBACK,
        instance_lock: None,
        link_key: secrets.link.clone(),
        address: address.clone(),
    };
    let incarnation = ids::Incarnation::random(&mut rand::rng());
    let scheduler = agent::default_scheduler(&config.address);

    let (shell, handle) = agent::AgentShell::open(config, incarnation, scheduler).await?;
    Ok(RunningAgent {
        target,
        kind,
        zone,
        address,
        advertised: handle.address(),
        handle,
        ended: ntex::rt::spawn(shell.run()),
    })
}

fn gateway_setup(index: usize, secrets: &SystemSecrets) -> gateway::GatewaySetup {
    gateway::GatewaySetup {
        identity: gateway_reducer::GatewayIdentity {
            process: ids::ProcessId::random(&mut rand::rng()),
            zone: zone(index),
            seed: rand::rng().random(),
        },
        policies: gateway::standard_policies(rand::rng().random()),
        signing_key: secrets.signing.clone(),
        caller_address: LOOPBACK,
        administration_address: LOOPBACK,
        administration_key: keys::KeyHash::of_key(ADMINISTRATION_KEY),
        limits: gateway::ShellLimits::default(),
        connector: Box::new(gateway::TransportConnector::new(secrets.link.clone())),
    }
}

fn zone(index: usize) -> ids::ZoneName {
    ZONES[index % ZONES.len()].parse().expect("a valid name")
}
