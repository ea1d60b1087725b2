//! The reducer over all events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;

use super::AttemptResult;
use super::CallDemand;
use super::CallPlacement;
use super::DispatchEffect;
use super::DispatchEvent;
use super::LoadCount;
use super::PeerLoad;
use super::RefusedRecord;
use super::RoomClaim;
use super::calls;
use super::claims;
use super::copies;
use super::load;
use super::place;
use super::queue;
use super::returns;
use super::targets;
use crate::directory;
use crate::membership;

/// What the dispatcher is started with.
pub struct DispatchSettings {
    /// VM of this process.
    pub vm: ids::VmName,
    /// Availability zone of this process.
    pub zone: ids::ZoneName,
    /// Place of this process among the cells of the fleet.
    pub position: membership::CellPosition,
    /// Holds requests that crash targets.
    pub quarantine: Box<dyn quarantine::QuarantinePolicy>,
}

/// Decides for all calls of one process.
pub struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) targets: BTreeMap<ids::TargetName, targets::TargetEntry>,
    pub(super) placed: BTreeMap<ids::CallId, calls::PlacedCall>,
    pub(super) waiting: queue::WaitingCalls,
    /// Streams sent to targets, by service.
    pub(super) starts: BTreeMap<ids::ServiceName, load::DecayingRate>,
    pub(super) refused: returns::RefusedCalls,
    pub(super) claims: claims::PendingClaims,
    /// Targets that had no room of late, and until when they are left alone.
    pub(super) denials: BTreeMap<ids::TargetName, time::Timestamp>,
    pub(super) prompts: load::PromptRates,
    depth: membership::CellDepth,
    pub(super) peers: load::PeerLoads,
    pub(super) changed: BTreeSet<ids::TargetName>,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no target.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            targets: BTreeMap::new(),
            placed: BTreeMap::new(),
            waiting: queue::WaitingCalls::default(),
            starts: BTreeMap::new(),
            refused: returns::RefusedCalls::default(),
            claims: claims::PendingClaims::default(),
            denials: BTreeMap::new(),
            prompts: load::PromptRates::default(),
            depth: membership::CellDepth::default(),
            peers: load::PeerLoads::default(),
            changed: BTreeSet::new(),
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: time::Timestamp, event: DispatchEvent) -> Vec<DispatchEffect> {
        let mut effects = Vec::new();
        match event {
            DispatchEvent::Arrived { call, demand } => self.arrive(now, call, demand, &mut effects),
            DispatchEvent::Started { call } => {
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.has_started = true;
                    self.changed.insert(placed.target.key.name.clone());
                }
            }
            DispatchEvent::Progressed { call, events } => {
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.events = events;
                }
            }
            DispatchEvent::Released { call, result } => {
                self.release(now, call, result);
                self.serve_waiting(now, &mut effects);
            }
            DispatchEvent::Ended { call } => {
                self.waiting.remove(call);
                self.claims.remove(call);
                if let Some(placed) = self.placed.remove(&call) {
                    self.note_left(&placed);
                }
                self.serve_waiting(now, &mut effects);
            }
            DispatchEvent::ShelterWanted { call, tried } => {
                self.shelter(now, call, tried, &mut effects);
            }
            DispatchEvent::Moved { call, target } => {
                self.move_call(now, call, target, &mut effects);
            }
            DispatchEvent::MoveFailed { call, target } => {
                self.claims.remove(call);
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.target = target;
                    placed.copy = None;
                }
            }
            DispatchEvent::Targets(changes) => {
                for change in changes {
                    self.change_target(change, &mut effects);
                }
                self.serve_waiting(now, &mut effects);
            }
            DispatchEvent::PeerLoads { peer, loads } => self.peers.put(peer, loads),
            DispatchEvent::PeerChanged { peer, loads } => {
                self.peers.update(&peer, loads);
                self.serve_waiting(now, &mut effects);
            }
            DispatchEvent::ClaimHeard { peer, message } => {
                self.take_claim_message(now, peer, message, &mut effects);
            }
            DispatchEvent::PeerLost { peer } => self.peers.remove(&peer),
            DispatchEvent::Resized(depth) => self.depth = depth,
            DispatchEvent::Stopping => self.refuse_streams(now, &mut effects),
            DispatchEvent::Tick => {
                self.review_trust(now, &mut effects);
                self.prompts.forget(now);
                self.refused.forget(now);
                self.expire_claims(now, &mut effects);
                self.serve_waiting(now, &mut effects);
                self.refuse_overdue(now, &mut effects);
            }
        }
        effects
    }

    /// Returns what this process has at targets where that changed in a way that peers should
    /// know at once, so that they do not all send their next stream to the same target.
    pub fn take_changed(&mut self, now: time::Timestamp) -> Vec<PeerLoad> {
        if self.changed.is_empty() {
            return Vec::new();
        }
        let loads = self.told_loads(now);
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|target| PeerLoad {
                load: loads.get(&target).copied().unwrap_or_default(),
                target,
            })
            .collect()
    }

    /// Returns what this process has at each target, as peers are told.
    pub fn loads(&self, now: time::Timestamp) -> Vec<PeerLoad> {
        self.told_loads(now)
            .into_iter()
            .map(|(target, load)| PeerLoad { target, load })
            .collect()
    }

    /// Returns the requests that crashed targets.
    pub fn suspects(&self, now: time::Timestamp) -> Vec<quarantine::SuspectRecord> {
        self.settings.quarantine.records(now)
    }

    /// Takes a request that crashed targets of a peer.
    pub fn merge_suspect(&mut self, now: time::Timestamp, record: &quarantine::SuspectRecord) {
        self.settings.quarantine.merge(now, record);
    }

    /// Notes that a target crashed while it ran a request.
    pub fn record_crash(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        attempt: ids::AttemptId,
    ) {
        self.settings
            .quarantine
            .record_crash(now, fingerprint, attempt);
    }

    /// Returns the requests that this process refused after the first `told` ones, and the number
    /// of all.
    pub fn refused_after(&self, now: time::Timestamp, told: u64) -> (Vec<RefusedRecord>, u64) {
        self.refused.records_after(now, told)
    }

    /// Takes a request that a peer refused.
    pub fn merge_refused(&mut self, now: time::Timestamp, record: &RefusedRecord) {
        self.refused.merge(now, record);
    }

    /// Says whether a call waits for a target with room.
    pub fn is_waiting(&self, call: ids::CallId) -> bool {
        self.waiting.get(call).is_some()
    }

    /// Returns the numbers of waiting and placed calls.
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.placed.len())
    }

    /// Starts waiting calls for which there is room.
    pub(super) fn serve_waiting(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let order = self.waiting.in_order(now);
        let mut rest = &order[..];
        while let Some((index, target, present)) = self.find_start(now, rest) {
            let call = rest[index];
            rest = &rest[index + 1..];
            if let Some(demand) = self.waiting.remove(call) {
                self.start(now, call, *demand, target, present, effects);
            }
        }
    }

    /// Returns the first of these calls for which a target has room, with the target and its load.
    /// All of them are judged by one look at the targets, as most find no room.
    fn find_start(
        &self,
        now: time::Timestamp,
        calls: &[ids::CallId],
    ) -> Option<(usize, Rc<directory::TargetRecord>, LoadCount)> {
        if calls.is_empty() {
            return None;
        }
        let loads = self.own_loads(now);
        let mut candidates = BTreeMap::new();
        calls.iter().enumerate().find_map(|(index, call)| {
            let demand = self.waiting.get(*call)?;
            let candidates = candidates
                .entry(&demand.service)
                .or_insert_with(|| self.candidates(now, &loads, &demand.service));
            let (target, present) = place::choose(now, &self.settings.zone, demand, candidates)?;
            Some((index, target, present))
        })
    }

    /// Sends a call to a target that has room by what this process knows: a stream once its arbiter
    /// agrees, other calls at once.
    fn start(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        demand: CallDemand,
        target: Rc<directory::TargetRecord>,
        present: LoadCount,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let load = calls::start_load(&demand);
        let bound = place::start_bound(now, &demand, &target);
        let placed = calls::PlacedCall {
            demand: Box::new(demand),
            target: Rc::clone(&target),
            copy: None,
            placed_at: now,
            present,
            has_started: false,
            events: 0,
        };
        self.placed.insert(call, placed);
        let Some(bound) = bound else {
            let placement = CallPlacement {
                target,
                copy_to: None,
                load: present,
            };
            return effects.push(DispatchEffect::Place { call, placement });
        };
        let claim = RoomClaim {
            target: target.key.clone(),
            load,
            bound,
        };
        let purpose = claims::ClaimPurpose::Start;
        let pending = claims::PendingClaim::new(now, target, purpose);
        self.claim(now, call, claim, pending, effects);
    }

    /// Chooses a target for a copy of a placed call, and counts it there.
    pub(super) fn assign_copy(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
    ) -> Option<Rc<directory::TargetRecord>> {
        let placed = self.placed.get(&call)?;
        if !copies::is_worth_copy(&placed.demand) {
            return None;
        }
        let loads = self.own_loads(now);
        let candidates = self.candidates(now, &loads, &placed.demand.service);
        let copy = copies::choose_copy(&placed.demand, &placed.target, &candidates);
        if let Some(copy) = &copy {
            self.changed.insert(copy.key.name.clone());
        }
        self.placed.get_mut(&call)?.copy.clone_from(&copy);
        copy
    }

    /// Finds a target to which a call's memory can be moved, and claims the room there.
    pub(super) fn shelter(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        tried: Vec<ids::TargetName>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.claims.remove(call);
        let copy = self.choose_shelter(now, call, &tried);
        let Some((claim, target)) = copy else {
            let target = None;
            return effects.push(DispatchEffect::Shelter { call, target });
        };
        if let Some(placed) = self.placed.get_mut(&call) {
            placed.copy = Some(Rc::clone(&target));
        }
        let purpose = claims::ClaimPurpose::Shelter { tried };
        let pending = claims::PendingClaim::new(now, target, purpose);
        self.claim(now, call, claim, pending, effects);
    }

    fn choose_shelter(
        &self,
        now: time::Timestamp,
        call: ids::CallId,
        tried: &[ids::TargetName],
    ) -> Option<(RoomClaim, Rc<directory::TargetRecord>)> {
        let loads = self.own_loads(now);
        let placed = self.placed.get(&call)?;
        let engine = placed.demand.engine.as_ref()?;
        let mut candidates = self.candidates(now, &loads, &placed.demand.service);
        candidates.retain(|candidate| !tried.contains(&candidate.record.key.name));
        let tokens = placed.used();
        let target = copies::choose_shelter(&placed.demand, tokens, &placed.target, &candidates)?;
        let claim = RoomClaim {
            target: target.key.clone(),
            load: placed.copy_load(),
            bound: copies::shelter_bound(engine, &target),
        };
        Some((claim, target))
    }

    /// Tells peers at once of the room that a stream leaves behind, as their calls wait for it.
    fn note_left(&mut self, placed: &calls::PlacedCall) {
        if placed.demand.engine.is_some() {
            self.changed.insert(placed.target.key.name.clone());
            let copy = placed.copy.as_ref();
            self.changed.extend(copy.map(|copy| copy.key.name.clone()));
        }
    }

    /// Makes another target the one that runs the call, and chooses the next copy.
    fn move_call(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        target: Rc<directory::TargetRecord>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.claims.remove(call);
        let Some(placed) = self.placed.get_mut(&call) else {
            return;
        };
        placed.copy = None;
        let former = std::mem::replace(&mut placed.target, Rc::clone(&target));
        self.changed.insert(former.key.name.clone());
        self.changed.insert(target.key.name.clone());
        let copy_to = self.assign_copy(now, call);
        let load = self.peers.sum(&target.key.name);
        let placement = CallPlacement {
            target,
            copy_to,
            load,
        };
        effects.push(DispatchEffect::Place { call, placement });
    }

    fn release(&mut self, now: time::Timestamp, call: ids::CallId, result: AttemptResult) {
        self.claims.remove(call);
        let Some(placed) = self.placed.remove(&call) else {
            return;
        };
        self.note_left(&placed);
        if let Some(entry) = self.targets.get_mut(&placed.target.key.name)
            && entry.record.key == placed.target.key
        {
            entry.doubt.record(now, result);
        }
    }

    /// Returns the targets of a service that take work, with the load of all processes.
    fn candidates(
        &self,
        now: time::Timestamp,
        loads: &BTreeMap<ids::TargetName, LoadCount>,
        service: &ids::ServiceName,
    ) -> Vec<place::CandidateTarget<'_>> {
        let is_near = |entry: &targets::TargetEntry| {
            self.depth
                .is_same_cell(self.settings.position, entry.position)
        };
        targets::usable(&self.targets, now, service, is_near)
            .into_iter()
            .filter(|(name, _)| self.denials.get(*name).is_none_or(|until| *until <= now))
            .map(|(name, entry)| {
                let mut load = self.peers.sum(name);
                load += loads.get(name).copied().unwrap_or_default();
                place::CandidateTarget {
                    record: &entry.record,
                    load,
                    doubt: &entry.doubt,
                }
            })
            .collect()
    }

    /// Returns the load of this process, with what it has claimed.
    pub(super) fn own_loads(&self, now: time::Timestamp) -> BTreeMap<ids::TargetName, LoadCount> {
        self.sum_loads(now, |_| true)
    }

    /// Returns the load that peers are told. Arbiters count a claim when they grant it, so that
    /// it must not be told before.
    fn told_loads(&self, now: time::Timestamp) -> BTreeMap<ids::TargetName, LoadCount> {
        self.sum_loads(now, |claim| !claim)
    }

    fn sum_loads(
        &self,
        now: time::Timestamp,
        is_counted: impl Fn(bool) -> bool,
    ) -> BTreeMap<ids::TargetName, LoadCount> {
        let mut loads: BTreeMap<ids::TargetName, LoadCount> = BTreeMap::new();
        for (call, placed) in &self.placed {
            let claim = self.claims.get(*call);
            let is_claim = |purpose: fn(&claims::ClaimPurpose) -> bool| claim.is_some_and(purpose);
            if is_counted(is_claim(claims::ClaimPurpose::is_start)) {
                *loads.entry(placed.target.key.name.clone()).or_default() += placed.load();
            }
            if let Some(copy) = &placed.copy
                && is_counted(is_claim(claims::ClaimPurpose::is_shelter))
            {
                *loads.entry(copy.key.name.clone()).or_default() += placed.copy_load();
            }
        }
        for (name, rate) in self.prompts.per_second(now) {
            loads.entry(name.clone()).or_default().prompt_rate += rate;
        }
        loads
    }
}
