//! Forecasts the longest pause between two events of a stream, and what a pause that is too long
//! costs; records the speeds that the forecast is based on.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallDemand;
use super::Dispatcher;
use super::LoadCount;
use super::SpeedReport;
use super::calls;
use super::placement;
use super::speeds;
use crate::directory;

/// Cost of a long stream that is late: the generation time of an average one, which is lost.
const LATE_STREAM_COST_S: f64 = 5.0;

/// Share of the longest permitted pause from which a forecast pause is a risk; the model and the
/// learnt factor are accurate to about this much.
const SAFE_GAP_SHARE: f64 = 0.85;

/// Speed of a target and risk of a late stream there, for which a call was placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementForecast {
    /// Time that work takes at the target, in thousandths of the time in the engine model.
    pub factor_thousandths: u32,
    /// Risk that a pause between two events is too long when a prompt is processed beside the
    /// stream, in thousandths.
    pub risk_thousandths: u32,
}

impl PlacementForecast {
    /// Returns the forecast for a call that is sent to a target with `load`.
    pub(super) fn new(demand: &CallDemand, speed: speeds::TargetSpeed, load: LoadCount) -> Self {
        let risk = pause_risk(demand, speed, load);
        Self {
            factor_thousandths: (speed.factor * 1_000.0).round() as u32,
            risk_thousandths: (risk * 1_000.0).round() as u32,
        }
    }
}

/// Returns the risk from 0 to 1 that a pause between two events of a stream is too long at a target
/// with `load`, if prompts are processed beside it; 0 if the route states no longest pause.
pub(super) fn pause_risk(demand: &CallDemand, speed: speeds::TargetSpeed, load: LoadCount) -> f64 {
    let (Some(gap), Some(engine)) = (demand.target_gap, &demand.engine) else {
        return 0.0;
    };
    let step_s = placement::step_s(load.calls.saturating_add(1)) + placement::STEP_S_PER_CHUNK;
    let pause_s = engine.event_tokens as f64 * step_s * speed.factor * speed.slowdown;
    let gap_s = gap.as_secs_f64();
    if gap_s <= 0.0 {
        return 0.0;
    }
    let share = pause_s / gap_s;
    ((share - SAFE_GAP_SHARE) / (1.0 - SAFE_GAP_SHARE)).clamp(0.0, 1.0)
}

/// Returns the cost, in seconds of delay, of the streams that become late if a call is sent to a
/// target: the call itself, if it is long, and the long streams beside which its prompt is
/// processed.
pub(super) fn late_streams_cost_s(
    demand: &CallDemand,
    speed: speeds::TargetSpeed,
    load: LoadCount,
    generation_s: f64,
) -> f64 {
    let risk = pause_risk(demand, speed, load);
    if risk <= 0.0 {
        return 0.0;
    }
    let prefill_s_per_token = speed.factor / placement::PREFILL_TOKENS_PER_S;
    let prompt_s = demand.prompt_tokens as f64 * prefill_s_per_token;
    let others = f64::from(load.long_streams) * late_probability(prompt_s);
    let own = match calls::is_long_stream(demand) {
        true => {
            let prefill_share = (load.prompt_tokens_per_s as f64 * prefill_s_per_token).min(1.0);
            late_probability(prefill_share * generation_s)
        }
        false => 0.0,
    };
    risk * LATE_STREAM_COST_S * (own + others)
}

/// Returns the probability that the machine slows down at least once while prompts are processed
/// for this long.
fn late_probability(prompt_s: f64) -> f64 {
    1.0 - (-prompt_s).exp()
}

impl Dispatcher {
    /// Returns what this relay has recently observed of the speeds of targets, for its peers.
    pub fn speed_reports(&self, now: time::Timestamp) -> Vec<SpeedReport> {
        self.speeds.reports(now)
    }

    /// Returns the number of targets of which some relay has observed the speed.
    pub fn known_speed_count(&self) -> usize {
        let entries = self.targets.values();
        entries.filter(|entry| entry.is_speed_known).count()
    }

    /// Returns the forecast for a call that is sent to a target.
    pub(super) fn placement_forecast(
        &self,
        call: ids::CallId,
        target: &directory::TargetKey,
        load: LoadCount,
    ) -> PlacementForecast {
        let Some(placed) = self.placed.get(&call) else {
            return PlacementForecast::default();
        };
        let entry = self.targets.get(&target.name);
        let speed = entry.map_or_else(speeds::TargetSpeed::default, |entry| entry.speed);
        PlacementForecast::new(&placed.demand, speed, load)
    }

