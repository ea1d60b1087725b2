//! Parts, prompts and crashes for the tests.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::quarantine::PromptPartPolicy;

/// Time of the first crash.
pub const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Time from sending a request until its target crashes.
pub const RUN_TIME_MS: u64 = 100;

/// Time between two crashes: the next request is sent after the crash before.
pub const INTERVAL_MS: u64 = 500;

/// Time after the first crash at which all sound streams must have been found.
pub const HEARING_MS: u64 = 2_000;

/// The part that crashes targets in most tests.
pub const FATAL: u64 = 0xfa;

pub fn at(millis: u64) -> time::Timestamp {
    START + Duration::from_millis(millis)
}

pub fn part(value: u64) -> work::PromptPartId {
    work::PromptPartId::new(value)
}

pub fn parts(values: &[u64]) -> Vec<work::PromptPartId> {
    values.iter().copied().map(part).collect()
}

pub fn crash(number: u64) -> ids::CrashId {
    ids::CrashId::from_u128(number.into())
}

pub fn prompt(values: &[u64], sent_ms: u64, lost_ms: u64) -> quarantine::LostPrompt {
    quarantine::LostPrompt {
        parts: parts(values).into(),
        sent_at: at(sent_ms),
        lost_at: at(lost_ms),
    }
}

/// Records crashes at regular intervals, each with one lost prompt. Returns the time of the last
/// one.
pub fn record_crashes(
    policy: &mut quarantine::CrashCorrelation,
    first: u64,
    prompts: &[&[u64]],
) -> u64 {
    let mut lost_ms = 0;
    for (number, values) in (first..).zip(prompts) {
        lost_ms = number * INTERVAL_MS;
        let lost = prompt(values, lost_ms - RUN_TIME_MS, lost_ms);
        policy.record_crash(at(lost_ms), crash(number), &[lost]);
        policy.review(at(lost_ms));
    }
    lost_ms
}

/// Returns the parts that are quarantined after a review at this time.
pub fn quarantined(
    policy: &mut quarantine::CrashCorrelation,
    now_ms: u64,
    values: &[u64],
) -> Vec<u64> {
    policy.review(at(now_ms));
    let is_quarantined = |value: &u64| policy.quarantined_part(&[part(*value)]).is_some();
    values.iter().copied().filter(is_quarantined).collect()
}
