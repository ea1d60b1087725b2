//! Stops the process gracefully: open calls may finish until shortly before the platform kills the
//! process.

use std::rc::Rc;
use std::time::Duration;

use super::state::RelayState;
use super::state::StopPhase;
use crate::dispatch;
use crate::telemetry;

/// Time after the request to stop in which the platform may still send callers here: it probes
/// readiness once a second and needs two results.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_600);

/// Time between the end of the drain and the moment when the platform would kill the process.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Interval between checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Drains the process: open calls finish and idle connections are closed. Returns when the process
/// may end, at the latest half a second before the platform kills it.
pub async fn drain(state: &Rc<RelayState>) {
    let started_at = state.now();
    let grace = state.settings.borrow().stop_grace;
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Stopping)
        .count(state.open_calls.get() as u64);
    state.record(&record);

    state.stop_phase.send_replace(StopPhase::Leaving);
    state.submit(dispatch::DispatchEvent::Stopping);
    tokio::time::sleep(READINESS_PROPAGATION_TIME.min(grace / 2)).await;
    state.stop_phase.send_replace(StopPhase::Closing);

    let drain_limit = grace.saturating_sub(KILL_MARGIN);
    while state.open_connections.get() > 0 && state.now().since(started_at) < drain_limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Stopped)
        .count(state.open_calls.get() as u64)
        .after(state.now().since(started_at));
    state.record(&record);
}
