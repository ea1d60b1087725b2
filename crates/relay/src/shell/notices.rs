//! Handles what targets say of themselves in their responses.

use http::response;

use super::directory_events;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;

/// Source that the decision log names for departures that targets announced themselves.
const TARGET_SOURCE: &str = "target";

impl RelayState {
    /// Handles the notice in the head of a target's response: one that leaves gets nothing new from
    /// here on, nor from peers, and one that asks for a pause gets it.
    pub(super) fn handle_notice(&self, target: &directory::TargetKey, response: &response::Parts) {
        let notice = self.protocol.read_notice(response);
        if let Some(pause) = notice.pause {
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
