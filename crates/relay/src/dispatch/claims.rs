//! Claims of room at engines, so that processes do not all take the same room.
//!
//! Each engine has an arbiter: one of the processes of the cell, which all of them work out alike
//! from their names. A process sends a stream only once the arbiter has counted it, as news of a
//! placement reach the others too late for those that decide at the same moment. No state depends
//! on an arbiter: when it does not answer, a process goes by the loads that it knows itself.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use super::CallPlacement;
use super::DispatchEffect;
use super::Dispatcher;
use super::LoadCount;
use crate::directory;
use crate::membership;

/// Time for which an answer is awaited: a dozen round trips between availability zones, so that
/// only an arbiter that is gone or stands still misses it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a target that had no room is left alone: at its usual rate one stream ends there
/// meanwhile.
const DENIAL_TIME: Duration = Duration::from_millis(100);

/// How full a target may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomBound {
    /// Calls and copies, with the new one.
    #[serde(rename = "c")]
    pub places: u32,
    /// Tokens of memory that are expected to be needed, with the new call.
    #[serde(rename = "f")]
    pub forecast: u64,
    /// Tokens of memory in use, with the new call.
    #[serde(rename = "u")]
    pub used: u64,
    /// Prompt tokens that wait ahead of the new call.
    #[serde(rename = "b")]
    pub backlog: u64,
}

impl RoomBound {
    /// Says whether a call that adds `added` fits beside what is there.
    pub fn has_room(&self, present: LoadCount, added: LoadCount) -> bool {
        let mut sum = present;
        sum += added;
        sum.calls.saturating_add(sum.copies) <= self.places
            && sum.forecast <= self.forecast
            && sum.used <= self.used
            && present.backlog <= self.backlog
    }
}

/// Room that a process wants at a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomClaim {
    /// The target.
    #[serde(rename = "t")]
    pub target: directory::TargetKey,
    /// What the call adds to its load.
    #[serde(rename = "l")]
    pub load: LoadCount,
    /// How full it may be then.
    #[serde(rename = "m")]
    pub bound: RoomBound,
}

/// What processes tell each other of claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Asks the arbiter for room.
    #[serde(rename = "a")]
    Asked {
        /// The call, as the process that asks counts it.
        #[serde(rename = "c")]
        call: ids::CallId,
        /// What it wants.
        #[serde(rename = "w")]
        claim: RoomClaim,
    },
    /// The arbiter's answer.
    #[serde(rename = "r")]
    Answered {
        /// The call of the process that asked.
        #[serde(rename = "c")]
        call: ids::CallId,
        /// Target that was claimed.
        #[serde(rename = "t")]
        target: directory::TargetKey,
        /// Whether it has room.
        #[serde(rename = "g")]
        is_granted: bool,
    },
}

/// What a call wants room for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ClaimPurpose {
    /// To be sent there.
    Start,
    /// To move its memory there; these targets had none.
    Shelter { tried: Vec<ids::TargetName> },
}

impl ClaimPurpose {
    pub(super) const fn is_start(&self) -> bool {
        matches!(self, Self::Start)
    }

    pub(super) const fn is_shelter(&self) -> bool {
        matches!(self, Self::Shelter { .. })
    }
}

/// A claim without an answer.
#[derive(Debug)]
pub(super) struct PendingClaim {
    target: Rc<directory::TargetRecord>,
    purpose: ClaimPurpose,
    asked_at: time::Timestamp,
}

impl Dispatcher {
    /// Takes room at a target for a placed call, or asks the target's arbiter for it.
    pub(super) fn claim(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        claim: RoomClaim,
        pending: PendingClaim,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(peer) = self.arbiter(&claim.target.name) else {
            return self.take_room(now, call, pending, effects);
        };
        self.claims.insert(call, pending);
        effects.push(DispatchEffect::Tell {
            peer,
            message: ClaimMessage::Asked { call, claim },
        });
    }

    /// Returns the peer that decides on claims of a target; `None` when this process does.
    fn arbiter(&self, target: &ids::TargetName) -> Option<ids::VmName> {
        let rank = |vm: &ids::VmName| membership::CellPosition::of(&format!("{vm}-{target}"));
        let own = (rank(&self.settings.vm), &self.settings.vm);
        self.peers
            .names()
            .map(|vm| (rank(vm), vm))
            .max()
            .filter(|peer| *peer > own)
            .map(|(_, vm)| vm.clone())
    }

