//! Tests of the administration API and the metrics.

use crate::client;
use crate::system;

const BUFFERED_BODY: &str = r#"{"model":"report","prompt":"Duct 7","class":"report"}"#;

#[ntex::test]
async fn sections_listed_with_versions() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let response = system.get_administration("/v1/sections").await;

    let text: Vec<String> = response
        .json()
        .as_array()
        .unwrap()
        .iter()
        .map(|section| format!("{} {}", section["section"], section["version"]))
        .collect();
    insta::assert_snapshot!(text.join("\n"));
}

#[ntex::test]
async fn targets_listed_with_state() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let response = system.get_administration("/v1/targets").await;

    let mut targets = response.json();
    for target in targets.as_array_mut().unwrap() {
        target["silent_ms"] = "(time)".into();
    }
    insta::assert_snapshot!(serde_json::to_string_pretty(&targets).unwrap());
}

#[yare::parameterized(
    model = { "/v1/explain?model=report&organisation=exaustao&class=report" },
    service = { "/v1/explain?service=bookings&organisation=qurum" },
    unknown_organisation = { "/v1/explain?model=report&organisation=nobody" },
    neither_model_nor_service = { "/v1/explain?organisation=qurum" },
    unknown_key = { "/v1/explain?model=report&organisation=qurum&colour=red" },
)]
#[test_macro(ntex::test)]
async fn explain_responds(path: &str) {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let response = system.get_administration(path).await;

    let name = path.replace(|character: char| !character.is_ascii_alphanumeric(), "_");
    insta::assert_snapshot!(name, format!("{}\n\n{}", response.head, response.body));
}

#[ntex::test]
async fn dry_run_reports_findings_and_changes_nothing() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;
    let text = "[models.report]\nversion = 7\nmax_tokens = -1\n";

    let request = client::RequestText::new(
        "POST",
        "/v1/dry-run?section=models",
        system::ADMINISTRATION_KEY,
    );
    let address = system.gateway.administration_address();
    let rejected = client::exchange(address, &request.body(text)).await;
    let after = system.get_administration("/v1/sections").await;

    assert_eq!(after.json()[0]["version"], 1);
    assert!(after.json()[0]["rejected"].is_null());
    insta::assert_snapshot!(rejected.body);
}

#[yare::parameterized(
    sections = { "GET", "/v1/sections" },
    targets = { "GET", "/v1/targets" },
    explain = { "GET", "/v1/explain?model=report&organisation=qurum" },
    quarantine = { "GET", "/v1/quarantine" },
    dry_run = { "POST", "/v1/dry-run?section=models" },
)]
#[test_macro(ntex::test)]
async fn wrong_key_refused(method: &'static str, path: &str) {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let request = client::RequestText::new(method, path, system::EXAUSTAO_KEY);
    let address = system.gateway.administration_address();
    let response = client::exchange(address, &request).await;

    assert_eq!(response.status(), "401");
    assert_eq!(response.json()["code"], "unauthorized");
}

#[ntex::test]
async fn metrics_count_calls_and_problems() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let request = system::generation(system::EXAUSTAO_KEY, BUFFERED_BODY);
    system.exchange(&request).await;
    let wrong = system::generation("a wrong key", BUFFERED_BODY);
    system.exchange(&wrong).await;
    let text = system.get_administration("/metrics").await.body;

    let expected = [
        r#"kingcupfall_calls_total{organisation="exaustao",class="report",outcome="completed"} 1"#,
        r#"kingcupfall_answer_seconds_count{organisation="exaustao",class="report"} 1"#,
        r#"kingcupfall_problems_total{code="unauthorized"} 1"#,
        r#"kingcupfall_targets{state="ready"} 2"#,
        r#"kingcupfall_section_version{section="models"} 1"#,
        "kingcupfall_attempts_total 1",
        "kingcupfall_calls_in_progress 0",
    ];
    for line in expected {
        assert!(text.contains(line), "no {line} in {text}");
    }
}

#[ntex::test]
async fn health_served_at_administration_address() {
    let system = system::TestSystem::start(system::SystemOptions::default()).await;

    let healthy = system.get_administration("/healthz").await;
    system.gateway.stop();
    let stopping = system.get_administration("/healthz").await;

    assert_eq!(healthy.status(), "200");
    assert_eq!(stopping.status(), "503");
}
