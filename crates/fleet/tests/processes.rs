//! Propagation of the document through the fleet from a running gateway to a running agent.

use std::net;
use std::time::Duration;

use kingcupfall_agent::shell as agent;
use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer;
use kingcupfall_fleet::shell;
use kingcupfall_gateway::reducer as gateway_reducer;
use kingcupfall_gateway::shell as gateway;
use kingcupfall_link::transport;
use kingcupfall_policy::schedule;
use kingcupfall_standin::configuration;
use kingcupfall_standin::vms;

const LINK_KEY: &[u8] = b"a key of sixteen bytes";
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(30);
const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

async fn start_agent() -> (agent::AgentHandle, agent::DocumentWatch) {
    let config = agent::AgentConfig {
        target: "engine-1".parse().unwrap(),
        vm: "vm-2".parse().unwrap(),
        zone: "a".parse().unwrap(),
        link_address: LOOPBACK,
        administration_address: LOOPBACK,
        instance_lock: None,
        link_key: transport::LinkKey::new(LINK_KEY),
        target_address: agent::TargetAddress::Engine(LOOPBACK),
    };
    let incarnation = ids::Incarnation::from_u128(1);
    let scheduler = Box::new(schedule::ImmediateScheduler::new());
    let opened = agent::AgentShell::open(config, incarnation, scheduler).await;
    let (shell, handle) = opened.unwrap();
    let documents = handle.documents();
    ntex::rt::spawn(shell.run());
    (handle, documents)
}

async fn start_gateway(
    configuration: &configuration::ConfigurationStandin,
    vms: &vms::VmStandin,
) -> gateway::GatewayHandle {
    let process = ids::ProcessId::from_u128(1);
    let setup = gateway::GatewaySetup {
        identity: gateway_reducer::GatewayIdentity {
            process,
            zone: "a".parse().unwrap(),
            seed: 1,
        },
        policies: gateway::default_policies(1),
        signing_key: keys::SigningKey::new(LINK_KEY),
        caller_address: LOOPBACK,
        administration_address: LOOPBACK,
        administration_key: keys::KeyHash::of_key("operator"),
        limits: gateway::ShellLimits::default(),
        connector: Box::new(gateway::TransportConnector::new(transport::LinkKey::new(
            LINK_KEY,
        ))),
    };
    let gateway = gateway::start(setup).unwrap();
    let fleet = shell::FleetSetup {
        identity: reducer::FleetIdentity {
            vm: "vm-1".parse().unwrap(),
            zone: "a".parse().unwrap(),
            address: LOOPBACK,
            process,
            role: reducer::FleetRole::Gateway,
            seed: 1,
        },
        link_key: transport::LinkKey::new(LINK_KEY),
        platform: Some(shell::PlatformAddresses {
            configuration_service: configuration.address(),
            vm_list: vms.address(),
        }),
        host: gateway.fleet_host(),
    };
    gateway.join_fleet(shell::start(fleet).await.unwrap());
    gateway
}

fn target_text(agent: net::SocketAddr, is_leaving: bool) -> String {
    format!(
        "[targets.engine-1]\nkind = \"engine\"\nmodels = [\"report\"]\nvm = \"vm-2\"\nzone = \
         \"a\"\nagent = \"{agent}\"\nleaving = {is_leaving}\n"
    )
}

async fn wait_for_document(
    documents: &mut agent::DocumentWatch,
    is_expected: impl Fn(&sections::OperatorDocument) -> bool,
) {
    let has_expected_document = |notice: &Option<shell::DocumentNotice>| {
        notice
            .as_ref()
            .is_some_and(|notice| is_expected(&notice.document))
    };
    let waiting = documents.wait_for(has_expected_document);
    let outcome = tokio::time::timeout(DOCUMENT_TIMEOUT, waiting).await;
    assert!(
        outcome.is_ok_and(|found| found.is_ok()),
        "the agent did not receive the expected document within {DOCUMENT_TIMEOUT:?}"
    );
}

#[ntex::test]
async fn agent_receives_the_document_from_its_gateway() {
    let configuration = configuration::ConfigurationStandin::start(LOOPBACK).unwrap();
    let vms = vms::VmStandin::start(LOOPBACK, Duration::ZERO).unwrap();
    let (handle, mut documents) = start_agent().await;
    let publish = |is_leaving| {
        let text = target_text(handle.link_address(), is_leaving);
        configuration.set_section(sections::SectionName::Targets, &text);
    };
    publish(false);
    let _gateway = start_gateway(&configuration, &vms).await;

    let target: ids::TargetName = "engine-1".parse().unwrap();
    wait_for_document(&mut documents, |document| {
        document.targets.contains_key(&target)
    })
    .await;

    publish(true);
    let is_leaving_target =
        |document: &sections::OperatorDocument| document.targets[&target].leaving;
    wait_for_document(&mut documents, is_leaving_target).await;
}
