//! Start of a process: a gateway queries its peers before it accepts the responses of the
//! configuration service, which may be outdated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use crate::sections;

/// Number of peers whose replies with sections are enough to confirm the active versions.
const REQUIRED_REPLIES: usize = 2;

/// Time after which replies without sections, as in a newly started fleet, are enough too.
const EMPTY_REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a process accepts the responses of the service although too few peers have
/// replied.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a process without any version of a section waits for the newest known version.
const NEWEST_VERSION_TIMEOUT: Duration = Duration::from_secs(10);

/// Progress of a process in querying its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinPhase {
    /// The process queries its peers. Values from the configuration service are deferred.
    QueryingPeers,
    /// Enough peers have replied, or there are none.
    Confirmed,
    /// Too few peers replied in time. The values from the configuration service may be outdated.
    Unconfirmed,
}

/// State of the queries to peers.
#[derive(Debug)]
pub(super) struct JoinState {
    pub(super) phase: JoinPhase,
    started_at: time::Timestamp,
    /// VMs whose gateways have replied.
    replies: BTreeSet<ids::VmName>,
    /// VMs whose gateways have replied with at least one section.
    replies_with_sections: BTreeSet<ids::VmName>,
    /// Newest value of each section that is not validated yet.
    deferred: BTreeMap<sections::SectionName, sections::SectionValue>,
}

impl JoinState {
    pub(super) const fn new(role: FleetRole, now: time::Timestamp) -> Self {
        // Agents receive values only from peers, so they have nothing to confirm.
        let phase = match role {
            FleetRole::Gateway => JoinPhase::QueryingPeers,
            FleetRole::Agent => JoinPhase::Confirmed,
        };
        Self {
            phase,
            started_at: now,
            replies: BTreeSet::new(),
            replies_with_sections: BTreeSet::new(),
            deferred: BTreeMap::new(),
        }
    }
}

impl FleetReducer {
    /// Records that a peer has sent the heads of all its sections.
    pub(super) fn handle_peer_reply(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        heads: &[sections::SectionHead],
        effects: &mut Vec<FleetEffect>,
    ) {
        if self.join.phase == JoinPhase::Confirmed {
            return;
        }
        let peer = self.links.get(&link).and_then(|peer| peer.vm.clone());
        let Some(vm) = peer else {
            return;
        };
        if !heads.is_empty() {
            self.join.replies_with_sections.insert(vm.clone());
        }
        self.join.replies.insert(vm);
        self.advance_join(now, effects);
    }

    /// Handles a value from the configuration service.
    pub(super) fn handle_service_value(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        match self.join.phase {
            // The value may be outdated, so it is not recorded as seen while peers are queried.
            JoinPhase::QueryingPeers => self.defer_value(value),
            JoinPhase::Confirmed | JoinPhase::Unconfirmed => self.offer_value(now, value, effects),
        }
    }

    /// Defers a value unless a newer one of its section is deferred already.
    pub(super) fn defer_value(&mut self, value: sections::SectionValue) {
        let section = value.section.clone();
        let known = self.join.deferred.get(&section);
        if known.is_none_or(|known| known.head < value.head) {
            self.join.deferred.insert(section, value);
        }
    }

    /// Updates the join phase, and validates the deferred values once peers are no longer queried.
    pub(super) fn advance_join(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        self.join.phase = self.next_phase(now);
        if self.join.phase == JoinPhase::QueryingPeers || self.join.deferred.is_empty() {
            return;
        }

        let deferred = std::mem::take(&mut self.join.deferred);
        for value in deferred.into_values() {
            if self.should_await_newer(now, &value) {
                self.defer_value(value);
            } else {
                self.validate_value(now, value, effects);
            }
        }
    }

    /// Returns true if no version was accepted and a newer one than `value` may still arrive in
    /// time.
    fn should_await_newer(&self, now: time::Timestamp, value: &sections::SectionValue) -> bool {
        let Some(newest) = self.propagation.newest_versions.get(&value.section) else {
            return false;
        };
        let is_within_timeout = now.since(newest.first_seen_at) < NEWEST_VERSION_TIMEOUT;
        value.head < newest.head && is_within_timeout && !self.has_accepted(&value.section)
    }

    fn next_phase(&self, now: time::Timestamp) -> JoinPhase {
        match self.join.phase {
            JoinPhase::Confirmed => return JoinPhase::Confirmed,
            JoinPhase::QueryingPeers | JoinPhase::Unconfirmed => {}
        }

        let age = now.since(self.join.started_at);
        let other_gateways = self.members.len();
        let is_only_gateway = self.vm_list.was_read() && other_gateways == 0;
        let required = REQUIRED_REPLIES.min(other_gateways.max(1));
        let has_enough_replies = self.join.replies_with_sections.len() >= required;
        let replies = self.join.replies.len();
        let has_all_replies = self.vm_list.was_read() && replies >= other_gateways.max(1);
        let has_enough_after_timeout = age >= EMPTY_REPLY_TIMEOUT && replies >= required;
        if is_only_gateway || has_enough_replies || has_all_replies || has_enough_after_timeout {
            return JoinPhase::Confirmed;
        }

        match age >= REPLY_TIMEOUT {
            true => JoinPhase::Unconfirmed,
            false => JoinPhase::QueryingPeers,
        }
    }
}
