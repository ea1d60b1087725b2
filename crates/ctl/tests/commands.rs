//! Parsing of the command line, and the output of commands.

use std::path;

use kingcupfall_core::findings;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_ctl::command;
use kingcupfall_ctl::render;
use kingcupfall_ctl::run;
use kingcupfall_document::sections;
use kingcupfall_gateway::administration;
use kingcupfall_relay::shell;

#[yare::parameterized(
    valid = { "valid", false, 0 },
    invalid = { "invalid", false, 2 },
    invalid_json = { "invalid", true, 2 },
    syntax_error = { "syntax_error", false, 2 },
)]
#[test_macro(ntex::test)]
async fn check_prints_summary_or_findings(name: &str, json: bool, status: u8) {
    let document = document_file(name);

    let output = run::run(command::CtlCommand::Check { json, document })
        .await
        .unwrap();

    assert_eq!(output.status, status);
    insta::assert_snapshot!(format!("check_{name}_json_{json}"), output.text);
}

#[ntex::test]
async fn check_missing_file_is_error() {
    let document = document_file("absent");

    let result = run::run(command::CtlCommand::Check {
        json: false,
        document,
    })
    .await;

    assert!(matches!(result, Err(run::RunError::File(_, _))));
}

#[yare::parameterized(
    status = { &["status", "--gateway", "127.0.0.1:1", "--key", "k", "--json"], true },
    explain = {
        &["explain", "--gateway", "127.0.0.1:1", "--key", "k", "--model", "m", "--organisation", "o"],
        true
    },
    explain_at_relay = {
        &["explain", "--relay", "127.0.0.1:1", "--host", "h", "--path", "/p", "--prompt-tokens", "9"],
        true
    },
    explain_at_relay_without_path = { &["explain", "--relay", "127.0.0.1:1", "--host", "h"], false },
    explain_malformed_count = {
        &["explain", "--relay", "127.0.0.1:1", "--host", "h", "--path", "/p", "--prompt-tokens", "-1"],
        false
    },
    dry_run = { &["dry-run", "--gateway", "127.0.0.1:1", "--key", "k", "models", "f.toml"], true },
    check = { &["check", "d.toml"], true },
    unknown_section = {
        &["dry-run", "--gateway", "127.0.0.1:1", "--key", "k", "colours", "f.toml"],
        false
    },
    host_name = { &["status", "--gateway", "gateway:1", "--key", "k"], false },
    no_command = { &[], false },
)]
fn command_line_parses(arguments: &[&str], is_valid: bool) {
    let parsed = command::option_parser().run_inner(arguments);

    assert_eq!(parsed.is_ok(), is_valid, "{parsed:?}");
}

#[test]
fn render_status_shows_all_tables() {
    insta::assert_snapshot!(render::render_status(&status_report()));
}

#[test]
fn render_explain_shows_costs_and_obstacles() {
    let report = administration::ExplainReport {
        requested: "report".into(),
        organisation: "exaustao".parse().unwrap(),
        class: "report".parse().unwrap(),
        priority: measures::Priority::new(5),
        targets: vec![
            administration::CandidateReport {
                target: "engine-1".parse().unwrap(),
                obstacle: None,
                cost_s: Some(0.25),
                reason: Some("queue 0.2 s, other zone 0.05 s".into()),
            },
            administration::CandidateReport {
                target: "engine-2".parse().unwrap(),
                obstacle: Some(administration::ObstacleReport::Silent),
                cost_s: None,
                reason: None,
            },
        ],
    };

    insta::assert_snapshot!(render::render_explain(&report));
}

/// Guards against output and status 0 where no relay responded.
#[ntex::test]
async fn explain_request_without_relay_is_error() {
    let options = command::RequestOptions {
        relay: "127.0.0.1:1".parse().unwrap(),
        host: "h".into(),
        path: "/p".into(),
        prompt_tokens: 0,
        output_tokens: 0,
        organisation: None,
        json: true,
    };

    let result = run::run(command::CtlCommand::ExplainRequest(options)).await;

    assert!(matches!(result, Err(run::RunError::Relay(_))), "{result:?}");
}

/// Guards against names in the JSON of relays that this command does not know, and against outcomes
/// and obstacles that are not shown.
#[test]
fn render_request_shows_outcomes_and_obstacles() {
    let text = include_str!("texts/request_explanation.json");
    let explanation: shell::RequestExplanation = serde_json::from_str(text).unwrap();

    insta::assert_snapshot!(render::render_request(&explanation));
}

fn status_report() -> render::StatusReport {
    let mut findings = findings::FindingList::default();
    findings.push(findings::InputFinding {
        path: "models.report.version".into(),
        position: Some(findings::TextPosition {
            line: 2,
            column: 11,
        }),
        message: "must be a text".into(),
    });
    render::StatusReport {
        sections: vec![administration::SectionReport {
            section: sections::SectionName::Models,
            version: Some(measures::SectionVersion::new(41)),
            hash: None,
            age_s: Some(3_600),
            held: None,
            rejected: Some(measures::SectionVersion::new(42)),
            awaited: Some(measures::SectionVersion::new(43)),
            conflict: true,
            findings,
            dangling: findings::FindingList::default(),
        }],
        targets: vec![
            target_report("engine-1", None),
            target_report("engine-22", leaving_obstacle()),
        ],
        quarantine: vec![administration::QuarantineReport {
            fingerprint: "00000000000000ff".into(),
            crashes: 2,
            quarantined: true,
            seconds_left: 540,
        }],
        fleet: Some(administration::FleetReport {
            is_confirmed: true,
            is_reader: false,
            zone_live: 2,
            zone_listed: 3,
            lost: vec!["vm-3".parse().unwrap()],
            departures: 1,
            active_links: 8,
            service_calls: 120,
            failed_readings: 4,
            stale_readings: 1,
        }),
    }
}

fn target_report(
    name: &str,
    obstacle: Option<administration::ObstacleReport>,
) -> administration::TargetReport {
    administration::TargetReport {
        target: name.parse().unwrap(),
        zone: "south-a".parse().unwrap(),
        serves: vec!["report".into(), "tag".into()],
        link: administration::LinkReport::Open,
        obstacle,
        silent_ms: 120,
        incarnation: Some(ids::Incarnation::from_u128(7)),
        in_flight: 3,
        load: administration::LoadReport {
            running: 12,
            paused: 1,
            queued: 4,
            memory_used: measures::TokenCount::new(51_000),
            memory_total: measures::TokenCount::new(60_000),
            queue_delay_ms: 800,
        },
    }
}

fn leaving_obstacle() -> Option<administration::ObstacleReport> {
    Some(administration::ObstacleReport::Leaving)
}

fn document_file(name: &str) -> path::PathBuf {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/texts");
    directory.join(format!("{name}.toml"))
}
