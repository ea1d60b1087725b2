//! Document of a system on loopback.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_document::sections;
use serde::Serialize;

use super::RunningAgent;

/// Bearer key of the organisation `exaustao`.
pub const EXAUSTAO_KEY: &str = "exaustao-demo";

/// Bearer key of the organisation `qurum`.
pub const QURUM_KEY: &str = "qurum-demo";

/// Model that all engines serve.
pub const MODEL: &str = "report";

/// Name of the plain service.
pub const SERVICE: &str = "bookings";

const MODELS: &str = include_str!("sections/models.toml");
const ORGANISATIONS: &str = include_str!("sections/organisations.toml");
const PRIORITIES: &str = include_str!("sections/priorities.toml");
const SERVICES: &str = include_str!("sections/services.toml");
const LIMITS: &str = include_str!("sections/limits.toml");

#[derive(Serialize)]
struct TargetDocument {
    targets: sections::TargetSection,
}

/// Returns the text of `section`, with the advertised addresses of `agents`.
pub(super) fn section_text(section: sections::SectionName, agents: &[RunningAgent]) -> Box<str> {
    match section {
        sections::SectionName::Models => MODELS.into(),
        sections::SectionName::Organisations => organisations_text(),
        sections::SectionName::Targets => targets_text(agents),
        sections::SectionName::Priorities => PRIORITIES.into(),
        sections::SectionName::Services => SERVICES.into(),
        sections::SectionName::Limits => LIMITS.into(),
    }
}

fn organisations_text() -> Box<str> {
    ORGANISATIONS
        .replace("@exaustao@", &key_hash(EXAUSTAO_KEY))
        .replace("@qurum@", &key_hash(QURUM_KEY))
        .into()
}

fn key_hash(key: &str) -> String {
    keys::KeyHash::of_key(key).to_string()
}

fn targets_text(agents: &[RunningAgent]) -> Box<str> {
    let targets = agents
        .iter()
        .map(|agent| (agent.target.clone(), target_entry(agent)))
        .collect();

    toml::to_string(&TargetDocument { targets })
        .expect("the section can be serialised as TOML")
        .into()
}

fn target_entry(agent: &RunningAgent) -> sections::TargetEntry {
    sections::TargetEntry {
        kind: agent.kind.clone(),
        vm: vm_name(&agent.target),
        zone: agent.zone.clone(),
        agent: agent.advertised_address,
        leaving: false,
    }
}

/// Returns the name of the VM that `target` runs on.
pub(super) fn vm_name(target: &ids::TargetName) -> ids::VmName {
    format!("vm-{target}")
        .parse()
        .expect("the VM name is within the length limit")
}
