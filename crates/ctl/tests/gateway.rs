//! Commands that query a running gateway.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_ctl::client;
use kingcupfall_ctl::command;
use kingcupfall_ctl::run;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_gateway::reducer;
use kingcupfall_gateway::shell;
use kingcupfall_link::transport;

const ADMINISTRATION_KEY: &str = "key-of-operators";

#[ntex::test]
async fn status_lists_active_sections() {
    let gateway = start_gateway();

    let command = command::CtlCommand::Status(gateway_options(&gateway, ADMINISTRATION_KEY));
    let output = run::run(command).await.unwrap();

    assert_eq!(output.status, 0);
    assert!(output.text.contains("organisations  1"), "{}", output.text);
    assert!(output.text.contains("models         -"), "{}", output.text);
}

#[ntex::test]
async fn explain_unknown_organisation_refused() {
    let gateway = start_gateway();

    let explain = command::ExplainOptions {
        model: Some("report".parse().unwrap()),
        service: None,
        organisation: "nobody".parse().unwrap(),
        class: None,
    };
    let command =
        command::CtlCommand::Explain(gateway_options(&gateway, ADMINISTRATION_KEY), explain);
    let result = run::run(command).await;

    assert!(matches!(
        result,
        Err(run::RunError::Client(client::ClientError::Refused(404, _)))
    ));
}

#[ntex::test]
async fn status_with_wrong_key_refused() {
    let gateway = start_gateway();

    let command = command::CtlCommand::Status(gateway_options(&gateway, "another key"));
    let result = run::run(command).await;

    assert!(matches!(
        result,
        Err(run::RunError::Client(client::ClientError::Refused(401, _)))
    ));
}

fn gateway_options(gateway: &shell::GatewayHandle, key: &str) -> command::GatewayOptions {
    command::GatewayOptions {
        gateway: gateway.administration_address(),
        key: key.into(),
        json: false,
    }
}

/// Starts a gateway whose document has one organisation and no targets.
fn start_gateway() -> shell::GatewayHandle {
    let loopback = "127.0.0.1:0".parse().unwrap();
    let link_key = transport::LinkKey::new(b"link key of the tests");
    let gateway = shell::start(shell::GatewaySetup {
        identity: reducer::GatewayIdentity {
            process: ids::ProcessId::from_u128(1),
            zone: "a".parse().unwrap(),
            seed: 1,
        },
        policies: shell::default_policies(1),
        signing_key: keys::SigningKey::new(b"signing secret of the tests"),
        caller_address: loopback,
        administration_address: loopback,
        administration_key: keys::KeyHash::of_key(ADMINISTRATION_KEY),
        limits: shell::ShellLimits {
            shutdown_delay: Duration::ZERO,
            ..shell::ShellLimits::default()
        },
        connector: Box::new(shell::TransportConnector::new(link_key)),
    })
    .unwrap();

    let mut document = acceptance::DocumentAcceptance::default();
    document.offer(acceptance::SectionText {
        section: sections::SectionName::Organisations,
        version: measures::SectionVersion::new(1),
        text: "[organisations.exaustao]\nkey_hashes = []\n".into(),
    });
    gateway.set_document(document);
    gateway
}
