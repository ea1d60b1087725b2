//! Periodic work of the fleet reducer.

use std::time::Duration;

use kingcupfall_core::time;
use rand::Rng;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use super::links;

/// Longest time between two [`FleetEvent::Tick`](super::FleetEvent::Tick) events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between maintenance rounds, before jitter.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between samples of member records sent to a random peer, before jitter.
const MEMBER_SAMPLE_INTERVAL: Duration = Duration::from_secs(5);

/// Times of the last tick and of the next periodic work.
#[derive(Debug)]
pub(super) struct MaintenanceSchedule {
    pub(super) last_tick: time::Timestamp,
    next_maintenance_at: time::Timestamp,
    next_member_sample_at: time::Timestamp,
}

impl MaintenanceSchedule {
    pub(super) const fn new(now: time::Timestamp) -> Self {
        Self {
            last_tick: now,
            next_maintenance_at: now,
            next_member_sample_at: now,
        }
    }
}

impl FleetReducer {
    pub(super) fn handle_tick(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        if now.since(self.schedule.last_tick) >= links::LINK_SILENCE_TIMEOUT {
            self.resume_from_pause(now);
        }
        self.schedule.last_tick = now;

        self.gossip_member_updates(effects);
        self.send_due_announcements(now, effects);
        self.retry_stalled_transfers(now, effects);
        self.send_heartbeats(now, effects);
        self.call_service(now, effects);
        self.read_vm_list(now, effects);
        if now >= self.schedule.next_maintenance_at {
            self.run_maintenance(now, effects);
        }
    }

    fn run_maintenance(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        let jitter = self.generator.random_range(0.8..1.2);
        self.schedule.next_maintenance_at = now + MAINTENANCE_INTERVAL.mul_f64(jitter);

        self.close_silent_links(now, effects);
        self.suspects.remove_expired(now);
        self.departures.remove_expired(now);
        self.advance_join(now, effects);
        if self.role == FleetRole::Gateway {
            self.members.apply_timeouts(now);
            self.reader.invalidate_selection();
            self.update_reader_role(now);
            self.schedule_vm_list(now);
        }
        self.maintain_links(now, effects);

        if now >= self.schedule.next_member_sample_at {
            self.schedule.next_member_sample_at = now + MEMBER_SAMPLE_INTERVAL.mul_f64(jitter);
            self.gossip_member_sample(effects);
        }
    }

    /// Resets the silence of all links after the process was paused, as peers may have sent
    /// messages in the meantime.
    fn resume_from_pause(&mut self, now: time::Timestamp) {
        self.counters.pauses += 1;
        for peer in self.links.values_mut() {
            peer.last_received = now;
        }
    }
}
