//! Copies a running stream's memory from one target to another, and discards copies.

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

/// Time limit for one migration: a target that leaves stays for about two seconds.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time limit for discarding a copy. A copy that is not discarded expires by itself some seconds
/// later.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of one migration.
#[derive(Debug)]
pub(super) struct MigrationReport {
    /// Address of the target that the memory is copied from.
    pub(super) source: net::SocketAddr,
    /// Target that the memory is copied to.
    pub(super) target: Rc<directory::TargetRecord>,
    /// Time that the migration took.
    pub(super) took: Duration,
    /// Response of the source; `None` if there was none in time.
    pub(super) response: Option<protocol::MigrationResponse>,
}

/// Requests a copy of a stream's memory at `target` from its `source`, and waits for the result.
pub(super) async fn migrate(
    state: Rc<RelayState>,
    request_id: Box<str>,
    source: Rc<directory::TargetRecord>,
    target: Rc<directory::TargetRecord>,
) -> MigrationReport {
    let started_at: time::Timestamp = state.now();
    let migration_request = state.protocol.migration_request(
        &request_id,
        source.address,
        target.address,
        protocol::MigrationMode::Copy,
    );
    let response = match client::exchange(
        source.address,
        migration_request,
        MIGRATION_TIMEOUT,
        &state.memory.responses,
    )
    .await
    {
        Ok((parts, body)) => {
            state.handle_notice(&source.key, started_at, &parts);
            Some(state.protocol.read_migration_response(parts.status, &body))
        }
        Err(error) => {
            log::debug!(
                "can't migrate stream {request_id} from target {}: {error}",
                source.key
            );
            None
        }
    };

    MigrationReport {
        source: source.address,
        target,
        took: state.now().since(started_at),
        response,
    }
}

/// Waits for a migration whose result is not needed, and discards its copy.
pub(super) fn abandon(state: &Rc<RelayState>, pending: forwarder::PendingMigration) {
    let state = Rc::clone(state);
    task::spawn_local(async move {
        let report = pending.await;
        if let Some(protocol::MigrationResponse::Copied { handle }) = report.response {
            discard_copy(&state, handle, &[report.source, report.target.address]);
        }
    });
}

/// Discards a copy at each target that may hold it, except in evacuated zones, where it expires.
/// Until then, a copy takes memory away from streams without counting as load.
pub(super) fn discard_copy(
    state: &Rc<RelayState>,
    handle: Box<str>,
    addresses: &[net::SocketAddr],
) {
    for address in addresses.iter().copied() {
        if state.with_dispatcher(|dispatcher, _| dispatcher.is_address_evacuated(address)) {
            continue;
        }
        let Some(discard_request) = state.protocol.discard_request(&handle, address) else {
            log::warn!(
                "can't discard copy {handle:?}, leaving it to expire: its handle is not a valid path"
            );
            return;
        };
        let handle = handle.clone();
        let account = Rc::clone(&state.memory.responses);
        task::spawn_local(async move {
            match client::exchange(address, discard_request, DISCARD_TIMEOUT, &account).await {
                Ok((parts, _)) => log::debug!(
                    "request to discard copy {handle} at {address}: status {}",
                    parts.status
                ),
                Err(error) => log::debug!(
                    "can't discard copy {handle} at {address}, leaving it to expire: {error}"
                ),
            }
        });
    }
}
