//! Choosing a target for a call, and trying again.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;

use super::CallRequest;
use super::GatewayEffect;
use super::GatewayReducer;
use super::KeyRequest;
use super::ProblemCode;
use crate::state;

/// Silence after which a target gets no new work.
pub const SUSPICION_SILENCE: Duration = Duration::from_millis(1_500);

/// Wait before a call that found no room is placed again.
const PLACEMENT_WAIT: Duration = Duration::from_millis(50);

/// Wait that callers are told when no target can be chosen.
pub(super) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time from placing an attempt to its start.
const START_WINDOW: Duration = Duration::from_secs(120);

/// Life of a key that the system issues.
const KEY_LIFE: Duration = Duration::from_secs(600);

/// Least time between two thoughts of moving a waiting attempt.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);

impl GatewayReducer {
    /// Sends a waiting call to a target, or decides when to try again.
    pub(super) fn place(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if now > state.request.start_deadline {
            self.give_up(now, call, ProblemCode::DeadlinePassed, None, effects);
            return;
        }
        if let Some(key) = state.request.key.clone() {
            self.place_keyed(now, call, &key, effects);
            return;
        }
        if self.is_quarantined(now, call) {
            self.give_up(now, call, ProblemCode::Quarantined, None, effects);
            return;
        }

        match self.choose_target(now, call) {
            TargetChoice::Chosen(target) => self.send_start(now, call, &target, effects),
            TargetChoice::Wait => self.wait(now, call, PLACEMENT_WAIT),
            TargetChoice::NoCandidate => {
                let cause = retry::RetryCause::NoTarget;
                self.retry(now, call, cause, Duration::ZERO, effects);
            }
        }
    }

    /// Tries a call again, or ends it when its policy gives up.
    pub(super) fn retry(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        cause: retry::RetryCause,
        retry_after: Duration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let question = retry::RetryQuestion {
            organisation: &state.request.tag.organisation,
            attempts: state.attempts,
            cause,
            retry_after,
            time_left: state.request.start_deadline.since(now),
        };

        match self.policies.retry.decide(now, &question) {
            retry::RetryDecision::After(wait) if wait.is_zero() && can_place_now(cause) => {
                self.wait(now, call, Duration::ZERO);
                self.place(now, call, effects);
            }
            retry::RetryDecision::After(wait) => self.wait(now, call, wait),
            retry::RetryDecision::GiveUp { retry_after } => {
                let code = match cause {
                    retry::RetryCause::Overloaded => ProblemCode::Overloaded,
                    retry::RetryCause::Unavailable | retry::RetryCause::NoTarget => {
                        ProblemCode::NoTarget
                    }
                    retry::RetryCause::Lost => ProblemCode::TargetLost,
                };
                let outcome = match cause {
                    retry::RetryCause::Overloaded
                    | retry::RetryCause::Unavailable
                    | retry::RetryCause::NoTarget => self.unplaced_outcome(call),
                    retry::RetryCause::Lost => work::CallOutcome::Unknown,
                };
                self.finish_problem(now, call, outcome, code, Some(retry_after), effects);
            }
        }
    }

    /// Weighs whether attempts that still wait at their target had better move.
    pub(super) fn weigh_moves(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_due = |state: &state::CallState| match &state.phase {
            state::CallPhase::Placed(placed) => {
                state.received == measures::Sequence::ZERO
                    && !state.resumed
                    && state.request.key.is_none()
                    && now.since(placed.weighed_at) >= MOVE_INTERVAL
            }
            state::CallPhase::Waiting { .. } => false,
        };

        for call in self.calls.select(is_due) {
            if self.weigh_move(now, call) {
                self.start_move(call, effects);
            }
        }
    }

    /// Chooses the target that a new key names.
    pub(super) fn choose_executor(
        &mut self,
        now: time::Timestamp,
        request: &KeyRequest,
    ) -> Option<keys::ExecutionKey> {
        let serves = state::ServedWork::Service(request.service.clone());
        let names: Vec<ids::TargetName> = self
            .targets
            .iter()
            .filter(|target| target.listing.serves == serves)
            .filter(|target| target.obstacle(now, SUSPICION_SILENCE).is_none())
            .map(|target| target.listing.name.clone())
            .collect();
        let question = place::PlacementQuestion {
            tag: &request.tag,
            prompt_tokens: measures::TokenCount::ZERO,
            prefix: None,
            suspect: false,
        };

        let views = views(now, &self.targets, &names, &self.identity.zone);
        let index = self.policies.placement.choose(now, &question, &views)?;
        let name = names.get(index)?.clone();
        self.issue_key(now, &name)
    }

    /// Returns what is known of a call that no attempt has now.
    pub(super) fn unplaced_outcome(&self, call: ids::CallId) -> work::CallOutcome {
        self.calls.get(call).map_or(
            work::CallOutcome::Unknown,
            state::CallState::unplaced_outcome,
        )
    }

