//! Time of one decision as queue, streams, targets and organisations grow.
//!
//! Goals: a placement over 64 targets under 20 us, a step with 256 running streams and 1,000 pieces
//! of waiting work under 50 us.

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

/// Time from one measured step to the next, so that each looks at its queue.
const STEP: Duration = Duration::from_millis(60);

/// Prompt of all work, in tokens.
const PROMPT: u64 = 500;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    measure_placement(&mut criterion);
    measure_step(&mut criterion);
    criterion.final_summary();
}

fn measure_placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for count in [4, 16, 64, 256] {
        let names: Vec<ids::TargetName> = (0..count)
            .map(|index| format!("engine-{index}").parse().unwrap())
            .collect();
        let load = load::LoadSummary {
            memory_total: measures::TokenCount::new(60_000),
            ..load::LoadSummary::default()
        };
        let views: Vec<place::TargetView<'_>> =
            names.iter().map(|name| target_view(name, &load)).collect();
        let tag = caller_tag(0);
        let question = place::PlacementQuestion {
            tag: &tag,
            prompt_tokens: measures::TokenCount::new(PROMPT),
            prefix: Some(work::PrefixHash::new(1)),
            suspect: false,
        };
        let mut policy = place::ExpectedCostPlacement::default();
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| policy.choose(time::Timestamp::ZERO, &question, black_box(&views)));
        });
    }
    group.finish();
}

fn measure_step(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("step");
    for (running, waiting, organisations) in [
        (16, 0, 1),
        (64, 100, 10),
        (256, 100, 10),
        (256, 1_000, 10),
        (256, 1_000, 570),
    ] {
        let name = format!("{running} running, {waiting} waiting, {organisations} organisations");
        let mut scheduler = filled(running, waiting, organisations);
        let mut now = time::Timestamp::ZERO + STEP;
        let mut decisions = Vec::new();
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                now = now + STEP;
                scheduler.record_tokens(now, ids::AttemptId::from_u128(0), 0);
                scheduler.decide(now, &mut decisions);
                decisions.clear();
            });
        });
    }
    group.finish();
}

/// Makes a scheduler with full memory, so that what waits goes on waiting.
fn filled(running: u64, waiting: u64, organisations: u64) -> schedule::ForecastScheduler {
    let settings = schedule::ScheduleSettings {
        // The bench's clock runs on; nothing may yield or be held for its prompt.
        yield_time: Duration::ZERO,
        chunks_prefill: false,
        forecasts: false,
        ..schedule::ScheduleSettings::default()
    };
    let mut scheduler = schedule::ForecastScheduler::new(settings);
    let report = engine::EngineReport {
        memory_total: measures::TokenCount::new(running * (PROMPT + 2) + PROMPT / 2),
        ..engine::EngineReport::default()
    };
    scheduler.observe_report(time::Timestamp::ZERO, &report);

    let mut decisions = Vec::new();
    for number in 0..running + waiting {
        let ticket = ticket(number, number % organisations);
        scheduler.submit(time::Timestamp::ZERO, ticket);
        scheduler.decide(time::Timestamp::ZERO, &mut decisions);
    }
    let admitted = decisions
        .iter()
        .filter(|decision| matches!(decision, schedule::ScheduleDecision::Admit { .. }))
        .count();
    assert_eq!(admitted as u64, running);
    scheduler
}

fn ticket(number: u64, organisation: u64) -> schedule::WorkTicket {
    schedule::WorkTicket {
        attempt: ids::AttemptId::from_u128(u128::from(number)),
        tag: caller_tag(organisation),
        model: Some("narrative".parse().unwrap()),
        prompt_tokens: measures::TokenCount::new(PROMPT),
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
        placed_since: 1,
        placed_tokens: measures::TokenCount::new(PROMPT),
    }
}
