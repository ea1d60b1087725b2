//! Which calls are taken, which wait, and which are refused.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::quarantine;

use super::CallDemand;
use super::CallRefusal;
use super::DispatchEffect;
use super::Dispatcher;
use super::RefusalReason;
use super::queue;

/// Shortest time after which a caller is told to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which a caller is told to come back; within it reclaimed targets are
/// replaced.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Time over which the rate of streams sent to targets is taken: that in which most of them end.
const START_RATE_SPAN: Duration = Duration::from_secs(5);

/// Streams sent to targets in a second that are assumed where fewer were seen, as by a process with
/// few calls: one in two seconds, what a small process of a crowded fleet gets.
const LEAST_START_RATE: f64 = 0.5;

/// Time after which a caller is told to come back when no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Dispatcher {
    pub(super) fn arrive(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        mut demand: Box<CallDemand>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.claims.remove(call);
        self.placed.remove(&call);
        if let Some(asked_at) = self.refused.asked_at(demand.fingerprint) {
            demand.asked_at = demand.asked_at.min(asked_at);
        }
        if let Err(refusal) = self.admit(now, &demand) {
            effects.push(DispatchEffect::Refuse { call, refusal });
            return;
        }
        self.waiting.insert(call, demand);
        self.serve_waiting(now, effects);
        self.refuse_hopeless(now, call, effects);
    }

    /// Refuses what no target can serve, whatever the load.
    fn admit(&mut self, now: time::Timestamp, demand: &CallDemand) -> Result<(), CallRefusal> {
        let verdict = self.settings.quarantine.status(now, demand.fingerprint);
        if let quarantine::QuarantineStatus::Quarantined { until } = verdict {
            return Err(CallRefusal {
                reason: RefusalReason::Quarantined,
                retry_after: until.since(now),
            });
        }
        let is_too_large = demand
            .engine
            .as_ref()
            .is_some_and(|engine| demand.prompt_tokens > engine.memory.get());
        if is_too_large {
            return Err(CallRefusal {
                reason: RefusalReason::TooLarge,
                retry_after: MOST_RETRY_AFTER,
            });
        }
        let has_target = self
            .targets
            .values()
            .any(|entry| !entry.is_leaving && entry.record.service == demand.service);
        match has_target {
            true => Ok(()),
            false => Err(CallRefusal {
                reason: RefusalReason::NoTarget,
                retry_after: NO_TARGET_RETRY_AFTER,
            }),
        }
    }

    /// Refuses a call at once when those ahead of it take longer than it can wait.
    pub(super) fn refuse_hopeless(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(demand) = self.waiting.get(call) else {
            return;
        };
        let wait = self.expected_wait(now, demand);
        if wait <= queue::patience(demand) {
            return;
        }
        self.refuse(now, call, RefusalReason::Crowded, wait, effects);
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
            // A call that got no place for some time has no reason to expect one sooner.
            let waited = now.since(demand.arrived);
            let wait = self.expected_wait(now, demand).max(waited);
            self.refuse(now, call, RefusalReason::WaitedOut, wait, effects);
        }
    }

    /// Sends streams that wait to other processes.
    pub(super) fn refuse_streams(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        for call in self.waiting.streams() {
            self.refuse(now, call, RefusalReason::Stopping, Duration::ZERO, effects);
        }
    }

    /// Refuses a waiting call that could get a place after `wait`.
    fn refuse(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        reason: RefusalReason,
        wait: Duration,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(demand) = self.waiting.remove(call) else {
            return;
        };
        if demand.engine.is_some() {
            self.refused.note(now, demand.fingerprint, demand.asked_at);
        }
        let retry_after = wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
        let refusal = CallRefusal {
            reason,
            retry_after,
        };
        effects.push(DispatchEffect::Refuse { call, refusal });
    }

    /// Time until a call of this process would get a place. All processes compete for the places
    /// that become free, so that the rate at which this one got some tells what it will get; when
    /// it got none of late, it is those that its own calls give back.
    fn expected_wait(&self, now: time::Timestamp, demand: &CallDemand) -> Duration {
        let ahead = self.waiting.ahead(now, demand).max(1);
        let rate = self
            .starts
            .get(&demand.service)
            .map_or(0.0, |rate| rate.per_second(now, START_RATE_SPAN));
        let turns = |rate: f64| Duration::from_secs_f64(ahead as f64 / rate);
        let mut left: Vec<_> = self
            .placed
            .values()
            .filter(|placed| placed.demand.service == demand.service)
            .map(|placed| placed.time_left(now))
            .collect();
        left.sort();
        match left.get(ahead - 1) {
            Some(left) if rate >= LEAST_START_RATE => (*left).min(turns(rate)),
            Some(left) => *left,
            None => turns(rate.max(LEAST_START_RATE)),
        }
    }

    /// Counts a stream that was sent to a target.
    pub(super) fn count_start(&mut self, now: time::Timestamp, service: ids::ServiceName) {
        let rate = self.starts.entry(service).or_default();
        rate.add(now, START_RATE_SPAN, 1.0);
    }
}