    pub(super) fn wait(&mut self, now: time::Timestamp, call: ids::CallId, wait: Duration) {
        if let Some(state) = self.calls.get_mut(call) {
            state.phase = state::CallPhase::Waiting { until: now + wait };
        }
    }

    fn give_up(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        code: ProblemCode,
        retry_after: Option<Duration>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let outcome = self.unplaced_outcome(call);
        self.finish_problem(now, call, outcome, code, retry_after, effects);
    }

    fn is_quarantined(&mut self, now: time::Timestamp, call: ids::CallId) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let fingerprint = state.request.fingerprint;
        match self.policies.quarantine.judge(now, fingerprint) {
            quarantine::SuspectVerdict::Quarantined { .. } => true,
            quarantine::SuspectVerdict::Clear | quarantine::SuspectVerdict::Suspect => false,
        }
    }

    /// Sends a call with the caller's key to the one agent life that may run it.
    fn place_keyed(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        key: &keys::ExecutionKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get(&key.target) else {
            let code = ProblemCode::KeyExpired;
            let outcome = work::CallOutcome::Unknown;
            self.finish_problem(now, call, outcome, code, None, effects);
            return;
        };
        let is_other_life = target
            .incarnation
            .is_some_and(|incarnation| incarnation != key.incarnation);
        if is_other_life {
            let code = ProblemCode::KeyExpired;
            let outcome = work::CallOutcome::Unknown;
            self.finish_problem(now, call, outcome, code, None, effects);
            return;
        }
        if target.open_link().is_none() {
            let cause = retry::RetryCause::NoTarget;
            self.retry(now, call, cause, Duration::ZERO, effects);
            return;
        }

        self.send_start(now, call, &key.target, effects);
    }

    fn choose_target(&mut self, now: time::Timestamp, call: ids::CallId) -> TargetChoice {
        let suspect = self.is_suspect(now, call);
        let Some(state) = self.calls.get(call) else {
            return TargetChoice::NoCandidate;
        };
        let names = candidates(now, &self.targets, state);
        if names.is_empty() {
            return TargetChoice::NoCandidate;
        }

        let question = question(&state.request, suspect);
        let views = views(now, &self.targets, &names, &self.identity.zone);
        let index = self.policies.placement.choose(now, &question, &views);
        match index.and_then(|index| names.get(index)) {
            Some(name) => TargetChoice::Chosen(name.clone()),
            None => TargetChoice::Wait,
        }
    }

    fn weigh_move(&mut self, now: time::Timestamp, call: ids::CallId) -> bool {
        let suspect = self.is_suspect(now, call);
        let Some(state) = self.calls.get_mut(call) else {
            return false;
        };
        let state::CallPhase::Placed(placed) = &mut state.phase else {
            return false;
        };
        placed.weighed_at = now;
        let waited = now.since(placed.placed_at);
        let current = placed.target.clone();

        let mut names = candidates(now, &self.targets, state);
        names.retain(|name| *name != current);
        if names.is_empty() {
            return false;
        }

        let question = question(&state.request, suspect);
        let views = views(now, &self.targets, &names, &self.identity.zone);
        let Some(view) = self
            .targets
            .get(&current)
            .map(|target| target_view(now, target, &self.identity.zone))
        else {
            return false;
        };
        self.policies
            .placement
            .reconsider(now, &question, &view, waited, &views)
    }

    fn start_move(&mut self, call: ids::CallId, effects: &mut Vec<GatewayEffect>) {
        let Some(placed) = self.calls.get(call).and_then(|state| state.placed()) else {
            return;
        };
        let placed = placed.clone();
        self.counters.moves += 1;
        // The agent answers only when the attempt still waits; otherwise nothing changes.
        self.send_cancel(&placed, true, effects);
    }

    fn send_start(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let issued_key = self.key_for(now, call, name);
        let suspect = self.is_suspect(now, call);
        let attempt = ids::AttemptId::random(&mut self.generator);
        let Some(order) = self.start_order(now, call, name, attempt, issued_key, suspect) else {
            let cause = retry::RetryCause::NoTarget;
            self.retry(now, call, cause, Duration::ZERO, effects);
            return;
        };

        let tokens = prompt_tokens(&order.request);
        if let Some(target) = self.targets.get_mut(name) {
            target.in_flight.insert(attempt);
            target.placed_since += 1;
            target.placed_tokens += tokens;
        }
        self.calls.bind_attempt(attempt, call);
        self.counters.attempts += 1;
        self.send_to(name, frames::GatewayFrame::Start(Box::new(order)), effects);
    }

    /// Builds the start order and notes the attempt in its call.
    fn start_order(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
        issued_key: Option<keys::ExecutionKey>,
        suspect: bool,
    ) -> Option<frames::StartOrder> {
        let target = self.targets.get(name)?;
        let clock = target.clock?;
        let incarnation = target.incarnation?;
        let state = self.calls.get_mut(call)?;

        let window = state.request.start_deadline.since(now).min(START_WINDOW);
        let start_by = clock.estimate(now) + window;
        state.attempts += 1;
        state.collected.clear();
        state.received = measures::Sequence::ZERO;
        state.acknowledged = measures::Sequence::ZERO;
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
            weighed_at: now,
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

    /// Issues a key for a call that must run at most once and came without one.
    fn key_for(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        name: &ids::TargetName,
    ) -> Option<keys::ExecutionKey> {
        let state = self.calls.get(call)?;
        if state.request.repeatable || state.request.key.is_some() {
            return None;
        }
        self.issue_key(now, name)
    }

    fn issue_key(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
    ) -> Option<keys::ExecutionKey> {
        let target = self.targets.get(name)?;
        let clock = target.clock?;

        Some(keys::ExecutionKey {
            target: name.clone(),
            incarnation: target.incarnation?,
            expires_at: clock.estimate(now) + KEY_LIFE,
            nonce: ids::Nonce::random(&mut self.generator),
        })
    }

    fn is_suspect(&mut self, now: time::Timestamp, call: ids::CallId) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let fingerprint = state.request.fingerprint;
        match self.policies.quarantine.judge(now, fingerprint) {
            quarantine::SuspectVerdict::Suspect => true,
            quarantine::SuspectVerdict::Clear | quarantine::SuspectVerdict::Quarantined { .. } => {
                false
            }
        }
    }
}

