//! Draws the requests of a scenario; every policy gets the same ones.

use std::time::Duration;

use kingcupfall_core::time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;

use super::ClassSection;
use super::FaultKind;
use super::Scenario;
use super::SizeSection;

/// Maximum tokens of one response, which callers send as `max_tokens`.
pub const MAX_OUTPUT_TOKENS: u64 = 16_384;

/// Maximum tokens of one prompt; larger draws are clamped.
const MAX_PROMPT_TOKENS: u64 = 16_384;

/// Stride between the seeds of consecutive classes, so that their random draws are independent.
const CLASS_SEED_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// A request drawn from a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedRequest {
    /// Simulated time at which the caller sends it.
    pub at: time::Timestamp,
    /// Index of its class in the scenario.
    pub class: usize,
    /// Length of its prompt, including the shared prefix of its class.
    pub prompt_tokens: u64,
    /// Length of its response; only the engine model knows it, no policy does.
    pub output_tokens: u64,
    /// Whether it crashes each engine that runs it.
    pub is_poisonous: bool,
}

/// Draws all requests of a scenario, ordered by arrival time and then class.
pub fn draw_requests(scenario: &Scenario) -> Vec<OfferedRequest> {
    let mut requests = Vec::new();
    for (index, class) in scenario.classes.iter().enumerate() {
        draw_class_requests(scenario, index, class, &mut requests);
    }

    requests.sort_by_key(|request| (request.at, request.class));
    mark_poisonous_requests(scenario, &mut requests);
    requests
}

fn draw_class_requests(
    scenario: &Scenario,
    index: usize,
    class: &ClassSection,
    requests: &mut Vec<OfferedRequest>,
) {
    let stride = CLASS_SEED_STRIDE.wrapping_mul(index as u64 + 1);
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ stride);
    let interarrival_time = Exp::new(class.rate_per_s).expect("the rate was validated");
    let prompt_distribution = token_distribution(class.prompt_tokens);
    let output_distribution = token_distribution(class.output_tokens);
    let min_prompt_tokens = class.shared_prefix_tokens + 1;

    let mut at = time::Timestamp::ZERO;
    loop {
        at = at + Duration::from_secs_f64(interarrival_time.sample(&mut rng));
        if at.since(time::Timestamp::ZERO) >= scenario.duration.get() {
            return;
        }
        let prompt_tokens = prompt_distribution.sample(&mut rng) as u64;
        let output_tokens = output_distribution.sample(&mut rng) as u64;
        requests.push(OfferedRequest {
            at,
            class: index,
            prompt_tokens: prompt_tokens.clamp(min_prompt_tokens, MAX_PROMPT_TOKENS),
            output_tokens: output_tokens.clamp(1, MAX_OUTPUT_TOKENS),
            is_poisonous: false,
        });
    }
}

/// Marks, for each poison fault, the first request of its class that arrives once the fault begins.
fn mark_poisonous_requests(scenario: &Scenario, requests: &mut [OfferedRequest]) {
    let faults = scenario
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Poison);

    for fault in faults {
        let begins_at = time::Timestamp::ZERO + fault.at.get();
        let poisoned_request = requests.iter_mut().find(|request| {
            let class = &scenario.classes[request.class];
            request.at >= begins_at
                && !request.is_poisonous
                && Some(&class.organisation) == fault.organisation.as_ref()
                && Some(&class.name) == fault.class.as_ref()
        });
        if let Some(poisoned_request) = poisoned_request {
            poisoned_request.is_poisonous = true;
        }
    }
}

fn token_distribution(size: SizeSection) -> LogNormal<f64> {
    LogNormal::new(size.median.ln(), size.sigma).expect("the sigma was validated")
}
