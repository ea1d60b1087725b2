//! The reducer that handles all dispatch events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::quarantine;

use super::AttemptResult;
use super::CallDemand;
use super::CallPlacement;
use super::DispatchEffect;
use super::DispatchEvent;
use super::LoadCount;
use super::PartSource;
use super::PeerLoad;
use super::PlacementForecast;
use super::RefusedRequest;
use super::ReservationRequest;
use super::calls;
use super::crashes;
use super::headroom;
use super::load;
use super::placement;
use super::prompt_crashes;
use super::queue;
use super::refused;
use super::reservations;
use super::speeds;
use super::targets;
use super::terms;
use crate::directory;
use crate::membership;

/// Settings with which a dispatcher is created.
pub struct DispatchSettings {
    /// VM of this relay.
    pub vm: ids::VmName,
    /// Availability zone of this relay.
    pub zone: ids::ZoneName,
    /// Position of this relay, which determines its cell.
    pub position: membership::CellPosition,
    /// Decides which requests are quarantined for crashing targets.
    pub quarantine: Box<dyn quarantine::QuarantinePolicy>,
    /// Decides which prompt parts are quarantined for crashing targets.
    pub prompt_parts: Box<dyn quarantine::PromptPartPolicy>,
}

/// Places all calls of one relay.
#[derive(Clone)]
pub struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) targets: BTreeMap<ids::TargetName, targets::TargetEntry>,
    pub(super) unlisted_terms: terms::UnlistedTerms,
    pub(super) evacuated_zones: BTreeSet<ids::ZoneName>,
    /// Limits on the requests to cold targets, by service.
    pub(super) cold_rules: BTreeMap<ids::ServiceName, directory::ColdRule>,
    pub(super) placed: BTreeMap<ids::CallId, calls::PlacedCall>,
    pub(super) waiting: queue::WaitingCalls,
    /// Rates of streams sent to targets, by service.
    pub(super) start_rates: BTreeMap<ids::ServiceName, load::DecayingRate>,
    pub(super) refused_requests: refused::RefusedRequests,
    pub(super) lost_attempts: crashes::LostAttempts,
    pub(super) recent_completions: prompt_crashes::RecentCompletions,
    pub(super) reservations: reservations::PendingReservations,
    /// Targets that recently denied a reservation, and the time until which they are not used.
    pub(super) denied_until: BTreeMap<ids::TargetName, time::Timestamp>,
    pub(super) prompt_rates: load::PromptRates,
    pub(super) urgent_streams: headroom::UrgentStreams,
    pub(super) cell_depth: membership::CellDepth,
    pub(super) peer_loads: load::PeerLoads,
    pub(super) speeds: speeds::SpeedTable,
    pub(super) changed_targets: BTreeSet<ids::TargetName>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no targets.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            targets: BTreeMap::new(),
            unlisted_terms: terms::UnlistedTerms::default(),
            evacuated_zones: BTreeSet::new(),
            cold_rules: BTreeMap::new(),
            placed: BTreeMap::new(),
            waiting: queue::WaitingCalls::default(),
            start_rates: BTreeMap::new(),
            refused_requests: refused::RefusedRequests::default(),
            lost_attempts: crashes::LostAttempts::default(),
            recent_completions: prompt_crashes::RecentCompletions::default(),
            reservations: reservations::PendingReservations::default(),
            denied_until: BTreeMap::new(),
            prompt_rates: load::PromptRates::default(),
            urgent_streams: headroom::UrgentStreams::default(),
            cell_depth: membership::CellDepth::default(),
            peer_loads: load::PeerLoads::default(),
            speeds: speeds::SpeedTable::default(),
            changed_targets: BTreeSet::new(),
        }
    }

    /// Handles an event and returns the effects to execute, in order.
    pub fn handle(&mut self, now: time::Timestamp, event: DispatchEvent) -> Vec<DispatchEffect> {
        let mut effects = Vec::new();
        match event {
            DispatchEvent::Arrived { call, demand } => {
                self.handle_arrival(now, call, demand, &mut effects)
            }
            DispatchEvent::Started { call } => {
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.has_started = true;
                    placed.heard_at = now;
                    self.changed_targets.insert(placed.target.key.name.clone());
                }
                self.observe_first_event(now, call);
                self.record_stream_event(now, call, &mut effects);
            }
            DispatchEvent::Progressed { call, events } => {
                if let Some(placed) = self.placed.get_mut(&call) {
                    placed.events = events;
                    placed.heard_at = now;
                }
                self.observe_events(now, call);
                self.record_stream_event(now, call, &mut effects);
            }
            DispatchEvent::AttemptEnded { call, result } => {
                self.end_attempt(now, call, result, &mut effects);
                self.place_waiting(now, &mut effects);
            }
            DispatchEvent::CallEnded { call } => {
                self.waiting.remove(call);
                self.end_attempt(now, call, AttemptResult::Cancelled, &mut effects);
                self.place_waiting(now, &mut effects);
            }
            DispatchEvent::MigrationRequested { call, tried } => {
                self.reserve_migration(now, call, tried, &mut effects);
            }
            DispatchEvent::Migrated { call, target } => {
                self.handle_migration(now, call, target, &mut effects);
            }
            DispatchEvent::MigrationFailed {
                call,
                target,
                result,
            } => {
                self.reservations.remove(call);
                if let Some(placed) = self.placed.get_mut(&call) {
                    let attempt = placed.attempt();
                    placed.target = target;
                    placed.copy_holder = None;
                    placed.restore_times();
                    self.assess_result(now, &attempt, result, &mut effects);
                }
            }
            DispatchEvent::StreamLost { call } => {
                if let Some(placed) = self.placed.get(&call) {
                    let attempt = placed.attempt();
                    self.assess_result(now, &attempt, AttemptResult::Broken, &mut effects);
                }
            }
            DispatchEvent::TargetProbed {
                target,
                is_reachable,
            } => {
                self.handle_probe(now, &target, is_reachable, &mut effects);
                self.place_waiting(now, &mut effects);
            }
            DispatchEvent::TargetPaused { target, pause } => self.pause_target(now, &target, pause),
            DispatchEvent::LimitHeard {
                target,
                limit,
                sent_at,
            } => self.handle_limit(now, &target, limit, sent_at, &mut effects),
            DispatchEvent::LimitsReported(reports) => {
                self.merge_limits(now, &reports, &mut effects);
                self.place_waiting(now, &mut effects);
            }
            DispatchEvent::LimitSharesChanged(shares) => self.set_limit_shares(now, &shares),
            DispatchEvent::ColdRulesChanged(rules) => {
                self.cold_rules = rules;
                self.review_cold(now, &mut effects);
            }
            DispatchEvent::ColdSharesChanged(shares) => self.set_cold_shares(now, &shares),
            DispatchEvent::SlowdownHeard { target, percent } => {
                self.record_slowdown(now, &target, percent);
            }
            DispatchEvent::SpeedsReported { peer, reports } => {
                self.speeds.merge_reports(now, &peer, reports);
            }
            DispatchEvent::SuspectsReported(records) => {
                self.merge_suspects(now, &records, &mut effects);
            }
            DispatchEvent::PromptCrashesReported(records) => {
                self.merge_prompt_crashes(now, &records, &mut effects);
            }
            DispatchEvent::TargetsChanged(changes) => {
                for change in changes {
                    self.apply_target_change(now, change, &mut effects);
                }
                self.review_cold(now, &mut effects);
                self.place_waiting(now, &mut effects);
            }
            DispatchEvent::EvacuationsChanged(zones) => {
                self.handle_evacuations(now, zones, &mut effects);
            }
            DispatchEvent::PeerLoadsReplaced { peer, loads } => {
                self.peer_loads.replace(peer, loads)
            }
            DispatchEvent::PeerLoadsUpdated { peer, loads } => {
                self.peer_loads.update(&peer, loads);
                self.place_waiting(now, &mut effects);
            }
            DispatchEvent::ReservationReceived { peer, message } => {
                self.handle_reservation_message(now, peer, message, &mut effects);
            }
            DispatchEvent::PeerLost { peer } => {
                self.peer_loads.remove(&peer);
                self.speeds.remove_peer(&peer);
            }
            DispatchEvent::CellDepthChanged(depth) => self.cell_depth = depth,
            DispatchEvent::Stopping => self.refuse_waiting_streams(now, &mut effects),
            DispatchEvent::Tick => {
                self.refresh_speeds(now);
                self.report_health_changes(now, &mut effects);
                self.review_cold(now, &mut effects);
                self.prompt_rates.remove_idle(now);
                self.refused_requests.remove_expired(now);
                self.lost_attempts.remove_expired(now);
                self.record_completions(now, &mut effects);
                self.review_parts(now, PartSource::Time, &mut effects);
                self.expire_reservations(now, &mut effects);
                self.refuse_without_target(&mut effects);
                self.place_waiting(now, &mut effects);
                self.refuse_overdue(now, &mut effects);
            }
        }
        effects
    }

    /// Returns and clears the loads of this relay that changed, by target. Peers need these changes
    /// immediately, so that they do not all send their next stream to the same target.
    pub fn take_changed_loads(&mut self, now: time::Timestamp) -> Vec<PeerLoad> {
        if self.changed_targets.is_empty() {
            return Vec::new();
        }
        let loads = self.reported_loads(now);
        std::mem::take(&mut self.changed_targets)
            .into_iter()
            .map(|target| PeerLoad {
                load: loads.get(&target).copied().unwrap_or_default(),
                target,
            })
            .collect()
    }

    /// Returns the load of this relay at each target, as reported to peers.
    pub fn loads(&self, now: time::Timestamp) -> Vec<PeerLoad> {
        self.reported_loads(now)
            .into_iter()
            .map(|(target, load)| PeerLoad { target, load })
            .collect()
    }

    /// Returns the requests that this relay refused after the first `reported_count`, and the total
    /// number refused.
    pub fn refused_requests_after(
        &self,
        now: time::Timestamp,
        reported_count: u64,
    ) -> (Vec<RefusedRequest>, u64) {
        self.refused_requests.records_after(now, reported_count)
    }

    /// Merges a request that a peer refused.
    pub fn merge_refused_request(&mut self, now: time::Timestamp, record: &RefusedRequest) {
        self.refused_requests.merge(now, record);
    }

    /// Returns whether a call waits for a target with capacity.
    pub fn is_waiting(&self, call: ids::CallId) -> bool {
        self.waiting.get(call).is_some()
    }

    /// Returns the numbers of waiting and placed calls, in this order.
    pub fn call_counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.placed.len())
    }

    /// Places waiting calls for which a target has capacity.
    pub(super) fn place_waiting(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let order = self.waiting.in_order(now);
        let mut remaining = &order[..];
        while let Some((index, target, present_load)) = self.find_placeable(now, remaining) {
            let call = remaining[index];
            remaining = &remaining[index + 1..];
            if let Some(demand) = self.waiting.remove(call) {
                self.start_call(now, call, *demand, target, present_load, effects);
            }
        }
    }

    /// Returns the index of the first of these calls for which a target has capacity, with the
    /// target and its load. Computes the loads once for all calls, as most find no capacity.
    fn find_placeable(
        &self,
        now: time::Timestamp,
        calls: &[ids::CallId],
    ) -> Option<(usize, Rc<directory::TargetRecord>, LoadCount)> {
        if calls.is_empty() {
            return None;
        }
        let loads = self.local_loads(now);
        let mut candidates = BTreeMap::new();
        calls.iter().enumerate().find_map(|(index, call)| {
            let demand = self.waiting.get(*call)?;
            if self.crash_verdict(now, demand.fingerprint) != crashes::CrashVerdict::MayRun {
                return None;
            }
            let candidates = candidates
                .entry((&demand.service, &demand.allowed_zones))
                .or_insert_with(|| self.candidates(now, &loads, demand));
            let (target, present_load) =
                placement::choose_target(now, &self.settings.zone, demand, candidates)?;
            Some((index, target, present_load))
        })
    }

    /// Sends a call to a target that has capacity as far as this relay knows: a stream after the
    /// target's arbiter has granted a reservation, other calls immediately.
    fn start_call(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        demand: CallDemand,
        target: Rc<directory::TargetRecord>,
        present_load: LoadCount,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let load = calls::initial_load(&demand);
        let limit = placement::start_limit(now, &demand, &target, &self.urgent_streams);
        let placed = calls::PlacedCall {
            demand: Box::new(demand),
            target: Rc::clone(&target),
            copy_holder: None,
            placed_at: now,
            sent_at: now,
            heard_at: now,
            first_event_at: None,
            previous_times: None,
            is_sound: false,
            load_at_placement: present_load,
            has_started: false,
            events: 0,
            speed_window: speeds::SpeedWindow::default(),
        };
        self.placed.insert(call, placed);
        self.record_request(now, &target.key);
        let Some(limit) = limit else {
            let placement = CallPlacement {
                target,
                copy_holder: None,
                load: present_load,
                forecast: PlacementForecast::default(),
            };
            return effects.push(DispatchEffect::Place { call, placement });
        };
        let request = ReservationRequest {
            target: target.key.clone(),
            load,
            limit,
        };
        let purpose = reservations::ReservationPurpose::Start;
        let pending = reservations::PendingReservation::new(now, target, purpose);
        self.reserve(now, call, request, pending, effects);
    }

    /// Marks the targets at which a stream frees capacity as changed, so that peers are notified
    /// immediately: their calls may wait for it.
    fn record_freed_targets(&mut self, placed: &calls::PlacedCall) {
        if placed.demand.engine.is_some() {
            self.changed_targets.insert(placed.target.key.name.clone());
            let copy_holder = placed.copy_holder.as_ref();
            self.changed_targets
                .extend(copy_holder.map(|holder| holder.key.name.clone()));
        }
    }

    fn end_attempt(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        result: AttemptResult,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let purpose = self.reservations.purpose(call);
        let was_sent = !purpose.is_some_and(reservations::ReservationPurpose::is_start);
        self.reservations.remove(call);
        let Some(mut placed) = self.placed.remove(&call) else {
            return;
        };
        self.record_freed_targets(&placed);
        if was_sent {
            self.assess_result(now, &placed.attempt(), result, effects);
            if matches!(result, AttemptResult::Succeeded { .. }) {
                if let Some(factor) = placed.speed_window.take_first_event() {
                    self.speeds.add_sample(now, &placed.target.key, factor);
                }
                self.recent_completions.add(now, &placed);
            }
        }
        if !was_sent {
            self.withdraw_request(now, &placed.target.key, placed.placed_at);
        }
        if let Some(entry) = self.targets.get_mut(&placed.target.key.name)
            && entry.record.key == placed.target.key
        {
            entry.health.record(now, result);
        }
    }

    /// Returns the targets that accept work and may run a call, with the load of all relays.
    pub(super) fn candidates(
        &self,
        now: time::Timestamp,
        loads: &BTreeMap<ids::TargetName, LoadCount>,
        demand: &CallDemand,
    ) -> Vec<placement::CandidateTarget<'_>> {
        targets::usable_targets(&self.targets, now, demand, |entry| self.is_in_cell(entry))
            .into_iter()
            .filter(|(name, entry)| self.request_obstacle(now, name, entry).is_none())
            .map(|(name, entry)| self.candidate(loads, name, entry))
            .collect()
    }

    /// Returns whether a target belongs to the cell of this relay.
    pub(super) fn is_in_cell(&self, entry: &targets::TargetEntry) -> bool {
        self.cell_depth
            .is_same_cell(self.settings.position, entry.position)
    }

    /// Returns the load of this relay, including pending reservations.
    pub(super) fn local_loads(&self, now: time::Timestamp) -> BTreeMap<ids::TargetName, LoadCount> {
        self.sum_loads(now, |_| true)
    }

    /// Returns the load reported to peers, without pending reservations: an arbiter counts a
    /// reservation when it grants it, so reporting it earlier would count it twice.
    fn reported_loads(&self, now: time::Timestamp) -> BTreeMap<ids::TargetName, LoadCount> {
        self.sum_loads(now, |is_reserving| !is_reserving)
    }

    fn sum_loads(
        &self,
        now: time::Timestamp,
        is_included: impl Fn(bool) -> bool,
    ) -> BTreeMap<ids::TargetName, LoadCount> {
        let mut loads: BTreeMap<ids::TargetName, LoadCount> = BTreeMap::new();
        for (call, placed) in &self.placed {
            let purpose = self.reservations.purpose(*call);
            let is_reserving = |matches: fn(&reservations::ReservationPurpose) -> bool| {
                purpose.is_some_and(matches)
            };
            if is_included(is_reserving(reservations::ReservationPurpose::is_start)) {
                *loads.entry(placed.target.key.name.clone()).or_default() += placed.load();
            }
            if let Some(holder) = &placed.copy_holder
                && is_included(is_reserving(reservations::ReservationPurpose::is_migration))
            {
                *loads.entry(holder.key.name.clone()).or_default() += placed.copy_load();
            }
        }
        for (name, rate) in self.prompt_rates.per_second(now) {
            loads.entry(name.clone()).or_default().prompt_tokens_per_s += rate;
        }
        loads
    }
}
