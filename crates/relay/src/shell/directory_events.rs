//! Applies events from the reader of the platform's directory to the shared state.

use std::cell::Ref;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use tokio::sync::mpsc;

use super::evacuations;
use super::limits;
use super::state;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::telemetry;

/// Source that the decision log names for routes and target changes received from peers.
pub(super) const PEER_SOURCE: &str = "peer";

/// Outcome that the decision log names for records that are kept without a sign of an outage.
const UNEXPLAINED: &str = "most records at once";

/// Outcome that the decision log names for records of targets that exceed their number.
const NO_ROOM: &str = "too many targets";

/// Interval at which the dispatcher reviews waiting calls and expired target records are removed.
const DISPATCHER_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Applies events until the reader closes the channel, and ticks the dispatcher.
pub async fn handle_directory_events(
    state: Rc<RelayState>,
    mut events: mpsc::Receiver<directory::DirectoryEvent>,
) {
    let mut tick_interval = tokio::time::interval(DISPATCHER_TICK_INTERVAL);
    tick_interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => handle_events(&state, event, &mut events),
                None => return,
            },
            _ = tick_interval.tick() => handle_tick(&state),
        }
    }
}

fn handle_tick(state: &RelayState) {
    let changes = state.targets.borrow_mut().remove_expired(state.now());
    apply_target_changes(state, changes, "record lapsed");
    evacuations::remove_expired(state);
    limits::update_shares_regularly(state);
    state.submit(dispatch::DispatchEvent::Tick);
}

/// Handles an event together with all events that are already queued. Changes of target records are
/// applied in one step, after the other events.
fn handle_events(
    state: &RelayState,
    event: directory::DirectoryEvent,
    events: &mut mpsc::Receiver<directory::DirectoryEvent>,
) {
    let mut written = Vec::new();
    let mut removed = Vec::new();
    let mut is_confirmed = false;
    let mut next_event = Some(event);
    while let Some(event) = next_event {
        match event {
            directory::DirectoryEvent::Written(record) => written.push(record),
            directory::DirectoryEvent::Removed { name, revision } => {
                removed.push((name, revision));
            }
            directory::DirectoryEvent::Confirmed => is_confirmed = true,
            other => handle_other_event(state, other),
        }
        next_event = events.try_recv().ok();
    }
    if !written.is_empty() || !removed.is_empty() {
        let changes = state
            .targets
            .borrow_mut()
            .apply_changes(state.now(), written, removed);
        apply_target_changes(state, changes, "directory");
    }
    if is_confirmed {
        state.feed_peers();
    }
}

/// Handles an event that does not concern the record of a single target.
fn handle_other_event(state: &RelayState, event: directory::DirectoryEvent) {
    match event {
        directory::DirectoryEvent::Routes { table, text } => {
            handle_routes(state, table, text, "directory");
        }
        directory::DirectoryEvent::Listed { revision, targets } => {
            let known_revision = state.targets.borrow().revision();
            if revision.era() > known_revision.era() {
                let record =
                    telemetry::DecisionRecord::new(telemetry::RecordKind::DirectoryRestored)
                        .version(known_revision.get())
                        .count(revision.era());
                state.record(&record);
            }
            let changes = state
                .targets
                .borrow_mut()
                .apply_list(state.now(), revision, targets);
            apply_target_changes(state, changes, "list");
        }
        directory::DirectoryEvent::EvacuationsListed { revision, zones } => {
            evacuations::handle_list(state, revision, &zones);
        }
        directory::DirectoryEvent::EvacuationChanged(update) => {
            evacuations::handle_change(state, update);
        }
        directory::DirectoryEvent::Lost => {
            state.targets.borrow_mut().record_directory_lost();
            let record = telemetry::DecisionRecord::new(telemetry::RecordKind::DirectoryLost)
                .version(state.targets.borrow().revision().get());
            state.record(&record);
        }
        directory::DirectoryEvent::Regained => {
            state
                .targets
                .borrow_mut()
                .record_directory_regained(state.now());
            let record = telemetry::DecisionRecord::new(telemetry::RecordKind::DirectoryRegained)
                .version(state.targets.borrow().revision().get());
            state.record(&record);
        }
        directory::DirectoryEvent::Disturbed => {
            let mut targets = state.targets.borrow_mut();
            targets.record_directory_disturbed(state.now());
        }
        directory::DirectoryEvent::Written(_)
        | directory::DirectoryEvent::Removed { .. }
        | directory::DirectoryEvent::Confirmed => {}
    }
}

