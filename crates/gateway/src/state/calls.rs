//! Calls in progress.

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
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// Where it was sent.
    pub target: ids::TargetName,
    /// Life of the agent it was sent to.
    pub incarnation: ids::Incarnation,
    /// Deadline of its start order on the agent's clock; `None` for a resumed stream.
    pub start_by: Option<time::Timestamp>,
    /// Id of the subscription of a resumed stream; `None` for that of the start order.
    pub subscription: Option<ids::Nonce>,
    /// When it was sent, on the gateway's clock.
    pub placed_at: time::Timestamp,
    /// When a move to another target was last weighed.
    pub weighed_at: time::Timestamp,
}

/// Where a call stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallPhase {
    /// It is placed at this time.
    Waiting {
        /// When.
        until: time::Timestamp,
    },
    /// A target has it.
    Placed(PlacedAttempt),
}

/// One call.
#[derive(Debug, Clone)]
pub struct CallState {
    /// What the caller asked for.
    pub request: CallRequest,
    /// Where it stands.
    pub phase: CallPhase,
    /// Attempts made so far.
    pub attempts: u32,
    /// Target that refused the last attempt, avoided in the next.
    pub avoided: Option<ids::TargetName>,
    /// First token not received.
    pub received: measures::SequenceNumber,
    /// First token not acknowledged to the agent.
    pub acknowledged: measures::SequenceNumber,
    /// Tokens of a whole answer so far.
    pub collected: Vec<Box<str>>,
    /// Key that the gateway issued for this call.
    pub issued_key: Option<keys::IdempotencyKey>,
    /// Whether an attempt was lost after it may have started.
    pub may_have_run: bool,
    /// Whether the agent said that the caller's key has run nothing.
    pub key_checked: bool,
    /// Whether the stream was resumed from another connection of its caller.
    pub resumed: bool,
}

impl CallState {
    /// Makes the state of a call that is placed at once.
    pub fn new(request: CallRequest, now: time::Timestamp) -> Self {
        Self {
            request,
            phase: CallPhase::Waiting { until: now },
            attempts: 0,
            avoided: None,
            received: measures::SequenceNumber::ZERO,
            acknowledged: measures::SequenceNumber::ZERO,
            collected: Vec::new(),
            issued_key: None,
            may_have_run: false,
            key_checked: false,
            resumed: false,
        }
    }

    /// Returns the attempt that a target has.
    pub fn placed(&self) -> Option<&PlacedAttempt> {
        match &self.phase {
            CallPhase::Waiting { .. } => None,
            CallPhase::Placed(placed) => Some(placed),
        }
    }

    /// Says whether some of the answer has reached the caller.
    pub fn is_released(&self) -> bool {
        self.resumed || (self.request.stream && self.received > measures::SequenceNumber::ZERO)
    }

    /// Returns what is known of a call that no attempt has now.
    pub fn unplaced_outcome(&self) -> work::CallOutcome {
        // A caller's own key may have been used through another gateway.
        let is_key_open = self.request.key.is_some() && !self.key_checked;
        match self.may_have_run || is_key_open {
            true => work::CallOutcome::Unknown,
            false => work::CallOutcome::NotRun,
        }
    }

    /// Says whether another attempt would be the same to the caller.
    pub fn is_restartable(&self) -> bool {
        self.request.repeatable && !self.is_released()
    }

    /// Returns the key that the call runs under.
    pub fn key(&self) -> Option<&keys::IdempotencyKey> {
        self.request.key.as_ref().or(self.issued_key.as_ref())
    }

    /// Returns the generation asked for, when it is one.
    pub fn generation(&self) -> Option<&work::GenerationRequest> {
        match &self.request.work {
            work::WorkRequest::Generation(generation) => Some(generation),
            work::WorkRequest::Service(_) => None,
        }
    }
}

/// All calls by id, and the attempts that belong to them.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<ids::CallId, CallState>,
    attempts: BTreeMap<ids::AttemptId, ids::CallId>,
}

impl CallTable {
    /// Adds a call.
    pub fn insert(&mut self, state: CallState) {
        self.calls.insert(state.request.call, state);
    }

    /// Removes a call.
    pub fn remove(&mut self, call: ids::CallId) -> Option<CallState> {
        self.calls.remove(&call)
    }

    /// Returns a call.
    pub fn get(&self, call: ids::CallId) -> Option<&CallState> {
        self.calls.get(&call)
    }

    /// Returns a call for change.
    pub fn get_mut(&mut self, call: ids::CallId) -> Option<&mut CallState> {
        self.calls.get_mut(&call)
    }

    /// Notes that `attempt` belongs to `call`.
    pub fn bind_attempt(&mut self, attempt: ids::AttemptId, call: ids::CallId) {
        self.attempts.insert(attempt, call);
    }

    /// Forgets `attempt`.
    pub fn release_attempt(&mut self, attempt: ids::AttemptId) -> Option<ids::CallId> {
        self.attempts.remove(&attempt)
    }

    /// Returns the call that `attempt` belongs to.
    pub fn attempt_call(&self, attempt: ids::AttemptId) -> Option<ids::CallId> {
        self.attempts.get(&attempt).copied()
    }

    /// Returns all calls by id.
    pub fn iter(&self) -> impl Iterator<Item = &CallState> {
        self.calls.values()
    }

    /// Returns the ids of the calls that `wanted` accepts.
    pub fn select(&self, wanted: impl Fn(&CallState) -> bool) -> Vec<ids::CallId> {
        self.calls
            .values()
            .filter(|state| wanted(state))
            .map(|state| state.request.call)
            .collect()
    }

    /// Returns the number of calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Says whether there are no calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
