//! Capacity reservations at engines, which keep relays from overcommitting the same engine.
//!
//! Each engine has an arbiter: one of the relays of the cell, which all of them derive from their
//! names. A relay sends a stream only after the arbiter has granted a reservation, as load updates
//! reach peers too late for decisions made at the same moment. No state depends on an arbiter: if
//! it does not reply, the relay falls back to the loads that it knows.

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
use super::TargetObstacle;
use crate::directory;
use crate::membership;

/// Time to wait for a reply: a dozen round trips between availability zones, so that only an
/// arbiter that is gone or stalled misses it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a target that denied a reservation is not used; at its usual rate one stream ends
/// there within this time.
const DENIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum load of a target after a call is added.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLimit {
    /// Calls and copies, including the new one.
    #[serde(rename = "c")]
    pub slots: u32,
    /// Tokens of memory that are expected to be needed, including the new call.
    #[serde(rename = "f")]
    pub forecast_tokens: u64,
    /// Tokens of memory in use, including the new call.
    #[serde(rename = "u")]
    pub used_tokens: u64,
    /// Prompt tokens that wait ahead of the new call.
    #[serde(rename = "b")]
    pub backlog_tokens: u64,
}

impl LoadLimit {
    /// Returns whether a call that adds `added_load` fits into the limit beside `present_load`.
    pub fn has_capacity(&self, present_load: LoadCount, added_load: LoadCount) -> bool {
        self.obstacle(present_load, added_load).is_none()
    }

    /// Returns what a call that adds `added_load` lacks beside `present_load`; `None` if it fits
    /// into the limit.
    pub(super) fn obstacle(
        &self,
        present_load: LoadCount,
        added_load: LoadCount,
    ) -> Option<TargetObstacle> {
        let mut total = present_load;
        total += added_load;
        if total.calls.saturating_add(total.copies) > self.slots {
            Some(TargetObstacle::NoSlot)
        } else if total.forecast_tokens > self.forecast_tokens
            || total.used_tokens > self.used_tokens
        {
            Some(TargetObstacle::NoMemory)
        } else if present_load.backlog_tokens > self.backlog_tokens {
            Some(TargetObstacle::PromptsWaiting)
        } else {
            None
        }
    }
}

/// Capacity that a relay requests at a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// Target at which capacity is requested.
    #[serde(rename = "t")]
    pub target: directory::TargetKey,
    /// Load that the call adds.
    #[serde(rename = "l")]
    pub load: LoadCount,
    /// Maximum load of the target with the call.
    #[serde(rename = "m")]
    pub limit: LoadLimit,
}

/// Messages that relays exchange about reservations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReservationMessage {
    /// Requests capacity from the arbiter.
    #[serde(rename = "a")]
    Requested {
        /// Call, as the requesting relay numbers it.
        #[serde(rename = "c")]
        call: ids::CallId,
        /// Requested capacity.
        #[serde(rename = "w")]
        claim: ReservationRequest,
    },
    /// Reply of the arbiter.
    #[serde(rename = "r")]
    Replied {
        /// Call of the requesting relay.
        #[serde(rename = "c")]
        call: ids::CallId,
        /// Target of the request.
        #[serde(rename = "t")]
        target: directory::TargetKey,
        /// Whether the capacity was granted.
        #[serde(rename = "g")]
        is_granted: bool,
    },
}

/// What a call requests capacity for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReservationPurpose {
    /// Running the call at the target.
    Start,
    /// Migrating the call's memory to the target; the targets in `tried` had no capacity.
    Migration { tried: Vec<ids::TargetName> },
}

impl ReservationPurpose {
    pub(super) const fn is_start(&self) -> bool {
        matches!(self, Self::Start)
    }

    pub(super) const fn is_migration(&self) -> bool {
        matches!(self, Self::Migration { .. })
    }
}

/// A reservation request without a reply.
#[derive(Debug, Clone)]
pub(super) struct PendingReservation {
    target: Rc<directory::TargetRecord>,
    purpose: ReservationPurpose,
    requested_at: time::Timestamp,
}

impl Dispatcher {
    /// Reserves capacity at a target for a placed call: immediately if this relay is the target's
    /// arbiter, otherwise by a request to the arbiter.
    pub(super) fn reserve(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        request: ReservationRequest,
        pending: PendingReservation,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(peer) = self.arbiter(&request.target.name) else {
            return self.handle_granted(now, call, pending, effects);
        };
        self.reservations.insert(call, pending);
        effects.push(DispatchEffect::Send {
            peer,
            message: ReservationMessage::Requested {
                call,
                claim: request,
            },
        });
    }

    /// Returns the targets of this relay's cell whose arbiter it is, without those that leave, have
    /// asked for a pause or are in an evacuated zone.
    pub fn arbitrated_targets(&self, now: time::Timestamp) -> Vec<Rc<directory::TargetRecord>> {
        let entries = self.targets.values().filter(|entry| {
            entry.takes_work() && entry.terms.paused_until <= now && self.is_in_cell(entry)
        });
        entries
            .filter(|entry| self.arbiter(&entry.record.key.name).is_none())
            .map(|entry| Rc::clone(&entry.record))
            .collect()
    }

    /// Returns the peer that is the arbiter of a target; `None` if it is this relay.
    fn arbiter(&self, target: &ids::TargetName) -> Option<ids::VmName> {
        let rank = |vm: &ids::VmName| membership::CellPosition::of(&format!("{vm}-{target}"));
        let own = (rank(&self.settings.vm), &self.settings.vm);
        self.peer_loads
            .peer_names()
            .map(|vm| (rank(vm), vm))
            .max()
            .filter(|peer| *peer > own)
            .map(|(_, vm)| vm.clone())
    }