/// Makes routes active if they are newer than the active ones.
pub(super) fn handle_routes(
    state: &RelayState,
    table: Rc<directory::RouteTable>,
    text: bytes::Bytes,
    source: &str,
) {
    let version = table.version();
    let routes = table.len();
    let cold_rules = table.cold_rules();
    if !state.activate_routes(table, text) {
        return;
    }
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::RoutesActivated)
        .outcome(source)
        .version(version.get())
        .count(routes as u64);
    state.record(&record);
    state.submit(dispatch::DispatchEvent::ColdRulesChanged(cold_rules));
}

impl RelayState {
    /// Returns the known targets.
    pub fn targets(&self) -> Ref<'_, directory::TargetTable> {
        self.targets.borrow()
    }

    /// Records that there is no room for the records of some targets.
    pub fn record_dropped_targets(&self, count: u64) {
        let record = telemetry::DecisionRecord::new(telemetry::RecordKind::TargetRejected)
            .outcome(NO_ROOM)
            .count(count);
        self.record(&record);
    }
}

/// Reports changed targets to the decision log, to peers and to the dispatcher. Changes that came
/// from a peer are not sent on.
pub(super) fn apply_target_changes(
    state: &RelayState,
    changes: Vec<directory::TargetChange>,
    source: &str,
) {
    let dropped_count = state.targets.borrow_mut().take_dropped_count();
    if dropped_count > 0 {
        state.record_dropped_targets(dropped_count);
    }
    if changes.is_empty() {
        return;
    }
    let revision = state.targets.borrow().revision().get();
    for change in &changes {
        let (kind, name): (_, &ids::TargetName) = match change {
            directory::TargetChange::Usable(record) => {
                (telemetry::RecordKind::TargetUsable, &record.key.name)
            }
            directory::TargetChange::Leaving(key) => {
                (telemetry::RecordKind::TargetLeaving, &key.name)
            }
            directory::TargetChange::Missing(key, _) => {
                (telemetry::RecordKind::TargetMissing, &key.name)
            }
            directory::TargetChange::Gone(key) => (telemetry::RecordKind::TargetGone, &key.name),
        };
        let outcome = match change {
            directory::TargetChange::Missing(_, directory::MissingCause::Unexplained) => {
                UNEXPLAINED
            }
            _ => source,
        };
        let record = telemetry::DecisionRecord::new(kind)
            .target(name)
            .outcome(outcome)
            .version(revision);
        state.record(&record);
    }
    if source != PEER_SOURCE {
        broadcast_departures(state, &changes);
    }
    state.submit(dispatch::DispatchEvent::TargetsChanged(changes));
}

/// Sends departures of targets to all peers, as these learn of them faster this way than from the
/// directory.
fn broadcast_departures(state: &RelayState, changes: &[directory::TargetChange]) {
    let departures: Vec<_> = {
        let targets = state.targets.borrow();
        let unusable = changes.iter().filter_map(|change| match change {
            directory::TargetChange::Usable(_) | directory::TargetChange::Missing(..) => None,
            directory::TargetChange::Leaving(key) | directory::TargetChange::Gone(key) => Some(key),
        });
        unusable
            .filter_map(|key| Some((key.clone(), targets.departure(key)?)))
            .collect()
    };
    if !departures.is_empty() {
        let message = super::PeerMessage::Departures(departures);
        state.broadcast(state::UpdateScope::All, &message);
    }
}
