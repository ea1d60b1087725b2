//! Moves of a running stream's memory from one target to another.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::time;

use super::client;
use super::state::RelayState;
use crate::directory;
use crate::protocol;

/// Longest time for one move: a target that leaves gives about two seconds.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// What came of one move.
#[derive(Debug)]
pub(super) struct MoveReport {
    /// Target that the memory was to go to.
    pub(super) target: Rc<directory::TargetRecord>,
    /// Time that it took.
    pub(super) took: Duration,
    /// What the source said; `None` when it said nothing.
    pub(super) answer: Option<protocol::MoveAnswer>,
}

/// Moves memory and waits for the end of it.
pub(super) async fn run(
    state: Rc<RelayState>,
    request: Box<str>,
    source: Rc<directory::TargetRecord>,
    target: Rc<directory::TargetRecord>,
) -> MoveReport {
    let started: time::Timestamp = state.now();
    let wish = state
        .protocol
        .move_request(&request, source.address, target.address);
    let answer = match client::exchange(source.address, wish, MOVE_TIMEOUT).await {
        Ok((parts, body)) => Some(state.protocol.read_move(parts.status, &body)),
        Err(error) => {
            log::debug!("move of {request} from {}: {error}", source.key);
            None
        }
    };

    MoveReport {
        target,
        took: state.now().since(started),
        answer,
    }
}
