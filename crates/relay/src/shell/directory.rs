//! Applies what is read of the platform's directory.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use tokio::sync::mpsc;

use super::state;
use super::state::RelayState;
use crate::directory;
use crate::dispatch;
use crate::telemetry;

/// Source of what peers tell.
pub(super) const PEER_SOURCE: &str = "peer";

/// Time between looks at waiting calls and lapsed records.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Applies events until the reader is gone, and ticks the dispatcher.
pub async fn run(state: Rc<RelayState>, mut events: mpsc::Receiver<directory::DirectoryEvent>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => take(&state, event, &mut events),
                None => return,
            },
            _ = ticks.tick() => tick(&state),
        }
    }
}

fn tick(state: &RelayState) {
    let changes = state.targets.borrow_mut().remove_expired(state.now());
    apply(state, changes, "record lapsed");
    state.submit(dispatch::DispatchEvent::Tick);
}

/// Takes an event, together with the changes that came with it.
fn take(
    state: &RelayState,
    event: directory::DirectoryEvent,
    events: &mut mpsc::Receiver<directory::DirectoryEvent>,
) {
    let mut written = Vec::new();
    let mut removed = Vec::new();
    let mut next = Some(event);
    while let Some(event) = next {
        match event {
            directory::DirectoryEvent::Written(record) => written.push(record),
            directory::DirectoryEvent::Removed { name, revision } => {
                removed.push((name, revision));
            }
            other => take_other(state, other),
        }
        next = events.try_recv().ok();
    }
    if !written.is_empty() || !removed.is_empty() {
        let changes = state
            .targets
            .borrow_mut()
            .apply_changes(state.now(), written, removed);
        apply(state, changes, "directory");
    }
}

fn take_other(state: &RelayState, event: directory::DirectoryEvent) {
    match event {
        directory::DirectoryEvent::Routes { table, text } => {
            take_routes(state, table, text, "directory");
        }
        directory::DirectoryEvent::Listed { revision, targets } => {
            let changes = state
                .targets
                .borrow_mut()
                .apply_list(state.now(), revision, targets);
            apply(state, changes, "list");
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
        directory::DirectoryEvent::Written(_) | directory::DirectoryEvent::Removed { .. } => {}
    }
}

/// Puts routes in force if they are newer than those that are.
pub(super) fn take_routes(
    state: &RelayState,
    table: Rc<directory::RouteTable>,
    text: bytes::Bytes,
    source: &str,
) {
    let version = table.version();
    let routes = table.len();
    if !state.take_routes(table, text) {
        return;
    }
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::RoutesActivated)
        .outcome(source)
        .version(version.get())
        .count(routes as u64);
    state.record(&record);
}

/// Tells log and dispatcher of changed targets.
pub(super) fn apply(state: &RelayState, changes: Vec<directory::TargetChange>, source: &str) {
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
            directory::TargetChange::Gone(key) => (telemetry::RecordKind::TargetGone, &key.name),
        };
        let record = telemetry::DecisionRecord::new(kind)
            .target(name)
            .outcome(source)
            .version(revision);
        state.record(&record);
    }
    if source != PEER_SOURCE {
        tell_departures(state, &changes);
    }
    state.submit(dispatch::DispatchEvent::TargetsChanged(changes));
}

/// Tells peers of targets that leave, as news travel faster among them than from the directory.
fn tell_departures(state: &RelayState, changes: &[directory::TargetChange]) {
    let departures: Vec<_> = {
        let targets = state.targets.borrow();
        let left = changes.iter().filter_map(|change| match change {
            directory::TargetChange::Usable(_) => None,
            directory::TargetChange::Leaving(key) | directory::TargetChange::Gone(key) => Some(key),
        });
        left.filter_map(|key| Some((key.clone(), targets.departure(key)?)))
            .collect()
    };
    if !departures.is_empty() {
        let message = super::PeerMessage::Departures(departures);
        state.tell_peers(state::NewsScope::All, &message);
    }
}
