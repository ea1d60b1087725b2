//! Tests of retry budgets and backoff.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::retry;
use kingcupfall_policy::retry::RetryPolicy;
use yare::parameterized;

const TIME_LEFT: Duration = Duration::from_secs(60);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

#[test]
fn used_up_budget_abandons_overloaded_call() {
    let organisation = organisation();
    let mut policy = retry::BudgetedRetry::new(1);

    let allowed = (0..1_000)
        .filter(|_| is_retried(&mut policy, &organisation, 1, retry::RetryCause::Overloaded))
        .count();

    assert_eq!(allowed, 10);
    assert!(matches!(
        decide(&mut policy, &organisation, 1, retry::RetryCause::Overloaded, TIME_LEFT),
        retry::RetryDecision::Abandon { retry_after } if retry_after > Duration::ZERO
    ));
}

#[test]
fn budget_grows_with_calls_up_to_limit() {
    let organisation = organisation();
    let mut policy = retry::BudgetedRetry::new(1);
    for _ in 0..10_000 {
        policy.record_call(time::Timestamp::ZERO, &organisation);
    }

    let allowed = (0..1_000)
        .filter(|_| is_retried(&mut policy, &organisation, 1, retry::RetryCause::Overloaded))
        .count();

    assert_eq!(allowed, 50);
}

#[test]
fn budgets_of_organisations_are_separate() {
    let flooding = organisation();
    let quiet: ids::OrganisationName = "qurum".parse().unwrap();
    let mut policy = retry::BudgetedRetry::new(1);
    while is_retried(&mut policy, &flooding, 1, retry::RetryCause::Overloaded) {}

    assert!(is_retried(
        &mut policy,
        &quiet,
        1,
        retry::RetryCause::Overloaded
    ));
}

#[parameterized(
    unavailable = { retry::RetryCause::Unavailable },
    no_target = { retry::RetryCause::NoTarget },
)]
fn retry_without_added_load_costs_no_budget(cause: retry::RetryCause) {
    let organisation = organisation();
    let mut policy = retry::BudgetedRetry::new(1);

    for _ in 0..1_000 {
        assert!(is_retried(&mut policy, &organisation, 3, cause));
    }
}

#[test]
fn lost_attempts_are_retried_up_to_limit() {
    let organisation = organisation();
    let mut policy = retry::BudgetedRetry::new(1);

    assert!(is_retried(
        &mut policy,
        &organisation,
        3,
        retry::RetryCause::Lost
    ));
    assert!(!is_retried(
        &mut policy,
        &organisation,
        4,
        retry::RetryCause::Lost
    ));
}

#[test]
fn call_past_its_deadline_is_abandoned() {
    let organisation = organisation();
    let mut policy = retry::BudgetedRetry::new(1);
    let cause = retry::RetryCause::NoTarget;

    let decision = decide(&mut policy, &organisation, 1, cause, Duration::ZERO);

    assert!(matches!(decision, retry::RetryDecision::Abandon { .. }));
}

#[parameterized(
    first = { 1, Duration::from_millis(50) },
    third = { 3, Duration::from_millis(200) },
    hundredth = { 100, MAX_BACKOFF },
)]
fn backoff_is_spread_up_to_its_ceiling(attempts: u32, ceiling: Duration) {
    let organisation = organisation();
    let mut policy = retry::BudgetedRetry::new(7);
    let cause = retry::RetryCause::NoTarget;

    let waits: Vec<Duration> = (0..500)
        .map(
            |_| match decide(&mut policy, &organisation, attempts, cause, TIME_LEFT) {
                retry::RetryDecision::After(wait) => wait,
                retry::RetryDecision::Abandon { .. } => {
                    panic!("call abandoned before its deadline")
                }
            },
        )
        .collect();

    assert!(waits.iter().all(|wait| *wait <= ceiling));
    assert!(waits.iter().any(|wait| *wait > ceiling / 2));
    assert!(waits.iter().any(|wait| *wait < ceiling / 2));
}

fn organisation() -> ids::OrganisationName {
    "exaustao".parse().unwrap()
}

fn is_retried(
    policy: &mut retry::BudgetedRetry,
    organisation: &ids::OrganisationName,
    attempts: u32,
    cause: retry::RetryCause,
) -> bool {
    match decide(policy, organisation, attempts, cause, TIME_LEFT) {
        retry::RetryDecision::After(_) => true,
        retry::RetryDecision::Abandon { .. } => false,
    }
}

fn decide(
    policy: &mut retry::BudgetedRetry,
    organisation: &ids::OrganisationName,
    attempts: u32,
    cause: retry::RetryCause,
    time_left: Duration,
) -> retry::RetryDecision {
    let request = retry::RetryRequest {
        organisation,
        attempts,
        cause,
        retry_after: Duration::ZERO,
        time_left,
    };
    policy.decide(time::Timestamp::ZERO, &request)
}
