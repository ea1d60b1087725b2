//! Subscriptions of gateways to the tokens of an attempt.
//!
//! A caller may reconnect through another gateway while frames of the previous one are still in
//! transit. The latest subscriber receives the tokens. A displaced subscriber is kept until it
//! detaches, and receives the tokens again if the later one detaches first.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use super::orders::send_failure;
use super::send;
use crate::state;

/// Maximum number of displaced subscribers kept for one attempt.
const MAX_PREVIOUS_SUBSCRIBERS: usize = 8;

impl AgentReducer {
    /// Subscribes `link` to the tokens of an attempt.
    pub(super) fn handle_resume(
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

        self.push_previous_subscriber(link, attempt, effects);
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

    /// Handles the departure of an attempt's caller from the gateway of `link`.
    pub(super) fn handle_detach(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        if self.is_subscribed_elsewhere(link, state.subscriber) {
            self.drop_previous_subscribers(link, attempt);
            return;
        }
        self.detach(now, attempt, effects);
    }

    /// Ends the current subscription of an attempt and restores the one displaced last, if any.
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

        if let Some(previous) = state.previous_subscribers.pop() {
            state.subscribe(previous);
            self.deliver(attempt, effects);
        }
    }

    /// Ends all subscriptions of a lost link.
    pub(super) fn detach_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let may_involve_link = |state: &state::AttemptState| {
            state.subscriber == Some(link) || !state.previous_subscribers.is_empty()
        };
        for attempt in self.attempts.select(may_involve_link) {
            let Some(state) = self.attempts.get_mut(attempt) else {
                continue;
            };
            state
                .previous_subscribers
                .retain(|previous| previous.link != link);
            if state.subscriber == Some(link) {
                self.detach(now, attempt, effects);
            }
        }
    }

    /// Returns true if a gateway other than that of `link` is the subscriber.
    pub(super) fn is_subscribed_elsewhere(
        &self,
        link: ids::LinkId,
        subscriber: Option<ids::LinkId>,
    ) -> bool {
        subscriber.is_some_and(|subscriber| !self.is_same_gateway(link, subscriber))
    }

    /// Keeps the current subscriber, which the gateway of `link` is about to displace.
    fn push_previous_subscriber(
        &mut self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.drop_previous_subscribers(link, attempt);
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

        state.previous_subscribers.push(subscriber);
        if state.previous_subscribers.len() > MAX_PREVIOUS_SUBSCRIBERS {
            let oldest = state.previous_subscribers.remove(0);
            send_superseded(effects, attempt, oldest);
        }
    }

    fn drop_previous_subscribers(&mut self, link: ids::LinkId, attempt: ids::AttemptId) {
        let Some(state) = self.attempts.get(attempt) else {
            return;
        };
        let mut previous_subscribers = state.previous_subscribers.clone();
        previous_subscribers.retain(|previous| !self.is_same_gateway(link, previous.link));
        if let Some(state) = self.attempts.get_mut(attempt) {
            state.previous_subscribers = previous_subscribers;
        }
    }

    fn is_same_gateway(&self, first: ids::LinkId, second: ids::LinkId) -> bool {
        let gateway_of = |link| self.links.get(&link).and_then(|state| state.gateway);
        first == second || gateway_of(first) == gateway_of(second)
    }
}

/// Notifies the displaced subscribers of an ended attempt that another one received its tokens.
pub(super) fn send_superseded_to_previous(
    state: &mut state::AttemptState,
    effects: &mut Vec<AgentEffect>,
) {
    let attempt = state.order.attempt;
    for previous in state.previous_subscribers.drain(..) {
        send_superseded(effects, attempt, previous);
    }
}

fn send_superseded(
    effects: &mut Vec<AgentEffect>,
    attempt: ids::AttemptId,
    previous: state::TokenSubscriber,
) {
    let frame = frames::AgentFrame::Superseded {
        attempt,
        subscription: previous.subscription,
    };
    send(effects, previous.link, frame);
}
