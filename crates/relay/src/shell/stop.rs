//! Stops the process without cutting anything off.

use std::rc::Rc;
use std::time::Duration;

use super::state::RelayState;
use super::state::StopPhase;
use crate::dispatch;
use crate::telemetry;

/// Time after the order to stop in which callers may still be sent here: the platform asks for
/// readiness once a second and needs two answers.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_600);

/// Time before the end by force at which the process ends itself.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time between looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops taking callers, finishes what is there, and returns when the process may end.
pub async fn drain(state: &Rc<RelayState>) {
    let started = state.now();
    let grace = state.settings.borrow().stop_grace;
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Stopping)
        .count(state.open_calls.get() as u64);
    state.record(&record);

    state.stop_phase.send_replace(StopPhase::Leaving);
    state.submit(dispatch::DispatchEvent::Stopping);
    tokio::time::sleep(READINESS_PROPAGATION_TIME.min(grace / 2)).await;
    state.stop_phase.send_replace(StopPhase::Closing);

    let drain_limit = grace.saturating_sub(KILL_MARGIN);
    while state.open_connections.get() > 0 && state.now().since(started) < drain_limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Stopped)
        .count(state.open_calls.get() as u64)
        .after(state.now().since(started));
    state.record(&record);
}
