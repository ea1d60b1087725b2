//! Delivery of replies to callers' connections, with a bound on the pending replies of each call.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use tokio::sync::mpsc;

use super::command;
use crate::reducer;

/// Maximum number of replies that wait for the caller's connection of one call.
///
/// It is above the window of unacknowledged tokens at an agent, so that a slow caller stops the
/// stream before it fills the channel.
pub const MAX_PENDING_REPLIES: usize = 1_280;

/// Delivery state of one caller's connection.
struct CallerState {
    channels: command::CallerChannels,
    /// First token that has not been sent to the connection.
    sent: measures::SequenceNumber,
    /// First token that the connection has not consumed.
    consumed: measures::SequenceNumber,
    /// When the connection last consumed tokens, or had nothing left to consume.
    progressed_at: time::Timestamp,
    /// Whether the final reply was sent.
    ended: bool,
}

/// Result of sending a reply to a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryStatus {
    /// The reply was queued for the connection, or the call is unknown.
    Accepted,
    /// The connection is gone, or has too many pending replies.
    Undeliverable,
}

/// The callers' connections, by call.
#[derive(Default)]
pub struct ReplyTable {
    callers: BTreeMap<ids::CallId, CallerState>,
}

impl ReplyTable {
    /// Adds the connection of a new call.
    pub fn insert(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        channels: command::CallerChannels,
    ) {
        let state = CallerState {
            channels,
            sent: measures::SequenceNumber::ZERO,
            consumed: measures::SequenceNumber::ZERO,
            progressed_at: now,
            ended: false,
        };
        self.callers.insert(call, state);
    }

    /// Sends a reply to the caller's connection.
    ///
    /// After the final reply the entry stays until the connection has finished, or stalls.
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
            | reducer::CallReply::Buffered(_)
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

    /// Records that a caller's connection has consumed all tokens before `next`.
    pub fn record_consumed(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        next: measures::SequenceNumber,
    ) {
        if let Some(state) = self.callers.get_mut(&call) {
            state.consumed = state.consumed.max(next);
            state.progressed_at = now;
        }
    }

    /// Removes the connection of a call, if it is known.
    pub fn remove(&mut self, call: ids::CallId) {
        self.callers.remove(&call);
    }

    /// Removes the callers that have pending replies and have consumed nothing for `timeout`, and
    /// returns their calls.
    ///
    /// Their connections are signalled to close.
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
    /// Returns true if the connection has something left to consume.
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
        let count = measures::SequenceNumber::new(tokens.tokens.len() as u64);
        self.sent = tokens.first + count;
    }
}
