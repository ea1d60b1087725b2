//! Learns how slow each target is from the streams that run there, and combines this with what
//! peers have learnt.
//!
//! A target's factor is the time that its work takes, divided by the time in the engine model of
//! [`placement`](super::placement). Nothing is stored: an estimate lives as long as streams confirm
//! it, and an estimate of a peer as long as the peer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use super::LoadCount;
use super::placement;
use crate::directory;

/// Weight of a sample that is faster than the estimate. Delays of the network and of relays only
/// make samples slower, so a fast sample says more about the target.
const FASTER_SAMPLE_WEIGHT: f64 = 0.4;

/// Weight of a sample that is slower than the estimate.
const SLOWER_SAMPLE_WEIGHT: f64 = 0.12;

/// Half-life of the number of samples that an estimate is based on. After three of them a target
/// that got no streams has mostly the average of its service again, and is tried.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(5);

/// Number of samples that the average of the service counts for in a target's estimate.
const SERVICE_AVERAGE_COUNT: f64 = 0.5;

/// Number of samples below which an estimate is forgotten.
const MIN_COUNT: f64 = 0.05;

/// Maximum number of samples that a peer's report counts for: those of four streams in the steady
/// state, so that no single report outweighs those of all other relays.
const MAX_REPORTED_COUNT: u32 = 120;

/// Age from which an own estimate is not reported to peers any more.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Maximum number of targets in a report.
const MAX_REPORTS: usize = 128;

/// Factors that are not plausible for a target that works.
const MIN_FACTOR: f64 = 0.05;
const MAX_FACTOR: f64 = 20.0;

/// Targets within this ratio of the median of their service count as equally fast: the estimates
/// of equal targets differ by up to this much, mostly for unknown times of prompt chunks.
const EQUAL_SPEED_RATIO: f64 = 1.4;

/// Minimum duration of a window of events that gives a sample.
const MIN_WINDOW: Duration = Duration::from_millis(250);

/// Maximum duration of such a window. Longer ones contain an interruption, for example of the
/// network, and say nothing about the speed of the target.
const MAX_WINDOW: Duration = Duration::from_secs(2);

/// Minimum number of events in a window.
const MIN_WINDOW_EVENTS: u64 = 3;

/// Interval at which the estimates of own streams and of peers are combined.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a slowdown that a target reported is expected to occur again.
const SLOWDOWN_RETENTION: Duration = Duration::from_secs(10);

/// Reported slowdowns above this percentage are not plausible and are ignored.
const MAX_PLAUSIBLE_SLOWDOWN_PERCENT: u32 = 10_000;

/// Maximum slowdown that counts.
const MAX_SLOWDOWN: f64 = 10.0;

/// What a relay has observed of a target's speed, as reported to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Observed incarnation.
    #[serde(rename = "t")]
    pub target: directory::TargetKey,
    /// Time that work takes there, in thousandths of the time in the engine model.
    #[serde(rename = "f")]
    pub factor_thousandths: u32,
    /// Number of samples that the factor is based on; older samples count less.
    #[serde(rename = "n")]
    pub samples: u32,
}

/// Average of the logarithm of a target's factor, and how much is known of it.
#[derive(Debug, Clone, Copy)]
struct SpeedEstimate {
    log_factor: f64,
    count: f64,
    updated_at: time::Timestamp,
}

impl SpeedEstimate {
    fn new(now: time::Timestamp, factor: f64) -> Self {
        Self {
            log_factor: factor.clamp(MIN_FACTOR, MAX_FACTOR).ln(),
            count: 1.0,
            updated_at: now,
        }
    }

    fn add(&mut self, now: time::Timestamp, factor: f64) {
        let difference = factor.clamp(MIN_FACTOR, MAX_FACTOR).ln() - self.log_factor;
        let weight = match difference < 0.0 {
            true => FASTER_SAMPLE_WEIGHT,
            false => SLOWER_SAMPLE_WEIGHT,
        };
        self.log_factor += weight * difference;
        self.count = self.count(now) + 1.0;
        self.updated_at = now;
    }

    /// Returns the number of samples, decayed to `now`.
    fn count(&self, now: time::Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / COUNT_HALF_LIFE.as_secs_f64();
        self.count * 0.5_f64.powf(age)
    }
}

