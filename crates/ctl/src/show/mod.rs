//! Reports as readable text.

use std::fmt;

use kingcupfall_core::findings;
use kingcupfall_gateway::administration;
use serde::Serialize;

use crate::table;

/// Stands for a value that there is none of.
const NOTHING: &str = "-";

/// Everything that `status` shows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusReport {
    /// Sections of the document.
    pub sections: Vec<administration::SectionReport>,
    /// Targets by name.
    pub targets: Vec<administration::TargetReport>,
    /// Suspected and quarantined requests.
    pub quarantine: Vec<administration::QuarantineReport>,
    /// View of the fleet, when the gateway is a member of one.
    pub fleet: Option<administration::FleetReport>,
}

/// Writes a status.
pub fn show_status(status: &StatusReport) -> String {
    let sections = show_sections(&status.sections);
    let targets = show_targets(&status.targets);
    let quarantine = show_quarantine(&status.quarantine);
    let fleet = show_fleet(status.fleet.as_ref());
    format!("{sections}\n{targets}\n{quarantine}\n{fleet}")
}

/// Writes an explanation.
pub fn show_explain(report: &administration::ExplainReport) -> String {
    let head = format!(
        "{} for {} class {} (priority {})",
        report.requested, report.organisation, report.class, report.priority
    );
    let mut table = table::TextTable::new(&["TARGET", "STATE", "COST", "REASON"]);
    for standing in &report.targets {
        let cost = standing.cost_s.map(|cost| format!("{cost:.3} s"));
        table.push(vec![
            standing.target.to_string(),
            condition(standing.obstacle).into(),
            or_nothing(cost),
            or_nothing(standing.reason.as_ref()),
        ]);
    }
    format!("{head}\n\n{}", table.render())
}

/// Writes the result of a dry run.
pub fn show_dry_run(report: &administration::DryRunReport) -> String {
    match report.accepted {
        true => format!("{}: no findings\n", report.section),
        false => report.findings.to_string(),
    }
}

fn show_sections(sections: &[administration::SectionReport]) -> String {
    let head = ["SECTION", "VERSION", "AGE", "REJECTED", "NOTES"];
    let mut table = table::TextTable::new(&head);
    for section in sections {
        let age = section.age_s.map(|age| format!("{age} s"));
        table.push(vec![
            section.section.to_string(),
            or_nothing(section.version),
            or_nothing(age),
            or_nothing(section.rejected),
            section_notes(section),
        ]);
    }

    let mut text = table.render();
    for section in sections {
        show_findings(&mut text, "rejected", &section.findings);
        show_findings(&mut text, "without effect", &section.dangling);
    }
    text
}

fn section_notes(section: &administration::SectionReport) -> String {
    let mut notes = Vec::new();
    if let Some(version) = section.held {
        notes.push(format!("version {version} waits for a higher one"));
    }
    if let Some(version) = section.awaited {
        notes.push(format!("version {version} is known elsewhere"));
    }
    if section.conflict {
        notes.push("texts of one version differ".into());
    }
    notes.join("; ")
}

fn show_findings(text: &mut String, name: &str, findings: &findings::FindingList) {
    for finding in findings.iter() {
        text.push_str(&format!("  {name}: {finding}\n"));
    }
}

fn show_targets(targets: &[administration::TargetReport]) -> String {
    let head = [
        "TARGET", "ZONE", "STATE", "SERVES", "HERE", "RUNNING", "PAUSED", "QUEUED", "MEMORY",
        "DELAY",
    ];
    let mut table = table::TextTable::new(&head);
    for target in targets {
        let load = &target.load;
        table.push(vec![
            target.target.to_string(),
            target.zone.to_string(),
            condition(target.obstacle).into(),
            target.serves.join(","),
            target.in_flight.to_string(),
            load.running.to_string(),
            load.paused.to_string(),
            load.queued.to_string(),
            format!("{}/{}", load.memory_used, load.memory_total),
            format!("{} ms", load.queue_delay_ms),
        ]);
    }
    table.render()
}

fn show_quarantine(entries: &[administration::QuarantineReport]) -> String {
    if entries.is_empty() {
        return "no suspected requests\n".into();
    }
    let mut table = table::TextTable::new(&["FINGERPRINT", "STATE", "CRASHES", "KEPT FOR"]);
    for entry in entries {
        let state = match entry.quarantined {
            true => "quarantined",
            false => "suspect",
        };
        table.push(vec![
            entry.fingerprint.to_string(),
            state.into(),
            entry.crashes.to_string(),
            format!("{} s", entry.seconds_left),
        ]);
    }
    table.render()
}

fn show_fleet(fleet: Option<&administration::FleetReport>) -> String {
    let Some(fleet) = fleet else {
        return "no member of a fleet\n".into();
    };
    let mut table = table::TextTable::new(&["FLEET", ""]);
    let gateways = format!("{} serve, {} listed", fleet.zone_live, fleet.zone_listed);
    let calls = format!(
        "{} calls, {} failed, {} stale",
        fleet.service_calls, fleet.failed_readings, fleet.stale_readings
    );
    let lost: Vec<String> = fleet.lost.iter().map(|vm| vm.to_string()).collect();
    let rows = [
        (
            "document confirmed by peers",
            yes_or_no(fleet.is_confirmed).into(),
        ),
        ("reads for its zone", yes_or_no(fleet.is_reader).into()),
        ("other gateways of the zone", gateways),
        (
            "gateways lost",
            or_nothing(Some(lost.join(",")).filter(|text| !text.is_empty())),
        ),
        ("VMs leaving", fleet.departures.to_string()),
        ("links", fleet.active_links.to_string()),
        ("configuration service", calls),
    ];
    for (name, value) in rows {
        table.push(vec![name.into(), value]);
    }
    table.render()
}

fn yes_or_no(value: bool) -> &'static str {
    match value {
        true => "yes",
        false => "no",
    }
}

fn condition(obstacle: Option<administration::ObstacleReport>) -> &'static str {
    match obstacle {
        None => "ready",
        Some(administration::ObstacleReport::Leaving) => "leaving",
        Some(administration::ObstacleReport::NoLink) => "no link",
        Some(administration::ObstacleReport::Silent) => "silent",
        Some(administration::ObstacleReport::TargetDown) => "down",
    }
}

fn or_nothing(value: Option<impl fmt::Display>) -> String {
    value.map_or(NOTHING.into(), |value| value.to_string())
}
