//! Random cases, the same in each run.
//!
//! `PROMISE_CASES` and `PROMISE_SEED` in the environment ask for more or other cases.

use std::env;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::operations;
use crate::world;

const CASES: u32 = 2_000;
const SEED: u8 = 0;
const SEED_BYTES: usize = 32;
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
        cases: setting("PROMISE_CASES", CASES),
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..Config::default()
    };
    let seed = [setting("PROMISE_SEED", SEED); SEED_BYTES];
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
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

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    match env::var(name) {
        Ok(text) => text.parse().ok().expect("a number"),
        Err(_) => default,
    }
}
