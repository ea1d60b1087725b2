//! Start of a process: it asks its peers before it believes the configuration service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use crate::sections;

/// Answers of peers with sections that end the asking.
const REQUIRED_REPLIES: usize = 2;

/// Time after which answers without any section, as in a fleet that is started anew, are enough.
const EMPTY_REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a process believes the service although no listed peer has answered.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the newest version heard of is awaited by a process that has none.
const NEWEST_VERSION_TIMEOUT: Duration = Duration::from_secs(10);

/// How far a process is with asking its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinPhase {
    /// It asks; what the service says is kept aside.
    QueryingPeers,
    /// Its peers have answered, or it has none.
    Confirmed,
    /// No peer answered for a long time; the service may have been stale.
    Unconfirmed,
}

/// Progress of asking.
#[derive(Debug)]
pub(super) struct JoinState {
    pub(super) phase: JoinPhase,
    started_at: time::Timestamp,
    /// VMs whose gateways have answered.
    replies: BTreeSet<ids::VmName>,
    /// Those among them that had sections.
    replies_with_sections: BTreeSet<ids::VmName>,
    /// Values that are not in force yet, the newest of each section.
    deferred: BTreeMap<sections::SectionName, sections::SectionValue>,
}

impl JoinState {
    pub(super) const fn new(role: FleetRole, now: time::Timestamp) -> Self {
        // All that an agent gets comes from peers.
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
    /// Notes that a peer has told all its heads.
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

    /// Takes a value from the configuration service.
    pub(super) fn handle_service_value(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        match self.join.phase {
            // While peers are asked, the value does not count as seen: it may be old.
            JoinPhase::QueryingPeers => self.defer_value(value),
            JoinPhase::Confirmed | JoinPhase::Unconfirmed => self.offer_value(now, value, effects),
        }
    }

    /// Keeps a value for later, unless a newer one is kept.
    pub(super) fn defer_value(&mut self, value: sections::SectionValue) {
        let section = value.section.clone();
        let known = self.join.deferred.get(&section);
        if known.is_none_or(|known| known.head < value.head) {
            self.join.deferred.insert(section, value);
        }
    }

    /// Goes on from asking when enough is known, and puts in force what was kept aside.
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

    /// Says whether a newer version than `value` may yet come, while none is in force.
    fn should_await_newer(&self, now: time::Timestamp, value: &sections::SectionValue) -> bool {
        let Some(newest) = self.propagation.newest_versions.get(&value.section) else {
            return false;
        };
        let is_within_timeout = now.since(newest.since) < NEWEST_VERSION_TIMEOUT;
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
        let has_enough_empty_replies = age >= EMPTY_REPLY_TIMEOUT && replies >= required;
        if is_only_gateway || has_enough_replies || has_all_replies || has_enough_empty_replies {
            return JoinPhase::Confirmed;
        }

        match age >= REPLY_TIMEOUT {
            true => JoinPhase::Unconfirmed,
            false => JoinPhase::QueryingPeers,
        }
    }
}
