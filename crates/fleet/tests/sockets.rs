//! Gateways and an agent over real sockets, with stand-ins for the platform's services.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer;
use kingcupfall_fleet::shell;
use kingcupfall_link::transport;
use kingcupfall_policy::quarantine;
use kingcupfall_standin::configuration;
use kingcupfall_standin::vms;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// What a host received from the fleet.
#[derive(Default)]
struct ReceivedUpdates {
    versions: Vec<u64>,
    rejected: Option<u64>,
    suspects: usize,
    departures: Vec<ids::VmName>,
    peer: Option<shell::FleetHandle>,
}

/// Host that records what it receives, and passes frames to the other end of its only link.
#[derive(Clone, Default)]
struct RecordingHost {
    received: Rc<RefCell<ReceivedUpdates>>,
}

impl shell::FleetHost for RecordingHost {
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>) {
        if let Some(peer) = &self.received.borrow().peer {
            peer.handle_frame(link, bytes);
        }
    }

    fn handle_document(&self, notice: shell::DocumentNotice) {
        let mut received = self.received.borrow_mut();
        let status = &notice.statuses[&sections::SectionName::Organisations];
        received.rejected = status.rejected.map(|version| version.get());
        if let Some(version) = status.accepted {
            received.versions.push(version.get());
        }
    }

    fn handle_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        self.received.borrow_mut().suspects += records.len();
    }

    fn handle_departures(&self, vms: Vec<ids::VmName>) {
        self.received.borrow_mut().departures.extend(vms);
    }
}

struct TestProcess {
    host: RecordingHost,
    handle: shell::FleetHandle,
}

struct TestFleet {
    configuration: configuration::ConfigurationStandin,
    vms: vms::VmStandin,
}

impl TestFleet {
    fn start() -> Self {
        let address = loopback();
        Self {
            configuration: configuration::ConfigurationStandin::start(address).unwrap(),
            vms: vms::VmStandin::start(address, Duration::ZERO).unwrap(),
        }
    }

    async fn gateway(&self, name: &str, zone: &str) -> TestProcess {
        let platform = shell::PlatformAddresses {
            configuration_service: self.configuration.address(),
            vm_list: self.vms.address(),
        };
        let role = reducer::FleetRole::Gateway;
        let process = start_process(name, zone, role, Some(platform)).await;
        self.vms.set_vm(vms::VmEntry {
            name: name.parse().unwrap(),
            zone: zone.parse().unwrap(),
            role: vms::VmRole::Gateway,
            address: process.handle.address(),
            leaving: false,
        });
        process
    }

    fn publish(&self, weight: u32) -> u64 {
        let text = format!("[organisations.exaustao]\nkey_hashes = []\nweight = {weight}\n");
        self.configuration
            .set_section(sections::SectionName::Organisations, &text)
            .get()
    }
}

async fn start_process(
    name: &str,
    zone: &str,
    role: reducer::FleetRole,
    platform: Option<shell::PlatformAddresses>,
) -> TestProcess {
    let host = RecordingHost::default();
    let setup = shell::FleetSetup {
        identity: reducer::FleetIdentity {
            vm: name.parse().unwrap(),
            zone: zone.parse().unwrap(),
            address: loopback(),
            process: ids::ProcessId::random(&mut rand::rng()),
            role,
            seed: 7,
        },
        link_key: transport::LinkKey::new(b"a key of sixteen bytes"),
        platform,
        host: Box::new(host.clone()),
    };
    let handle = shell::start(setup).await.unwrap();
    TestProcess { host, handle }
}

fn loopback() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// Opens a link between a gateway and an agent.
fn open_link(gateway: &TestProcess, agent: &TestProcess) {
    let link = ids::LinkId::new(1);
    gateway.host.received.borrow_mut().peer = Some(agent.handle.clone());
    agent.host.received.borrow_mut().peer = Some(gateway.handle.clone());
    gateway.handle.open_link(link, reducer::LinkKind::Agent);
    agent.handle.open_link(link, reducer::LinkKind::Feed);
}

async fn wait_for(condition: &str, is_done: impl Fn() -> bool) {
    let polling = async {
        while !is_done() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let outcome = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    assert!(outcome.is_ok(), "timed out waiting for {condition}");
}

fn has_version(process: &TestProcess, version: u64) -> bool {
    process.host.received.borrow().versions.last() == Some(&version)
}

#[ntex::test]
async fn change_reaches_all_gateways_and_the_agent() {
    let fleet = TestFleet::start();
    let first = fleet.publish(1);
    let gateways = [
        fleet.gateway("vm-1", "a").await,
        fleet.gateway("vm-2", "a").await,
        fleet.gateway("vm-3", "b").await,
    ];
    let agent = start_process("vm-4", "a", reducer::FleetRole::Agent, None).await;
    open_link(&gateways[0], &agent);
    let all = || gateways.iter().chain([&agent]);
    wait_for("the first version", || {
        all().all(|process| has_version(process, first))
    })
    .await;

    let second = fleet.publish(2);
    wait_for("the second version", || {
        all().all(|process| has_version(process, second))
    })
    .await;

    fleet.configuration.set_section(
        sections::SectionName::Organisations,
        "[organisations.x]\nwrong = 1\n",
    );
    let has_findings = |process: &TestProcess| process.host.received.borrow().rejected == Some(3);
    wait_for("the rejection", || all().all(has_findings)).await;
    assert!(all().all(|process| has_version(process, second)));

    for process in all() {
        assert!(process.host.received.borrow().versions.is_sorted());
    }
}

#[ntex::test]
async fn suspects_and_departures_reach_the_other_gateway() {
    let fleet = TestFleet::start();
    fleet.publish(1);
    let first = fleet.gateway("vm-1", "a").await;
    let second = fleet.gateway("vm-2", "b").await;
    let record = quarantine::SuspectRecord {
        fingerprint: work::RequestFingerprint::new(7),
        crashes: [Some(ids::CrashId::from_u128(1)), None],
        seconds_left: 600,
    };
    first.handle.propagate_suspects(vec![record]);
    wait_for("the suspect", || {
        second.host.received.borrow().suspects == 1
    })
    .await;

    fleet.vms.set_vm(vms::VmEntry {
        name: "vm-9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        role: vms::VmRole::Target,
        address: loopback(),
        leaving: true,
    });
    let leaving: ids::VmName = "vm-9".parse().unwrap();
    let has_departure =
        |process: &TestProcess| process.host.received.borrow().departures.contains(&leaving);
    wait_for("the departure", || {
        has_departure(&first) && has_departure(&second)
    })
    .await;
}

#[ntex::test]
async fn malformed_frames_on_an_agent_link_are_counted_and_stop_no_updates() {
    let fleet = TestFleet::start();
    let first = fleet.publish(1);
    let gateway = fleet.gateway("vm-1", "a").await;
    let agent = start_process("vm-4", "a", reducer::FleetRole::Agent, None).await;
    open_link(&gateway, &agent);
    let link = ids::LinkId::new(1);
    for _ in 0..10 {
        gateway.handle.handle_frame(link, vec![0xff; 100]);
    }

    wait_for("the version", || has_version(&agent, first)).await;
    let status = gateway.handle.status().await.unwrap();
    assert_eq!(status.counters.malformed_messages, 10);
}
