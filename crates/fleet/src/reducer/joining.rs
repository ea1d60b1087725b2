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
const ANSWERS_NEEDED: usize = 2;

/// Time after which answers without any section, as in a fleet that is started anew, are enough.
const EMPTY_PATIENCE: Duration = Duration::from_secs(5);

/// Time after which a process believes the service although no listed peer has answered.
const ANSWER_PATIENCE: Duration = Duration::from_secs(30);

/// Time for which the newest version heard of is awaited by a process that has none.
const FLOOR_PATIENCE: Duration = Duration::from_secs(10);

/// How far a process is with asking its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinPhase {
    /// It asks; what the service says is kept aside.
    Asking,
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
    answers: BTreeSet<ids::VmName>,
    /// Those among them that had sections.
    full_answers: BTreeSet<ids::VmName>,
    /// Values that are not in force yet, the newest of each section.
    aside: BTreeMap<sections::SectionName, sections::SectionValue>,
}

impl JoinState {
    pub(super) const fn new(role: FleetRole, now: time::Timestamp) -> Self {
        // All that an agent gets comes from peers.
        let phase = match role {
            FleetRole::Gateway => JoinPhase::Asking,
            FleetRole::Agent => JoinPhase::Confirmed,
        };
        Self {
            phase,
            started_at: now,
            answers: BTreeSet::new(),
            full_answers: BTreeSet::new(),
            aside: BTreeMap::new(),
        }
    }
}

impl FleetReducer {
    /// Notes that a peer has told all its heads.
    pub(super) fn take_answer(
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
            self.join.full_answers.insert(vm.clone());
        }
        self.join.answers.insert(vm);
        self.check_join(now, effects);
    }

    /// Takes a value from the configuration service.
    pub(super) fn offer_service_value(
        &mut self,
        now: time::Timestamp,
        value: sections::SectionValue,
        effects: &mut Vec<FleetEffect>,
    ) {
        match self.join.phase {
            // While peers are asked, the value does not count as seen: it may be old.
            JoinPhase::Asking => self.set_aside(value),
            JoinPhase::Confirmed | JoinPhase::Unconfirmed => self.offer(now, value, effects),
        }
    }

    /// Keeps a value for later, unless a newer one is kept.
    pub(super) fn set_aside(&mut self, value: sections::SectionValue) {
        let section = value.section.clone();
        let known = self.join.aside.get(&section);
        if known.is_none_or(|known| known.head < value.head) {
            self.join.aside.insert(section, value);
        }
    }

    /// Goes on from asking when enough is known, and puts in force what was kept aside.
    pub(super) fn check_join(&mut self, now: time::Timestamp, effects: &mut Vec<FleetEffect>) {
        self.join.phase = self.next_phase(now);
        if self.join.phase == JoinPhase::Asking || self.join.aside.is_empty() {
            return;
        }

        let aside = std::mem::take(&mut self.join.aside);
        for value in aside.into_values() {
            if self.is_awaited(now, &value) {
                self.set_aside(value);
            } else {
                self.check_value(now, value, effects);
            }
        }
    }

    /// Says whether a newer version than `value` may yet come, while none is in force.
    fn is_awaited(&self, now: time::Timestamp, value: &sections::SectionValue) -> bool {
        let Some(floor) = self.spread.floors.get(&value.section) else {
            return false;
        };
        let is_patient = now.since(floor.since) < FLOOR_PATIENCE;
        value.head < floor.head && is_patient && !self.has_accepted(&value.section)
    }

    fn next_phase(&self, now: time::Timestamp) -> JoinPhase {
        match self.join.phase {
            JoinPhase::Confirmed => return JoinPhase::Confirmed,
            JoinPhase::Asking | JoinPhase::Unconfirmed => {}
        }

        let age = now.since(self.join.started_at);
        let others = self.members.len();
        let is_alone = self.vm_list.was_read() && others == 0;
        let needed = ANSWERS_NEEDED.min(others.max(1));
        let has_answers = self.join.full_answers.len() >= needed;
        let answers = self.join.answers.len();
        let has_all_answers = self.vm_list.was_read() && answers >= others.max(1);
        let has_empty_answers = age >= EMPTY_PATIENCE && answers >= needed;
        if is_alone || has_answers || has_all_answers || has_empty_answers {
            return JoinPhase::Confirmed;
        }

        match age >= ANSWER_PATIENCE {
            true => JoinPhase::Unconfirmed,
            false => JoinPhase::Asking,
        }
    }
}
