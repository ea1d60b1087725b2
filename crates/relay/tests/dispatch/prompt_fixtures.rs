//! Streams with prompt parts, and the crashes of their targets.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;

use crate::fixtures;
use crate::fixtures::START;

pub const TARGETS: &[&str] = &[
    "one", "two", "three", "four", "five", "six", "seven", "eight",
];

/// Part that all prompts share.
pub const SHARED: work::PromptPartId = work::PromptPartId::new(0x5c1e);

/// Part that crashes targets.
pub const FATAL: work::PromptPartId = work::PromptPartId::new(0xfa7a);

pub const OTHER: work::PromptPartId = work::PromptPartId::new(0x91bd);

/// Time from sending a fatal request until its target crashes.
pub const RUN_TIME_MS: u64 = 100;

/// Time between two fatal requests.
pub const INTERVAL_MS: u64 = 600;

/// Time at which the part that crashed three targets is quarantined: 2 s after the first crash, and
/// some time for the tick after that.
pub const QUARANTINE_MS: u64 = 2_500;

pub fn at(millis: u64) -> time::Timestamp {
    START + Duration::from_millis(millis)
}

/// Returns the requirements of a stream whose prompt has these shared parts; no two are alike.
pub fn demand(call: u64, parts: &[work::PromptPartId]) -> dispatch::CallDemand {
    dispatch::CallDemand {
        fingerprint: work::RequestFingerprint::new(call),
        prompt_parts: parts.into(),
        ..fixtures::stream_demand(400)
    }
}

pub fn arrive(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    call: u64,
    parts: &[work::PromptPartId],
) -> Vec<dispatch::DispatchEffect> {
    let mut demand = demand(call, parts);
    demand.arrived_at = now;
    demand.first_requested_at = now;
    demand.deadline = now + Duration::from_secs(39);
    let arrival = dispatch::DispatchEvent::Arrived {
        call: ids::CallId::new(call),
        demand: Box::new(demand),
    };
    dispatcher.handle(now, arrival)
}

/// Sends a stream, and returns its target.
pub fn place(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    call: u64,
    parts: &[work::PromptPartId],
) -> directory::TargetKey {
    let effects = arrive(dispatcher, now, call, parts);
    let target = fixtures::placed_target(&effects).unwrap();
    fixtures::engine_record(&target).key
}

pub fn receive_events(dispatcher: &mut dispatch::Dispatcher, now: time::Timestamp, call: u64) {
    let call = ids::CallId::new(call);
    dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
    dispatcher.handle(now, dispatch::DispatchEvent::Progressed { call, events: 1 });
}

pub fn receive_more_events(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    call: u64,
) -> Vec<dispatch::DispatchEffect> {
    let call = ids::CallId::new(call);
    dispatcher.handle(now, dispatch::DispatchEvent::Progressed { call, events: 9 })
}

pub fn end_attempt(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    call: u64,
    result: dispatch::AttemptResult,
) {
    let call = ids::CallId::new(call);
    dispatcher.handle(now, dispatch::DispatchEvent::AttemptEnded { call, result });
}

pub fn end_probe(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    target: &directory::TargetKey,
    is_reachable: bool,
) -> Vec<dispatch::DispatchEffect> {
    let probed = dispatch::DispatchEvent::TargetProbed {
        target: target.clone(),
        is_reachable,
    };
    dispatcher.handle(now, probed)
}

/// Sends a stream with these parts that crashes its target, which is then removed.
pub fn crash_target(
    dispatcher: &mut dispatch::Dispatcher,
    sent_ms: u64,
    call: u64,
    parts: &[work::PromptPartId],
) -> Vec<dispatch::DispatchEffect> {
    let target = place(dispatcher, at(sent_ms), call, parts);
    let lost_at = at(sent_ms + RUN_TIME_MS);
    end_attempt(dispatcher, lost_at, call, dispatch::AttemptResult::Broken);
    let effects = end_probe(dispatcher, lost_at, &target, false);
    let gone = vec![directory::TargetChange::Gone(target)];
    dispatcher.handle(lost_at, dispatch::DispatchEvent::TargetsChanged(gone));
    effects
}

/// Crashes three targets with the fatal part, and waits for the verdict.
pub fn quarantine_fatal_part(dispatcher: &mut dispatch::Dispatcher) {
    for call in 0..3 {
        crash_target(dispatcher, call * INTERVAL_MS, 100 + call, &[FATAL]);
    }
    dispatcher.handle(at(QUARANTINE_MS), dispatch::DispatchEvent::Tick);
    assert_eq!(quarantined_parts(dispatcher), [FATAL]);
}

pub fn quarantined_parts(dispatcher: &dispatch::Dispatcher) -> Vec<work::PromptPartId> {
    let quarantines = dispatcher.quarantined_parts();
    quarantines
        .iter()
        .map(|quarantine| quarantine.part)
        .collect()
}

/// Returns the prompts that count in crashes.
pub fn lost_prompts(dispatcher: &dispatch::Dispatcher, now: time::Timestamp) -> usize {
    let (crashes, _) = dispatcher.prompt_crashes_after(now, 0);
    crashes.iter().map(|crash| crash.prompts.len()).sum()
}

/// Returns what the effects tell peers.
pub fn findings(effects: &[dispatch::DispatchEffect]) -> Vec<quarantine::PromptCrash> {
    let findings = effects.iter().filter_map(|effect| match effect {
        dispatch::DispatchEffect::PromptCrashesChanged(records) => Some(records.clone()),
        _ => None,
    });
    findings.flatten().collect()
}

pub fn report(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    records: &[quarantine::PromptCrash],
) -> Vec<dispatch::DispatchEffect> {
    let reported = dispatch::DispatchEvent::PromptCrashesReported(records.to_vec());
    dispatcher.handle(now, reported)
}
