//! Time to accept a changed text of the section `targets`, by its number of entries.

use std::fmt::Write;
use std::hint;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;

const ENTRIES: [u32; 4] = [100, 1_000, 3_000, 9_000];

fn main() {
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    accept_targets(&mut criterion);
    criterion.final_summary();
}

fn accept_targets(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("accept_targets");

    for entries in ENTRIES {
        let mut state = acceptance::DocumentAcceptance::default();
        state.offer(write_targets(1, entries));
        let changed = write_targets(2, entries);

        group.bench_function(BenchmarkId::from_parameter(entries), |bencher| {
            bencher.iter_batched(
                || (state.clone(), changed.clone()),
                |(mut state, changed)| {
                    let outcome = state.offer(hint::black_box(changed));
                    assert_eq!(outcome, acceptance::OfferOutcome::Activated);
                    state
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

/// Writes a text with `entries` engines; each version differs in the models it lists.
fn write_targets(version: u64, entries: u32) -> acceptance::SectionText {
    let mut text = String::new();
    for index in 0..entries {
        let (high, low) = (index / 250, index % 250 + 1);
        writeln!(
            text,
            "targets.e-{index} = {{ kind = \"engine\", vm = \"v-{index}\", zone = \"z-{}\", \
             agent = \"10.0.{high}.{low}:7001\", models = [\"m-{version}\"] }}",
            index % 28
        )
        .expect("writing to a string does not fail");
    }

    acceptance::SectionText {
        section: sections::SectionName::Targets,
        version: measures::SectionVersion::new(version),
        text: text.into(),
    }
}
