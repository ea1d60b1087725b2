//! The system under test: a gateway with scripted agents.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_gateway::reducer;
use kingcupfall_gateway::shell;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;

use crate::agent;
use crate::client;

/// Bearer key of the organisation `exaustao`.
pub const EXAUSTAO_KEY: &str = "key-of-exaustao";

/// Bearer key of the organisation `qurum`.
pub const QURUM_KEY: &str = "key-of-qurum";

/// Bearer key of the administration API.
pub const ADMINISTRATION_KEY: &str = "key-of-operators";

const ENGINE_ADDRESS: &str = "127.0.0.1:1";
const BOOKINGS_ADDRESS: &str = "127.0.0.1:2";

/// A gateway with the agents of an engine and of a service.
pub struct TestSystem {
    /// The gateway.
    pub gateway: shell::GatewayHandle,
    /// The agent of `engine-1`.
    pub engine: Rc<RefCell<agent::ScriptedAgent>>,
    /// The agent of `bookings-1`.
    pub bookings: Rc<RefCell<agent::ScriptedAgent>>,
}

/// Options that differ between tests.
pub struct SystemOptions {
    /// Behaviour of the engine.
    pub script: agent::TargetScript,
    /// Limits of the gateway's shell.
    pub limits: shell::ShellLimits,
    /// Policy on the limits of organisations.
    pub limit: Box<dyn limit::LimitPolicy>,
    /// Policy on requests that crash targets.
    pub quarantine: Box<dyn quarantine::QuarantinePolicy>,
}

impl Default for SystemOptions {
    fn default() -> Self {
        Self {
            script: agent::TargetScript::Generate(vec!["grease ", "depth ", "3 mm"]),
            limits: shell::ShellLimits {
                shutdown_delay: Duration::from_millis(100),
                ..shell::ShellLimits::default()
            },
            limit: Box::new(limit::NoLimit),
            quarantine: Box::new(quarantine::NoQuarantine),
        }
    }
}

impl TestSystem {
    /// Starts a system, and waits until both targets can be chosen.
    pub async fn start(options: SystemOptions) -> Self {
        let system = Self::start_without_document(options);
        system.gateway.set_document(document());
        system.wait_for_targets().await;
        system
    }

    /// Starts a system whose gateway has no document yet.
    pub fn start_without_document(options: SystemOptions) -> Self {
        let fleet = agent::AgentFleet::default();
        let engine = fleet.add("engine-1", address(ENGINE_ADDRESS), options.script);
        let script = agent::TargetScript::Echo;
        let bookings = fleet.add("bookings-1", address(BOOKINGS_ADDRESS), script);

        let gateway = shell::start(shell::GatewaySetup {
            identity: reducer::GatewayIdentity {
                process: ids::ProcessId::from_u128(1),
                zone: "a".parse().unwrap(),
                seed: 1,
            },
            policies: reducer::GatewayPolicies {
                placement: Box::new(place::RoundRobinPlacement::default()),
                retry: Box::new(retry::ImmediateRetry::new(3)),
                limit: options.limit,
                quarantine: options.quarantine,
            },
            signing_key: keys::SigningKey::new(b"signing secret of the tests"),
            caller_address: address("127.0.0.1:0"),
            administration_address: address("127.0.0.1:0"),
            administration_key: keys::KeyHash::of_key(ADMINISTRATION_KEY),
            limits: options.limits,
            connector: Box::new(fleet),
        })
        .unwrap();

        Self {
            gateway,
            engine,
            bookings,
        }
    }

    /// Sends one request on a new connection, and reads the response.
    pub async fn exchange(&self, request: &client::RequestText) -> client::ResponseText {
        client::exchange(self.gateway.caller_address(), request).await
    }

    /// Opens a connection to the callers' API.
    pub async fn connect(&self) -> client::Connection {
        client::Connection::open(self.gateway.caller_address()).await
    }

    /// Gets `path` of the administration API.
    pub async fn get_administration(&self, path: &str) -> client::ResponseText {
        let request = client::RequestText::new("GET", path, ADMINISTRATION_KEY);
        client::exchange(self.gateway.administration_address(), &request).await
    }

    async fn wait_for_targets(&self) {
        loop {
            let response = self.get_administration("/v1/targets").await;
            let targets = response.json();
            let targets = targets.as_array().unwrap();
            let is_usable = |target: &serde_json::Value| target["obstacle"].is_null();
            if targets.len() == 2 && targets.iter().all(is_usable) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Returns the document that all tests use.
fn document() -> acceptance::DocumentAcceptance {
    let mut accepted = acceptance::DocumentAcceptance::default();
    for section in sections::SectionName::ALL {
        let outcome = accepted.offer(acceptance::SectionText {
            section,
            version: measures::SectionVersion::new(1),
            text: section_text(section).into(),
        });
        assert_eq!(outcome, acceptance::OfferOutcome::Activated, "{section}");
    }
    accepted
}

fn section_text(section: sections::SectionName) -> String {
    match section {
        sections::SectionName::Models => {
            "[models.report]\nversion = \"7\"\nmax_tokens = 200".into()
        }
        sections::SectionName::Organisations => format!(
            "[organisations.exaustao]\nkey_hashes = [\"{}\"]\n\
             [organisations.qurum]\nkey_hashes = [\"{}\"]\n",
            keys::KeyHash::of_key(EXAUSTAO_KEY),
            keys::KeyHash::of_key(QURUM_KEY),
        ),
        sections::SectionName::Targets => format!(
            "[targets.engine-1]\nkind = \"engine\"\nmodels = [\"report\"]\nvm = \"vm-1\"\n\
             zone = \"a\"\nagent = \"{ENGINE_ADDRESS}\"\n\
             [targets.bookings-1]\nkind = \"service\"\nservice = \"bookings\"\nvm = \"vm-2\"\n\
             zone = \"a\"\nagent = \"{BOOKINGS_ADDRESS}\"\n"
        ),
        sections::SectionName::Priorities => "[priorities.exaustao.report]\npriority = 2".into(),
        sections::SectionName::Services => {
            "[services.bookings]\nrepeatable_paths = [\"lookups\"]\n[services.records]".into()
        }
        sections::SectionName::Limits => "[limits]".into(),
    }
}

/// Creates a request for a generation.
pub fn generation(key: &str, body: &str) -> client::RequestText {
    client::RequestText::new("POST", "/v1/generations", key).body(body)
}

fn address(text: &str) -> net::SocketAddr {
    text.parse().unwrap()
}
