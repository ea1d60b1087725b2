//! Property tests on random cases.
//!
//! The seed is fixed, so every run tests the same cases. The environment variables `PROMISE_CASES`
//! and `PROMISE_SEED` set another number of cases and another seed.

use std::env;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::operations;
use crate::simulation;

const DEFAULT_CASES: u32 = 2_000;
const DEFAULT_SEED: u8 = 0;
/// Length of a ChaCha seed; every byte of it is the test's seed.
const SEED_BYTES: usize = 32;
/// Exclusive upper bound of the number of operations in a case.
const OPERATION_COUNT_BOUND: usize = 40;

#[test]
fn promises_hold_under_faults() {
    run_cases(operations::any_operation(), |seed, operations| {
        simulation::ClusterSimulation::new(seed).run(operations);
    });
}

#[test]
fn responses_arrive_under_link_faults_and_planned_stops() {
    run_cases(operations::recoverable_operation(), |seed, operations| {
        let mut simulation = simulation::ClusterSimulation::new(seed).with_long_start_timeouts();
        simulation.run(operations);
        simulation.check_all_completed();
    });
}

fn run_cases(
    operation: impl Strategy<Value = operations::Operation>,
    check: impl Fn(u64, &[operations::Operation]),
) {
    let config = Config {
        cases: env_setting("PROMISE_CASES", DEFAULT_CASES),
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..Config::default()
    };
    let seed = [env_setting("PROMISE_SEED", DEFAULT_SEED); SEED_BYTES];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cases = (
        any::<u64>(),
        prop::collection::vec(operation, 1..OPERATION_COUNT_BOUND),
    );

    let result = runner.run(&cases, |(seed, operations)| {
        check(seed, &operations);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn env_setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    match env::var(name) {
        Ok(text) => text
            .parse()
            .ok()
            .expect("the environment variable holds a number in range"),
        Err(_) => default,
    }
}
