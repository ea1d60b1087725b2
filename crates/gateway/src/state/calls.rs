//! State of the calls in progress and their attempts.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;

use crate::reducer::CallRequest;

/// An attempt that was sent to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedAttempt {
    /// Id of the attempt.
    pub attempt: ids::AttemptId,
    /// Target that the attempt was sent to.
    pub target: ids::TargetName,
    /// Incarnation of the agent that the attempt was sent to.
    pub incarnation: ids::Incarnation,
    /// Deadline of the start order on the agent's clock; `None` for a resumed stream.
    pub start_by: Option<time::Timestamp>,
    /// Id of the subscription of a resumed stream; `None` for the subscription of the start order.
    pub subscription: Option<ids::Nonce>,
    /// Time of placement on the gateway's clock.
    pub placed_at: time::Timestamp,
    /// Time of the last reassignment check or cancel order for overdue work, initially the time of
    /// placement. The next of either waits for its interval from here.
    pub reviewed_at: time::Timestamp,
}

/// Phase of a call between its arrival and its final reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallPhase {
    /// The call has no attempt and waits for its next placement.
    Waiting {
        /// Time of the next placement.
        until: time::Timestamp,
    },
    /// An attempt was sent to a target and has not ended.
    Placed(PlacedAttempt),
}

/// State of one call.
#[derive(Debug, Clone)]
pub struct CallState {
    /// Request as received; a placeholder if the stream was resumed.
    pub request: CallRequest,
    /// Current phase.
    pub phase: CallPhase,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// Target that refused or lost the last attempt; the next attempt avoids it if possible.
    pub avoided_target: Option<ids::TargetName>,
    /// Sequence number of the first token not received from the agent.
    pub received: measures::SequenceNumber,
    /// Sequence number of the first token not acknowledged to the agent.
    pub acknowledged: measures::SequenceNumber,
    /// Tokens received so far for a call that does not stream.
    pub buffered_tokens: Vec<Box<str>>,
    /// Idempotency key that the gateway issued for the current attempt.
    pub issued_key: Option<keys::IdempotencyKey>,
    /// Whether an attempt was lost after it may have started.
    pub may_have_run: bool,
    /// Whether the agent reported that no call with the caller's key has run.
    pub key_checked: bool,
    /// Whether the call continues a stream from another connection of its caller.
    pub resumed: bool,
}

impl CallState {
    /// Creates the state of a new call that is due for placement at `now`.
    pub fn new(request: CallRequest, now: time::Timestamp) -> Self {
        Self {
            request,
            phase: CallPhase::Waiting { until: now },
            attempts: 0,
            avoided_target: None,
            received: measures::SequenceNumber::ZERO,
            acknowledged: measures::SequenceNumber::ZERO,
            buffered_tokens: Vec::new(),
            issued_key: None,
            may_have_run: false,
            key_checked: false,
            resumed: false,
        }
    }

    /// Returns the current attempt, if the call is placed.
    pub fn placed(&self) -> Option<&PlacedAttempt> {
        match &self.phase {
            CallPhase::Waiting { .. } => None,
            CallPhase::Placed(placed) => Some(placed),
        }
    }

    /// Returns true if the caller may have received tokens.
    pub fn has_delivered_tokens(&self) -> bool {
        self.resumed || (self.request.stream && self.received > measures::SequenceNumber::ZERO)
    }

    /// Returns whether a call without a current attempt has run, as far as the gateway knows.
    pub fn unplaced_outcome(&self) -> work::CallOutcome {
        // A caller's own key may have been used through another gateway.
        let is_key_unchecked = self.request.key.is_some() && !self.key_checked;
        match self.may_have_run || is_key_unchecked {
            true => work::CallOutcome::Unknown,
            false => work::CallOutcome::NotRun,
        }
    }

    /// Returns true if another attempt may replace a lost one without the caller noticing.
    pub fn is_restartable(&self) -> bool {
        self.request.repeatable && !self.has_delivered_tokens()
    }

    /// Returns the idempotency key of the call: the caller's own, or else the one that was issued.
    pub fn key(&self) -> Option<&keys::IdempotencyKey> {
        self.request.key.as_ref().or(self.issued_key.as_ref())
    }

    /// Returns the requested generation; `None` for a service call.
    pub fn generation(&self) -> Option<&work::GenerationRequest> {
        match &self.request.work {
            work::WorkRequest::Generation(generation) => Some(generation),
            work::WorkRequest::Service(_) => None,
        }
    }
}

/// Calls in progress by id, with an index from attempts to calls.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<ids::CallId, CallState>,
    attempts: BTreeMap<ids::AttemptId, ids::CallId>,
}

impl CallTable {
    /// Adds a call; replaces a call with the same id.
    pub fn insert(&mut self, state: CallState) {
        self.calls.insert(state.request.call, state);
    }

    /// Removes a call but not its attempt.
    pub fn remove(&mut self, call: ids::CallId) -> Option<CallState> {
        self.calls.remove(&call)
    }

    /// Returns the call with this id.
    pub fn get(&self, call: ids::CallId) -> Option<&CallState> {
        self.calls.get(&call)
    }

    /// Returns the call with this id for modification.
    pub fn get_mut(&mut self, call: ids::CallId) -> Option<&mut CallState> {
        self.calls.get_mut(&call)
    }

    /// Records that `attempt` belongs to `call`.
    pub fn bind_attempt(&mut self, attempt: ids::AttemptId, call: ids::CallId) {
        self.attempts.insert(attempt, call);
    }

    /// Removes `attempt` and returns the call that it belonged to.
    pub fn release_attempt(&mut self, attempt: ids::AttemptId) -> Option<ids::CallId> {
        self.attempts.remove(&attempt)
    }

    /// Returns the call that `attempt` belongs to.
    pub fn attempt_call(&self, attempt: ids::AttemptId) -> Option<ids::CallId> {
        self.attempts.get(&attempt).copied()
    }

    /// Iterates over the calls in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &CallState> {
        self.calls.values()
    }

    /// Returns the ids of the calls for which `predicate` returns true.
    pub fn select(&self, predicate: impl Fn(&CallState) -> bool) -> Vec<ids::CallId> {
        self.calls
            .values()
            .filter(|state| predicate(state))
            .map(|state| state.request.call)
            .collect()
    }

    /// Returns the number of calls in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns true if no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
