//! Start orders, and idempotency keys for calls that run at most once.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_link::frames;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;

use super::GatewayEffect;
use super::GatewayReducer;
use super::KeyRequest;
use super::candidates;
use super::placement::TARGET_SILENCE_TIMEOUT;
use crate::state;

/// Maximum time from the placement of an attempt to its start.
const MAX_START_WINDOW: Duration = Duration::from_secs(120);

/// Time from the issue of a key to its expiry.
const KEY_LIFETIME: Duration = Duration::from_secs(600);

impl GatewayReducer {
    /// Issues a key that names a target of the requested service.
    ///
    /// Returns `None` if no target can be chosen.
    pub(super) fn issue_service_key(
        &mut self,
        now: time::Timestamp,
        request: &KeyRequest,
    ) -> Option<keys::IdempotencyKey> {
        let serves = state::ServedWork::Service(request.service.clone());
        let names: Vec<ids::TargetName> = self
            .targets
            .iter()
            .filter(|target| target.listing.serves == serves)
            .filter(|target| target.obstacle(now, TARGET_SILENCE_TIMEOUT).is_none())
            .map(|target| target.listing.name.clone())
            .collect();
        let placement_request = place::PlacementRequest {
            tag: &request.tag,
            prompt_tokens: measures::TokenCount::ZERO,
            prefix: None,
            suspect: false,
        };

        let views = candidates::target_views(now, &self.targets, &names, &self.identity.zone);
        let index = self
            .policies
            .placement
            .choose(now, &placement_request, &views)?;
        let name = names.get(index)?.clone();
        self.issue_key(now, &name)
    }

    /// Sends a new attempt of a call to the target `name`.
    pub(super) fn send_start(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let issued_key = self.issue_missing_key(now, call, name);
        let suspect = self.is_suspect(now, call);
        let attempt = ids::AttemptId::random(&mut self.generator);
        let Some(order) = self.build_start_order(now, call, name, attempt, issued_key, suspect)
        else {
            let cause = retry::RetryCause::NoTarget;
            self.retry(now, call, cause, Duration::ZERO, effects);
            return;
        };

        let tokens = candidates::prompt_tokens(&order.request);
        if let Some(target) = self.targets.get_mut(name) {
            target.in_flight.insert(attempt);
            target.placed_attempts += 1;
            target.placed_tokens += tokens;
        }
        self.calls.bind_attempt(attempt, call);
        self.counters.attempts += 1;
        self.send_to(name, frames::GatewayFrame::Start(Box::new(order)), effects);
    }

    /// Builds the start order and records the attempt in its call.
    ///
    /// Returns `None` if the agent's incarnation or clock is not known yet.
    fn build_start_order(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
        issued_key: Option<keys::IdempotencyKey>,
        suspect: bool,
    ) -> Option<frames::StartOrder> {
        let target = self.targets.get(name)?;
        let clock = target.clock?;
        let incarnation = target.incarnation?;
        let state = self.calls.get_mut(call)?;

        let window = state
            .request
            .start_deadline
            .since(now)
            .min(MAX_START_WINDOW);
        let start_by = clock.estimate(now) + window;
        state.attempts += 1;
        state.buffered_tokens.clear();
        state.received = measures::SequenceNumber::ZERO;
        state.acknowledged = measures::SequenceNumber::ZERO;
        state.issued_key = issued_key;
        if state.attempts > 1 {
            self.counters.retries += 1;
        }
        state.phase = state::CallPhase::Placed(state::PlacedAttempt {
            attempt,
            target: name.clone(),
            incarnation,
            start_by: Some(start_by),
            subscription: None,
            placed_at: now,
            reviewed_at: now,
        });

        Some(frames::StartOrder {
            attempt,
            tag: state.request.tag.clone(),
            fingerprint: state.request.fingerprint,
            request: state.request.work.clone(),
            start_by,
            key: state.key().cloned(),
            stream: state.request.stream,
            suspect,
        })
    }

    /// Issues a key for a call that must run at most once and has no key of the caller.
    fn issue_missing_key(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        name: &ids::TargetName,
    ) -> Option<keys::IdempotencyKey> {
        let state = self.calls.get(call)?;
        if state.request.repeatable || state.request.key.is_some() {
            return None;
        }
        self.issue_key(now, name)
    }

    /// Issues a key for the current incarnation of the agent of `name`.
    fn issue_key(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
    ) -> Option<keys::IdempotencyKey> {
        let target = self.targets.get(name)?;
        let clock = target.clock?;

        Some(keys::IdempotencyKey {
            target: name.clone(),
            incarnation: target.incarnation?,
            expires_at: clock.estimate(now) + KEY_LIFETIME,
            nonce: ids::Nonce::random(&mut self.generator),
        })
    }

    pub(super) fn is_suspect(&mut self, now: time::Timestamp, call: ids::CallId) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let fingerprint = state.request.fingerprint;
        match self.policies.quarantine.status(now, fingerprint) {
            quarantine::QuarantineStatus::Suspect => true,
            quarantine::QuarantineStatus::Clear
            | quarantine::QuarantineStatus::Quarantined { .. } => false,
        }
    }
}
