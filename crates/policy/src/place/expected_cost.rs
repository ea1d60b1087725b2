//! Placement on the target with the least expected cost in seconds.

use std::time::Duration;

use kingcupfall_core::time;

use super::PlacementPolicy;
use super::PlacementRequest;
use super::PlacementScore;
use super::TargetView;
use super::ZoneDistance;

/// Assumed prompt tokens that an engine processes per second; sets the value of a cached prefix.
const PREFILL_TOKENS_PER_S: f64 = 10_000.0;

/// Cost of a target in another zone, in seconds.
const OTHER_ZONE_COST_S: f64 = 0.004;

/// Cost of one stream that runs at the same target, in seconds over about a hundred steps.
const STREAM_COST_S: f64 = 0.35;

/// Cost of one token in memory, in seconds over the same number of steps.
const TOKEN_COST_S: f64 = 0.000_08;

/// Cost of one stream that would be lost if a suspect crashed the target, in seconds.
const STREAM_LOSS_COST_S: f64 = 60.0;

/// Forecast share of memory in use below which a target has capacity for reassigned work.
const MAX_MEMORY_SHARE: f64 = 0.9;

/// Cost of a forecast overflow as large as the target's memory, in seconds; a smaller overflow
/// costs proportionally less.
const OVERFLOW_COST_S: f64 = 20.0;

/// Time that work must have waited before it is assigned to another target.
const MIN_REASSIGN_WAIT: Duration = Duration::from_millis(500);

/// Placement by queue delay, step time, memory, prompt processing, cached prefixes and zone.
///
/// Ties go to the first candidate after the last choice.
#[derive(Debug, Default)]
pub struct ExpectedCostPlacement {
    next_index: usize,
}

impl PlacementPolicy for ExpectedCostPlacement {
    fn choose(
        &mut self,
        _now: time::Timestamp,
        request: &PlacementRequest<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize> {
        let candidate_count = candidates.len();
        let index = (0..candidate_count)
            .map(|offset| (self.next_index + offset) % candidate_count)
            .min_by(|first, second| {
                let first = TargetCost::new(request, &candidates[*first]).total_s();
                let second = TargetCost::new(request, &candidates[*second]).total_s();
                first.total_cmp(&second)
            })?;
        self.next_index = index + 1;
        Some(index)
    }

    fn should_reassign(
        &mut self,
        _now: time::Timestamp,
        request: &PlacementRequest<'_>,
        current: &TargetView<'_>,
        waited: Duration,
        candidates: &[TargetView<'_>],
    ) -> bool {
        if waited < MIN_REASSIGN_WAIT || current.load.queued == 0 {
            return false;
        }
        candidates
            .iter()
            .any(|candidate| has_capacity(request, candidate))
    }

    fn explain(
        &self,
        _now: time::Timestamp,
        request: &PlacementRequest<'_>,
        candidates: &[TargetView<'_>],
    ) -> Vec<PlacementScore> {
        candidates
            .iter()
            .map(|candidate| {
                let cost = TargetCost::new(request, candidate);
                PlacementScore {
                    target: candidate.name.clone(),
                    cost_s: cost.total_s(),
                    reason: cost.reason(),
                }
            })
            .collect()
    }
}

/// Components of the cost of one target, in seconds.
#[derive(Debug, Clone, Copy)]
struct TargetCost {
    queue_s: f64,
    step_s: f64,
    overflow_s: f64,
    prefill_s: f64,
    zone_s: f64,
    /// Expected loss of other streams if the request is a suspect.
    risk_s: f64,
}

impl TargetCost {
    fn new(request: &PlacementRequest<'_>, target: &TargetView<'_>) -> Self {
        let load = target.load;
        let memory_tokens = load.memory_used.get() + target.placed_tokens.get();
        let placed_work_s = load.attempt_time.as_secs_f64() * f64::from(target.placed_attempts);
        let streams = f64::from(load.running + load.paused + load.queued + target.placed_attempts);
        let placed_queue_s = match load.queued {
            0 => 0.0,
            _ => placed_work_s,
        };
        let cached = load
            .cached
            .iter()
            .find(|entry| Some(entry.prefix) == request.prefix)
            .map_or(0, |entry| entry.tokens.get());
        let uncached_prompt = request.prompt_tokens.get().saturating_sub(cached);
        let prefill_tokens =
            load.prefill_backlog.get() + target.placed_tokens.get() + uncached_prompt;
        let overflow_share = (memory_share(request, target) - 1.0).max(0.0);

        Self {
            queue_s: load.queue_delay.as_secs_f64() + placed_queue_s,
            step_s: streams * STREAM_COST_S + memory_tokens as f64 * TOKEN_COST_S,
            overflow_s: overflow_share * OVERFLOW_COST_S,
            prefill_s: prefill_tokens as f64 / PREFILL_TOKENS_PER_S,
            zone_s: match target.distance {
                ZoneDistance::Same => 0.0,
                ZoneDistance::Other => OTHER_ZONE_COST_S,
            },
            risk_s: match request.suspect {
                true => streams * STREAM_LOSS_COST_S,
                false => 0.0,
            },
        }
    }

    fn total_s(&self) -> f64 {
        self.queue_s + self.step_s + self.overflow_s + self.prefill_s + self.zone_s + self.risk_s
    }

    fn reason(&self) -> Box<str> {
        format!(
            "queue {:.2} s, steps {:.2} s, memory {:.2} s, prompts {:.2} s, zone {:.3} s",
            self.queue_s, self.step_s, self.overflow_s, self.prefill_s, self.zone_s
        )
        .into()
    }
}

/// Returns the share of the target's memory that is forecast to be used with the request; above one
/// for an overflow.
fn memory_share(request: &PlacementRequest<'_>, target: &TargetView<'_>) -> f64 {
    let load = target.load;
    let total_tokens = load.memory_total.get().max(1) as f64;
    let forecast_tokens =
        load.memory_forecast.get() + target.placed_tokens.get() + request.prompt_tokens.get();
    forecast_tokens as f64 / total_tokens
}

/// Returns true if nothing is queued or paused at the target and the request fits in its memory.
fn has_capacity(request: &PlacementRequest<'_>, target: &TargetView<'_>) -> bool {
    target.load.queued == 0
        && target.load.paused == 0
        && memory_share(request, target) < MAX_MEMORY_SHARE
}