    pub(super) fn take_claim_message(
        &mut self,
        now: time::Timestamp,
        peer: ids::VmName,
        message: ClaimMessage,
        effects: &mut Vec<DispatchEffect>,
    ) {
        match message {
            ClaimMessage::Asked { call, claim } => {
                let is_granted = self.decide_claim(now, &peer, &claim);
                let message = ClaimMessage::Answered {
                    call,
                    target: claim.target,
                    is_granted,
                };
                effects.push(DispatchEffect::Tell { peer, message });
            }
            ClaimMessage::Answered {
                call,
                target,
                is_granted,
            } => {
                let Some(pending) = self
                    .claims
                    .remove_if(call, |pending| pending.target.key == target)
                else {
                    return;
                };
                match is_granted {
                    true => self.take_room(now, call, pending, effects),
                    false => self.claim_elsewhere(now, call, pending, effects),
                }
            }
        }
    }

    /// Decides as the arbiter of a target, and counts what it grants until the peer tells it.
    fn decide_claim(
        &mut self,
        now: time::Timestamp,
        peer: &ids::VmName,
        claim: &RoomClaim,
    ) -> bool {
        let name = &claim.target.name;
        let mut present = self.peers.sum(name);
        present += self.own_loads(now).remove(name).unwrap_or_default();
        let is_granted =
            self.takes_work(&claim.target) && claim.bound.has_room(present, claim.load);
        if is_granted {
            self.peers.add(peer, name, claim.load);
        }
        is_granted
    }

    /// Lets a call have the room that it claimed, unless the target leaves by now.
    fn take_room(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        pending: PendingClaim,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let target = &pending.target;
        if !self.takes_work(&target.key) {
            return self.claim_elsewhere(now, call, pending, effects);
        }
        self.changed.insert(target.key.name.clone());
        match pending.purpose {
            ClaimPurpose::Start => {
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.placed_at = now;
                    let prompt_tokens = placed.demand.prompt_tokens;
                    self.prompts.add(now, &target.key.name, prompt_tokens);
                    let service = placed.demand.service.clone();
                    self.count_start(now, service);
                }
                let copy_to = self.assign_copy(now, call);
                let load = self.placed.get(&call).map(|placed| placed.present);
                let placement = CallPlacement {
                    target: pending.target,
                    copy_to,
                    load: load.unwrap_or_default(),
                };
                effects.push(DispatchEffect::Place { call, placement });
            }
            ClaimPurpose::Shelter { .. } => {
                let target = Some(pending.target);
                effects.push(DispatchEffect::Shelter { call, target });
            }
        }
    }

    /// Looks for another target after the claimed one had no room.
    fn claim_elsewhere(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        pending: PendingClaim,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let name = pending.target.key.name.clone();
        self.denials.insert(name.clone(), now + DENIAL_TIME);
        match pending.purpose {
            ClaimPurpose::Start => {
                let Some(placed) = self.placed.remove(&call) else {
                    return;
                };
                self.waiting.insert(call, placed.demand);
                self.serve_waiting(now, effects);
                self.refuse_hopeless(now, call, effects);
            }
            ClaimPurpose::Shelter { mut tried } => {
                tried.push(name);
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.copy = None;
                }
                self.shelter(now, call, tried, effects);
            }
        }
    }

    /// Goes by its own knowledge where an arbiter does not answer.
    pub(super) fn expire_claims(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.denials.retain(|_, until| *until > now);
        for (call, pending) in self.claims.remove_overdue(now) {
            self.take_room(now, call, pending, effects);
        }
    }
}

impl PendingClaim {
    pub(super) fn new(
        now: time::Timestamp,
        target: Rc<directory::TargetRecord>,
        purpose: ClaimPurpose,
    ) -> Self {
        Self {
            target,
            purpose,
            asked_at: now,
        }
    }
}

/// Claims without an answer, by call.
#[derive(Debug, Default)]
pub(super) struct PendingClaims {
    claims: BTreeMap<ids::CallId, PendingClaim>,
}

impl PendingClaims {
    fn insert(&mut self, call: ids::CallId, pending: PendingClaim) {
        self.claims.insert(call, pending);
    }

    pub(super) fn remove(&mut self, call: ids::CallId) {
        self.claims.remove(&call);
    }

    /// Returns what a call has claimed room for.
    pub(super) fn get(&self, call: ids::CallId) -> Option<&ClaimPurpose> {
        self.claims.get(&call).map(|pending| &pending.purpose)
    }

    fn remove_if(
        &mut self,
        call: ids::CallId,
        condition: impl FnOnce(&PendingClaim) -> bool,
    ) -> Option<PendingClaim> {
        match self.claims.get(&call).is_some_and(condition) {
            true => self.claims.remove(&call),
            false => None,
        }
    }

    fn remove_overdue(&mut self, now: time::Timestamp) -> Vec<(ids::CallId, PendingClaim)> {
        let overdue = |_: &ids::CallId, pending: &mut PendingClaim| {
            now.since(pending.asked_at) >= ANSWER_TIMEOUT
        };
        self.claims.extract_if(.., overdue).collect()
    }
}
