//! Who gets the tokens of an attempt.
//!
//! A caller may come back through another gateway while the frames of its former one are still
//! under way. The subscriber that came last gets the tokens. One that it displaced is kept until
//! it goes too, and gets the tokens back when the later one goes first.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use super::intake::send_failure;
use super::send;
use crate::state;

/// Most displaced subscribers kept for one attempt.
const FORMER_LIMIT: usize = 8;

impl AgentReducer {
    /// Moves the tokens of an attempt to another link.
    pub(super) fn take_resume(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        order: &frames::ResumeOrder,
        effects: &mut Vec<AgentEffect>,
    ) {
        let attempt = order.attempt;
        let Some(state) = self.attempts.get(attempt) else {
            match order.start_by {
                Some(start_by) => self.refuse_unknown(now, link, attempt, start_by, effects),
                None => {
                    let cause = frames::FailureCause::Expired;
                    send_failure(effects, link, attempt, cause);
                }
            }
            return;
        };
        let is_owner = state.order.tag.organisation == order.organisation;
        if !is_owner || order.next > state.buffer.next() {
            let cause = frames::FailureCause::Expired;
            send_failure(effects, link, attempt, cause);
            return;
        }

        self.displace(link, attempt, effects);
        if let Some(state) = self.attempts.get_mut(attempt) {
            let subscriber = state::TokenSubscriber {
                link,
                subscription: order.subscription,
                next: order.next,
            };
            state.subscribe(subscriber);
        }
        self.deliver(attempt, effects);
    }

    /// Notes that an attempt's caller has gone from the gateway of `link`.
    pub(super) fn take_detach(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        if self.is_held_elsewhere(link, state.subscriber) {
            self.drop_formers_of(link, attempt);
            return;
        }
        self.detach(now, attempt, effects);
    }

    /// Takes the tokens of an attempt from its subscriber, and gives them back to the last one
    /// that was displaced.
    pub(super) fn detach(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        state.subscriber = None;
        state.detached_at = now;

        if let Some(former) = state.formers.pop() {
            state.subscribe(former);
            self.deliver(attempt, effects);
        }
    }

    /// Takes a lost link from all attempts.
    pub(super) fn detach_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_concerned = |state: &state::AttemptState| {
            state.subscriber == Some(link) || !state.formers.is_empty()
        };
        for attempt in self.attempts.select(is_concerned) {
            let Some(state) = self.attempts.get_mut(attempt) else {
                continue;
            };
            state.formers.retain(|former| former.link != link);
            if state.subscriber == Some(link) {
                self.detach(now, attempt, effects);
            }
        }
    }

    /// Says whether another gateway than that of `link` has taken an attempt over.
    pub(super) fn is_held_elsewhere(
        &self,
        link: ids::LinkId,
        subscriber: Option<ids::LinkId>,
    ) -> bool {
        subscriber.is_some_and(|subscriber| !self.is_same_gateway(link, subscriber))
    }

    /// Keeps the subscriber that the gateway of `link` is about to displace.
    fn displace(
        &mut self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.drop_formers_of(link, attempt);
        let subscriber = self
            .attempts
            .get(attempt)
            .and_then(state::AttemptState::current_subscriber)
            .filter(|subscriber| !self.is_same_gateway(link, subscriber.link));
        let Some(subscriber) = subscriber else {
            return;
        };
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };

        state.formers.push(subscriber);
        if state.formers.len() > FORMER_LIMIT {
            let oldest = state.formers.remove(0);
            send_superseded(effects, attempt, oldest);
        }
    }

    fn drop_formers_of(&mut self, link: ids::LinkId, attempt: ids::AttemptId) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let mut formers = state.formers.clone();
        formers.retain(|former| !self.is_same_gateway(link, former.link));
        if let Some(state) = self.attempts.get_mut(attempt) {
            state.formers = formers;
        }
    }

    fn is_same_gateway(&self, first: ids::LinkId, second: ids::LinkId) -> bool {
        let gateway_of = |link| self.links.get(&link).and_then(|state| state.gateway);
        first == second || gateway_of(first) == gateway_of(second)
    }
}

/// Tells the displaced subscribers of an attempt that ended that another one got its tokens.
pub(super) fn dismiss_formers(state: &mut state::AttemptState, effects: &mut Vec<AgentEffect>) {
    let attempt = state.order.attempt;
    for former in state.formers.drain(..) {
        send_superseded(effects, attempt, former);
    }
}

fn send_superseded(
    effects: &mut Vec<AgentEffect>,
    attempt: ids::AttemptId,
    former: state::TokenSubscriber,
) {
    let frame = frames::AgentFrame::Superseded {
        attempt,
        subscription: former.subscription,
    };
    send(effects, former.link, frame);
}
