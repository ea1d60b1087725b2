//! Tests of the concurrency limit of a plain service.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::schedule;
use kingcupfall_policy::schedule::WorkScheduler;

const NOW: time::Timestamp = time::Timestamp::ZERO;
const START_WINDOW: Duration = Duration::from_secs(10);

#[test]
fn calls_beyond_limit_wait_in_order() {
    let mut scheduler = schedule::ConcurrentScheduler::new();
    scheduler.set_concurrency(2);
    (1..=4).for_each(|attempt| scheduler.submit(NOW, work(attempt)));

    assert_eq!(admitted(&mut scheduler, NOW), [1, 2]);
    scheduler.end(
        NOW,
        ids::AttemptId::from_u128(1),
        schedule::WorkOutcome::Finished,
    );
    assert_eq!(admitted(&mut scheduler, NOW), [3]);
}

#[test]
fn raised_limit_admits_waiting_calls_at_once() {
    let mut scheduler = schedule::ConcurrentScheduler::new();
    scheduler.set_concurrency(1);
    (1..=3).for_each(|attempt| scheduler.submit(NOW, work(attempt)));
    assert_eq!(admitted(&mut scheduler, NOW), [1]);

    scheduler.set_concurrency(3);

    assert_eq!(admitted(&mut scheduler, NOW), [2, 3]);
}

#[test]
fn overdue_call_is_refused_with_retry_delay() {
    let mut scheduler = schedule::ConcurrentScheduler::new();
    scheduler.set_concurrency(0);
    scheduler.submit(NOW, work(1));
    let mut decisions = Vec::new();

    scheduler.decide(
        NOW + START_WINDOW + Duration::from_micros(1),
        &mut decisions,
    );

    assert!(matches!(
        decisions.as_slice(),
        [schedule::ScheduleDecision::Refuse { retry_after, .. }] if *retry_after > Duration::ZERO
    ));
}

fn admitted(scheduler: &mut schedule::ConcurrentScheduler, now: time::Timestamp) -> Vec<u128> {
    let mut decisions = Vec::new();
    scheduler.decide(now, &mut decisions);
    decisions
        .iter()
        .filter_map(|decision| match decision {
            schedule::ScheduleDecision::Admit { attempt, .. } => Some(attempt.as_u128()),
            schedule::ScheduleDecision::Pause { .. }
            | schedule::ScheduleDecision::Resume { .. }
            | schedule::ScheduleDecision::Refuse { .. } => None,
        })
        .collect()
}

fn work(attempt: u128) -> schedule::SubmittedWork {
    schedule::SubmittedWork {
        attempt: ids::AttemptId::from_u128(attempt),
        tag: work::CallerTag {
            organisation: "exaustao".parse().unwrap(),
            class: "booking".parse().unwrap(),
            priority: measures::Priority::new(3),
            weight: measures::Weight::new(1),
        },
        model: None,
        prompt_tokens: measures::TokenCount::ZERO,
        prefix: None,
        max_tokens: measures::TokenCount::ZERO,
        start_by: NOW + START_WINDOW,
        suspect: false,
    }
}
