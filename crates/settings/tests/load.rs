//! Loading of settings: valid texts, and all findings of invalid ones.

use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_settings::AgentSettings;
use kingcupfall_settings::GatewaySettings;
use kingcupfall_settings::load;
use kingcupfall_settings::sections;
use kingcupfall_settings::units;
use yare::parameterized;

const GATEWAY: &str = include_str!("texts/gateway.toml");
const AGENT: &str = include_str!("texts/agent.toml");
const INVALID_GATEWAY: &str = include_str!("texts/gateway_wrong.toml");
const INVALID_AGENT: &str = include_str!("texts/agent_wrong.toml");

#[test]
fn gateway_settings_are_loaded() {
    let settings: GatewaySettings = load(GATEWAY).unwrap();

    assert_eq!(settings.node.vm.as_str(), "vm-1");
    assert_eq!(settings.listen.peers.port(), 8082);
    assert_eq!(
        settings.limits.max_body_size,
        measures::ByteSize::new(4 << 20)
    );
    assert_eq!(settings.limits.max_connections, 10_000);
    assert_eq!(settings.drain.deadline, Some(Duration::from_secs(300)));
    assert_eq!(settings.log, sections::LogSettings::default());
}

#[test]
fn agent_settings_are_loaded() {
    let settings: AgentSettings = load(AGENT).unwrap();

    assert_eq!(settings.target.name.as_str(), "engine-1");
    assert_eq!(settings.platform.vm_list.port(), 9001);
    assert_eq!(settings.drain.deadline, None);
}

#[test]
fn gateway_all_findings() {
    let findings = load::<GatewaySettings>(INVALID_GATEWAY).unwrap_err();
    insta::assert_snapshot!(findings);
}

#[test]
fn agent_all_findings() {
    let findings = load::<AgentSettings>(INVALID_AGENT).unwrap_err();
    insta::assert_snapshot!(findings);
}

#[test]
fn gateway_empty_text() {
    let findings = load::<GatewaySettings>("").unwrap_err();
    insta::assert_snapshot!(findings);
}

#[test]
fn link_key_is_hidden_in_debug_output() {
    let settings: GatewaySettings = load(GATEWAY).unwrap();
    assert_eq!(format!("{:?}", settings.link.key), "LinkKey(..)");
}

#[parameterized(
    milliseconds = { "250ms", 250, "250ms" },
    seconds = { "60s", 60_000, "1min" },
    minutes = { "90min", 5_400_000, "90min" },
    hours = { "2h", 7_200_000, "2h" },
    zero = { "0s", 0, "0ms" },
)]
fn duration_roundtrip(text: &str, millis: u64, formatted: &str) {
    let duration: units::DurationText = text.parse().unwrap();
    assert_eq!(duration, units::DurationText::from_millis(millis));
    assert_eq!(duration.to_string(), formatted);
}

#[parameterized(
    no_unit = { "250" },
    no_number = { "s" },
    sign = { "-1s" },
    fraction = { "1.5s" },
    space = { "1 s" },
    other_unit = { "1d" },
    too_many_digits = { "99999999999999999999s" },
    overflow = { "9999999999999999999h" },
)]
fn malformed_duration_is_rejected(text: &str) {
    assert!(text.parse::<units::DurationText>().is_err());
}

#[parameterized(
    bytes = { "512B", 512, "512B" },
    kibibytes = { "64KiB", 65_536, "64KiB" },
    folded = { "1024KiB", 1_048_576, "1MiB" },
    gibibytes = { "1GiB", 1_073_741_824, "1GiB" },
)]
fn size_roundtrip(text: &str, bytes: u64, formatted: &str) {
    let size: units::SizeText = text.parse().unwrap();
    assert_eq!(size, units::SizeText::from_bytes(bytes));
    assert_eq!(size.to_string(), formatted);
}