/// Speed of a target as placement uses it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TargetSpeed {
    /// Time that work takes, divided by the time in the engine model.
    pub(super) factor: f64,
    /// The same divided by the median of the service; 1 for targets close to the median.
    pub(super) relative_factor: f64,
    /// Largest slowdown of machines that targets of the service reported recently; at least 1.
    pub(super) slowdown: f64,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            factor: 1.0,
            relative_factor: 1.0,
            slowdown: 1.0,
        }
    }
}

/// Slowdowns that targets of one service reported, newest last and largest first: a smaller one
/// that was reported before a larger one can't become the maximum any more.
#[derive(Debug, Clone, Default)]
struct RecentSlowdowns(VecDeque<(time::Timestamp, f64)>);

impl RecentSlowdowns {
    fn add(&mut self, now: time::Timestamp, slowdown: f64) {
        while self.0.back().is_some_and(|(_, last)| *last <= slowdown) {
            self.0.pop_back();
        }
        self.0.push_back((now, slowdown));
    }

    fn remove_expired(&mut self, now: time::Timestamp) {
        let is_expired = |at: time::Timestamp| now.since(at) >= SLOWDOWN_RETENTION;
        while self.0.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.0.pop_front();
        }
    }

    fn max(&self) -> f64 {
        self.0.front().map_or(1.0, |(_, slowdown)| *slowdown)
    }
}

/// Estimates of one target: this relay's, and those of peers.
#[derive(Debug, Clone, Default)]
struct TargetEstimates {
    own: Option<SpeedEstimate>,
    peers: Vec<(ids::VmName, SpeedEstimate)>,
}

impl TargetEstimates {
    /// Removes the estimates that are forgotten and returns the combination of the others, if there
    /// are any.
    fn combine(&mut self, now: time::Timestamp) -> Option<CombinedEstimate> {
        let mut combined = CombinedEstimate::default();
        let mut is_kept = |estimate: &SpeedEstimate| {
            let count = estimate.count(now);
            if count < MIN_COUNT {
                return false;
            }
            combined.weighted_log += count * estimate.log_factor;
            combined.count += count;
            true
        };
        self.own.take_if(|estimate| !is_kept(estimate));
        self.peers.retain(|(_, estimate)| is_kept(estimate));
        (combined.count > 0.0).then_some(combined)
    }
}

/// Speeds observed by this relay and by its peers, and reported slowdowns.
#[derive(Debug, Clone, Default)]
pub(super) struct SpeedTable {
    estimates: BTreeMap<directory::TargetKey, TargetEstimates>,
    /// Peers that have estimates. Most of the peers that are reported as lost have none, as they
    /// belong to other cells.
    reporters: BTreeSet<ids::VmName>,
    slowdowns: BTreeMap<ids::ServiceName, RecentSlowdowns>,
    /// Streams of this relay by target, counted when the speeds were last combined.
    own_streams: BTreeMap<ids::TargetName, u32>,
    refreshed_at: time::Timestamp,
}

impl SpeedTable {
    /// Adds a sample of this relay: observed time divided by that in the engine model.
    pub(super) fn add_sample(
        &mut self,
        now: time::Timestamp,
        target: &directory::TargetKey,
        factor: f64,
    ) {
        if !factor.is_finite() {
            return;
        }
        let estimates = match self.estimates.get_mut(target) {
            Some(estimates) => estimates,
            None => self.estimates.entry(target.clone()).or_default(),
        };
        match &mut estimates.own {
            Some(estimate) => estimate.add(now, factor),
            None => estimates.own = Some(SpeedEstimate::new(now, factor)),
        }
    }

