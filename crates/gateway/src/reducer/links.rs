//! Links to agents: opening, loss, replacement, and the resumption of attempts over a new link.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_link::frames;
use rand::Rng;

use super::GatewayEffect;
use super::GatewayReducer;
use super::ProblemCode;
use crate::state;

/// Time without a frame from the agent after which an open link is replaced.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after which a link that has not opened is replaced.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Reconnection delay that is doubled for each consecutive failed link after the first.
const RECONNECT_BASE_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the reconnection delay.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);

/// Number of doublings at which the delay reaches its upper bound.
const MAX_RECONNECT_DOUBLINGS: u32 = 6;

/// Maximum number of cancel orders retained for one unreachable agent.
const MAX_PENDING_CANCELS: usize = 1_024;

impl GatewayReducer {
    pub(super) fn handle_link_opened(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(name) = self.targets.link_target(link).cloned() else {
            effects.push(GatewayEffect::CloseLink { link });
            return;
        };
        if let Some(target) = self.targets.get_mut(&name) {
            target.last_received = now;
        }

        let hello = frames::GatewayHello {
            version: frames::PROTOCOL_VERSION,
            gateway: self.identity.process,
            zone: self.identity.zone.clone(),
        };
        effects.push(GatewayEffect::Send {
            link,
            frame: frames::GatewayFrame::Hello(hello),
        });
    }

    /// Records that a link closed, and schedules its replacement if it was the current one.
    pub(super) fn mark_link_closed(&mut self, now: time::Timestamp, link: ids::LinkId) {
        let Some(name) = self.targets.release_link(link) else {
            return;
        };
        let jitter: f64 = self.generator.random();
        let Some(target) = self.targets.get_mut(&name) else {
            return;
        };
        if !is_current(target, link) {
            return;
        }

        let delay = reconnect_delay(target.failed_links, jitter);
        target.failed_links = target.failed_links.saturating_add(1);
        target.link = state::LinkPhase::Closed {
            retry_at: now + delay,
        };
        target.lost_at = target.lost_at.or(Some(now));
    }

    /// Completes the link, sends retained cancel orders, and resumes the attempts at this agent.
    ///
    /// Attempts of an earlier incarnation are lost. A hello from another target or with another
    /// protocol version closes the link.
    pub(super) fn handle_hello(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        hello: &frames::AgentHello,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(name) = self.targets.link_target(link).cloned() else {
            return;
        };
        let is_expected = hello.version == frames::PROTOCOL_VERSION && hello.target == name;
        if !is_expected {
            self.drop_link(now, link, effects);
            return;
        }

        let pending_cancels = match self.targets.get_mut(&name) {
            Some(target) => {
                target.link = state::LinkPhase::Open { link };
                target.failed_links = 0;
                target.lost_at = None;
                target.incarnation = Some(hello.incarnation);
                std::mem::take(&mut target.pending_cancels)
            }
            None => Vec::new(),
        };
        for order in pending_cancels {
            let frame = frames::GatewayFrame::Cancel(order);
            effects.push(GatewayEffect::Send { link, frame });
        }
        self.reconcile_attempts(now, &name, hello.incarnation, effects);
    }

    /// Requests the tokens of a call from the first missing one.
    ///
    /// Treats the attempt as lost if the agent has a new incarnation.
    pub(super) fn request_missing_tokens(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let Some(placed) = state.placed().cloned() else {
            return;
        };
        let current = self
            .targets
            .get(&placed.target)
            .and_then(|target| target.incarnation);
        if current.is_some_and(|incarnation| incarnation != placed.incarnation) {
            self.handle_lost_attempt(now, call, ProblemCode::TargetLost, effects);
            return;
        }

        self.counters.resumptions += 1;
        let frame = frames::GatewayFrame::Resume(frames::ResumeOrder {
            attempt: placed.attempt,
            organisation: state.request.tag.organisation.clone(),
            next: state.received,
            subscription: placed.subscription,
            start_by: placed.start_by,
        });
        self.send_to(&placed.target, frame, effects);
    }

    /// Replaces silent links, closes unused ones, and opens missing ones.
    pub(super) fn repair_links(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_due = |target: &&state::TargetState| match target.link {
            state::LinkPhase::Closed { retry_at } => retry_at <= now && target.needs_link(now),
            state::LinkPhase::Connecting { since, .. } => now.since(since) >= CONNECT_TIMEOUT,
            state::LinkPhase::Open { .. } => {
                now.since(target.last_received) >= LINK_SILENCE_TIMEOUT || !target.needs_link(now)
            }
        };
        let due: Vec<ids::TargetName> = self
            .targets
            .iter()
            .filter(is_due)
            .map(|target| target.listing.name.clone())
            .collect();

        for name in due {
            self.drop_silent_link(now, &name, effects);
            self.drop_unused_link(now, &name, effects);
            self.connect(now, &name, effects);
        }
    }