/// Result of looking for a target.
enum TargetChoice {
    /// This one.
    Chosen(ids::TargetName),
    /// None now, by the policy's choice.
    Wait,
    /// None can take the call.
    NoCandidate,
}

/// Says whether another try may follow at once without turning in a circle.
fn can_place_now(cause: retry::RetryCause) -> bool {
    match cause {
        retry::RetryCause::Overloaded
        | retry::RetryCause::Unavailable
        | retry::RetryCause::Lost => true,
        retry::RetryCause::NoTarget => false,
    }
}

fn question(request: &CallRequest, suspect: bool) -> place::PlacementQuestion<'_> {
    let prefix = match &request.work {
        work::WorkRequest::Generation(generation) => Some(generation.prefix),
        work::WorkRequest::Service(_) => None,
    };
    place::PlacementQuestion {
        tag: &request.tag,
        prompt_tokens: prompt_tokens(&request.work),
        prefix,
        suspect,
    }
}

fn prompt_tokens(request: &work::WorkRequest) -> measures::TokenCount {
    match request {
        work::WorkRequest::Generation(generation) => generation.prompt_tokens,
        work::WorkRequest::Service(_) => measures::TokenCount::ZERO,
    }
}

/// Returns the targets that can take a call now.
///
/// The target that refused the last attempt is left out while there are others.
fn candidates(
    now: time::Timestamp,
    targets: &state::TargetTable,
    state: &state::CallState,
) -> Vec<ids::TargetName> {
    let fitting: Vec<ids::TargetName> = targets
        .iter()
        .filter(|target| target.listing.serves.fits(&state.request.work))
        .filter(|target| target.obstacle(now, SUSPICION_SILENCE).is_none())
        .map(|target| target.listing.name.clone())
        .collect();

    let others: Vec<ids::TargetName> = fitting
        .iter()
        .filter(|name| Some(*name) != state.avoided.as_ref())
        .cloned()
        .collect();
    match others.is_empty() {
        true => fitting,
        false => others,
    }
}

/// Returns what the placement policy sees of `names`, in their order.
pub(super) fn views<'a>(
    now: time::Timestamp,
    targets: &'a state::TargetTable,
    names: &[ids::TargetName],
    zone: &ids::ZoneName,
) -> Vec<place::TargetView<'a>> {
    names
        .iter()
        .filter_map(|name| targets.get(name))
        .map(|target| target_view(now, target, zone))
        .collect()
}

fn target_view<'a>(
    now: time::Timestamp,
    target: &'a state::TargetState,
    zone: &ids::ZoneName,
) -> place::TargetView<'a> {
    let distance = match target.listing.zone == *zone {
        true => place::ZoneDistance::Same,
        false => place::ZoneDistance::Other,
    };
    let load_age = target.clock.map_or(Duration::MAX, |clock| clock.age(now));

    place::TargetView {
        name: &target.listing.name,
        distance,
        load: &target.load,
        load_age,
        in_flight: u32::try_from(target.in_flight.len()).unwrap_or(u32::MAX),
        placed_since: target.placed_since,
        placed_tokens: target.placed_tokens,
    }
}
