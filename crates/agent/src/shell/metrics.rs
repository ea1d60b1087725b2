//! Metrics of one agent, derived from the events and effects of its reducer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;
use kingcupfall_link::frames;
use kingcupfall_telemetry::labels;
use kingcupfall_telemetry::registry;
use kingcupfall_telemetry::schedule;

use crate::reducer;

/// Registry of the agent's metrics, shared with the server that exposes them.
#[derive(Clone)]
pub struct MetricSource {
    registry: Arc<Mutex<registry::MetricRegistry>>,
}

impl MetricSource {
    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> String {
        self.registry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .encode()
    }
}

/// Updates the metrics from the reducer's events and effects.
pub(super) struct AgentMetrics {
    metrics: schedule::ScheduleMetrics,
    limiter: labels::LabelLimiter,
    /// When each attempt that waits for admission was accepted.
    accepted_at: BTreeMap<ids::AttemptId, time::Timestamp>,
    /// Preemptions in the engine's last report.
    preemptions: u64,
}

impl AgentMetrics {
    /// Creates the metrics of one agent, and a source to encode them.
    pub(super) fn new() -> (Self, MetricSource) {
        let mut registry = registry::MetricRegistry::default();
        let metrics = Self {
            metrics: schedule::ScheduleMetrics::register(&mut registry),
            limiter: labels::LabelLimiter::default(),
            accepted_at: BTreeMap::new(),
            preemptions: 0,
        };
        let source = MetricSource {
            registry: Arc::new(Mutex::new(registry)),
        };
        (metrics, source)
    }

    /// Records an event before the reducer handles it.
    pub(super) fn observe_event(&mut self, event: &reducer::AgentEvent) {
        if let reducer::AgentEvent::EngineReport(report) = event {
            self.observe_report(report);
        }
    }

    /// Records an effect of the reducer.
    pub(super) fn observe_effect(
        &mut self,
        now: time::Timestamp,
        effect: &reducer::AgentEffect,
        reducer: &reducer::AgentReducer,
    ) {
        match effect {
            reducer::AgentEffect::Send { frame, .. } => self.observe_frame(now, frame),
            reducer::AgentEffect::Generate(command) => {
                self.observe_admission(now, command.attempt, reducer);
            }
            reducer::AgentEffect::CallService { attempt, .. } => {
                self.observe_admission(now, *attempt, reducer);
            }
            reducer::AgentEffect::Pause { .. } => {
                self.metrics.pauses.inc();
            }
            reducer::AgentEffect::CloseLink { .. }
            | reducer::AgentEffect::Resume { .. }
            | reducer::AgentEffect::Cancel { .. }
            | reducer::AgentEffect::Exit => {}
        }
    }

    /// Sets the gauges to the load reported to gateways.
    pub(super) fn observe_load(&self, load: &load::LoadSummary) {
        self.metrics.running.set(i64::from(load.running));
        self.metrics.paused.set(i64::from(load.paused));
        self.metrics.queued.set(i64::from(load.queued));
        let tokens = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.memory_used.set(tokens(load.memory_used.get()));
        self.metrics
            .memory_total
            .set(tokens(load.memory_total.get()));
    }

    fn observe_report(&mut self, report: &engine::EngineReport) {
        // A restarted engine counts from zero again.
        let new_preemptions = match report.preemptions.checked_sub(self.preemptions) {
            Some(new_preemptions) => new_preemptions,
            None => report.preemptions,
        };
        self.preemptions = report.preemptions;
        self.metrics.preemptions.inc_by(new_preemptions);
    }

    fn observe_frame(&mut self, now: time::Timestamp, frame: &frames::AgentFrame) {
        match frame {
            frames::AgentFrame::Accepted { attempt } => {
                self.accepted_at.insert(*attempt, now);
            }
            frames::AgentFrame::Refused(report) => {
                self.accepted_at.remove(&report.attempt);
                self.metrics.record_refusal(report.code.as_str());
            }
            // A repeat that waited for another attempt's response is never admitted itself.
            frames::AgentFrame::Responded(report) => {
                self.accepted_at.remove(&report.attempt);
            }
            frames::AgentFrame::Failed(report) => {
                self.accepted_at.remove(&report.attempt);
            }
            frames::AgentFrame::Hello(_)
            | frames::AgentFrame::Heartbeat(_)
            | frames::AgentFrame::Tokens(_)
            | frames::AgentFrame::Finished(_)
            | frames::AgentFrame::Superseded { .. }
            | frames::AgentFrame::Fleet(_) => {}
        }
    }

    fn observe_admission(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        reducer: &reducer::AgentReducer,
    ) {
        let Some(accepted_at) = self.accepted_at.remove(&attempt) else {
            return;
        };
        if let Some(state) = reducer.attempts().get(attempt) {
            let labels = self.limiter.label(&state.order.tag);
            self.metrics
                .record_admission(&labels, now.since(accepted_at));
        }
    }
}
