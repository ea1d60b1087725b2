//! Attempts that the agent has taken.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;

use super::TokenBuffer;

/// Time for which the answer of an attempt that ended is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// All tokens were generated.
    Finished(work::FinishReason),
    /// The service answered.
    Answered(work::ServiceResponse),
    /// It had started, and its answer is not known.
    Failed {
        /// Why.
        cause: frames::FailureCause,
        /// Whether it may have crashed the target.
        suspect: bool,
    },
}

/// Where an attempt stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptPhase {
    /// It waits for admission.
    Queued,
    /// The target has it, running or paused.
    Running,
    /// It ended at this time.
    Ended {
        /// When.
        at: time::Timestamp,
        /// How.
        end: AttemptEnd,
    },
}

/// A link that gets, or got, the tokens of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSubscriber {
    /// Link that its tokens went to.
    pub link: ids::LinkId,
    /// Id of its subscription; `None` for that of the start order.
    pub subscription: Option<ids::Nonce>,
    /// First token that it has not acknowledged.
    pub next: measures::SequenceNumber,
}

/// One attempt.
#[derive(Debug, Clone)]
pub struct AttemptState {
    /// The order that started it.
    pub order: frames::StartOrder,
    /// Where it stands.
    pub phase: AttemptPhase,
    /// Its tokens so far.
    pub buffer: TokenBuffer,
    /// Link that its tokens go to.
    pub subscriber: Option<ids::LinkId>,
    /// Id of the subscription; `None` for that of the start order.
    pub subscription: Option<ids::Nonce>,
    /// Subscribers before this one that have not gone, the latest last.
    pub formers: Vec<TokenSubscriber>,
    /// Since when it has had no subscriber.
    pub detached_at: time::Timestamp,
    /// First token not sent to the subscriber.
    pub sent: measures::SequenceNumber,
    /// First token that the caller has not taken.
    pub acknowledged: measures::SequenceNumber,
    /// Whether the end was sent to the subscriber.
    pub end_sent: bool,
    /// Whether the subscriber has taken the end.
    pub end_settled: bool,
}

impl AttemptState {
    /// Makes the state of an attempt that has just been taken.
    pub fn new(order: frames::StartOrder, subscriber: ids::LinkId, now: time::Timestamp) -> Self {
        Self {
            order,
            phase: AttemptPhase::Queued,
            buffer: TokenBuffer::default(),
            subscriber: Some(subscriber),
            subscription: None,
            formers: Vec::new(),
            detached_at: now,
            sent: measures::SequenceNumber::ZERO,
            acknowledged: measures::SequenceNumber::ZERO,
            end_sent: false,
            end_settled: false,
        }
    }

    /// Says whether the attempt has not ended.
    pub fn is_active(&self) -> bool {
        match self.phase {
            AttemptPhase::Queued | AttemptPhase::Running => true,
            AttemptPhase::Ended { .. } => false,
        }
    }

    /// Gives the tokens to `subscriber` from its next one on.
    pub fn subscribe(&mut self, subscriber: TokenSubscriber) {
        self.subscriber = Some(subscriber.link);
        self.subscription = subscriber.subscription;
        self.sent = subscriber.next;
        self.acknowledged = subscriber.next;
        self.end_sent = false;
        self.end_settled = false;
    }

    /// Returns who gets the tokens, and from where it would go on.
    pub fn current_subscriber(&self) -> Option<TokenSubscriber> {
        self.subscriber.map(|link| TokenSubscriber {
            link,
            subscription: self.subscription,
            next: self.acknowledged,
        })
    }

    /// Says whether the target has the attempt.
    pub fn is_running(&self) -> bool {
        self.phase == AttemptPhase::Running
    }

    /// Says whether the attempt ended so long ago that its answer need not be kept.
    pub fn has_expired(&self, now: time::Timestamp) -> bool {
        match &self.phase {
            AttemptPhase::Queued | AttemptPhase::Running => false,
            AttemptPhase::Ended { at, .. } => now.since(*at) >= ENDED_RETENTION,
        }
    }

    /// Says whether the call must run at most once.
    pub fn is_exclusive(&self) -> bool {
        self.order.key.is_some()
    }
}

/// All attempts by id.
#[derive(Debug, Default)]
pub struct AttemptTable {
    attempts: BTreeMap<ids::AttemptId, AttemptState>,
}

impl AttemptTable {
    /// Adds an attempt.
    pub fn insert(&mut self, state: AttemptState) {
        self.attempts.insert(state.order.attempt, state);
    }

    /// Returns an attempt.
    pub fn get(&self, attempt: ids::AttemptId) -> Option<&AttemptState> {
        self.attempts.get(&attempt)
    }

    /// Returns an attempt for change.
    pub fn get_mut(&mut self, attempt: ids::AttemptId) -> Option<&mut AttemptState> {
        self.attempts.get_mut(&attempt)
    }

    /// Removes an attempt.
    pub fn remove(&mut self, attempt: ids::AttemptId) -> Option<AttemptState> {
        self.attempts.remove(&attempt)
    }

    /// Returns all attempts by id.
    pub fn iter(&self) -> impl Iterator<Item = &AttemptState> {
        self.attempts.values()
    }

    /// Returns the ids of the attempts that `wanted` accepts.
    pub fn select(&self, wanted: impl Fn(&AttemptState) -> bool) -> Vec<ids::AttemptId> {
        self.attempts
            .values()
            .filter(|state| wanted(state))
            .map(|state| state.order.attempt)
            .collect()
    }
}
