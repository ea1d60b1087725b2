//! Random cases.

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::operations;
use crate::world;

const CASES: u32 = 2_000;
const MOST_OPERATIONS: usize = 40;

#[test]
fn promises_hold_under_faults() {
    run_cases(operations::operation(), |seed, operations| {
        world::CaseWorld::new(seed).run(operations);
    });
}

#[test]
fn answers_arrive_under_link_faults_and_planned_stops() {
    run_cases(operations::mild_operation(), |seed, operations| {
        let mut world = world::CaseWorld::new(seed).with_patience();
        world.run(operations);
        world.check_all_completed();
    });
}

fn run_cases(
    operation: impl Strategy<Value = operations::Operation>,
    check: impl Fn(u64, &[operations::Operation]),
) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..Config::default()
    };
    let generator = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, generator);
    let cases = (
        any::<u64>(),
        prop::collection::vec(operation, 1..MOST_OPERATIONS),
    );

    let result = runner.run(&cases, |(seed, operations)| {
        check(seed, &operations);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
