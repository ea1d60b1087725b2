//! The decision log's size is bounded and writing to it never blocks; metrics have bounded labels.

use std::sync::mpsc;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_relay::dispatch;
use kingcupfall_relay::telemetry;
use kingcupfall_telemetry::logs;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Maximum number of bytes that a burst of records of one kind may write in a second.
const MAX_BURST_BYTES: usize = 100_000;

fn refusal_record() -> telemetry::DecisionRecord {
    telemetry::DecisionRecord::new(telemetry::RecordKind::Refused)
        .request("9c41d07be2a35f68")
        .outcome("crowded")
}

#[test]
fn write_burst_of_refusals_is_bounded_and_omitted_lines_are_counted() {
    let (sender, receiver) = mpsc::sync_channel(10_000);
    let log = telemetry::DecisionLog::new("vm-1", Some(logs::LineQueue::new(sender)));
    for _ in 0..5_000 {
        log.write(START, &refusal_record());
    }
    log.write(START + Duration::from_secs(1), &refusal_record());
    drop(log);

    let lines: Vec<_> = receiver.iter().collect();
    let bytes: usize = lines.iter().map(Vec::len).sum();
    assert!(bytes <= MAX_BURST_BYTES, "{bytes}");
    let omitted = lines
        .iter()
        .find(|line| String::from_utf8_lossy(line).contains("\"omitted\""))
        .unwrap();
    let omitted: serde_json::Value = serde_json::from_slice(omitted).unwrap();
    let written = lines.len() - 2;
    assert_eq!(omitted["outcome"], "refused");
    assert_eq!(omitted["count"], 5_000 - written);
}

/// The process must not end before its last records are written.
#[test]
fn is_written_only_without_lines_in_the_queue() {
    let (sender, _receiver) = mpsc::sync_channel(10);
    let log = telemetry::DecisionLog::new("vm-1", Some(logs::LineQueue::new(sender)));
    assert!(log.is_written());
    log.write(START, &refusal_record());
    assert!(!log.is_written());
}

#[test]
fn write_with_full_queue_drops_lines_without_blocking() {
    let (sender, _receiver) = mpsc::sync_channel(10);
    let log = telemetry::DecisionLog::new("vm-1", Some(logs::LineQueue::new(sender)));
    for _ in 0..100 {
        log.write(START, &refusal_record());
    }
    assert_eq!(log.lost_lines(), 90);
}

/// A configuration may have any number of routes. The number of label values must stay bounded, or
/// the metrics would use unbounded memory.
#[test]
fn record_call_of_routes_beyond_the_limit_shares_a_label() {
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
fn refused_record_names_the_prompt_part() {
    let part = "5c1e07a2".parse().unwrap();
    let reason = dispatch::RefusalReason::PartQuarantined(part);
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Refused)
        .outcome(reason.label())
        .part(reason.part());
    let record = serde_json::to_value(record).unwrap();
    assert_eq!(record["outcome"], "part_quarantined");
    assert_eq!(record["part"], "5c1e07a2");
}

#[test]
fn encode_includes_changes_of_prompt_parts() {
    let metrics = telemetry::RelayMetrics::new();
    metrics.record_prompt_crash();
    metrics.record_part_change("quarantined");
    let text = metrics.encode().unwrap();
    assert!(text.contains("kingcupfall_relay_prompt_crashes_total 1"));
    assert!(text.contains("kingcupfall_relay_part_changes_total{reason=\"quarantined\"} 1"));
}

#[test]
fn encode_includes_ages_of_routes_and_directory() {
    let metrics = telemetry::RelayMetrics::new();
    metrics.set_gauges(&telemetry::GaugeValues {
        routes_version: 8,
        routes_age: Duration::from_secs(61),
        directory_age: Duration::from_secs(3),
        ..telemetry::GaugeValues::default()
    });
    let text = metrics.encode().unwrap();
    assert!(text.contains("kingcupfall_relay_routes_age_seconds 61"));
    assert!(text.contains("kingcupfall_relay_directory_age_seconds 3"));
}
