//! Rendering of reports as text for operators.

mod request;

use std::fmt;

use kingcupfall_core::findings;
use kingcupfall_gateway::administration;
use serde::Serialize;

use crate::table;

pub use request::render_request;

/// Shown for an absent value.
const NO_VALUE: &str = "-";

/// Reports that the command `status` shows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusReport {
    /// State of each section of the document.
    pub sections: Vec<administration::SectionReport>,
    /// State and load of each target, by name.
    pub targets: Vec<administration::TargetReport>,
    /// Suspected and quarantined requests.
    pub quarantine: Vec<administration::QuarantineReport>,
    /// The gateway's view of its fleet; `None` if it is not a member of one.
    pub fleet: Option<administration::FleetReport>,
}

/// Renders the tables of the command `status`.
pub fn render_status(status: &StatusReport) -> String {
    let sections = render_sections(&status.sections);
    let targets = render_targets(&status.targets);
    let quarantine = render_quarantine(&status.quarantine);
    let fleet = render_fleet(status.fleet.as_ref());
    format!("{sections}\n{targets}\n{quarantine}\n{fleet}")
}

/// Renders the table of the command `explain`.
pub fn render_explain(report: &administration::ExplainReport) -> String {
    let title = format!(
        "{} for {} class {} (priority {})",
        report.requested, report.organisation, report.class, report.priority
    );
    let mut table = table::TextTable::new(&["TARGET", "STATE", "COST", "REASON"]);
    for candidate in &report.targets {
        let cost = candidate.cost_s.map(|cost| format!("{cost:.3} s"));
        table.push(vec![
            candidate.target.to_string(),
            target_state(candidate.obstacle).into(),
            value_or_dash(cost),
            value_or_dash(candidate.reason.as_ref()),
        ]);
    }
    format!("{title}\n\n{}", table.render())
}

/// Renders the findings of a dry run, or one line that there are none.
pub fn render_dry_run(report: &administration::DryRunReport) -> String {
    match report.accepted {
        true => format!("{}: no findings\n", report.section),
        false => report.findings.to_string(),
    }
}

fn render_sections(sections: &[administration::SectionReport]) -> String {
    let header = ["SECTION", "VERSION", "AGE", "REJECTED", "NOTES"];
    let mut table = table::TextTable::new(&header);
    for section in sections {
        let age = section.age_s.map(|age| format!("{age} s"));
        table.push(vec![
            section.section.to_string(),
            value_or_dash(section.version),
            value_or_dash(age),
            value_or_dash(section.rejected),
            section_notes(section),
        ]);
    }

    let mut text = table.render();
    for section in sections {
        push_findings(&mut text, "rejected", &section.findings);
        push_findings(&mut text, "without effect", &section.dangling);
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

fn push_findings(text: &mut String, label: &str, findings: &findings::FindingList) {
    for finding in findings.iter() {
        text.push_str(&format!("  {label}: {finding}\n"));
    }
}

fn render_targets(targets: &[administration::TargetReport]) -> String {
    let header = [
        "TARGET", "ZONE", "STATE", "SERVES", "HERE", "RUNNING", "PAUSED", "QUEUED", "MEMORY",
        "DELAY",
    ];
    let mut table = table::TextTable::new(&header);
    for target in targets {
        let load = &target.load;
        table.push(vec![
            target.target.to_string(),
            target.zone.to_string(),
            target_state(target.obstacle).into(),
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

fn render_quarantine(entries: &[administration::QuarantineReport]) -> String {
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

fn render_fleet(fleet: Option<&administration::FleetReport>) -> String {
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
            value_or_dash(Some(lost.join(",")).filter(|text| !text.is_empty())),
        ),
        ("VMs leaving", fleet.departures.to_string()),
        ("links", fleet.active_links.to_string()),
        ("configuration service", calls),
    ];
    for (label, value) in rows {
        table.push(vec![label.into(), value]);
    }
    table.render()
}

fn yes_or_no(value: bool) -> &'static str {
    match value {
        true => "yes",
        false => "no",
    }
}

fn target_state(obstacle: Option<administration::ObstacleReport>) -> &'static str {
    match obstacle {
        None => "ready",
        Some(administration::ObstacleReport::Leaving) => "leaving",
        Some(administration::ObstacleReport::NoLink) => "no link",
        Some(administration::ObstacleReport::Silent) => "silent",
        Some(administration::ObstacleReport::TargetDown) => "down",
    }
}

fn value_or_dash(value: Option<impl fmt::Display>) -> String {
    value.map_or(NO_VALUE.into(), |value| value.to_string())
}
