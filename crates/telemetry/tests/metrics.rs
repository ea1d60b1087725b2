//! Metrics of calls: the number of labels is bounded, and stalls count only the time beyond the
//! allowances.

use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_telemetry::calls;
use kingcupfall_telemetry::labels;
use kingcupfall_telemetry::registry;

#[test]
fn classes_beyond_limit_share_a_label() {
    let mut limiter = labels::LabelLimiter::default();

    let own_labels: Vec<labels::CallerLabels> = (0..labels::MAX_CLASSES_PER_ORGANISATION)
        .map(|index| limiter.label(&tag(&format!("class-{index}"))))
        .collect();
    let shared_label = limiter.label(&tag("one-more"));
    let repeated_label = limiter.label(&tag("class-0"));

    assert_eq!(own_labels.len(), labels::MAX_CLASSES_PER_ORGANISATION);
    assert_eq!(shared_label.organisation, "exaustao");
    assert_eq!(shared_label.class, labels::OTHER_LABEL);
    assert_eq!(repeated_label, own_labels[0]);
}

#[test]
fn stall_counts_only_what_is_beyond_the_allowances() {
    let mut registry = registry::MetricRegistry::default();
    let metrics = calls::CallMetrics::register(&mut registry);
    let labels = labels::LabelLimiter::default().label(&tag("report"));

    let mut meter = metrics.start(time::Timestamp::ZERO, labels);
    meter.record_tokens(at_millis(2_000), 1);
    meter.record_tokens(at_millis(2_100), 3);
    meter.record_tokens(at_millis(2_600), 1);
    meter.finish(at_millis(2_600), work::CallOutcome::Completed);

    insta::assert_snapshot!(registry.encode());
}

#[test]
fn refused_call_has_no_stall() {
    let mut registry = registry::MetricRegistry::default();
    let metrics = calls::CallMetrics::register(&mut registry);
    let labels = labels::LabelLimiter::default().label(&tag("report"));

    let meter = metrics.start(time::Timestamp::ZERO, labels);
    meter.finish(at_millis(5_000), work::CallOutcome::NotRun);

    let text = registry.encode();
    assert!(!text.contains("stall_seconds_count"), "{text}");
    assert!(text.contains("outcome=\"not_run\"} 1"), "{text}");
}

fn at_millis(millis: u64) -> time::Timestamp {
    time::Timestamp::ZERO + Duration::from_millis(millis)
}

fn tag(class: &str) -> work::CallerTag {
    work::CallerTag {
        organisation: "exaustao".parse().unwrap(),
        class: class.parse().unwrap(),
        priority: measures::Priority::ZERO,
        weight: measures::Weight::new(1),
    }
}
