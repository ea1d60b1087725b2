//! Moves of a running stream's memory from one target to another.

use std::net;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::time;
use tokio::task;

use super::client;
use super::forwarder;
use super::state::RelayState;
use crate::directory;
use crate::protocol;

/// Longest time for one move: a target that leaves gives about two seconds.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Longest time for freeing a copy; one that is not freed lapses by itself, some seconds later.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// What came of one move.
#[derive(Debug)]
pub(super) struct MigrationReport {
    /// Address of the target that the memory is copied from.
    pub(super) source: net::SocketAddr,
    /// Target that the memory was to go to.
    pub(super) target: Rc<directory::TargetRecord>,
    /// Time that it took.
    pub(super) took: Duration,
    /// What the source said; `None` when it said nothing.
    pub(super) response: Option<protocol::MoveAnswer>,
}

/// Moves memory and waits for the end of it.
pub(super) async fn migrate(
    state: Rc<RelayState>,
    request: Box<str>,
    source: Rc<directory::TargetRecord>,
    target: Rc<directory::TargetRecord>,
) -> MigrationReport {
    let started: time::Timestamp = state.now();
    let migration_request = state
        .protocol
        .move_request(&request, source.address, target.address);
    let response =
        match client::exchange(source.address, migration_request, MIGRATION_TIMEOUT).await {
            Ok((parts, body)) => Some(state.protocol.read_move(parts.status, &body)),
            Err(error) => {
                log::debug!("move of {request} from {}: {error}", source.key);
                None
            }
        };

    MigrationReport {
        source: source.address,
        target,
        took: state.now().since(started),
        response,
    }
}

/// Frees the memory of a move that nothing goes on from, once the move is over.
pub(super) fn abandon(state: &Rc<RelayState>, pending: forwarder::PendingMigration) {
    let state = Rc::clone(state);
    task::spawn_local(async move {
        let report = pending.await;
        if let Some(protocol::MoveAnswer::Copied { handle }) = report.response {
            discard_copy(&state, handle, &[report.source, report.target.address]);
        }
    });
}

/// Frees a copy at the targets that may hold it. Until it lapses, its memory would be taken from
/// streams without counting as load.
pub(super) fn discard_copy(
    state: &Rc<RelayState>,
    handle: Box<str>,
    addresses: &[net::SocketAddr],
) {
    for address in addresses.iter().copied() {
        let Some(discard_request) = state.protocol.discard_request(&handle, address) else {
            log::warn!("copy {handle:?} can't be freed: its name is no path");
            return;
        };
        let handle = handle.clone();
        task::spawn_local(async move {
            match client::exchange(address, discard_request, DISCARD_TIMEOUT).await {
                Ok((parts, _)) => log::debug!("copy {handle} at {address}: {}", parts.status),
                Err(error) => log::debug!("copy {handle} at {address} is not freed: {error}"),
            }
        });
    }
}