    /// Merges the report of a peer. Targets that it does not list keep their earlier estimate, whose
    /// count decays.
    pub(super) fn merge_reports(
        &mut self,
        now: time::Timestamp,
        peer: &ids::VmName,
        reports: Vec<SpeedReport>,
    ) {
        if !reports.is_empty() && !self.reporters.contains(peer) {
            self.reporters.insert(peer.clone());
        }
        for report in reports.into_iter().take(MAX_REPORTS) {
            let factor = f64::from(report.factor_thousandths) / 1_000.0;
            if !(MIN_FACTOR..=MAX_FACTOR).contains(&factor) || report.samples == 0 {
                log::debug!("peer {peer} reported an implausible speed, ignoring it: {report:?}");
                continue;
            }
            let estimate = SpeedEstimate {
                log_factor: factor.ln(),
                count: f64::from(report.samples.min(MAX_REPORTED_COUNT)),
                updated_at: now,
            };
            let peers = &mut self.estimates.entry(report.target).or_default().peers;
            match peers.iter_mut().find(|(name, _)| name == peer) {
                Some((_, known)) => *known = estimate,
                None => peers.push((peer.clone(), estimate)),
            }
        }
    }

    pub(super) fn remove_peer(&mut self, peer: &ids::VmName) {
        if self.reporters.remove(peer) {
            for estimates in self.estimates.values_mut() {
                estimates.peers.retain(|(name, _)| name != peer);
            }
        }
    }

    /// Returns this relay's estimates that are based on recent samples.
    pub(super) fn reports(&self, now: time::Timestamp) -> Vec<SpeedReport> {
        let own = self.estimates.iter();
        own.filter_map(|(target, estimates)| Some((target, estimates.own.as_ref()?)))
            .filter(|(_, estimate)| now.since(estimate.updated_at) < MAX_REPORT_AGE)
            .map(|(target, estimate)| SpeedReport {
                target: target.clone(),
                factor_thousandths: (estimate.log_factor.exp() * 1_000.0).round() as u32,
                samples: (estimate.count(now).round() as u32).max(1),
            })
            .take(MAX_REPORTS)
            .collect()
    }

    /// Records the slowdown that a target of the service reported, in percent.
    pub(super) fn record_slowdown(
        &mut self,
        now: time::Timestamp,
        service: &ids::ServiceName,
        percent: u32,
    ) {
        if percent == 0 || percent > MAX_PLAUSIBLE_SLOWDOWN_PERCENT {
            return log::debug!(
                "a target of {service} reported an implausible slowdown of {percent} %, ignoring it"
            );
        }
        let slowdown = (f64::from(percent) / 100.0).clamp(1.0, MAX_SLOWDOWN);
        let slowdowns = match self.slowdowns.get_mut(service) {
            Some(slowdowns) => slowdowns,
            None => self.slowdowns.entry(service.clone()).or_default(),
        };
        slowdowns.add(now, slowdown);
    }

    /// Returns whether the combined speeds are due to be computed again.
    pub(super) fn is_refresh_due(&self, now: time::Timestamp) -> bool {
        now.since(self.refreshed_at) >= REFRESH_INTERVAL
    }

    /// Removes what has expired and combines the estimates of each target.
    pub(super) fn combine(
        &mut self,
        now: time::Timestamp,
        own_streams: BTreeMap<ids::TargetName, u32>,
    ) -> BTreeMap<directory::TargetKey, CombinedEstimate> {
        self.refreshed_at = now;
        self.own_streams = own_streams;
        let estimates = self.estimates.iter_mut();
        let combined: BTreeMap<_, _> = estimates
            .filter_map(|(target, estimates)| Some((target.clone(), estimates.combine(now)?)))
            .collect();
        if combined.len() < self.estimates.len() {
            self.estimates
                .retain(|target, _| combined.contains_key(target));
        }
        combined
    }

    /// Returns the number of streams of this relay at a target, as counted a short time ago.
    pub(super) fn own_streams(&self, target: &ids::TargetName) -> u32 {
        self.own_streams.get(target).copied().unwrap_or_default()
    }

    /// Returns the largest slowdown that targets of each service reported recently.
    pub(super) fn slowdowns(&mut self, now: time::Timestamp) -> BTreeMap<ids::ServiceName, f64> {
        self.slowdowns.retain(|_, slowdowns| {
            slowdowns.remove_expired(now);
            !slowdowns.0.is_empty()
        });
        let services = self.slowdowns.iter();
        services
            .map(|(service, slowdowns)| (service.clone(), slowdowns.max()))
            .collect()
    }
}

/// What all relays have observed of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CombinedEstimate {
    weighted_log: f64,
    count: f64,
}

