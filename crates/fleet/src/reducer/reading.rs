//! Reading the configuration service and the VM list: who does, and how often.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use rand::Rng;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use super::ServiceReading;
use super::ServiceRevision;
use super::VmListing;
use crate::members;
use crate::subset;

/// Gateways of a zone that read for it.
const READERS_PER_ZONE: usize = 3;

/// Longest wait before a gateway that has become a reader begins, for each gateway of its zone.
const START_JITTER: Duration = Duration::from_millis(20);

/// Longest such wait in a large zone.
const LONGEST_START_JITTER: Duration = Duration::from_secs(1);

/// Time for which a reader goes on after others have taken its place.
const OVERLAP_TIME: Duration = Duration::from_secs(5);

/// Least time between two calls of one reader at the configuration service.
const CALL_SPACING: Duration = Duration::from_millis(200);

/// Calls a second of all gateways together when each sees too little of its zone to trust ranks.
const ISOLATED_CALLS_PER_S: f64 = 1_000.0;

/// Time between two calls of an isolated gateway that does not know the fleet's size.
const UNKNOWN_SPACING: Duration = Duration::from_secs(10);

/// Longest wait after failed calls.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// Time after which all sections are read again, in case a watch has missed one.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Least time between two readings of the VM list by one reader.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Bytes a second that a reader spends on the VM list.
const LIST_BYTES_PER_S: f64 = 8_000.0;

/// Time between two readings of the VM list by a gateway that is no reader.
const LIST_REFRESH: Duration = Duration::from_secs(1_800);

/// Time between two readings by a gateway that knows no live peer though the list names some.
const LIST_SEARCH: Duration = Duration::from_secs(60);

/// Wait after the VM list could not be read.
const LIST_RETRY: Duration = Duration::from_secs(5);

/// Longest wait before the first reading of the VM list.
const LIST_JITTER: Duration = Duration::from_millis(500);

/// Part of this gateway in reading the configuration service.
#[derive(Debug, Default)]
pub(super) struct ReaderState {
    /// When the gateway began or will begin to read.
    begins_at: Option<time::Timestamp>,
    /// Since when it is no longer among the first of its zone.
    displaced_at: Option<time::Timestamp>,
    /// Whether it is among the first of its zone; unknown after a change of members.
    is_ranked: Option<bool>,
    is_calling: bool,
    next_call_at: time::Timestamp,
    next_full_at: time::Timestamp,
    failures: u32,
    revision: ServiceRevision,
}

impl ReaderState {
    /// Has the rank worked out again.
    pub(super) const fn forget_rank(&mut self) {
        self.is_ranked = None;
    }

    pub(super) const fn is_reading(&self) -> bool {
        self.begins_at.is_some()
    }
}

/// Progress of reading the VM list.
#[derive(Debug, Default)]
pub(super) struct VmListState {
    next_at: Option<time::Timestamp>,
    read_at: Option<time::Timestamp>,
    interval: Duration,
    is_calling: bool,
}

impl VmListState {
    pub(super) const fn was_read(&self) -> bool {
        self.read_at.is_some()
    }
}

impl FleetReducer {
    /// Takes up or lays down reading, by rank among the live gateways of the zone.
    pub(super) fn check_rank(&mut self, now: time::Timestamp) {
        let is_ranked = self.is_ranked();
        self.reader.is_ranked = Some(is_ranked);
        if is_ranked {
            self.reader.displaced_at = None;
            if self.reader.begins_at.is_none() {
                let gateways = u32::try_from(self.members.listed_zone()).unwrap_or(u32::MAX);
                let longest = START_JITTER
                    .saturating_mul(gateways.max(1))
                    .min(LONGEST_START_JITTER);
                let jitter = self.generator.random_range(Duration::ZERO..longest);
                self.reader.begins_at = Some(now + jitter);
            }
            return;
        }

        let since = *self.reader.displaced_at.get_or_insert(now);
        if now.since(since) >= OVERLAP_TIME {
            self.reader.begins_at = None;
        }
    }

    /// Calls the configuration service when a call is due.
    pub(super) fn call_service(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        let begins_at = self.reader.begins_at;
        let is_due = begins_at.is_some_and(|begins_at| now >= begins_at);
        if !is_due || self.reader.is_calling || now < self.reader.next_call_at {
            return;
        }

        self.reader.is_calling = true;
        self.reader.next_call_at = now + self.call_spacing();
        self.counters.service_calls += 1;
        if now >= self.reader.next_full_at {
            let jitter = self.generator.random_range(0.8..1.2);
            self.reader.next_full_at = now + FULL_READ_INTERVAL.mul_f64(jitter);
            effects.push(FleetEffect::ReadSections);
            return;
        }
        let after = self.reader.revision;
        effects.push(FleetEffect::WatchSections { after });
    }

