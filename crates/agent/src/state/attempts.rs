//! Attempts that the agent has accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;

use super::TokenBuffer;

/// Time for which the result of an ended attempt is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The generation finished with all its tokens.
    Finished(work::FinishReason),
    /// The service responded.
    Responded(work::ServiceResponse),
    /// The attempt had started, and its result is unknown.
    Failed {
        /// Cause reported to the gateway.
        cause: frames::FailureCause,
        /// Whether the request may have crashed the target.
        suspect: bool,
    },
}

/// Phase of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Waits for admission by the scheduler.
    Queued,
    /// Handed to the target, where it is running or paused.
    Running,
    /// Ended.
    Ended {
        /// When the attempt ended.
        at: time::Timestamp,
        /// Result of the attempt.
        end: AttemptEnd,
    },
}

/// Subscription of a link to the tokens of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSubscriber {
    /// Link that receives the tokens.
    pub link: ids::LinkId,
    /// Id of the subscription; `None` for that of the start order.
    pub subscription: Option<ids::Nonce>,
    /// Index of the first token not acknowledged.
    pub next: measures::SequenceNumber,
}

/// State of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptState {
    /// Order that started the attempt.
    pub order: frames::StartOrder,
    /// Current phase.
    pub phase: AttemptPhase,
    /// Tokens generated so far.
    pub buffer: TokenBuffer,
    /// Link that receives the tokens; `None` while the caller is detached.
    pub subscriber: Option<ids::LinkId>,
    /// Id of the current subscription; `None` for that of the start order.
    pub subscription: Option<ids::Nonce>,
    /// Displaced subscribers that have not detached, the latest last.
    pub previous_subscribers: Vec<TokenSubscriber>,
    /// When the last subscriber detached; meaningful only while there is none.
    pub detached_at: time::Timestamp,
    /// Index of the first token not sent to the subscriber.
    pub sent: measures::SequenceNumber,
    /// Index of the first token not acknowledged by the caller.
    pub acknowledged: measures::SequenceNumber,
    /// Whether the end was sent to the subscriber.
    pub end_sent: bool,
    /// Whether the subscriber acknowledged the end.
    pub end_acknowledged: bool,
}

impl AttemptState {
    /// Creates a queued attempt from an accepted order.
    pub fn new(order: frames::StartOrder, subscriber: ids::LinkId, now: time::Timestamp) -> Self {
        Self {
            order,
            phase: AttemptPhase::Queued,
            buffer: TokenBuffer::default(),
            subscriber: Some(subscriber),
            subscription: None,
            previous_subscribers: Vec::new(),
            detached_at: now,
            sent: measures::SequenceNumber::ZERO,
            acknowledged: measures::SequenceNumber::ZERO,
            end_sent: false,
            end_acknowledged: false,
        }
    }

    /// Returns true if the attempt has not ended.
    pub fn is_active(&self) -> bool {
        match self.phase {
            AttemptPhase::Queued | AttemptPhase::Running => true,
            AttemptPhase::Ended { .. } => false,
        }
    }

    /// Makes `subscriber` the current one; sending continues at its next token.
    pub fn subscribe(&mut self, subscriber: TokenSubscriber) {
        self.subscriber = Some(subscriber.link);
        self.subscription = subscriber.subscription;
        self.sent = subscriber.next;
        self.acknowledged = subscriber.next;
        self.end_sent = false;
        self.end_acknowledged = false;
    }

    /// Returns the current subscriber, with the first unacknowledged token as its next one.
    pub fn current_subscriber(&self) -> Option<TokenSubscriber> {
        self.subscriber.map(|link| TokenSubscriber {
            link,
            subscription: self.subscription,
            next: self.acknowledged,
        })
    }

    /// Returns true if the attempt was handed to the target and has not ended.
    pub fn is_running(&self) -> bool {
        self.phase == AttemptPhase::Running
    }

    /// Returns true if the attempt ended longer ago than its result is kept.
    pub fn has_expired(&self, now: time::Timestamp) -> bool {
        match &self.phase {
            AttemptPhase::Queued | AttemptPhase::Running => false,
            AttemptPhase::Ended { at, .. } => now.since(*at) >= ENDED_RETENTION,
        }
    }

    /// Returns true if the call must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        self.order.key.is_some()
    }
}

/// Attempts by id.
#[derive(Debug, Default)]
pub struct AttemptTable {
    attempts: BTreeMap<ids::AttemptId, AttemptState>,
}

impl AttemptTable {
    /// Adds an attempt, keyed by the id in its order.
    pub fn insert(&mut self, state: AttemptState) {
        self.attempts.insert(state.order.attempt, state);
    }

    /// Returns the attempt with this id.
    pub fn get(&self, attempt: ids::AttemptId) -> Option<&AttemptState> {
        self.attempts.get(&attempt)
    }

    /// Returns the attempt with this id, mutably.
    pub fn get_mut(&mut self, attempt: ids::AttemptId) -> Option<&mut AttemptState> {
        self.attempts.get_mut(&attempt)
    }

    /// Removes and returns the attempt with this id.
    pub fn remove(&mut self, attempt: ids::AttemptId) -> Option<AttemptState> {
        self.attempts.remove(&attempt)
    }

    /// Returns all attempts in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &AttemptState> {
        self.attempts.values()
    }

    /// Returns the ids of the attempts that match `predicate`.
    pub fn select(&self, predicate: impl Fn(&AttemptState) -> bool) -> Vec<ids::AttemptId> {
        self.attempts
            .values()
            .filter(|state| predicate(state))
            .map(|state| state.order.attempt)
            .collect()
    }
}
