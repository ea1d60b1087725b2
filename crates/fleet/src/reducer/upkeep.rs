//! Work that comes with time.

use std::time::Duration;

use kingcupfall_core::time;
use rand::Rng;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use super::links;

/// Longest time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two rounds of the slower work.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two exchanges of member records.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// When the next rounds are due.
#[derive(Debug)]
pub(super) struct UpkeepState {
    pub(super) last_tick: time::Timestamp,
    upkeep_at: time::Timestamp,
    exchange_at: time::Timestamp,
}

impl UpkeepState {
    pub(super) const fn new(now: time::Timestamp) -> Self {
        Self {
            last_tick: now,
            upkeep_at: now,
            exchange_at: now,
        }
    }
}

impl FleetReducer {
    pub(super) fn tick(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        if now.since(self.clock.last_tick) >= links::LINK_SILENCE {
            self.resume_from_pause(now);
        }
        self.clock.last_tick = now;

        self.spread_news(effects);
        self.finish_announcements(now, effects);
        self.check_transfers(now, effects);
        self.send_heartbeats(now, effects);
        self.call_service(now, effects);
        self.call_vm_list(now, effects);
        if now >= self.clock.upkeep_at {
            self.keep_up(now, effects);
        }
    }

    fn keep_up(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        let jitter = self.generator.random_range(0.8..1.2);
        self.clock.upkeep_at = now + UPKEEP_INTERVAL.mul_f64(jitter);

        self.drop_silent_links(now, effects);
        self.suspects.expire(now);
        self.departures.expire(now);
        self.check_join(now, effects);
        if self.role == FleetRole::Gateway {
            self.members.expire(now);
            self.reader.forget_rank();
            self.check_rank(now);
            self.schedule_list(now);
        }
        self.maintain_links(now, effects);

        if now >= self.clock.exchange_at {
            self.clock.exchange_at = now + EXCHANGE_INTERVAL.mul_f64(jitter);
            self.exchange_members(effects);
        }
    }

    /// Takes up work after the process was paused: silence meanwhile says nothing of its peers.
    fn resume_from_pause(&mut self, now: time::Timestamp) {
        self.counters.pauses += 1;
        for peer in self.links.values_mut() {
            peer.last_heard = now;
        }
    }
}
