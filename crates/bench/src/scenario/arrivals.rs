//! Requests drawn from a scenario, the same for all policies.

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

/// Most tokens of one answer; callers ask for no more.
pub const OUTPUT_LIMIT_TOKENS: u64 = 16_384;

/// Most tokens of one prompt.
const PROMPT_LIMIT_TOKENS: u64 = 16_384;

/// Distance between the seeds of two classes.
const CLASS_SEED_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// One request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedRequest {
    /// When it arrives.
    pub at: time::Timestamp,
    /// Index of its class.
    pub class: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens of its answer, which no policy is told.
    pub output_tokens: u64,
    /// Whether it crashes each engine that runs it.
    pub is_poisonous: bool,
}

/// Draws all requests of a scenario, in order of arrival.
pub fn draw_requests(scenario: &Scenario) -> Vec<OfferedRequest> {
    let mut requests = Vec::new();
    for (index, class) in scenario.classes.iter().enumerate() {
        draw_class(scenario, index, class, &mut requests);
    }

    requests.sort_by_key(|request| (request.at, request.class));
    poison(scenario, &mut requests);
    requests
}

fn draw_class(
    scenario: &Scenario,
    index: usize,
    class: &ClassSection,
    requests: &mut Vec<OfferedRequest>,
) {
    let stride = CLASS_SEED_STRIDE.wrapping_mul(index as u64 + 1);
    let mut generator = ChaCha8Rng::seed_from_u64(scenario.seed ^ stride);
    let gap = Exp::new(class.rate_per_s).expect("the rate was checked");
    let prompt = size_distribution(class.prompt_tokens);
    let output = size_distribution(class.output_tokens);
    let prompt_least = class.shared_prefix_tokens + 1;

    let mut at = time::Timestamp::ZERO;
    loop {
        at = at + Duration::from_secs_f64(gap.sample(&mut generator));
        if at.since(time::Timestamp::ZERO) >= scenario.duration.get() {
            return;
        }
        let prompt_tokens = prompt.sample(&mut generator) as u64;
        let output_tokens = output.sample(&mut generator) as u64;
        requests.push(OfferedRequest {
            at,
            class: index,
            prompt_tokens: prompt_tokens.clamp(prompt_least, PROMPT_LIMIT_TOKENS),
            output_tokens: output_tokens.clamp(1, OUTPUT_LIMIT_TOKENS),
            is_poisonous: false,
        });
    }
}

/// Marks the first request of the class that arrives after each poison fault.
fn poison(scenario: &Scenario, requests: &mut [OfferedRequest]) {
    let faults = scenario
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Poison);

    for fault in faults {
        let from = time::Timestamp::ZERO + fault.at.get();
        let victim = requests.iter_mut().find(|request| {
            let class = &scenario.classes[request.class];
            request.at >= from
                && !request.is_poisonous
                && Some(&class.organisation) == fault.organisation.as_ref()
                && Some(&class.name) == fault.class.as_ref()
        });
        if let Some(victim) = victim {
            victim.is_poisonous = true;
        }
    }
}

fn size_distribution(size: SizeSection) -> LogNormal<f64> {
    LogNormal::new(size.median.ln(), size.sigma).expect("the sigma was checked")
}
