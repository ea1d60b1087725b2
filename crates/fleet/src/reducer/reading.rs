//! Reads of the configuration service and the VM list: which gateways read, and how often.

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

/// Number of gateways of a zone that read the configuration service on behalf of the zone.
const READERS_PER_ZONE: usize = 3;

/// Longest delay before a newly selected reader starts, per gateway of its zone.
const START_JITTER_PER_GATEWAY: Duration = Duration::from_millis(20);

/// Longest delay before a newly selected reader starts, in a zone of any size.
const MAX_START_JITTER: Duration = Duration::from_secs(1);

/// Time for which a reader continues after other gateways were selected in its place.
const HANDOVER_OVERLAP: Duration = Duration::from_secs(5);

/// Shortest interval between calls of one reader to the configuration service.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Calls per second of all gateways together if each sees too little of its zone to rely on the
/// selection of readers.
const ISOLATED_CALLS_PER_S: f64 = 1_000.0;

/// Interval between calls of an isolated gateway that does not know the size of the fleet.
const UNKNOWN_FLEET_CALL_INTERVAL: Duration = Duration::from_secs(10);

/// Longest delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Interval between reads of all sections, in case a watch missed a change.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Shortest interval between reads of the VM list by one reader.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Average rate at which a reader fetches the VM list, in bytes per second.
const LIST_BYTES_PER_S: f64 = 8_000.0;

/// Interval between reads of the VM list by a gateway that is not a reader.
const NON_READER_LIST_INTERVAL: Duration = Duration::from_secs(1_800);

/// Interval between reads of the VM list by a gateway that knows no serving peer although the list
/// names some.
const ISOLATED_LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Delay after a failed read of the VM list, before jitter.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Longest delay before the first read of the VM list.
const MAX_FIRST_LIST_DELAY: Duration = Duration::from_millis(500);

/// State of this gateway as a reader of the configuration service.
#[derive(Debug, Default)]
pub(super) struct ReaderState {
    /// Time at which the gateway starts to read; `None` if it is not a reader.
    starts_at: Option<time::Timestamp>,
    /// Time since which the gateway is no longer selected.
    displaced_since: Option<time::Timestamp>,
    /// Whether the gateway is selected as a reader; `None` after a change of members.
    is_selected: Option<bool>,
    is_call_pending: bool,
    next_call_at: time::Timestamp,
    next_full_read_at: time::Timestamp,
    failures: u32,
    revision: ServiceRevision,
}

impl ReaderState {
    /// Makes the selection be computed again at the next use.
    pub(super) const fn invalidate_selection(&mut self) {
        self.is_selected = None;
    }

    pub(super) const fn is_reading(&self) -> bool {
        self.starts_at.is_some()
    }
}

/// State of the reads of the VM list.
#[derive(Debug, Default)]
pub(super) struct VmListState {
    next_read_at: Option<time::Timestamp>,
    read_at: Option<time::Timestamp>,
    interval: Duration,
    is_call_pending: bool,
}

impl VmListState {
    pub(super) const fn was_read(&self) -> bool {
        self.read_at.is_some()
    }
}

impl FleetReducer {
    /// Starts or stops reading, depending on whether this gateway is among the selected readers of
    /// its zone.
    pub(super) fn update_reader_role(&mut self, now: time::Timestamp) {
        let is_selected = self.is_selected_reader();
        self.reader.is_selected = Some(is_selected);
        if is_selected {
            self.reader.displaced_since = None;
            if self.reader.starts_at.is_none() {
                let gateways = u32::try_from(self.members.listed_in_zone()).unwrap_or(u32::MAX);
                let max_jitter = START_JITTER_PER_GATEWAY
                    .saturating_mul(gateways.max(1))
                    .min(MAX_START_JITTER);
                let jitter = self.generator.random_range(Duration::ZERO..max_jitter);
                self.reader.starts_at = Some(now + jitter);
            }
            return;
        }

        let displaced_since = *self.reader.displaced_since.get_or_insert(now);
        if now.since(displaced_since) >= HANDOVER_OVERLAP {
            self.reader.starts_at = None;
        }
    }

    /// Calls the configuration service if a call is due.
    pub(super) fn call_service(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        let starts_at = self.reader.starts_at;
        let is_due = starts_at.is_some_and(|starts_at| now >= starts_at);
        if !is_due || self.reader.is_call_pending || now < self.reader.next_call_at {
            return;
        }

        self.reader.is_call_pending = true;
        self.reader.next_call_at = now + self.call_interval();
        self.counters.service_calls += 1;
        if now >= self.reader.next_full_read_at {
            let jitter = self.generator.random_range(0.8..1.2);
            self.reader.next_full_read_at = now + FULL_READ_INTERVAL.mul_f64(jitter);
            effects.push(FleetEffect::ReadSections);
            return;
        }
        let after = self.reader.revision;
        effects.push(FleetEffect::WatchSections { after });
    }

    pub(super) fn handle_sections_read(
        &mut self,
        now: time::Timestamp,
        reading: ServiceReading,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.reader.is_call_pending = false;
        self.reader.failures = 0;
        let is_stale = reading.revision < self.reader.revision;
        if is_stale {
            self.counters.stale_readings += 1;
        }
        self.reader.revision = self.reader.revision.max(reading.revision);

        for value in reading.sections {
            self.handle_service_value(now, value, effects);
        }
    }