    pub(super) fn handle_reservation_message(
        &mut self,
        now: time::Timestamp,
        peer: ids::VmName,
        message: ReservationMessage,
        effects: &mut Vec<DispatchEffect>,
    ) {
        match message {
            ReservationMessage::Requested {
                call,
                claim: request,
            } => {
                let is_granted = self.decide_reservation(now, &peer, &request);
                let message = ReservationMessage::Replied {
                    call,
                    target: request.target,
                    is_granted,
                };
                effects.push(DispatchEffect::Send { peer, message });
            }
            ReservationMessage::Replied {
                call,
                target,
                is_granted,
            } => {
                let Some(pending) = self
                    .reservations
                    .remove_if(call, |pending| pending.target.key == target)
                else {
                    return;
                };
                match is_granted {
                    true => self.handle_granted(now, call, pending, effects),
                    false => self.handle_denied(now, call, pending, effects),
                }
            }
        }
    }

    /// Decides on a request as the arbiter of a target, and counts granted load until the peer
    /// reports it.
    fn decide_reservation(
        &mut self,
        now: time::Timestamp,
        peer: &ids::VmName,
        request: &ReservationRequest,
    ) -> bool {
        let name = &request.target.name;
        let mut present_load = self.peer_loads.sum(name);
        present_load += self.local_loads(now).remove(name).unwrap_or_default();
        let is_granted = self.accepts_work(&request.target)
            && request.limit.has_capacity(present_load, request.load);
        if is_granted {
            self.peer_loads.add_reserved(peer, name, request.load);
        }
        is_granted
    }

    /// Uses the reserved capacity, unless the target no longer accepts work.
    fn handle_granted(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        pending: PendingReservation,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let target = &pending.target;
        if !self.accepts_work(&target.key) {
            return self.handle_denied(now, call, pending, effects);
        }
        self.changed_targets.insert(target.key.name.clone());
        match pending.purpose {
            ReservationPurpose::Start => {
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.placed_at = now;
                    placed.sent_at = now;
                    placed.heard_at = now;
                    let prompt_tokens = placed.demand.prompt_tokens;
                    self.prompt_rates.add(now, &target.key.name, prompt_tokens);
                    let service = placed.demand.service.clone();
                    self.record_start(now, service);
                }
                let copy_holder = self.assign_copy_holder(now, call);
                let load = self
                    .placed
                    .get(&call)
                    .map(|placed| placed.load_at_placement);
                let load = load.unwrap_or_default();
                let forecast = self.placement_forecast(call, &pending.target.key, load);
                let placement = CallPlacement {
                    target: pending.target,
                    copy_holder,
                    load,
                    forecast,
                };
                effects.push(DispatchEffect::Place { call, placement });
            }
            ReservationPurpose::Migration { .. } => {
                let target = Some(pending.target);
                effects.push(DispatchEffect::MigrationTarget { call, target });
            }
        }
    }

    /// Looks for another target after a request was denied or its target left.
    fn handle_denied(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        pending: PendingReservation,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let name = pending.target.key.name.clone();
        self.denied_until.insert(name.clone(), now + DENIAL_BACKOFF);
        match pending.purpose {
            ReservationPurpose::Start => {
                let Some(placed) = self.placed.remove(&call) else {
                    return;
                };
                self.withdraw_request(now, &placed.target.key, placed.placed_at);
                self.waiting.insert(call, placed.demand);
                self.place_waiting(now, effects);
                self.refuse_infeasible(now, call, effects);
            }
            ReservationPurpose::Migration { mut tried } => {
                tried.push(name);
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.copy_holder = None;
                }
                self.reserve_migration(now, call, tried, effects);
            }
        }
    }

    /// Removes expired denials, and proceeds as if granted where an arbiter did not reply in time,
    /// based on the loads that this relay knows.
    pub(super) fn expire_reservations(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.denied_until.retain(|_, until| *until > now);
        for (call, pending) in self.reservations.remove_overdue(now) {
            self.handle_granted(now, call, pending, effects);
        }
    }
}

impl PendingReservation {
    pub(super) fn new(
        now: time::Timestamp,
        target: Rc<directory::TargetRecord>,
        purpose: ReservationPurpose,
    ) -> Self {
        Self {
            target,
            purpose,
            requested_at: now,
        }
    }
}

/// Reservation requests without a reply, by call.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingReservations {
    reservations: BTreeMap<ids::CallId, PendingReservation>,
}

impl PendingReservations {
    fn insert(&mut self, call: ids::CallId, pending: PendingReservation) {
        self.reservations.insert(call, pending);
    }

    pub(super) fn remove(&mut self, call: ids::CallId) {
        self.reservations.remove(&call);
    }

    /// Returns what a call has requested capacity for.
    pub(super) fn purpose(&self, call: ids::CallId) -> Option<&ReservationPurpose> {
        self.reservations.get(&call).map(|pending| &pending.purpose)
    }

    fn remove_if(
        &mut self,
        call: ids::CallId,
        condition: impl FnOnce(&PendingReservation) -> bool,
    ) -> Option<PendingReservation> {
        match self.reservations.get(&call).is_some_and(condition) {
            true => self.reservations.remove(&call),
            false => None,
        }
    }

    fn remove_overdue(&mut self, now: time::Timestamp) -> Vec<(ids::CallId, PendingReservation)> {
        let overdue = |_: &ids::CallId, pending: &mut PendingReservation| {
            now.since(pending.requested_at) >= REPLY_TIMEOUT
        };
        self.reservations.extract_if(.., overdue).collect()
    }
}
