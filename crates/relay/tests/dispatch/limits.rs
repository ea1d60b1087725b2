//! Targets that limit the requests they take from all relays together.

use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_relay::dispatch;

use crate::fixtures;

fn rate(per_second: f64) -> measures::RequestRate {
    measures::RequestRate::new(per_second).unwrap()
}

fn hear_limit(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    target: &str,
    limit: Option<f64>,
    sent_at: time::Timestamp,
) -> Vec<dispatch::DispatchEffect> {
    let heard = dispatch::DispatchEvent::LimitHeard {
        target: fixtures::engine_record(target).key,
        limit: limit.map(rate),
        sent_at,
    };
    dispatcher.handle(now, heard)
}

/// A response that was begun before the limit was heard says nothing of it.
#[test]
fn hear_no_limit_in_an_older_response_does_not_lift_it() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let heard_at = fixtures::START + Duration::from_millis(50);
    let later = fixtures::START + Duration::from_millis(90);
    let effects = hear_limit(&mut dispatcher, heard_at, "one", Some(2.0), fixtures::START);
    assert_eq!(effects.len(), 1);
    let effects = hear_limit(&mut dispatcher, later, "one", Some(2.0), heard_at);
    assert_eq!(effects, []);
    let effects = hear_limit(&mut dispatcher, later, "one", None, fixtures::START);
    assert_eq!(effects, []);
    assert_eq!(dispatcher.limited_target_count(), 1);
    let sent_at = later + Duration::from_millis(1);
    let heard_at = later + Duration::from_millis(2);
    let effects = hear_limit(&mut dispatcher, heard_at, "one", None, sent_at);
    assert_eq!(effects.len(), 1);
    assert_eq!(dispatcher.limited_target_count(), 0);
}
