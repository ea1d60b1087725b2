//! Tests of rate and concurrency limits of organisations.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::limit;
use kingcupfall_policy::limit::LimitPolicy;

#[test]
fn calls_beyond_burst_are_refused_with_retry_delay() {
    let mut policy = limited_policy(2.0, 3, 100);

    let allowed = count_allowed(&mut policy, time::Timestamp::ZERO, 10);

    assert_eq!(allowed, 3);
    assert_eq!(
        policy.admit(time::Timestamp::ZERO, &organisation()),
        limit::LimitDecision::Refuse {
            retry_after: Duration::from_millis(500)
        }
    );
}

#[test]
fn tokens_refill_with_time_up_to_burst() {
    let mut policy = limited_policy(2.0, 3, 100);
    count_allowed(&mut policy, time::Timestamp::ZERO, 10);
    let later = time::Timestamp::ZERO + Duration::from_secs(1);
    let much_later = later + Duration::from_secs(3_600);

    assert_eq!(count_allowed(&mut policy, later, 10), 2);
    assert_eq!(count_allowed(&mut policy, much_later, 10), 3);
}

#[test]
fn calls_in_progress_are_limited_until_released() {
    let mut policy = limited_policy(1_000.0, 1_000, 2);
    let now = time::Timestamp::ZERO;
    assert_eq!(count_allowed(&mut policy, now, 10), 2);

    policy.release(now, &organisation());

    assert_eq!(count_allowed(&mut policy, now, 10), 1);
}

#[test]
fn lowered_limit_applies_at_once() {
    let mut policy = limited_policy(10.0, 100, 100);

    policy.configure(&organisation(), Some(organisation_limit(10.0, 1, 100)));

    assert_eq!(count_allowed(&mut policy, time::Timestamp::ZERO, 10), 1);
}

#[test]
fn organisation_without_limit_is_not_limited() {
    let mut policy = limited_policy(1.0, 1, 1);
    policy.configure(&organisation(), None);

    assert_eq!(count_allowed(&mut policy, time::Timestamp::ZERO, 10), 10);
}

fn limited_policy(calls_per_s: f64, burst: u32, concurrent_calls: u32) -> limit::BucketLimit {
    let mut policy = limit::BucketLimit::default();
    let limit = organisation_limit(calls_per_s, burst, concurrent_calls);
    policy.configure(&organisation(), Some(limit));
    policy
}

fn organisation_limit(
    calls_per_s: f64,
    burst: u32,
    concurrent_calls: u32,
) -> limit::OrganisationLimit {
    limit::OrganisationLimit {
        calls_per_s,
        burst,
        concurrent_calls,
    }
}

fn count_allowed(policy: &mut limit::BucketLimit, now: time::Timestamp, calls: u32) -> usize {
    (0..calls)
        .filter(|_| policy.admit(now, &organisation()) == limit::LimitDecision::Allow)
        .count()
}

fn organisation() -> ids::OrganisationName {
    "exaustao".parse().unwrap()
}
