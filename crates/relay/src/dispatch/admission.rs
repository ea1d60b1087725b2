//! Decides which calls are placed, which wait and which are refused.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;

use super::CallDemand;
use super::CallRefusal;
use super::DispatchEffect;
use super::Dispatcher;
use super::RefusalReason;
use super::limits;
use super::queue;

/// Minimum `Retry-After` of a refused call.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum `Retry-After` of a refused call; reclaimed targets are replaced within this time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Window over which the rate of streams sent to targets is averaged; most streams end within it.
const START_RATE_WINDOW: Duration = Duration::from_secs(5);

/// Rate of streams sent to targets, in streams per second, assumed when the observed rate is lower,
/// as in a relay with few calls: one in two seconds, as a small relay of a saturated fleet gets.
const MIN_START_RATE_PER_S: f64 = 0.5;

/// `Retry-After` of a call whose service has no known target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Share of a pause of all targets by which the returns of refused callers are spread.
const RETURN_SPREAD_SHARE: f64 = 0.5;

/// Number of different times at which refused callers return.
const RETURN_SLOTS: u64 = 16;

/// Adds a part of `pause` that depends on the request, so that the callers who were refused during
/// a pause do not all return at its end.
fn spread_return(pause: Duration, fingerprint: work::RequestFingerprint) -> Duration {
    let slot = (fingerprint.get() % RETURN_SLOTS) as f64 / RETURN_SLOTS as f64;
    pause.mul_f64(1.0 + RETURN_SPREAD_SHARE * slot)
}

impl Dispatcher {
    pub(super) fn handle_arrival(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        mut demand: Box<CallDemand>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.reservations.remove(call);
        self.placed.remove(&call);
        self.recall_first_request(&mut demand);
        self.urgent_streams.record_arrival(now, &demand);
        if let Err(refusal) = self.admit(now, &demand) {
            effects.push(DispatchEffect::Refuse { call, refusal });
            return;
        }
        self.waiting.insert(call, demand);
        self.place_waiting(now, effects);
        self.refuse_infeasible(now, call, effects);
    }

    /// Takes the time of the first request from a refusal that is remembered.
    pub(super) fn recall_first_request(&self, demand: &mut CallDemand) {
        if let Some(first_requested_at) =
            self.refused_requests.first_requested_at(demand.fingerprint)
        {
            demand.first_requested_at = demand.first_requested_at.min(first_requested_at);
        }
    }

    /// Refuses calls that no target can serve, regardless of load.
    fn admit(&mut self, now: time::Timestamp, demand: &CallDemand) -> Result<(), CallRefusal> {
        let status = self.settings.quarantine.status(now, demand.fingerprint);
        if let quarantine::QuarantineStatus::Quarantined { until } = status {
            return Err(CallRefusal {
                reason: RefusalReason::Quarantined,
                retry_after: until.since(now),
            });
        }
        if let Some(quarantine) = self.part_quarantine(demand) {
            let left = quarantine.until.since(now);
            return Err(CallRefusal {
                reason: RefusalReason::PartQuarantined(quarantine.part),
                // It may end at any time, when a stream with the part is found sound.
                retry_after: left.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            });
        }
        let is_too_large = demand
            .engine
            .as_ref()
            .is_some_and(|engine| demand.prompt_tokens > engine.memory.get());
        if is_too_large {
            return Err(CallRefusal {
                reason: RefusalReason::TooLarge,
                retry_after: MAX_RETRY_AFTER,
            });
        }
        match self.has_target(demand) {
            true => Ok(()),
            false => Err(CallRefusal {
                reason: RefusalReason::NoTarget,
                retry_after: NO_TARGET_RETRY_AFTER,
            }),
        }
    }

    /// Returns whether a target may run a call, regardless of load.
    fn has_target(&self, demand: &CallDemand) -> bool {
        let mut targets = self.targets.values();
        targets.any(|entry| entry.may_run(demand))
    }

    /// Returns whether a target could run a call if its zone were not evacuated.
    fn has_evacuated_target(&self, demand: &CallDemand) -> bool {
        self.targets.values().any(|entry| {
            entry.is_evacuated
                && !entry.is_leaving
                && entry.record.service == demand.service
                && demand.allows_zone(&entry.record.zone)
        })
    }

    /// Refuses waiting calls whose targets are all in evacuated zones. Without evacuations, calls
    /// whose targets have left wait for others.
    pub(super) fn refuse_without_target(&mut self, effects: &mut Vec<DispatchEffect>) {
        if self.evacuated_zones.is_empty() {
            return;
        }
        for call in self.waiting.calls() {
            let is_evacuated =
                |demand| self.has_evacuated_target(demand) && !self.has_target(demand);
            if self.waiting.get(call).is_some_and(is_evacuated) {
                self.waiting.remove(call);
                let refusal = CallRefusal {
                    reason: RefusalReason::NoTarget,
                    retry_after: NO_TARGET_RETRY_AFTER,
                };
                effects.push(DispatchEffect::Refuse { call, refusal });
            }
        }
    }

