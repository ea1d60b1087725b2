//! Links to agents: opened, silent, lost and replaced.

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

/// Silence after which a link is replaced.
const LINK_SILENCE: Duration = Duration::from_millis(2_500);

/// Longest wait for a link to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait before the first new link.
const RECONNECT_BASE: Duration = Duration::from_millis(100);

/// Longest wait before a new link.
const RECONNECT_LIMIT: Duration = Duration::from_secs(5);

/// Doublings of the wait after which it stays at its limit.
const RECONNECT_DOUBLINGS: u32 = 6;

/// Most cancel orders kept for an agent that can't be reached.
const ABANDONED_LIMIT: usize = 1_024;

impl GatewayReducer {
    pub(super) fn open_link(
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
            target.last_heard = now;
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

    pub(super) fn close_link(&mut self, now: time::Timestamp, link: ids::LinkId) {
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

        let wait = reconnect_wait(target.failed_links, jitter);
        target.failed_links = target.failed_links.saturating_add(1);
        target.link = state::LinkPhase::Closed {
            retry_at: now + wait,
        };
        target.lost_at = target.lost_at.or(Some(now));
    }

    /// Takes the hello of an agent: its calls of an earlier life are lost, the others go on.
    pub(super) fn take_hello(
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

        let abandoned = match self.targets.get_mut(&name) {
            Some(target) => {
                target.link = state::LinkPhase::Open { link };
                target.failed_links = 0;
                target.lost_at = None;
                target.incarnation = Some(hello.incarnation);
                std::mem::take(&mut target.abandoned)
            }
            None => Vec::new(),
        };
        for order in abandoned {
            let frame = frames::GatewayFrame::Cancel(order);
            effects.push(GatewayEffect::Send { link, frame });
        }
        self.settle_attempts(now, &name, hello.incarnation, effects);
    }

    /// Asks the agent for a call's tokens from the first that is missing.
    pub(super) fn ask_again(
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
        let known = self
            .targets
            .get(&placed.target)
            .and_then(|target| target.incarnation);
        if known.is_some_and(|incarnation| incarnation != placed.incarnation) {
            self.lose_call(now, call, ProblemCode::TargetLost, effects);
            return;
        }

        self.counters.resumes += 1;
        let frame = frames::GatewayFrame::Resume(frames::ResumeOrder {
            attempt: placed.attempt,
            organisation: state.request.tag.organisation.clone(),
            next: state.received,
            subscription: placed.subscription,
            start_by: placed.start_by,
        });
        self.send_to(&placed.target, frame, effects);
    }

    /// Replaces silent links and opens missing ones.
    pub(super) fn mend_links(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_due = |target: &&state::TargetState| match target.link {
            state::LinkPhase::Closed { retry_at } => retry_at <= now && target.needs_link(now),
            state::LinkPhase::Connecting { since, .. } => now.since(since) >= CONNECT_TIMEOUT,
            state::LinkPhase::Open { .. } => {
                now.since(target.last_heard) >= LINK_SILENCE || !target.needs_link(now)
            }
        };
        let due: Vec<ids::TargetName> = self
            .targets
            .iter()
            .filter(is_due)
            .map(|target| target.listing.name.clone())
            .collect();

        for name in due {
            self.replace_silent(now, &name, effects);
            self.close_unneeded(now, &name, effects);
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

    /// Sends a frame to an agent when there is a link to it.
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

    /// Cancels an attempt, now or when the link is back.
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
            None if target.abandoned.len() < ABANDONED_LIMIT && !only_waiting => {
                target.abandoned.push(order);
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
        self.close_link(now, link);
        effects.push(GatewayEffect::CloseLink { link });
    }

    /// Loses the attempts of an agent's earlier life, and asks again for the others.
    fn settle_attempts(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        incarnation: ids::Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_there =
            |state: &state::CallState| state.placed().is_some_and(|placed| placed.target == *name);

        for call in self.calls.select(is_there) {
            let is_same_life = self
                .calls
                .get(call)
                .and_then(state::CallState::placed)
                .is_some_and(|placed| placed.incarnation == incarnation);
            if is_same_life {
                self.ask_again(now, call, effects);
            } else {
                self.lose_call(now, call, ProblemCode::TargetLost, effects);
            }
        }
    }

    fn replace_silent(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let dead = match target.link {
            state::LinkPhase::Open { link } if now.since(target.last_heard) >= LINK_SILENCE => link,
            state::LinkPhase::Connecting { link, since } if now.since(since) >= CONNECT_TIMEOUT => {
                link
            }
            state::LinkPhase::Open { .. }
            | state::LinkPhase::Connecting { .. }
            | state::LinkPhase::Closed { .. } => return,
        };

        self.counters.silent_links += 1;
        self.drop_link(now, dead, effects);
    }

    fn close_unneeded(
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

    /// Opens a link when one is due.
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

/// Returns the wait before the next link: exponential, with full jitter from 0 to 1.
fn reconnect_wait(failed_links: u32, jitter: f64) -> Duration {
    let doublings = failed_links.min(RECONNECT_DOUBLINGS);
    let wait = RECONNECT_BASE * 2_u32.pow(doublings);

    match failed_links {
        0 => Duration::ZERO,
        _ => wait.min(RECONNECT_LIMIT).mul_f64(jitter),
    }
}

/// Returns the place after `count` tokens from `first`.
pub(super) fn after(first: measures::SequenceNumber, count: usize) -> measures::SequenceNumber {
    first + measures::SequenceNumber::new(count as u64)
}
