//! Learning how slow targets are, sharing it, and placing streams by it.

use yare::parameterized;

use crate::speed_model;

/// Duration of a simulated run: three times that of a long stream after the warm-up.
const RUN_MS: u64 = 30_000;

/// Returns the factors of a service of 45 engines, of which one in four is fast.
fn mixed_factors() -> Vec<f64> {
    (0..45)
        .map(|i| if i % 4 == 0 { 0.55 } else { 1.2 })
        .collect()
}

/// Guards against long streams beside prompts on engines where four steps with a prompt chunk take
/// longer than the longest permitted pause while the machine is slow.
#[parameterized(
    one_relay = { 1, 1 },
    six_relays = { 2, 6 },
)]
fn long_streams_are_on_time_on_engines_that_differ(seed: u64, relay_count: usize) {
    let run = |learns| {
        speed_model::SpeedModel::new(seed, relay_count, &mixed_factors(), learns).run(RUN_MS)
    };
    let (unlearned, learned) = (run(false), run(true));
    println!("{unlearned:?}\n{learned:?}");
    println!(
        "{} {}",
        unlearned.late_long_share(),
        learned.late_long_share()
    );
    assert!(learned.late_long_share() < 0.08, "{learned:?}");
    assert!(unlearned.late_long_share() > 0.08, "{unlearned:?}");
    assert!(learned.late_short_share() < 0.02, "{learned:?}");
    assert!(learned.refusals <= unlearned.refusals, "{learned:?}");
}
