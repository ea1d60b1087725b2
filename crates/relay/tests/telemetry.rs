//! The log stays bounded and holds nothing up.

use std::sync::mpsc;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_relay::telemetry;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Bytes a second that a flood of one kind may write.
const FLOOD_LIMIT_BYTES: usize = 100_000;

fn refusal() -> telemetry::DecisionRecord {
    telemetry::DecisionRecord::new(telemetry::RecordKind::Refused)
        .request("9c41d07be2a35f68")
        .outcome("crowded")
}

#[test]
fn write_flood_of_refusals_stays_bounded_and_is_counted() {
    let (sender, receiver) = mpsc::sync_channel(10_000);
    let log = telemetry::LogStream::new("vm-1", Some(sender));
    for _ in 0..5_000 {
        log.write(START, &refusal());
    }
    log.write(START + Duration::from_secs(1), &refusal());
    drop(log);

    let lines: Vec<_> = receiver.iter().collect();
    let bytes: usize = lines.iter().map(Vec::len).sum();
    assert!(bytes <= FLOOD_LIMIT_BYTES, "{bytes}");
    let omitted = lines
        .iter()
        .find(|line| String::from_utf8_lossy(line).contains("\"omitted\""))
        .unwrap();
    let omitted: serde_json::Value = serde_json::from_slice(omitted).unwrap();
    let written = lines.len() - 2;
    assert_eq!(omitted["outcome"], "refused");
    assert_eq!(omitted["count"], 5_000 - written);
}

#[test]
fn write_with_a_reader_that_stands_still_loses_lines_and_returns() {
    let (sender, _receiver) = mpsc::sync_channel(10);
    let log = telemetry::LogStream::new("vm-1", Some(sender));
    for _ in 0..100 {
        log.write(START, &refusal());
    }
    assert_eq!(log.lost(), 90);
}

/// A configuration may come with any number of routes; the labels of metrics do not grow with it.
#[test]
fn record_call_of_many_routes_shares_a_label_beyond_the_limit() {
    let metrics = telemetry::RelayMetrics::new();
    for index in 0..5_000 {
        let route = format!("route-{index}");
        let class = telemetry::CallClass {
            kind: "stream",
            route: &route,
            service: "report",
        };
        let took = Duration::from_millis(40);
        metrics.record_call(&class, "completed", "qurum", took);
        metrics.record_first_event(&class, took);
    }
    let text = metrics.encode().unwrap();
    assert!(text.contains("route=\"other\""));
    let calls = text
        .lines()
        .filter(|line| line.starts_with("kingcupfall_relay_calls_total"));
    assert_eq!(calls.count(), 601);
}

#[test]
fn encode_tells_the_age_of_configuration_and_directory() {
    let metrics = telemetry::RelayMetrics::new();
    metrics.set_state(&telemetry::MetricsState {
        routes_version: 8,
        routes_age: Duration::from_secs(61),
        directory_age: Duration::from_secs(3),
        ..telemetry::MetricsState::default()
    });
    let text = metrics.encode().unwrap();
    assert!(text.contains("kingcupfall_relay_routes_age_seconds 61"));
    assert!(text.contains("kingcupfall_relay_directory_age_seconds 3"));
}