    pub(super) fn send_heartbeats(&self, effects: &mut Vec<GatewayEffect>) {
        for target in self.targets.iter() {
            if let Some(link) = target.open_link() {
                effects.push(GatewayEffect::Send {
                    link,
                    frame: frames::GatewayFrame::Heartbeat,
                });
            }
        }
    }

    /// Sends a frame to an agent if a link to it is open; otherwise drops the frame.
    pub(super) fn send_to(
        &self,
        name: &ids::TargetName,
        frame: frames::GatewayFrame,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let link = self.targets.get(name).and_then(|target| target.open_link());
        if let Some(link) = link {
            effects.push(GatewayEffect::Send { link, frame });
        }
    }

    /// Cancels an attempt, at once or after the link reopens.
    ///
    /// With `only_waiting`, an attempt that has started continues. A resumed attempt is detached
    /// instead, as a cancel order needs the start deadline, which this gateway does not know.
    pub(super) fn send_cancel(
        &mut self,
        placed: &state::PlacedAttempt,
        only_waiting: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(start_by) = placed.start_by else {
            let attempt = placed.attempt;
            let frame = frames::GatewayFrame::Detach { attempt };
            self.send_to(&placed.target, frame, effects);
            return;
        };
        let order = frames::CancelOrder {
            attempt: placed.attempt,
            start_by,
            only_waiting,
        };
        let Some(target) = self.targets.get_mut(&placed.target) else {
            return;
        };

        match target.open_link() {
            Some(link) => effects.push(GatewayEffect::Send {
                link,
                frame: frames::GatewayFrame::Cancel(order),
            }),
            None if target.pending_cancels.len() < MAX_PENDING_CANCELS && !only_waiting => {
                target.pending_cancels.push(order);
            }
            None => {}
        }
    }

    pub(super) fn drop_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.mark_link_closed(now, link);
        effects.push(GatewayEffect::CloseLink { link });
    }

    /// Treats the attempts of earlier incarnations as lost, and requests the missing tokens of the
    /// others.
    fn reconcile_attempts(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        incarnation: ids::Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_placed_here =
            |state: &state::CallState| state.placed().is_some_and(|placed| placed.target == *name);

        for call in self.calls.select(is_placed_here) {
            let is_same_incarnation = self
                .calls
                .get(call)
                .and_then(state::CallState::placed)
                .is_some_and(|placed| placed.incarnation == incarnation);
            if is_same_incarnation {
                self.request_missing_tokens(now, call, effects);
            } else {
                self.handle_lost_attempt(now, call, ProblemCode::TargetLost, effects);
            }
        }
    }

    fn drop_silent_link(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let failed_link = match target.link {
            state::LinkPhase::Open { link }
                if now.since(target.last_received) >= LINK_SILENCE_TIMEOUT =>
            {
                link
            }
            state::LinkPhase::Connecting { link, since } if now.since(since) >= CONNECT_TIMEOUT => {
                link
            }
            state::LinkPhase::Open { .. }
            | state::LinkPhase::Connecting { .. }
            | state::LinkPhase::Closed { .. } => return,
        };

        self.counters.silent_links += 1;
        self.drop_link(now, failed_link, effects);
    }

    fn drop_unused_link(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        if let Some(link) = target.open_link()
            && !target.needs_link(now)
        {
            self.drop_link(now, link, effects);
        }
    }

    /// Opens a link if the target needs one and the reconnect delay has passed.
    pub(super) fn connect(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let state::LinkPhase::Closed { retry_at } = target.link else {
            return;
        };
        if now < retry_at || !target.needs_link(now) {
            return;
        }

        let link = ids::LinkId::new(self.next_link);
        self.next_link += 1;
        target.link = state::LinkPhase::Connecting { link, since: now };
        effects.push(GatewayEffect::Connect {
            link,
            target: name.clone(),
            address: target.listing.address,
        });
        self.targets.bind_link(link, name);
    }
}

fn is_current(target: &state::TargetState, link: ids::LinkId) -> bool {
    match target.link {
        state::LinkPhase::Open { link: current }
        | state::LinkPhase::Connecting { link: current, .. } => current == link,
        state::LinkPhase::Closed { .. } => false,
    }
}

/// Returns the delay before the next reconnection: exponential with full jitter, and zero after the
/// first failure. `jitter` is between 0 and 1.
fn reconnect_delay(failed_links: u32, jitter: f64) -> Duration {
    let doublings = failed_links.min(MAX_RECONNECT_DOUBLINGS);
    let delay = RECONNECT_BASE_DELAY * 2_u32.pow(doublings);

    match failed_links {
        0 => Duration::ZERO,
        _ => delay.min(MAX_RECONNECT_DELAY).mul_f64(jitter),
    }
}

/// Returns the sequence number that follows `count` tokens from `first` on.
pub(super) fn sequence_after(
    first: measures::SequenceNumber,
    count: usize,
) -> measures::SequenceNumber {
    first + measures::SequenceNumber::new(count as u64)
}
