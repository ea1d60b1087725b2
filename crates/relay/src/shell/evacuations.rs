//! Follows the evacuations of availability zones: applies them, reports them to the decision log
//! and tells peers.

use kingcupfall_core::ids;

use super::directory_events;
use super::peer_messages;
use super::state;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::telemetry;

/// Source that the decision log names for evacuations that were not written again after the
/// directory's return from an older copy.
const GRACE_SOURCE: &str = "not written again";

impl RelayState {
    /// Returns whether operators may evacuate availability zones.
    pub fn follows_evacuations(&self) -> bool {
        self.settings.borrow().follows_evacuations
    }

    /// Returns whether a zone is evacuated as far as this relay knows.
    pub fn is_evacuated(&self, zone: &ids::ZoneName) -> bool {
        self.evacuations.borrow().is_evacuated(zone)
    }

    /// Returns the zones that are evacuated as far as this relay knows.
    pub fn evacuated_zones(&self) -> Vec<ids::ZoneName> {
        let zones = self.evacuations.borrow().evacuated_zones();
        zones.into_iter().collect()
    }
}

/// Applies the directory's list of evacuated zones.
pub(super) fn handle_list(
    state: &RelayState,
    revision: directory::DirectoryRevision,
    zones: &[(ids::ZoneName, directory::DirectoryRevision)],
) {
    let now = state.now();
    let changes = state
        .evacuations
        .borrow_mut()
        .apply_list(now, revision, zones);
    apply_changes(state, &changes, "list");
}

/// Applies the evacuation of a zone, or its withdrawal, that the directory reported.
pub(super) fn handle_change(state: &RelayState, update: directory::ZoneEvacuation) {
    merge(state, &[update], "directory");
}

/// Applies what a peer knows of evacuations.
pub(super) fn merge_from_peer(state: &RelayState, updates: &[directory::ZoneEvacuation]) {
    merge(state, updates, directory_events::PEER_SOURCE);
}

/// Withdraws evacuations that have not been written again after the directory's return.
pub(super) fn remove_expired(state: &RelayState) {
    let changes = state.evacuations.borrow_mut().remove_expired(state.now());
    apply_changes(state, &changes, GRACE_SOURCE);
}

fn merge(state: &RelayState, updates: &[directory::ZoneEvacuation], source: &str) {
    let now = state.now();
    let changes = state.evacuations.borrow_mut().apply_changes(now, updates);
    apply_changes(state, &changes, source);
}

/// Reports changes to the dispatcher, the decision log and the peers. Changes that came from a peer
/// are not sent on, as that peer sends them on all its links and heartbeats repeat them.
fn apply_changes(state: &RelayState, changes: &[directory::ZoneEvacuation], source: &str) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        let kind = match change.is_evacuated {
            true => telemetry::RecordKind::ZoneEvacuated,
            false => telemetry::RecordKind::EvacuationWithdrawn,
        };
        let record = telemetry::DecisionRecord::new(kind)
            .zone(&change.zone)
            .outcome(source)
            .version(change.revision.get());
        state.record(&record);
    }
    let zones = state.evacuations.borrow().evacuated_zones();
    state.submit(dispatch::DispatchEvent::EvacuationsChanged(zones));
    if source != directory_events::PEER_SOURCE {
        let message = peer_messages::PeerMessage::Evacuations(changes.to_vec());
        state.broadcast(state::UpdateScope::All, &message);
    }
}
