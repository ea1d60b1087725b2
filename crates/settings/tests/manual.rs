//! Checks the operators' reference of the settings: its examples can be loaded, and it describes
//! every key that they use.

use kingcupfall_settings::AgentSettings;
use kingcupfall_settings::GatewaySettings;
use kingcupfall_settings::load;

const MANUAL: &str = include_str!("../../../docs/operators/settings.md");

/// Returns the TOML example whose first line is the comment `name`.
fn example(name: &str) -> &'static str {
    let start = format!("```toml\n# {name}\n");
    let (_, rest) = MANUAL
        .split_once(&start)
        .expect("each binary has an example");
    rest.split("```").next().unwrap_or(rest)
}

#[test]
fn gateway_example_is_loaded() {
    let settings: GatewaySettings = load(example("gateway")).unwrap();
    assert_eq!(settings.limits.max_connections, 20_000);
}

#[test]
fn agent_example_is_loaded() {
    let settings: AgentSettings = load(example("agent")).unwrap();
    assert_eq!(settings.target.name.as_str(), "engine-1");
}

#[test]
fn example_keys_are_described() {
    for name in ["gateway", "agent"] {
        let mut section = "";
        for line in example(name).lines() {
            if let Some(heading) = line.strip_prefix('[') {
                section = heading.trim_end_matches(']');
            }
            if let Some((key, _)) = line.split_once(" = ") {
                let row = format!("| `{section}.{key}` |");
                assert!(MANUAL.contains(&row), "{section}.{key} is not described");
            }
        }
    }
}
