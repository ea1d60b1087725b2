//! Probes targets that may have crashed, and tells peers of requests that crashed targets.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_policy::quarantine;
use tokio::task;

use super::client;
use super::directory_events;
use super::state::RelayState;
use super::state::UpdateScope;
use crate::directory;
use crate::dispatch;
use crate::telemetry;

/// Interval at which a stream checks whether it may be resumed: a fraction of the pause that a
/// probe causes.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Checks after `delay` whether a target accepts connections, and reports it to the dispatcher.
pub(super) fn probe_later(
    state: Rc<RelayState>,
    target: Rc<directory::TargetRecord>,
    delay: Duration,
) {
    task::spawn_local(async move {
        tokio::time::sleep(delay).await;
        let is_reachable = match client::connect(target.address).await {
            Ok(_) => true,
            Err(error) => {
                log::debug!("target {} accepts no connection: {error}", target.key);
                false
            }
        };
        state.submit(dispatch::DispatchEvent::TargetProbed {
            target: target.key.clone(),
            is_reachable,
        });
    });
}

/// Writes changed suspicions to the log, and sends those that this relay found to all peers.
pub(super) fn handle_change(
    state: &RelayState,
    records: Vec<quarantine::SuspectRecord>,
    source: &dispatch::SuspectSource,
) {
    for suspect in &records {
        let is_quarantined = suspect.crashes.iter().all(Option::is_some);
        let kind = match is_quarantined {
            true => telemetry::RecordKind::Quarantined,
            false => telemetry::RecordKind::Suspected,
        };
        let crashes = suspect.crashes.iter().flatten().count();
        let record = telemetry::DecisionRecord::new(kind)
            .fingerprint(suspect.fingerprint)
            .count(crashes as u64);
        state.record(&match source {
            dispatch::SuspectSource::Crash(target) => record.target(target),
            dispatch::SuspectSource::Peer => record.outcome(directory_events::PEER_SOURCE),
        });
    }
    if matches!(source, dispatch::SuspectSource::Crash(_)) {
        state.metrics.record_suspected_crashes(records.len() as u64);
        let message = super::PeerMessage::Suspects(records);
        state.broadcast(UpdateScope::All, &message);
    }
}

impl RelayState {
    /// Returns the requests that are suspected of crashing targets, quarantined ones included.
    pub fn suspects(&self) -> Vec<quarantine::SuspectRecord> {
        self.with_dispatcher(|dispatcher, now| dispatcher.suspects(now))
    }

    /// Waits until it is known whether the stream of a call may be resumed at another target, and
    /// returns that.
    pub(super) async fn resumption_verdict(&self, call: ids::CallId) -> dispatch::CrashVerdict {
        loop {
            let verdict =
                self.with_dispatcher(|dispatcher, now| dispatcher.resumption_verdict(now, call));
            if verdict != dispatch::CrashVerdict::Unresolved {
                return verdict;
            }
            tokio::time::sleep(VERDICT_POLL_INTERVAL).await;
        }
    }
}
