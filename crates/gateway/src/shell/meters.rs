//! Metrics of the calls in progress.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_telemetry::calls;
use kingcupfall_telemetry::labels;

use crate::reducer;

/// Meters of the calls in progress.
///
/// Resumed streams and requests for idempotency keys have none: a resumed stream began in an
/// earlier call, and a key request gets no response from a target.
pub struct MeterTable {
    metrics: calls::CallMetrics,
    labels: labels::LabelLimiter,
    meters: BTreeMap<ids::CallId, calls::CallMeter>,
}

impl MeterTable {
    /// Creates a table without calls.
    pub fn new(metrics: calls::CallMetrics) -> Self {
        Self {
            metrics,
            labels: labels::LabelLimiter::default(),
            meters: BTreeMap::new(),
        }
    }

    /// Starts the meter of the call that `event` opens, if it opens one.
    pub fn start(&mut self, now: time::Timestamp, event: &reducer::GatewayEvent) {
        if let reducer::GatewayEvent::Call(request) = event {
            let labels = self.labels.label(&request.tag);
            let meter = self.metrics.start(now, labels);
            self.meters.insert(request.call, meter);
        }
    }

    /// Records a reply; all but `Tokens` end the measurement.
    pub fn record(&mut self, now: time::Timestamp, call: ids::CallId, reply: &reducer::CallReply) {
        let outcome = match reply {
            reducer::CallReply::Tokens(tokens) => {
                if let Some(meter) = self.meters.get_mut(&call) {
                    meter.record_tokens(now, tokens.tokens.len());
                }
                return;
            }
            reducer::CallReply::Finished { .. }
            | reducer::CallReply::Buffered(_)
            | reducer::CallReply::Service(_)
            | reducer::CallReply::Key(_) => work::CallOutcome::Completed,
            reducer::CallReply::Problem(problem) => problem.outcome,
        };

        if let Some(meter) = self.meters.remove(&call) {
            meter.finish(now, outcome);
        }
    }

    /// Ends the measurement of a call whose caller has disconnected.
    pub fn abandon(&mut self, call: ids::CallId) {
        if let Some(meter) = self.meters.remove(&call) {
            meter.abandon();
        }
    }
}
