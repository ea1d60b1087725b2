//! Benchmarks of one decision by number of targets, streams, waiting work and organisations.
//!
//! Goals: less than 20 us for a placement over 64 targets, and less than 50 us for a step with 256
//! running streams and 1,000 pieces of waiting work.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::place;
use kingcupfall_policy::place::PlacementPolicy;
use kingcupfall_policy::schedule;
use kingcupfall_policy::schedule::WorkScheduler;

/// Time from one measured step to the next; long enough that each step checks the queue.
const STEP_INTERVAL: Duration = Duration::from_millis(60);

/// Prompt tokens of each piece of work.
const PROMPT_TOKENS: u64 = 500;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_placement(&mut criterion);
    bench_step(&mut criterion);
    criterion.final_summary();
}

fn bench_placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for target_count in [4, 16, 64, 256] {
        let names: Vec<ids::TargetName> = (0..target_count)
            .map(|index| format!("engine-{index}").parse().unwrap())
            .collect();
        let load = load::LoadSummary {
            memory_total: measures::TokenCount::new(60_000),
            ..load::LoadSummary::default()
        };
        let views: Vec<place::TargetView<'_>> =
            names.iter().map(|name| target_view(name, &load)).collect();
        let tag = caller_tag(0);
        let request = place::PlacementRequest {
            tag: &tag,
            prompt_tokens: measures::TokenCount::new(PROMPT_TOKENS),
            prefix: Some(work::PrefixHash::new(1)),
            suspect: false,
        };
        let mut policy = place::ExpectedCostPlacement::default();
        group.bench_function(BenchmarkId::from_parameter(target_count), |bencher| {
            bencher.iter(|| policy.choose(time::Timestamp::ZERO, &request, black_box(&views)));
        });
    }
    group.finish();
}

fn bench_step(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("step");
    for (running, waiting, organisations) in [
        (16, 0, 1),
        (64, 100, 10),
        (256, 100, 10),
        (256, 1_000, 10),
        (256, 1_000, 570),
    ] {
        let name = format!("{running} running, {waiting} waiting, {organisations} organisations");
        let mut scheduler = loaded_scheduler(running, waiting, organisations);
        let mut now = time::Timestamp::ZERO + STEP_INTERVAL;
        let mut decisions = Vec::new();
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                now = now + STEP_INTERVAL;
                scheduler.record_tokens(now, ids::AttemptId::from_u128(0), 0);
                scheduler.decide(now, &mut decisions);
                decisions.clear();
            });
        });
    }
    group.finish();
}

/// Returns a scheduler with `running` streams and full memory, so that the waiting work is never
/// admitted.
fn loaded_scheduler(running: u64, waiting: u64, organisations: u64) -> schedule::ForecastScheduler {
    let settings = schedule::ScheduleSettings {
        // The benchmark's clock advances without end, so waiting work would trigger pauses; prompts
        // never finish, so a limit of concurrent prompts would block admission.
        large_stream_pause: Duration::ZERO,
        chunks_prefill: false,
        forecasts_memory: false,
        ..schedule::ScheduleSettings::default()
    };
    let mut scheduler = schedule::ForecastScheduler::new(settings);
    let report = engine::EngineReport {
        memory_total: measures::TokenCount::new(running * (PROMPT_TOKENS + 2) + PROMPT_TOKENS / 2),
        ..engine::EngineReport::default()
    };
    scheduler.observe_report(time::Timestamp::ZERO, &report);

    let mut decisions = Vec::new();
    for number in 0..running + waiting {
        let submitted_work = submitted_work(number, number % organisations);
        scheduler.submit(time::Timestamp::ZERO, submitted_work);
        scheduler.decide(time::Timestamp::ZERO, &mut decisions);
    }
    let admitted = decisions
        .iter()
        .filter(|decision| matches!(decision, schedule::ScheduleDecision::Admit { .. }))
        .count();
    assert_eq!(admitted as u64, running);
    scheduler
}

fn submitted_work(number: u64, organisation: u64) -> schedule::SubmittedWork {
    schedule::SubmittedWork {
        attempt: ids::AttemptId::from_u128(u128::from(number)),
        tag: caller_tag(organisation),
        model: Some("narrative".parse().unwrap()),
        prompt_tokens: measures::TokenCount::new(PROMPT_TOKENS),
        prefix: None,
        max_tokens: measures::TokenCount::new(16_384),
        start_by: time::Timestamp::from_micros(u64::MAX / 2 + number),
        suspect: false,
    }
}

fn caller_tag(organisation: u64) -> work::CallerTag {
    work::CallerTag {
        organisation: format!("organisation-{organisation}").parse().unwrap(),
        class: "report".parse().unwrap(),
        priority: measures::Priority::new(2),
        weight: measures::Weight::new(1),
    }
}

fn target_view<'a>(
    name: &'a ids::TargetName,
    load: &'a load::LoadSummary,
) -> place::TargetView<'a> {
    place::TargetView {
        name,
        distance: place::ZoneDistance::Same,
        load,
        load_age: Duration::from_millis(250),
        in_flight: 3,
        placed_attempts: 1,
        placed_tokens: measures::TokenCount::new(PROMPT_TOKENS),
    }
}
