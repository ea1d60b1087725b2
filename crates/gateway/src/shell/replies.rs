//! The replies that callers wait for, with a bound on each call.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use tokio::sync::mpsc;

use super::command;
use crate::reducer;

/// Replies that one call holds for its caller; above an agent's window of unacknowledged tokens.
pub const CALL_REPLIES_LIMIT: usize = 1_280;

/// One caller.
struct CallerState {
    outlet: command::CallOutlet,
    /// First token not given to the caller's connection.
    given: measures::SequenceNumber,
    /// First token that the connection has not taken.
    taken: measures::SequenceNumber,
    /// When the connection last took something, or had nothing to take.
    moved_at: time::Timestamp,
    /// Whether the final reply was given.
    ended: bool,
}

/// What became of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyStanding {
    /// The caller's connection has it, or its call is not known.
    Given,
    /// The connection is gone or holds too much.
    Undeliverable,
}

/// All callers by call.
#[derive(Default)]
pub struct ReplyTable {
    callers: BTreeMap<ids::CallId, CallerState>,
}

impl ReplyTable {
    /// Adds a caller.
    pub fn insert(&mut self, now: time::Timestamp, call: ids::CallId, outlet: command::CallOutlet) {
        let state = CallerState {
            outlet,
            given: measures::SequenceNumber::ZERO,
            taken: measures::SequenceNumber::ZERO,
            moved_at: now,
            ended: false,
        };
        self.callers.insert(call, state);
    }

    /// Gives a reply to its caller, who is kept after the final one until its connection has it.
    pub fn give(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        reply: reducer::CallReply,
    ) -> ReplyStanding {
        let Some(state) = self.callers.get_mut(&call) else {
            return ReplyStanding::Given;
        };
        match &reply {
            reducer::CallReply::Tokens(tokens) => state.note_given(now, tokens),
            reducer::CallReply::Finished { .. }
            | reducer::CallReply::Buffered(_)
            | reducer::CallReply::Service(_)
            | reducer::CallReply::Key(_)
            | reducer::CallReply::Problem(_) => state.note_end(now),
        }

        let result = state.outlet.replies.try_send(reply);
        if result.is_err() {
            self.callers.remove(&call);
        }
        match result {
            Ok(()) => ReplyStanding::Given,
            Err(mpsc::error::TrySendError::Full(_) | mpsc::error::TrySendError::Closed(_)) => {
                ReplyStanding::Undeliverable
            }
        }
    }

    /// Notes that a caller's connection has taken all tokens before `next`.
    pub fn note_taken(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        next: measures::SequenceNumber,
    ) {
        if let Some(state) = self.callers.get_mut(&call) {
            state.taken = state.taken.max(next);
            state.moved_at = now;
        }
    }

    /// Forgets a caller.
    pub fn remove(&mut self, call: ids::CallId) {
        self.callers.remove(&call);
    }

    /// Removes the callers that have not taken anything for `patience`, and returns their calls.
    ///
    /// Their connections are told to close.
    pub fn remove_stuck(&mut self, now: time::Timestamp, patience: Duration) -> Vec<ids::CallId> {
        let stuck: Vec<ids::CallId> = self
            .callers
            .iter()
            .filter(|(_, state)| state.is_owed())
            .filter(|(_, state)| now.since(state.moved_at) >= patience)
            .map(|(call, _)| *call)
            .collect();

        for call in &stuck {
            if let Some(state) = self.callers.remove(call) {
                // An error means that the connection is gone already.
                let _ = state.outlet.abort.send(());
            }
        }
        stuck
    }
}

impl CallerState {
    /// Says whether the connection has something to take.
    fn is_owed(&self) -> bool {
        self.ended || self.given > self.taken
    }

    fn note_end(&mut self, now: time::Timestamp) {
        if !self.is_owed() {
            self.moved_at = now;
        }
        self.ended = true;
    }

    fn note_given(&mut self, now: time::Timestamp, tokens: &reducer::TokenReply) {
        if !self.is_owed() {
            self.moved_at = now;
            self.taken = tokens.first;
        }
        let count = measures::SequenceNumber::new(tokens.tokens.len() as u64);
        self.given = tokens.first + count;
    }
}