    /// Refuses waiting calls whose requests or prompt parts are quarantined.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        for (call, fingerprint) in self.waiting.fingerprints() {
            let status = self.settings.quarantine.status(now, fingerprint);
            if let quarantine::QuarantineStatus::Quarantined { until } = status {
                let reason = RefusalReason::Quarantined;
                self.refuse(now, call, reason, until.since(now), effects);
            }
        }
        for call in self.waiting.calls() {
            let demand = self.waiting.get(call);
            if let Some(quarantine) = demand.and_then(|demand| self.part_quarantine(demand)) {
                let reason = RefusalReason::PartQuarantined(quarantine.part);
                let left = quarantine.until.since(now);
                self.refuse(now, call, reason, left, effects);
            }
        }
    }

    /// Refuses a waiting call immediately if the calls ahead of it take longer than it may wait.
    pub(super) fn refuse_infeasible(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(demand) = self.waiting.get(call) else {
            return;
        };
        let max_wait = queue::max_wait(demand);
        if let Some(pause) = self.service_pause(now, demand)
            && pause > max_wait
        {
            let retry_after = spread_return(pause, demand.fingerprint);
            let reason = RefusalReason::QueueTooLong;
            return self.refuse_until(now, call, reason, retry_after, effects);
        }
        let ahead = self.waiting.count_ahead(now, demand);
        if let Some(wait) = self.limited_wait(now, demand, ahead) {
            let wait = match wait {
                limits::LimitedWait::For(wait) if wait <= max_wait => return,
                limits::LimitedWait::For(wait) => wait.min(MAX_RETRY_AFTER),
                limits::LimitedWait::Unknown => NO_TARGET_RETRY_AFTER,
            };
            let retry_after = spread_return(wait, demand.fingerprint);
            let reason = RefusalReason::TargetsLimited;
            return self.refuse_until(now, call, reason, retry_after, effects);
        }
        let wait = self.expected_wait(now, demand);
        if wait <= max_wait {
            return;
        }
        self.refuse(now, call, RefusalReason::QueueTooLong, wait, effects);
    }

    pub(super) fn refuse_overdue(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        for call in self.waiting.overdue(now) {
            let Some(demand) = self.waiting.get(call) else {
                continue;
            };
            // A call that was not placed for this long has no reason to expect a shorter wait next
            // time.
            let waited = now.since(demand.arrived_at);
            let wait = self.expected_wait(now, demand).max(waited);
            self.refuse(now, call, RefusalReason::WaitTimedOut, wait, effects);
        }
    }

    /// Refuses waiting streams, so that their callers retry at other relays.
    pub(super) fn refuse_waiting_streams(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        for call in self.waiting.streams() {
            self.refuse(now, call, RefusalReason::Stopping, Duration::ZERO, effects);
        }
    }

    /// Refuses a waiting call that is expected to be placed after `wait`.
    fn refuse(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        reason: RefusalReason,
        wait: Duration,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self.refuse_until(now, call, reason, retry_after, effects);
    }

    /// Refuses a waiting call whose caller is to return after `retry_after`.
    fn refuse_until(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        reason: RefusalReason,
        retry_after: Duration,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(demand) = self.waiting.remove(call) else {
            return;
        };
        if demand.engine.is_some() {
            self.refused_requests
                .record(now, demand.fingerprint, demand.first_requested_at);
        }
        let refusal = CallRefusal {
            reason,
            retry_after,
        };
        effects.push(DispatchEffect::Refuse { call, refusal });
    }

    /// Estimates the time until this relay can place a call.
    ///
    /// All relays compete for capacity that becomes free, so the rate at which this relay recently
    /// started streams predicts its next starts. The expected ends of its own calls count if they
    /// come sooner or if that rate is below [`MIN_START_RATE_PER_S`].
    pub(super) fn expected_wait(&self, now: time::Timestamp, demand: &CallDemand) -> Duration {
        let ahead = self.waiting.count_ahead(now, demand).max(1);
        let rate = self
            .start_rates
            .get(&demand.service)
            .map_or(0.0, |rate| rate.per_second(now, START_RATE_WINDOW));
        let wait_at_rate = |rate: f64| Duration::from_secs_f64(ahead as f64 / rate);
        let mut times_left: Vec<_> = self
            .placed
            .values()
            .filter(|placed| {
                // What ends where the call may not run frees nothing for it.
                placed.demand.service == demand.service && self.may_receive(&placed.target, demand)
            })
            .map(|placed| placed.expected_time_left(now))
            .collect();
        times_left.sort();
        match times_left.get(ahead - 1) {
            Some(time_left) if rate >= MIN_START_RATE_PER_S => (*time_left).min(wait_at_rate(rate)),
            Some(time_left) => *time_left,
            None => wait_at_rate(rate.max(MIN_START_RATE_PER_S)),
        }
    }

    /// Records that a stream was sent to a target.
    pub(super) fn record_start(&mut self, now: time::Timestamp, service: ids::ServiceName) {
        let rate = self.start_rates.entry(service).or_default();
        rate.add(now, START_RATE_WINDOW, 1.0);
    }
}
