//! Handles what targets say of themselves in their responses.

use http::response;
use kingcupfall_core::time;

use super::directory_events;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// Source that the decision log names for departures that targets announced themselves.
const TARGET_SOURCE: &str = "target";

impl RelayState {
    /// Handles the notice in the head of a target's response to a request sent at `sent_at`: one that
    /// leaves gets nothing new from here on, nor from peers, and one that asks for a pause gets it.
    pub(super) fn handle_notice(
        &self,
        target: &directory::TargetKey,
        sent_at: time::Timestamp,
        response: &response::Parts,
    ) {
        let notice = self.protocol.read_notice(response);
        let limit = match notice.limit {
            protocol::LimitNotice::Unknown => None,
            protocol::LimitNotice::Unlimited => Some(None),
            protocol::LimitNotice::Limited(rate) => Some(Some(rate)),
        };
        if let Some(limit) = limit {
            self.submit(dispatch::DispatchEvent::LimitHeard {
                target: target.clone(),
                limit,
                sent_at,
            });
        }
        let slowdown_percent = notice.load.and_then(|load| load.slowdown_percent);
        if let Some(percent) = slowdown_percent {
            self.submit(dispatch::DispatchEvent::SlowdownHeard {
                target: target.clone(),
                percent,
            });
        }
        if let Some(pause) = notice.pause {
            let record = telemetry::DecisionRecord::new(telemetry::RecordKind::TargetPaused)
                .target(&target.name)
                .retry_after(pause);
            self.record(&record);
            self.submit(dispatch::DispatchEvent::TargetPaused {
                target: target.clone(),
                pause,
            });
        }
        if notice.is_leaving {
            let changes = self.targets.borrow_mut().apply_announced_departure(target);
            directory_events::apply_target_changes(self, changes, TARGET_SOURCE);
        }
    }
}
