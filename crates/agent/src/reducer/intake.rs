//! Start and cancel orders: what may run here, and what must never.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule as policy;

use super::AgentEffect;
use super::AgentReducer;
use super::DeparturePhase;
use super::send;
use crate::state;

/// Longest time from now to a start order's deadline.
const START_WINDOW_LIMIT: Duration = Duration::from_secs(600);

/// Time after its start deadline for which an attempt that started is remembered.
pub(super) const SETTLED_RETENTION: Duration = Duration::from_secs(600);

/// Longest life of an idempotency key.
const KEY_LIFE_LIMIT: Duration = Duration::from_secs(3_600);

/// Most records of calls that run at most once.
const EXECUTION_LIMIT: usize = 100_000;

/// Wait that a refused caller is told when nothing better is known.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl AgentReducer {
    pub(super) fn take_start(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        order: frames::StartOrder,
        effects: &mut Vec<AgentEffect>,
    ) {
        let attempt = order.attempt;
        if self.attempts.get(attempt).is_some() || self.settled.contains(attempt) {
            self.counters.duplicate_orders += 1;
            return;
        }
        if let Some(code) = self.check_order(now, &order) {
            self.refuse(link, attempt, code, DEFAULT_RETRY_AFTER, effects);
            return;
        }
        if let Some(key) = order.key.clone()
            && self.take_keyed(link, &order, &key, effects)
        {
            return;
        }
        if let Some(code) = self.check_capacity(now, &order) {
            self.refuse(link, attempt, code, DEFAULT_RETRY_AFTER, effects);
            return;
        }

        self.accept(now, link, order, effects);
    }

    /// Ends an attempt, or makes sure that it never starts.
    pub(super) fn take_cancel(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        order: frames::CancelOrder,
        effects: &mut Vec<AgentEffect>,
    ) {
        let attempt = order.attempt;
        if self.executions.drop_waiter(attempt).is_some() {
            send_failure(effects, link, attempt, frames::FailureCause::Cancelled);
            return;
        }
        let Some(state) = self.attempts.get(attempt) else {
            self.refuse_unknown(now, link, attempt, order.start_by, effects);
            return;
        };
        if self.is_held_elsewhere(link, state.subscriber) {
            return;
        }

        match state.phase {
            state::AttemptPhase::Queued => self.cancel_queued(now, link, attempt, effects),
            state::AttemptPhase::Running if order.only_waiting => {}
            state::AttemptPhase::Running => self.cancel_running(now, link, attempt, effects),
            state::AttemptPhase::Ended { .. } => self.drop_attempt(now, attempt),
        }
    }

    /// Refuses an attempt that has not started, and remembers that it never will.
    pub(super) fn withdraw(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        code: frames::RefusalCode,
        retry_after: Duration,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.remove(attempt) else {
            return;
        };
        self.scheduler
            .end(now, attempt, policy::WorkOutcome::Cancelled);
        self.tombstones.insert(attempt, state.order.start_by);

        if let Some(link) = state.subscriber {
            self.refuse(link, attempt, code, retry_after, effects);
        }
        if let Some(key) = &state.order.key
            && let Some(record) = self.executions.remove(key.nonce)
        {
            for waiter in record.waiters {
                self.tombstones.insert(waiter.attempt, state.order.start_by);
                self.refuse(waiter.link, waiter.attempt, code, retry_after, effects);
            }
        }
    }

    /// Answers for an attempt that is not in the table.
    ///
    /// It is refused for good only while a record of it would still be kept had it started.
    pub(super) fn refuse_unknown(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        start_by: time::Timestamp,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_remembered = now <= start_by + SETTLED_RETENTION;
        if self.settled.contains(attempt) || !is_remembered {
            send_failure(effects, link, attempt, frames::FailureCause::Expired);
            return;
        }

        self.tombstones.insert(attempt, start_by);
        let code = frames::RefusalCode::Cancelled;
        self.refuse(link, attempt, code, Duration::ZERO, effects);
    }

    pub(super) fn refuse(
        &mut self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        code: frames::RefusalCode,
        retry_after: Duration,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.counters.refused += 1;
        let report = frames::RefusalReport {
            attempt,
            code,
            retry_after,
        };
        send(effects, link, frames::AgentFrame::Refused(report));
    }

    /// Forgets an attempt that has ended, but for the fact that it started.
    pub(super) fn drop_attempt(&mut self, now: time::Timestamp, attempt: ids::AttemptId) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let is_recorded = match &state.order.key {
            Some(key) => key.expires_at >= now,
            None => false,
        };
        if is_recorded || state.is_active() {
            return;
        }

        if let Some(state) = self.attempts.remove(attempt) {
            self.settled
                .insert(attempt, state.order.start_by + SETTLED_RETENTION);
        }
    }

    fn check_order(
        &self,
        now: time::Timestamp,
        order: &frames::StartOrder,
    ) -> Option<frames::RefusalCode> {
        if self.tombstones.contains(order.attempt) {
            return Some(frames::RefusalCode::Cancelled);
        }
        if now > order.start_by || order.start_by > now + START_WINDOW_LIMIT {
            return Some(frames::RefusalCode::TooLate);
        }
        match &order.key {
            Some(key) if !self.is_key_valid(now, key) => Some(frames::RefusalCode::KeyExpired),
            Some(_) | None => None,
        }
    }

    fn is_key_valid(&self, now: time::Timestamp, key: &keys::IdempotencyKey) -> bool {
        key.target == self.identity.target
            && key.incarnation == self.identity.incarnation
            && key.expires_at > now
            && key.expires_at <= now + KEY_LIFE_LIMIT
    }

    /// Answers a repeat of a keyed call; returns whether the order was one.
    fn take_keyed(
        &mut self,
        link: ids::LinkId,
        order: &frames::StartOrder,
        key: &keys::IdempotencyKey,
        effects: &mut Vec<AgentEffect>,
    ) -> bool {
        let organisation = &order.tag.organisation;
        let lookup = self
            .executions
            .look_up(key.nonce, order.fingerprint, organisation);

        match lookup {
            state::ExecutionLookup::Fresh => return false,
            state::ExecutionLookup::Mismatch => {
                let code = frames::RefusalCode::KeyMismatch;
                self.refuse(link, order.attempt, code, Duration::ZERO, effects);
            }
            state::ExecutionLookup::Repeat(first) => {
                self.answer_repeat(link, order.attempt, first, key, effects);
            }
        }
        true
    }

    fn check_capacity(
        &self,
        now: time::Timestamp,
        order: &frames::StartOrder,
    ) -> Option<frames::RefusalCode> {
        if self.departure != DeparturePhase::Serving {
            return Some(frames::RefusalCode::Leaving);
        }
        if !self.is_target_usable(now) {
            return Some(frames::RefusalCode::TargetDown);
        }
        if order.suspect && self.has_active_suspect() {
            return Some(frames::RefusalCode::SuspectBusy);
        }
        if order.key.is_some() && self.executions.len() >= EXECUTION_LIMIT {
            return Some(frames::RefusalCode::Overloaded);
        }
        None
    }

    fn has_active_suspect(&self) -> bool {
        self.attempts
            .iter()
            .any(|state| state.order.suspect && state.is_active())
    }

    fn accept(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        order: frames::StartOrder,
        effects: &mut Vec<AgentEffect>,
    ) {
        let attempt = order.attempt;
        if let Some(key) = &order.key {
            let record = state::ExecutionRecord {
                attempt,
                fingerprint: order.fingerprint,
                organisation: order.tag.organisation.clone(),
                expires_at: key.expires_at,
                waiters: Vec::new(),
            };
            self.executions.insert(key.nonce, record);
        }

        self.scheduler.submit(now, work_ticket(&order));
        self.attempts
            .insert(state::AttemptState::new(order, link, now));
        send(effects, link, frames::AgentFrame::Accepted { attempt });
    }

    fn cancel_queued(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let has_waiters = self
            .attempts
            .get(attempt)
            .and_then(|state| state.order.key.as_ref())
            .is_some_and(|key| self.executions.has_waiters(key.nonce));
        if has_waiters {
            // The call itself goes on for the repeats, so this caller can't be told "not run".
            self.detach(now, attempt, effects);
            send_failure(effects, link, attempt, frames::FailureCause::Cancelled);
            return;
        }

        if let Some(state) = self.attempts.get_mut(attempt) {
            state.subscriber = Some(link);
        }
        let code = frames::RefusalCode::Cancelled;
        self.withdraw(now, attempt, code, Duration::ZERO, effects);
    }

    fn cancel_running(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        send_failure(effects, link, attempt, frames::FailureCause::Cancelled);
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        if state.is_exclusive() {
            // A call that must run at most once goes on, so that a repeat finds its answer.
            self.detach(now, attempt, effects);
            return;
        }
        self.abandon(now, attempt, effects);
    }
}

/// Appends the frame that reports a failure without suspicion.
pub(super) fn send_failure(
    effects: &mut Vec<AgentEffect>,
    link: ids::LinkId,
    attempt: ids::AttemptId,
    cause: frames::FailureCause,
) {
    let report = frames::FailureReport {
        attempt,
        cause,
        suspect: false,
    };
    send(effects, link, frames::AgentFrame::Failed(report));
}

fn work_ticket(order: &frames::StartOrder) -> policy::SubmittedWork {
    let generation = match &order.request {
        work::WorkRequest::Generation(request) => Some(request),
        work::WorkRequest::Service(_) => None,
    };

    policy::SubmittedWork {
        attempt: order.attempt,
        tag: order.tag.clone(),
        model: generation.map(|request| request.model.clone()),
        prompt_tokens: generation.map_or_else(Default::default, |request| request.prompt_tokens),
        prefix: generation.map(|request| request.prefix),
        max_tokens: generation.map_or_else(Default::default, |request| request.max_tokens),
        start_by: order.start_by,
        suspect: order.suspect,
    }
}
