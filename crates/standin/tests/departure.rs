//! An agent that learns from the fleet's document that its target is leaving, over real sockets.

mod common;

use std::time::Duration;

use kingcupfall_agent::shell as agent;
use kingcupfall_core::ids;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_fleet::shell as fleet;
use kingcupfall_link::frames;
use kingcupfall_policy::quarantine;
use kingcupfall_standin::configuration;
use kingcupfall_standin::vms;
use tokio::sync::mpsc;

use common::link;

/// Id of the only link, between the test's gateway and the agent.
const LINK_ID: ids::LinkId = ids::LinkId::new(1);

/// Fleet host that passes outgoing frames to the test and ignores everything else.
struct ChannelHost {
    frames: mpsc::UnboundedSender<Vec<u8>>,
}

impl fleet::FleetHost for ChannelHost {
    fn send(&self, _link: ids::LinkId, bytes: Vec<u8>) {
        // An error means that the test has ended.
        let _ = self.frames.send(bytes);
    }

    fn handle_document(&self, _notice: fleet::DocumentNotice) {}

    fn handle_suspects(&self, _records: Vec<quarantine::SuspectRecord>) {}

    fn handle_departures(&self, _vms: Vec<ids::VmName>) {}
}

/// Stand-ins of the platform, and the fleet member of one gateway.
struct TestPlatform {
    configuration: configuration::ConfigurationStandin,
    fleet: fleet::FleetHandle,
    frames: mpsc::UnboundedReceiver<Vec<u8>>,
}

impl TestPlatform {
    async fn start() -> Self {
        let loopback = "127.0.0.1:0".parse().unwrap();
        let configuration = configuration::ConfigurationStandin::start(loopback).unwrap();
        let vms = vms::VmStandin::start(loopback, Duration::ZERO).unwrap();
        let (sender, frames) = mpsc::unbounded_channel();
        let setup = fleet::FleetSetup {
            identity: fleet_reducer::FleetIdentity {
                vm: "vm-entry".parse().unwrap(),
                zone: "a".parse().unwrap(),
                address: loopback,
                process: ids::ProcessId::from_u128(7),
                role: fleet_reducer::FleetRole::Gateway,
                seed: 7,
            },
            link_key: common::link_key(),
            platform: Some(fleet::PlatformAddresses {
                configuration_service: configuration.address(),
                vm_list: vms.address(),
            }),
            host: Box::new(ChannelHost { frames: sender }),
        };
        let fleet = fleet::start(setup).await.unwrap();
        vms.set_vm(vms::VmEntry {
            name: "vm-entry".parse().unwrap(),
            zone: "a".parse().unwrap(),
            role: vms::VmRole::Gateway,
            address: fleet.address(),
            leaving: false,
        });

        Self {
            configuration,
            fleet,
            frames,
        }
    }

    /// Forwards fleet frames in both directions until the agent reports that it is leaving.
    async fn forward_until_leaving(&mut self, link: &mut link::GatewayLink) {
        self.fleet
            .open_link(LINK_ID, fleet_reducer::LinkKind::Agent);
        for bytes in std::mem::take(&mut link.fleet_frames) {
            self.fleet.handle_frame(LINK_ID, bytes);
        }
        common::with_timeout("the agent to leave", async {
            while !link.is_agent_leaving {
                tokio::select! {
                    Some(bytes) = self.frames.recv() => {
                        link.send(frames::GatewayFrame::Fleet(bytes));
                    }
                    frame = link.next_frame() => {
                        if let Some(frames::AgentFrame::Fleet(bytes)) = frame {
                            self.fleet.handle_frame(LINK_ID, bytes);
                        }
                    }
                }
            }
        })
        .await;
    }
}

#[ntex::test]
async fn agent_leaves_when_document_marks_target_leaving() {
    let engine = common::start_engine();
    let address = agent::TargetAddress::Engine(engine.address());
    let agent = common::start_agent("engine-1", address).await;
    let mut link = link::GatewayLink::open(agent.handle.link_address()).await;
    let mut platform = TestPlatform::start().await;
    let models = "[models.report]\nversion = \"1\"\nmax_tokens = 10\n";
    let targets = format!(
        "[targets.engine-1]\nkind = \"engine\"\nmodels = [\"report\"]\nvm = \"vm-1\"\nzone = \"a\"\n\
         agent = \"{}\"\nleaving = true\n",
        agent.handle.link_address()
    );

    platform
        .configuration
        .set_section(sections::SectionName::Models, models);
    platform
        .configuration
        .set_section(sections::SectionName::Targets, &targets);

    platform.forward_until_leaving(&mut link).await;
}
