//! Metrics of one agent, taken from the events and effects of its reducer.

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

/// Metrics in their registry, for the task that serves them.
#[derive(Clone)]
pub struct MetricSource {
    registry: Arc<Mutex<registry::MetricRegistry>>,
}

impl MetricSource {
    /// Writes all metrics as text.
    pub fn encode(&self) -> String {
        self.registry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .encode()
    }
}

/// Observes the reducer.
pub(super) struct AgentMetrics {
    metrics: schedule::ScheduleMetrics,
    limiter: labels::LabelLimiter,
    /// When each attempt that waits for admission was accepted.
    accepted: BTreeMap<ids::AttemptId, time::Timestamp>,
    preemptions: u64,
}

impl AgentMetrics {
    /// Makes the metrics of one agent.
    pub(super) fn new() -> (Self, MetricSource) {
        let mut registry = registry::MetricRegistry::default();
        let metrics = Self {
            metrics: schedule::ScheduleMetrics::register(&mut registry),
            limiter: labels::LabelLimiter::default(),
            accepted: BTreeMap::new(),
            preemptions: 0,
        };
        let source = MetricSource {
            registry: Arc::new(Mutex::new(registry)),
        };
        (metrics, source)
    }

    /// Takes note of an event before the reducer takes it.
    pub(super) fn observe_event(&mut self, event: &reducer::AgentEvent) {
        if let reducer::AgentEvent::EngineReport(report) = event {
            self.observe_report(report);
        }
    }

    /// Takes note of an effect of the reducer.
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

    /// Takes note of the load that gateways are told.
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
        // An engine that was restarted counts from zero again.
        let fresh = match report.preemptions.checked_sub(self.preemptions) {
            Some(fresh) => fresh,
            None => report.preemptions,
        };
        self.preemptions = report.preemptions;
        self.metrics.preemptions.inc_by(fresh);
    }

    fn observe_frame(&mut self, now: time::Timestamp, frame: &frames::AgentFrame) {
        match frame {
            frames::AgentFrame::Accepted { attempt } => {
                self.accepted.insert(*attempt, now);
            }
            frames::AgentFrame::Refused(report) => {
                self.accepted.remove(&report.attempt);
                self.metrics.record_refusal(report.code.as_str());
            }
            // A repeat that waited for another attempt's answer is never admitted itself.
            frames::AgentFrame::Responded(report) => {
                self.accepted.remove(&report.attempt);
            }
            frames::AgentFrame::Failed(report) => {
                self.accepted.remove(&report.attempt);
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
        let Some(since) = self.accepted.remove(&attempt) else {
            return;
        };
        if let Some(state) = reducer.attempts().get(attempt) {
            let labels = self.limiter.label(&state.order.tag);
            self.metrics.record_admission(&labels, now.since(since));
        }
    }
}
