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
