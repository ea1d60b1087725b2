//! Complete runs of small scenarios.

use std::collections::BTreeMap;

use kingcupfall_bench::observer;
use kingcupfall_bench::policies;
use kingcupfall_bench::scenario;
use kingcupfall_bench::simulation;
use yare::parameterized;

const QUIET: &str = include_str!("../../../scenarios/quiet.toml");
const QUIET_FAULTS: &str = include_str!("../../../scenarios/quiet-faults.toml");
const FLOOD: &str = include_str!("../../../scenarios/flood.toml");

/// Maximum number of requests that may fail under faults: the streams of one killed VM and of two
/// crashed engines.
const MAX_FAULT_LOSSES: u64 = 25;

#[test]
fn quiet_completes_all_requests() {
    let naive = run(QUIET, policies::PolicySet::Naive);
    let kingcupfall = run(QUIET, policies::PolicySet::Kingcupfall);

    assert_eq!(naive.completed, naive.requests);
    assert_eq!(kingcupfall.completed, kingcupfall.requests);
    assert_eq!(kingcupfall.requests, naive.requests);
    assert_eq!(violation_counts(&kingcupfall), [0; 6]);
}

#[parameterized(
    naive = { policies::PolicySet::Naive },
    least_outstanding = { policies::PolicySet::LeastOutstanding },
    kingcupfall = { policies::PolicySet::Kingcupfall },
)]
fn faults_cause_no_violations(set: policies::PolicySet) {
    let result = run(QUIET_FAULTS, set);
    assert_eq!(violation_counts(&result), [0; 6]);
}

#[test]
fn faults_fail_at_most_the_affected_requests() {
    let result = run(QUIET_FAULTS, policies::PolicySet::Kingcupfall);
    assert!(result.not_run + result.unknown <= MAX_FAULT_LOSSES);
}

#[test]
fn flood_causes_no_violations_or_preemptions() {
    let result = run(FLOOD, policies::PolicySet::Kingcupfall);
    assert_eq!(violation_counts(&result), [0; 6]);
    assert_eq!(result.preemptions, 0);
}

#[test]
fn quiet_result_is_stable() {
    let policies = policies::PolicySet::ALL
        .into_iter()
        .map(|set| (set.name().into(), run(QUIET, set)))
        .collect::<BTreeMap<_, _>>();
    let result = observer::RunResult {
        scenario: "quiet".into(),
        policies,
    };
    let text = serde_json::to_string_pretty(&result).unwrap();
    insta::assert_snapshot!(text);
}

#[test]
fn scenario_reports_all_findings() {
    let text = QUIET
        .replace("rate_per_s = 1.0", "rate_per_s = 0.0")
        .replace("count = 3", "count = 0");
    let error = scenario::Scenario::parse(&text).unwrap_err();
    insta::assert_snapshot!(error.to_string(), @r"
    engine.count: must be 1 to 256
    class[0].rate_per_s: must be over zero
    class[1].rate_per_s: must be over zero
    ");
}

fn run(text: &str, set: policies::PolicySet) -> observer::PolicyResult {
    let scenario = scenario::Scenario::parse(text).unwrap();
    let requests = scenario::draw_requests(&scenario);
    let (result, _) = simulation::Simulation::new(&scenario, set.into(), requests).run();
    result
}

fn violation_counts(result: &observer::PolicyResult) -> [u64; 6] {
    [
        result.lost_tokens,
        result.duplicate_tokens,
        result.mixed_generations,
        result.double_runs,
        result.false_not_run,
        result.late_admissions,
    ]
}