impl CombinedEstimate {
    /// Returns the logarithm of the factor without the average of the service.
    pub(super) fn log_factor(&self) -> f64 {
        self.weighted_log / self.count
    }

    /// Returns the logarithm of the factor, closer to that of the service the less is known.
    pub(super) fn log_factor_with_average(&self, service_log: f64) -> f64 {
        let weighted_log = self.weighted_log + SERVICE_AVERAGE_COUNT * service_log;
        weighted_log / (self.count + SERVICE_AVERAGE_COUNT)
    }
}

/// Average and median of the factors that are known of a service's targets.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceSpeed {
    mean_log: f64,
    median_log: f64,
}

impl ServiceSpeed {
    pub(super) fn new(mut logs: Vec<f64>) -> Self {
        if logs.is_empty() {
            return Self::default();
        }
        logs.sort_by(f64::total_cmp);
        Self {
            mean_log: logs.iter().sum::<f64>() / logs.len() as f64,
            median_log: logs[logs.len() / 2],
        }
    }

    /// Returns the speed of a target, given what is known of it.
    pub(super) fn target_speed(
        &self,
        estimate: Option<&CombinedEstimate>,
        slowdown: f64,
    ) -> TargetSpeed {
        let log_factor = match estimate {
            Some(estimate) => estimate.log_factor_with_average(self.mean_log),
            None => self.mean_log,
        };
        let relative_factor = (log_factor - self.median_log).exp();
        let is_equal = (1.0 / EQUAL_SPEED_RATIO..=EQUAL_SPEED_RATIO).contains(&relative_factor);
        TargetSpeed {
            factor: log_factor.exp(),
            relative_factor: if is_equal { 1.0 } else { relative_factor },
            slowdown,
        }
    }
}

/// Observation of the events of one stream at its present target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SpeedWindow {
    start: Option<WindowStart>,
    /// Sample of the time to the first event. It counts once the stream has proved to run, as a
    /// target that fails may send a first event early.
    first_event_factor: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct WindowStart {
    at: time::Timestamp,
    events: u64,
    load: LoadCount,
}

impl SpeedWindow {
    /// Keeps the sample of the time to the first event of a stream that was sent to a target without
    /// waiting prompts.
    pub(super) fn record_first_event(
        &mut self,
        took: Duration,
        prompt_tokens: u64,
        event_tokens: u64,
        load: LoadCount,
    ) {
        let step_s = placement::step_s(load.calls.saturating_add(1));
        let model_s =
            prompt_tokens as f64 / placement::PREFILL_TOKENS_PER_S + event_tokens as f64 * step_s;
        self.first_event_factor = Some(took.as_secs_f64() / model_s);
    }

    /// Takes the sample of the time to the first event.
    pub(super) fn take_first_event(&mut self) -> Option<f64> {
        self.first_event_factor.take()
    }

    /// Returns whether a window ends now, which needs the load of the target.
    pub(super) fn is_due(&self, now: time::Timestamp, events: u64) -> bool {
        self.start.is_none_or(|start| {
            now.since(start.at) >= MIN_WINDOW
                && events.saturating_sub(start.events) >= MIN_WINDOW_EVENTS
        })
    }

    /// Ends the window, if there is one, and starts the next one. Returns the sample of the window.
    pub(super) fn restart(
        &mut self,
        now: time::Timestamp,
        events: u64,
        event_tokens: u64,
        load: LoadCount,
    ) -> Option<f64> {
        let next = WindowStart {
            at: now,
            events,
            load,
        };
        let start = self.start.replace(next)?;
        let elapsed = now.since(start.at);
        if elapsed > MAX_WINDOW {
            return None;
        }
        let steps = events.saturating_sub(start.events) as f64 * event_tokens as f64;
        let calls = start.load.calls.max(load.calls).max(1);
        let prompt_rate = (start.load.prompt_tokens_per_s + load.prompt_tokens_per_s) as f64 / 2.0;
        let elapsed_s = elapsed.as_secs_f64();
        let chunks = (prompt_rate * elapsed_s / placement::CHUNK_TOKENS).min(steps);
        let model_s = steps * placement::step_s(calls) + chunks * placement::STEP_S_PER_CHUNK;
        (model_s > 0.0).then(|| elapsed_s / model_s)
    }
}
