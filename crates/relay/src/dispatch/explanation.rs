//! Explains where a call would go, and why, without placing it.
//!
//! The arrival of the call is handled on a copy of the dispatcher, so that the explained decision
//! is the one that the call would get. The targets are described as they are before that.

use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::DurationMilliSecondsWithFrac;
use serde_with::serde_as;

use super::CallDemand;
use super::CallRefusal;
use super::DispatchEffect;
use super::DispatchEvent;
use super::DispatchSettings;
use super::Dispatcher;
use super::PlacementForecast;
use super::TargetObstacle;
use super::limits;
use super::targets;

/// Number of the call on the copy; calls are numbered from 1, so that none has it.
const TRIAL_CALL: ids::CallId = ids::CallId::new(u64::MAX);

/// What would happen to a call that arrived now.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum PlacementOutcome {
    /// It would be placed, as far as this relay knows: the arbiter of the target may deny it.
    Placed {
        /// Target that would run it.
        target: ids::TargetName,
    },
    /// It would wait for a target with capacity.
    Waits {
        /// Waiting calls of the service that would be placed before it.
        calls_ahead: usize,
        /// Time after which it is expected to be placed.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "expected_wait_ms")]
        expected_wait: Duration,
    },
    /// It would be refused.
    Refused {
        /// Name of the reason, as in logs and metrics.
        reason: Box<str>,
        /// Time after which its caller would be asked to return.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "retry_after_ms")]
        retry_after: Duration,
    },
}

impl From<CallRefusal> for PlacementOutcome {
    fn from(refusal: CallRefusal) -> Self {
        Self::Refused {
            reason: refusal.reason.label().into(),
            retry_after: refusal.retry_after,
        }
    }
}

/// A target of the service, and whether it could take the call.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetExplanation {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Availability zone of the target.
    pub zone: ids::ZoneName,
    /// Why it can't take the call; `None` if it can.
    pub obstacle: Option<TargetObstacle>,
    /// Whether it is healthy; others are used only if no healthy target can take the call.
    pub is_healthy: bool,
    /// Calls in flight, of all relays.
    pub calls: u32,
    /// Copies of streams that run at other targets.
    pub copies: u32,
    /// Maximum number of calls and copies that run at the same time.
    pub slots: u32,
    /// Memory in use, in tokens.
    pub memory_used_tokens: u64,
    /// Memory that streams and copies are expected to need, in tokens.
    pub memory_forecast_tokens: u64,
    /// Prompt tokens that wait.
    pub waiting_prompt_tokens: u64,
    /// Learnt time that work takes, in thousandths of the time in the engine model.
    pub speed_thousandths: u32,
    /// Risk that a pause between two events becomes too long, in thousandths.
    pub pause_risk_thousandths: u32,
    /// Delay for all calls if the call were sent here; the lowest cost is chosen.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "cost_ms")]
    pub cost: Duration,
}

/// What would happen to a call that arrived now, and the state of each target of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementExplanation {
    /// Service of the call.
    pub service: ids::ServiceName,
    /// What would happen.
    pub outcome: PlacementOutcome,
    /// Known targets of the service, by name.
    pub targets: Vec<TargetExplanation>,
}

impl Clone for DispatchSettings {
    fn clone(&self) -> Self {
        Self {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            position: self.position,
            quarantine: self.quarantine.boxed_clone(),
            prompt_parts: self.prompt_parts.boxed_clone(),
        }
    }
}

impl Dispatcher {
    /// Explains what would happen to a call that arrived at `now`. Changes nothing.
    pub fn explain(&self, now: time::Timestamp, demand: &CallDemand) -> PlacementExplanation {
        let mut demand = demand.clone();
        self.recall_first_request(&mut demand);
        PlacementExplanation {
            service: demand.service.clone(),
            outcome: self.clone().try_arrival(now, &demand),
            targets: self.explain_targets(now, &demand),
        }
    }

    /// Handles the arrival of a call, on a copy that is used for nothing else.
    fn try_arrival(mut self, now: time::Timestamp, demand: &CallDemand) -> PlacementOutcome {
        let arrival = DispatchEvent::Arrived {
            call: TRIAL_CALL,
            demand: Box::new(demand.clone()),
        };
        let effects = self.handle(now, arrival);
        if let Some(placed) = self.placed.get(&TRIAL_CALL) {
            let target = placed.target.key.name.clone();
            return PlacementOutcome::Placed { target };
        }
        let refusal = effects.iter().find_map(|effect| match effect {
            DispatchEffect::Refuse { call, refusal } if *call == TRIAL_CALL => Some(*refusal),
            _ => None,
        });
        match refusal {
            Some(refusal) => refusal.into(),
            None => PlacementOutcome::Waits {
                calls_ahead: self.waiting.count_ahead(now, demand).saturating_sub(1),
                expected_wait: self.waiting_time(now, demand),
            },
        }
    }

    /// Returns the time after which a waiting call is expected to be placed, from the estimates by
    /// which calls are refused on arrival.
    fn waiting_time(&self, now: time::Timestamp, demand: &CallDemand) -> Duration {
        let ahead = self.waiting.count_ahead(now, demand);
        let wait = match self.limited_wait(now, demand, ahead) {
            Some(limits::LimitedWait::For(wait)) => wait,
            Some(limits::LimitedWait::Unknown) | None => self.expected_wait(now, demand),
        };
        wait.max(self.service_pause(now, demand).unwrap_or_default())
    }

    fn explain_targets(&self, now: time::Timestamp, demand: &CallDemand) -> Vec<TargetExplanation> {
        let loads = self.local_loads(now);
        let usable =
            targets::usable_targets(&self.targets, now, demand, |entry| self.is_in_cell(entry));
        let usable: BTreeSet<_> = usable.into_iter().map(|(name, _)| name).collect();
        let entries = self.targets.iter();
        let entries = entries.filter(|(_, entry)| entry.record.service == demand.service);
        entries
            .map(|(name, entry)| {
                let candidate = self.candidate(&loads, name, entry);
                let other_cell = (!usable.contains(name)).then_some(TargetObstacle::OtherCell);
                let is_tried = demand.tried.contains(name);
                let obstacle = entry
                    .obstacle(now, demand)
                    .or(other_cell)
                    .or_else(|| self.request_obstacle(now, name, entry))
                    .or(is_tried.then_some(TargetObstacle::AlreadyTried))
                    .or_else(|| candidate.capacity_obstacle(now, demand));
                let cost_s = candidate.cost_s(now, &self.settings.zone, demand);
                let load = candidate.load;
                let forecast = PlacementForecast::new(demand, entry.speed, load);
                TargetExplanation {
                    target: name.clone(),
                    zone: entry.record.zone.clone(),
                    obstacle,
                    is_healthy: !entry.health.is_unhealthy(now),
                    calls: load.calls,
                    copies: load.copies,
                    slots: entry.record.slots,
                    memory_used_tokens: load.used_tokens,
                    memory_forecast_tokens: load.forecast_tokens,
                    waiting_prompt_tokens: load.backlog_tokens,
                    speed_thousandths: forecast.factor_thousandths,
                    pause_risk_thousandths: forecast.risk_thousandths,
                    cost: Duration::from_micros((cost_s * 1e6).round() as u64),
                }
            })
            .collect()
    }
}
