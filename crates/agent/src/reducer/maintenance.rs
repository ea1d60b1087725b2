//! Periodic work: heartbeats, expiry, and cancelling work whose callers do not return.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use super::send;
use crate::state;

/// Maximum time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a frame from the gateway after which a link is closed.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which repeatable work without a subscriber is kept for its caller to resume.
const DETACHED_GRACE_PERIOD: Duration = Duration::from_secs(15);

impl AgentReducer {
    pub(super) fn tick(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, effects);
        }

        self.drop_silent_links(now, effects);
        self.cancel_detached(now, effects);
        self.drop_ended(now);
        self.gateways.expire(now);
        self.tombstones.expire(now);
        self.started_attempts.expire(now);
        self.executions.expire(now);
    }

    pub(super) fn send_heartbeats(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;

        let links: Vec<ids::LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.send_heartbeat(now, link, effects);
        }
    }

    pub(super) fn send_heartbeat(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let mut load = self.scheduler.summarize(now);
        let cached = std::mem::take(&mut load.cached);
        let heartbeat = frames::AgentHeartbeat {
            now,
            leaving: self.departure != super::DeparturePhase::Serving,
            target_up: self.is_target_usable(now),
            load,
            cached: self.changed_prefixes(link, cached),
        };
        send(
            effects,
            link,
            frames::AgentFrame::Heartbeat(Box::new(heartbeat)),
        );
    }

    /// Returns the cached prefixes if they differ from those in the last heartbeat on `link`.
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
            .filter(|(_, state)| now.since(state.last_received) >= LINK_SILENCE_TIMEOUT)
            .map(|(link, _)| *link)
            .collect();

        for link in silent {
            self.drop_link(now, link, effects);
        }
    }

    /// Cancels repeatable work whose caller has not returned within the grace period.
    fn cancel_detached(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        let is_abandoned = |state: &state::AttemptState| {
            state.subscriber.is_none()
                && state.is_active()
                && !state.is_at_most_once()
                && now.since(state.detached_at) >= DETACHED_GRACE_PERIOD
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
                self.refuse_unstarted(now, attempt, code, Duration::ZERO, effects);
            }
        }
    }

    fn drop_ended(&mut self, now: time::Timestamp) {
        let expired: Vec<ids::AttemptId> = self.attempts.select(|state| state.has_expired(now));
        for attempt in expired {
            self.drop_attempt(now, attempt);
        }
    }
}