    /// Records the slowdown of its machine that a target stated.
    pub(super) fn record_slowdown(
        &mut self,
        now: time::Timestamp,
        target: &directory::TargetKey,
        percent: u32,
    ) {
        if let Some(entry) = self.targets.get(&target.name) {
            self.speeds
                .record_slowdown(now, &entry.record.service, percent);
        }
    }

    /// Takes a sample of the time to the first event of a call. Retries give none: their target may
    /// have to generate again what the caller already has.
    pub(super) fn observe_first_event(&mut self, now: time::Timestamp, call: ids::CallId) {
        let Some(placed) = self.placed.get_mut(&call) else {
            return;
        };
        let load = placed.load_at_placement;
        let is_first = placed.first_event_at.is_none() && placed.previous_times.is_none();
        if let Some(engine) = &placed.demand.engine
            && is_first
            && load.backlog_tokens == 0
            && placed.demand.tried.is_empty()
        {
            let took: Duration = now.since(placed.sent_at);
            placed.speed_window.record_first_event(
                took,
                placed.demand.prompt_tokens,
                engine.event_tokens,
                load,
            );
        }
    }

    /// Takes a sample when the events of a stream fill a window.
    pub(super) fn observe_events(&mut self, now: time::Timestamp, call: ids::CallId) {
        let Some(placed) = self.placed.get(&call) else {
            return;
        };
        let Some(engine) = &placed.demand.engine else {
            return;
        };
        let (events, event_tokens) = (placed.events, engine.event_tokens);
        if !placed.speed_window.is_due(now, events) {
            return;
        }
        let target = placed.target.key.clone();
        let load = self.load_for_speed(now, &target.name);
        let Some(placed) = self.placed.get_mut(&call) else {
            return;
        };
        let sample = placed.speed_window.restart(now, events, event_tokens, load);
        if let Some(factor) = sample {
            if let Some(first_factor) = placed.speed_window.take_first_event() {
                self.speeds.add_sample(now, &target, first_factor);
            }
            self.speeds.add_sample(now, &target, factor);
        }
    }

    /// Returns the calls and the prompt rate of all relays at one target.
    fn load_for_speed(&self, now: time::Timestamp, target: &ids::TargetName) -> LoadCount {
        let mut load = self.peer_loads.sum(target);
        load.calls = load.calls.saturating_add(self.speeds.own_streams(target));
        let own_rate = self.prompt_rates.rate(now, target);
        load.prompt_tokens_per_s = load.prompt_tokens_per_s.saturating_add(own_rate);
        load
    }

    /// Combines the observations of all relays into the speeds that placement uses.
    pub(super) fn refresh_speeds(&mut self, now: time::Timestamp) {
        if !self.speeds.is_refresh_due(now) {
            return;
        }
        let mut own_streams: BTreeMap<ids::TargetName, u32> = BTreeMap::new();
        for placed in self.placed.values() {
            let name = &placed.target.key.name;
            match own_streams.get_mut(name) {
                Some(count) => *count += 1,
                None if placed.demand.engine.is_some() => {
                    own_streams.insert(name.clone(), 1);
                }
                None => {}
            }
        }
        let slowdowns = self.speeds.slowdowns(now);
        let combined = self.speeds.combine(now, own_streams);
        let mut logs: BTreeMap<&ids::ServiceName, Vec<f64>> = BTreeMap::new();
        for entry in self.targets.values() {
            if let Some(estimate) = combined.get(&entry.record.key) {
                let service_logs = logs.entry(&entry.record.service).or_default();
                service_logs.push(estimate.log_factor());
            }
        }
        let services: BTreeMap<ids::ServiceName, speeds::ServiceSpeed> = logs
            .into_iter()
            .map(|(service, logs)| (service.clone(), speeds::ServiceSpeed::new(logs)))
            .collect();
        for entry in self.targets.values_mut() {
            let service = &entry.record.service;
            let estimate = combined.get(&entry.record.key);
            let slowdown = slowdowns.get(service).copied().unwrap_or(1.0);
            entry.is_speed_known = estimate.is_some();
            entry.speed = services
                .get(service)
                .copied()
                .unwrap_or_default()
                .target_speed(estimate, slowdown);
        }
    }
}
