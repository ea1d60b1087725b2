//! Start and cancel orders: admission checks, refusals and idempotency keys.

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

/// Maximum time from now to the deadline of a start order.
const MAX_START_WINDOW: Duration = Duration::from_secs(600);

/// Time after its start deadline for which the id of an attempt that started is kept.
pub(super) const STARTED_RETENTION: Duration = Duration::from_secs(600);

/// Maximum remaining lifetime of an idempotency key.
const MAX_KEY_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of records of calls that run at most once.
const MAX_EXECUTION_RECORDS: usize = 100_000;

/// Retry delay sent with a refusal for which the scheduler computed none.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl AgentReducer {
    pub(super) fn handle_start(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        order: frames::StartOrder,
        effects: &mut Vec<AgentEffect>,
    ) {
        let attempt = order.attempt;
        if self.attempts.get(attempt).is_some() || self.started_attempts.contains(attempt) {
            self.counters.duplicate_orders += 1;
            return;
        }
        if let Some(code) = self.check_order(now, &order) {
            self.refuse(link, attempt, code, DEFAULT_RETRY_AFTER, effects);
            return;
        }
        if let Some(key) = order.key.clone()
            && self.handle_keyed_start(link, &order, &key, effects)
        {
            return;
        }
        if let Some(code) = self.check_availability(now, &order) {
            self.refuse(link, attempt, code, DEFAULT_RETRY_AFTER, effects);
            return;
        }

        self.accept(now, link, order, effects);
    }

    /// Ends an attempt, or ensures that it never starts.
    pub(super) fn handle_cancel(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        order: frames::CancelOrder,
        effects: &mut Vec<AgentEffect>,
    ) {
        let attempt = order.attempt;
        if self.executions.remove_waiter(attempt).is_some() {
            send_failure(effects, link, attempt, frames::FailureCause::Cancelled);
            return;
        }
        let Some(state) = self.attempts.get(attempt) else {
            self.refuse_unknown(now, link, attempt, order.start_by, effects);
            return;
        };
        if self.is_subscribed_elsewhere(link, state.subscriber) {
            return;
        }

        match state.phase {
            state::AttemptPhase::Queued => self.cancel_queued(now, link, attempt, effects),
            state::AttemptPhase::Running if order.only_waiting => {}
            state::AttemptPhase::Running => self.cancel_running(now, link, attempt, effects),
            state::AttemptPhase::Ended { .. } => self.drop_attempt(now, attempt),
        }
    }

    /// Refuses an attempt that has not started, and records that it never will.
    pub(super) fn refuse_unstarted(
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

    /// Replies to an order about an attempt that is not in the table.
    ///
    /// A refusal states that the attempt never ran. It is sent only while the id would still be
    /// kept if the attempt had started; afterwards the reply is
    /// [`frames::FailureCause::Expired`].
    pub(super) fn refuse_unknown(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        start_by: time::Timestamp,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_within_retention = now <= start_by + STARTED_RETENTION;
        if self.started_attempts.contains(attempt) || !is_within_retention {
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

    /// Removes an ended attempt, and keeps only its id as one that started.
    ///
    /// An attempt with an idempotency key stays until the key expires, so that repeats receive its
    /// result.
    pub(super) fn drop_attempt(&mut self, now: time::Timestamp, attempt: ids::AttemptId) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let has_valid_key = match &state.order.key {
            Some(key) => key.expires_at >= now,
            None => false,
        };
        if has_valid_key || state.is_active() {
            return;
        }

        if let Some(state) = self.attempts.remove(attempt) {
            self.started_attempts
                .insert(attempt, state.order.start_by + STARTED_RETENTION);
        }
    }

    /// Returns the code to refuse an order with if its attempt was cancelled, or its deadline or
    /// key is invalid.
    fn check_order(
        &self,
        now: time::Timestamp,
        order: &frames::StartOrder,
    ) -> Option<frames::RefusalCode> {
        if self.tombstones.contains(order.attempt) {
            return Some(frames::RefusalCode::Cancelled);
        }
        if now > order.start_by || order.start_by > now + MAX_START_WINDOW {
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
            && key.expires_at <= now + MAX_KEY_LIFETIME
    }

    /// Handles the start order and returns true if its key was used before.
    fn handle_keyed_start(
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
            state::ExecutionLookup::Unused => return false,
            state::ExecutionLookup::Mismatch => {
                let code = frames::RefusalCode::KeyMismatch;
                self.refuse(link, order.attempt, code, Duration::ZERO, effects);
            }
            state::ExecutionLookup::Repeat(first) => {
                self.handle_repeat(link, order.attempt, first, key, effects);
            }
        }
        true
    }

    /// Returns the code to refuse an order with if the agent can't accept new work now.
    fn check_availability(
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
        if order.key.is_some() && self.executions.len() >= MAX_EXECUTION_RECORDS {
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

        self.scheduler.submit(now, submitted_work(&order));
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
            // The call continues for the repeats, so it must not be reported as not run.
            self.detach(now, attempt, effects);
            send_failure(effects, link, attempt, frames::FailureCause::Cancelled);
            return;
        }

        if let Some(state) = self.attempts.get_mut(attempt) {
            state.subscriber = Some(link);
        }
        let code = frames::RefusalCode::Cancelled;
        self.refuse_unstarted(now, attempt, code, Duration::ZERO, effects);
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
        if state.is_at_most_once() {
            // A call that runs at most once continues, so that a repeat can receive its response.
            self.detach(now, attempt, effects);
            return;
        }
        self.abandon(now, attempt, effects);
    }
}

/// Appends a failure frame that does not mark the request as suspect.
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

fn submitted_work(order: &frames::StartOrder) -> policy::SubmittedWork {
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