    pub(super) fn handle_section_read_failed(&mut self, now: time::Timestamp) {
        self.reader.is_call_pending = false;
        self.reader.failures = self.reader.failures.saturating_add(1);
        self.counters.failed_readings += 1;

        let backoff = MIN_CALL_INTERVAL
            .saturating_mul(1 << self.reader.failures.min(8))
            .min(MAX_BACKOFF);
        let jitter = self.generator.random_range(0.5..1.0);
        let retry_at = now + backoff.mul_f64(jitter);
        self.reader.next_call_at = self.reader.next_call_at.max(retry_at);

        // A full read covers everything that changed in the meantime.
        self.reader.next_full_read_at = now;
    }

    /// Reads the VM list if a read is due.
    pub(super) fn read_vm_list(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        if self.role == FleetRole::Agent || self.vm_list.is_call_pending {
            return;
        }
        let Some(next_read_at) = self.vm_list.next_read_at else {
            let jitter = self
                .generator
                .random_range(Duration::ZERO..MAX_FIRST_LIST_DELAY);
            self.vm_list.next_read_at = Some(now + jitter);
            return;
        };
        if now.max(next_read_at) == next_read_at && now != next_read_at {
            return;
        }

        self.vm_list.is_call_pending = true;
        self.counters.vm_list_reads += 1;
        effects.push(FleetEffect::ReadVmList);
    }

    pub(super) fn handle_vm_list(
        &mut self,
        now: time::Timestamp,
        listing: &VmListing,
        effects: &mut Vec<FleetEffect>,
    ) {
        let seconds = listing.size.get() as f64 / LIST_BYTES_PER_S;
        self.vm_list.interval = MIN_LIST_INTERVAL.max(Duration::from_secs_f64(seconds));
        self.vm_list.is_call_pending = false;
        self.vm_list.read_at = Some(now);

        self.members.apply_list(now, &listing.gateways);
        self.reader.invalidate_selection();
        self.update_reader_role(now);
        self.schedule_vm_list(now);
        self.advance_join(now, effects);
        self.maintain_links(now, effects);
        self.propagate_departures(now, None, &listing.leaving, effects);
    }

    pub(super) fn handle_vm_list_failed(&mut self, now: time::Timestamp) {
        self.vm_list.is_call_pending = false;
        let jitter = self.generator.random_range(0.5..1.5);
        self.vm_list.next_read_at = Some(now + LIST_RETRY_DELAY.mul_f64(jitter));
    }

    /// Schedules the next read of the VM list by the current role of this gateway. Never postpones
    /// a read that is scheduled.
    pub(super) fn schedule_vm_list(&mut self, now: time::Timestamp) {
        let Some(read_at) = self.vm_list.read_at else {
            return;
        };
        let has_peers = self.members.serving_in_zone().next().is_some();
        let is_isolated = !has_peers && self.members.listed_in_zone() > 1;
        let interval = match (self.reader.is_reading(), is_isolated) {
            (true, _) => self.vm_list.interval,
            (false, true) => ISOLATED_LIST_INTERVAL.max(self.vm_list.interval),
            (false, false) => NON_READER_LIST_INTERVAL,
        };
        let jitter = self.generator.random_range(0.8..1.2);
        let next_read_at = read_at + interval.mul_f64(jitter);

        let scheduled = self
            .vm_list
            .next_read_at
            .filter(|scheduled| *scheduled > now);
        let is_scheduled_earlier = scheduled.is_some_and(|scheduled| scheduled < next_read_at);
        if !is_scheduled_earlier {
            self.vm_list.next_read_at = Some(next_read_at.max(now));
        }
    }

    /// Returns true if this gateway is among the selected readers of its zone. Gateways that are
    /// leaving or have not read the VM list yet are never selected.
    fn is_selected_reader(&self) -> bool {
        if let Some(is_selected) = self.reader.is_selected {
            return is_selected;
        }
        let is_serving = self.own_record.state == members::MemberState::Alive;
        if self.role == FleetRole::Agent || !is_serving || !self.vm_list.was_read() {
            return false;
        }

        let mut processes: Vec<ids::ProcessId> = self
            .members
            .serving_in_zone()
            .map(|record| record.process)
            .collect();
        processes.push(self.own_record.process);
        let order = subset::reader_order(&self.own_record.zone, processes);
        order
            .iter()
            .take(READERS_PER_ZONE)
            .any(|process| *process == self.own_record.process)
    }

    /// Returns the shortest interval between calls, which is longer if this gateway sees less than
    /// half of its zone, as then many gateways may select themselves.
    fn call_interval(&self) -> Duration {
        let serving = self.members.serving_in_zone().count() + 1;
        let is_isolated = serving * 2 < self.members.listed_in_zone();
        if !is_isolated {
            return MIN_CALL_INTERVAL;
        }

        let fleet = self.members.listed_in_fleet();
        if fleet == 0 {
            return UNKNOWN_FLEET_CALL_INTERVAL;
        }
        let seconds = fleet as f64 / ISOLATED_CALLS_PER_S;
        MIN_CALL_INTERVAL.max(Duration::from_secs_f64(seconds))
    }
}
