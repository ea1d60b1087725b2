//! Takes the target with the least expected cost in seconds.

use std::time::Duration;

use kingcupfall_core::time;

use super::PlacementPolicy;
use super::PlacementQuestion;
use super::PlacementScore;
use super::TargetView;
use super::ZoneDistance;

/// Prompt tokens that an engine processes a second, for the worth of a cached prefix.
const PREFILL_TOKENS_PER_S: f64 = 10_000.0;

/// Cost of a target in another zone.
const ZONE_COST_S: f64 = 0.004;

/// Cost of one stream beside which the work runs, over some hundred steps.
const STREAM_COST_S: f64 = 0.35;

/// Cost of one token in memory, over as many steps.
const TOKEN_COST_S: f64 = 0.000_08;

/// Cost of one stream that is lost if a suspect crashes the target again.
const NEIGHBOUR_COST_S: f64 = 60.0;

/// Share of full memory up to which a target has room.
const ROOM_SHARE: f64 = 0.9;

/// Cost of the part of memory that is forecast beyond what there is, for the whole of it.
const OVERFLOW_COST_S: f64 = 20.0;

/// Least wait before waiting work is moved.
const MOVE_WAIT: Duration = Duration::from_millis(500);

/// Placement by queue delay, memory, prompts to process, cached prefixes and distance.
#[derive(Debug, Default)]
pub struct ExpectedCostPlacement {
    next: usize,
}

impl PlacementPolicy for ExpectedCostPlacement {
    fn choose(
        &mut self,
        _now: time::Timestamp,
        question: &PlacementQuestion<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize> {
        let count = candidates.len();
        let index = (0..count)
            .map(|offset| (self.next + offset) % count)
            .min_by(|first, second| {
                let first = TargetCost::new(question, &candidates[*first]).total_s();
                let second = TargetCost::new(question, &candidates[*second]).total_s();
                first.total_cmp(&second)
            })?;
        self.next = index + 1;
        Some(index)
    }

    fn reconsider(
        &mut self,
        _now: time::Timestamp,
        question: &PlacementQuestion<'_>,
        current: &TargetView<'_>,
        waited: Duration,
        candidates: &[TargetView<'_>],
    ) -> bool {
        if waited < MOVE_WAIT || current.load.queued == 0 {
            return false;
        }
        candidates
            .iter()
            .any(|candidate| has_room(question, candidate))
    }

    fn explain(
        &self,
        _now: time::Timestamp,
        question: &PlacementQuestion<'_>,
        candidates: &[TargetView<'_>],
    ) -> Vec<PlacementScore> {
        candidates
            .iter()
            .map(|candidate| {
                let cost = TargetCost::new(question, candidate);
                PlacementScore {
                    target: candidate.name.clone(),
                    cost_s: cost.total_s(),
                    reason: cost.reason(),
                }
            })
            .collect()
    }
}

/// Parts of the cost of one target, in seconds.
#[derive(Debug, Clone, Copy)]
struct TargetCost {
    queue_s: f64,
    step_s: f64,
    overflow_s: f64,
    prefill_s: f64,
    zone_s: f64,
    risk_s: f64,
}

impl TargetCost {
    fn new(question: &PlacementQuestion<'_>, target: &TargetView<'_>) -> Self {
        let load = target.load;
        let memory = load.memory_used.get() + target.placed_tokens.get();
        let placed_s = load.attempt_time.as_secs_f64() * f64::from(target.placed_since);
        let streams = f64::from(load.running + load.paused + load.queued + target.placed_since);
        let queued_s = match load.queued {
            0 => 0.0,
            _ => placed_s,
        };
        let cached = load
            .cached
            .iter()
            .find(|entry| Some(entry.prefix) == question.prefix)
            .map_or(0, |entry| entry.tokens.get());
        let prompt = question.prompt_tokens.get().saturating_sub(cached);
        let prefill = load.prefill_backlog.get() + target.placed_tokens.get() + prompt;
        let overflow = (memory_share(question, target) - 1.0).max(0.0);

        Self {
            queue_s: load.queue_delay.as_secs_f64() + queued_s,
            step_s: streams * STREAM_COST_S + memory as f64 * TOKEN_COST_S,
            overflow_s: overflow * OVERFLOW_COST_S,
            prefill_s: prefill as f64 / PREFILL_TOKENS_PER_S,
            zone_s: match target.distance {
                ZoneDistance::Same => 0.0,
                ZoneDistance::Other => ZONE_COST_S,
            },
            risk_s: match question.suspect {
                true => streams * NEIGHBOUR_COST_S,
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

/// Returns the share of memory that is forecast with the work in question.
fn memory_share(question: &PlacementQuestion<'_>, target: &TargetView<'_>) -> f64 {
    let load = target.load;
    let total = load.memory_total.get().max(1) as f64;
    let wanted =
        load.memory_forecast.get() + target.placed_tokens.get() + question.prompt_tokens.get();
    wanted as f64 / total
}

fn has_room(question: &PlacementQuestion<'_>, target: &TargetView<'_>) -> bool {
    target.load.queued == 0
        && target.load.paused == 0
        && memory_share(question, target) < ROOM_SHARE
}
