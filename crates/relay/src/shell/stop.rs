//! Stops the process gracefully: open calls may finish until shortly before the platform kills the
//! process.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::time;

use super::server;
use super::state::RelayState;
use super::state::StopPhase;
use crate::directory;
use crate::dispatch;
use crate::telemetry;

/// Time after the request to stop in which the platform may still send callers here: it probes
/// readiness once a second and needs two results.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_600);

/// Time between the end of the drain and the moment when the platform would kill the process.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Interval between checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for writing the last log lines, as a reader of standard output may have stalled.
const LOG_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between checks whether the log lines are written.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time between the deadline of a call and the end of the drain: its response still has to be
/// written then.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// When a process that was requested to stop closes idle connections, and when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// Time from which idle connections are closed.
    pub closing_at: time::Timestamp,
    /// Time from which no connections are accepted, as no call on them could be accepted either.
    /// Those accepted before have until the end for the refusals of their calls.
    pub refusing_at: time::Timestamp,
    /// Time at which the process ends, whether calls are open or not.
    pub ends_at: time::Timestamp,
}

impl StopPlan {
    /// Plans the stop of a process that is killed `grace` after `now`.
    pub fn new(now: time::Timestamp, grace: Duration) -> Self {
        Self {
            closing_at: now + READINESS_PROPAGATION_TIME.min(grace / 2),
            refusing_at: now + grace.saturating_sub(KILL_MARGIN + RESPONSE_MARGIN),
            ends_at: now + grace.saturating_sub(KILL_MARGIN),
        }
    }

    /// Returns whether a call that arrives after the request to stop is still accepted: no stream,
    /// as its length is unknown, and no call that could be open when the process ends.
    pub fn accepts(&self, kind: directory::CallKind, deadline: time::Timestamp) -> bool {
        kind != directory::CallKind::Stream && deadline + RESPONSE_MARGIN <= self.ends_at
    }
}

/// Drains the process: open calls finish and idle connections are closed. Returns when the process
/// may end, at the latest half a second before the platform kills it.
pub async fn drain(state: &Rc<RelayState>) {
    let started_at = state.now();
    let grace = state.settings.borrow().stop_grace;
    let plan = StopPlan::new(started_at, grace);
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Stopping)
        .count(state.open_calls.get() as u64);
    state.record(&record);

    state.stop_plan.set(Some(plan));
    state.stop_phase.send_replace(StopPhase::Leaving);
    state.submit(dispatch::DispatchEvent::Stopping);
    tokio::time::sleep_until(state.instant(plan.closing_at)).await;
    state.stop_phase.send_replace(StopPhase::Closing);

    wait_for_connections(state, plan.refusing_at).await;
    // The process ends for want of connections only when no further ones can be opened.
    server::close_caller_listener(state).await;
    wait_for_connections(state, plan.ends_at).await;

    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::Stopped)
        .count(state.open_calls.get() as u64)
        .after(state.now().since(started_at));
    state.record(&record);
    let written_by = state.now() + LOG_WRITE_TIMEOUT;
    while !state.is_log_written() && state.now() < written_by {
        tokio::time::sleep(LOG_POLL_INTERVAL).await;
    }
}

/// Waits until no caller's connection is open, at most until `until`.
async fn wait_for_connections(state: &RelayState, until: time::Timestamp) {
    while state.clients.len() > 0 && state.now() < until {
        let next_check_at = until.min(state.now() + POLL_INTERVAL);
        tokio::time::sleep_until(state.instant(next_check_at)).await;
    }
}
