//! Work that comes with time: pulses, expiry, callers that do not come back.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use super::send;
use crate::state;

/// Longest time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two pulses on a link.
const PULSE_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a link is taken for dead.
const LINK_SILENCE: Duration = Duration::from_secs(10);

/// Time in which a caller may come back to a running generation.
const DETACHED_GRACE: Duration = Duration::from_secs(15);

impl AgentReducer {
    pub(super) fn tick(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        if now >= self.next_pulse {
            self.send_pulses(now, effects);
        }

        self.drop_silent_links(now, effects);
        self.drop_detached(now, effects);
        self.drop_ended(now);
        self.gateways.expire(now);
        self.tombstones.expire(now);
        self.settled.expire(now);
        self.executions.expire(now);
    }

    pub(super) fn send_pulses(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        self.next_pulse = now + PULSE_INTERVAL;

        let links: Vec<ids::LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.send_pulse(now, link, effects);
        }
    }

    pub(super) fn send_pulse(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let mut load = self.scheduler.summarize(now);
        let cached = std::mem::take(&mut load.cached);
        let pulse = frames::AgentHeartbeat {
            now,
            leaving: self.departure != super::DeparturePhase::Serving,
            target_up: self.is_target_usable(now),
            load,
            cached: self.changed_prefixes(link, cached),
        };
        send(
            effects,
            link,
            frames::AgentFrame::Heartbeat(Box::new(pulse)),
        );
    }

    /// Returns the cached prefixes when they are not those of the last pulse on `link`.
    fn changed_prefixes(
        &mut self,
        link: ids::LinkId,
        cached: Vec<load::CachedPrefix>,
    ) -> Option<Vec<load::CachedPrefix>> {
        let state = self.links.get_mut(&link)?;
        if state.cached.as_ref() == Some(&cached) {
            return None;
        }
        state.cached = Some(cached.clone());
        Some(cached)
    }

    fn drop_silent_links(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        let silent: Vec<ids::LinkId> = self
            .links
            .iter()
            .filter(|(_, state)| now.since(state.last_heard) >= LINK_SILENCE)
            .map(|(link, _)| *link)
            .collect();

        for link in silent {
            self.drop_link(now, link, effects);
        }
    }

    /// Ends repeatable work whose caller has not come back.
    fn drop_detached(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        let is_abandoned = |state: &state::AttemptState| {
            state.subscriber.is_none()
                && state.is_active()
                && !state.is_exclusive()
                && now.since(state.detached_at) >= DETACHED_GRACE
        };

        for attempt in self.attempts.select(is_abandoned) {
            let is_running = self
                .attempts
                .get(attempt)
                .is_some_and(state::AttemptState::is_running);
            if is_running {
                self.abandon(now, attempt, effects);
            } else {
                let code = frames::RefusalCode::Cancelled;
                self.withdraw(now, attempt, code, Duration::ZERO, effects);
            }
        }
    }

    fn drop_ended(&mut self, now: time::Timestamp) {
        let old: Vec<ids::AttemptId> = self.attempts.select(|state| state.has_expired(now));
        for attempt in old {
            self.drop_attempt(now, attempt);
        }
    }
}