    pub(super) fn take_reading(
        &mut self,
        now: time::Timestamp,
        reading: ServiceReading,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.reader.is_calling = false;
        self.reader.failures = 0;
        let is_stale = reading.revision < self.reader.revision;
        if is_stale {
            self.counters.stale_readings += 1;
        }
        self.reader.revision = self.reader.revision.max(reading.revision);

        for value in reading.sections {
            self.offer_service_value(now, value, effects);
        }
    }

    pub(super) fn fail_reading(&mut self, now: time::Timestamp) {
        self.reader.is_calling = false;
        self.reader.failures = self.reader.failures.saturating_add(1);
        self.counters.failed_readings += 1;

        let backoff = CALL_SPACING
            .saturating_mul(1 << self.reader.failures.min(8))
            .min(LONGEST_BACKOFF);
        let jitter = self.generator.random_range(0.5..1.0);
        let retry_at = now + backoff.mul_f64(jitter);
        self.reader.next_call_at = self.reader.next_call_at.max(retry_at);

        // What changed meanwhile is read as a whole.
        self.reader.next_full_at = now;
    }

    /// Reads the VM list when that is due.
    pub(super) fn call_vm_list(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        if self.role == FleetRole::Agent || self.vm_list.is_calling {
            return;
        }
        let Some(next_at) = self.vm_list.next_at else {
            let jitter = self.generator.random_range(Duration::ZERO..LIST_JITTER);
            self.vm_list.next_at = Some(now + jitter);
            return;
        };
        if now.max(next_at) == next_at && now != next_at {
            return;
        }

        self.vm_list.is_calling = true;
        self.counters.list_calls += 1;
        effects.push(FleetEffect::ReadVms);
    }

    pub(super) fn take_vms(
        &mut self,
        now: time::Timestamp,
        listing: &VmListing,
        effects: &mut Vec<FleetEffect>,
    ) {
        let seconds = listing.size.get() as f64 / LIST_BYTES_PER_S;
        self.vm_list.interval = LIST_INTERVAL.max(Duration::from_secs_f64(seconds));
        self.vm_list.is_calling = false;
        self.vm_list.read_at = Some(now);

        self.members.take_list(now, &listing.gateways);
        self.reader.forget_rank();
        self.check_rank(now);
        self.schedule_list(now);
        self.check_join(now, effects);
        self.maintain_links(now, effects);
        self.spread_departures(now, None, &listing.leaving, effects);
    }

    pub(super) fn fail_vms(&mut self, now: time::Timestamp) {
        self.vm_list.is_calling = false;
        let jitter = self.generator.random_range(0.5..1.5);
        self.vm_list.next_at = Some(now + LIST_RETRY.mul_f64(jitter));
    }

    /// Brings the next reading of the VM list forward when this gateway's part has changed.
    pub(super) fn schedule_list(&mut self, now: time::Timestamp) {
        let Some(read_at) = self.vm_list.read_at else {
            return;
        };
        let has_peers = self.members.zone_live().next().is_some();
        let is_lonely = !has_peers && self.members.listed_zone() > 1;
        let interval = match (self.reader.is_reading(), is_lonely) {
            (true, _) => self.vm_list.interval,
            (false, true) => LIST_SEARCH.max(self.vm_list.interval),
            (false, false) => LIST_REFRESH,
        };
        let jitter = self.generator.random_range(0.8..1.2);
        let next_at = read_at + interval.mul_f64(jitter);

        let planned = self.vm_list.next_at.filter(|planned| *planned > now);
        let is_later = planned.is_some_and(|planned| planned < next_at);
        if !is_later {
            self.vm_list.next_at = Some(next_at.max(now));
        }
    }

    fn is_ranked(&self) -> bool {
        if let Some(is_ranked) = self.reader.is_ranked {
            return is_ranked;
        }
        let is_serving = self.own.state == members::MemberState::Alive;
        if self.role == FleetRole::Agent || !is_serving || !self.vm_list.was_read() {
            return false;
        }

        let mut live: Vec<ids::ProcessId> = self
            .members
            .zone_live()
            .map(|record| record.process)
            .collect();
        live.push(self.own.process);
        let order = subset::reader_order(&self.own.zone, live);
        order
            .iter()
            .take(READERS_PER_ZONE)
            .any(|process| *process == self.own.process)
    }

    /// Returns the least time between two calls, longer when ranks can't be trusted.
    fn call_spacing(&self) -> Duration {
        let live = self.members.zone_live().count() + 1;
        let is_isolated = live * 2 < self.members.listed_zone();
        if !is_isolated {
            return CALL_SPACING;
        }

        let fleet = self.members.listed_fleet();
        if fleet == 0 {
            return UNKNOWN_SPACING;
        }
        let seconds = fleet as f64 / ISOLATED_CALLS_PER_S;
        CALL_SPACING.max(Duration::from_secs_f64(seconds))
    }
}
