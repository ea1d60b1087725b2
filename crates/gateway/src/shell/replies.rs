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
pub const MAX_PENDING_REPLIES: usize = 1_280;

/// One caller.
struct CallerState {
    channels: command::CallerChannels,
    /// First token not given to the caller's connection.
    sent: measures::Sequence,
    /// First token that the connection has not taken.
    consumed: measures::Sequence,
    /// When the connection last took something, or had nothing to take.
    progressed_at: time::Timestamp,
    /// Whether the final reply was given.
    ended: bool,
}

/// What became of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// The caller's connection has it, or its call is not known.
    Accepted,
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
    pub fn insert(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        channels: command::CallerChannels,
    ) {
        let state = CallerState {
            channels,
            sent: measures::Sequence::ZERO,
            consumed: measures::Sequence::ZERO,
            progressed_at: now,
            ended: false,
        };
        self.callers.insert(call, state);
    }

    /// Gives a reply to its caller, who is kept after the final one until its connection has it.
    pub fn send(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        reply: reducer::CallReply,
    ) -> DeliveryStatus {
        let Some(state) = self.callers.get_mut(&call) else {
            return DeliveryStatus::Accepted;
        };
        match &reply {
            reducer::CallReply::Tokens(tokens) => state.record_sent(now, tokens),
            reducer::CallReply::Finished { .. }
            | reducer::CallReply::Whole(_)
            | reducer::CallReply::Service(_)
            | reducer::CallReply::Key(_)
            | reducer::CallReply::Problem(_) => state.record_end(now),
        }

        let result = state.channels.replies.try_send(reply);
        if result.is_err() {
            self.callers.remove(&call);
        }
        match result {
            Ok(()) => DeliveryStatus::Accepted,
            Err(mpsc::error::TrySendError::Full(_) | mpsc::error::TrySendError::Closed(_)) => {
                DeliveryStatus::Undeliverable
            }
        }
    }

    /// Notes that a caller's connection has taken all tokens before `next`.
    pub fn record_consumed(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        next: measures::Sequence,
    ) {
        if let Some(state) = self.callers.get_mut(&call) {
            state.consumed = state.consumed.max(next);
            state.progressed_at = now;
        }
    }

    /// Forgets a caller.
    pub fn remove(&mut self, call: ids::CallId) {
        self.callers.remove(&call);
    }

    /// Removes the callers that have not taken anything for `timeout`, and returns their calls.
    ///
    /// Their connections are told to close.
    pub fn remove_stalled(&mut self, now: time::Timestamp, timeout: Duration) -> Vec<ids::CallId> {
        let stalled: Vec<ids::CallId> = self
            .callers
            .iter()
            .filter(|(_, state)| state.has_unread_replies())
            .filter(|(_, state)| now.since(state.progressed_at) >= timeout)
            .map(|(call, _)| *call)
            .collect();

        for call in &stalled {
            if let Some(state) = self.callers.remove(call) {
                // An error means that the connection is gone already.
                let _ = state.channels.abort.send(());
            }
        }
        stalled
    }
}

impl CallerState {
    /// Says whether the connection has something to take.
    fn has_unread_replies(&self) -> bool {
        self.ended || self.sent > self.consumed
    }

    fn record_end(&mut self, now: time::Timestamp) {
        if !self.has_unread_replies() {
            self.progressed_at = now;
        }
        self.ended = true;
    }

    fn record_sent(&mut self, now: time::Timestamp, tokens: &reducer::TokenReply) {
        if !self.has_unread_replies() {
            self.progressed_at = now;
            self.consumed = tokens.first;
        }
        let count = measures::Sequence::new(tokens.tokens.len() as u64);
        self.sent = tokens.first + count;
    }
}
