//! Counts the load that relays put on targets.

use std::collections::BTreeMap;
use std::ops;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

/// Window over which the rate of prompt tokens is averaged; several prompts at the usual rate.
const PROMPT_RATE_WINDOW: Duration = Duration::from_secs(2);

/// Load at one target, of one relay or summed over several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Calls in flight, including streams.
    #[serde(rename = "c")]
    pub calls: u32,
    /// Copies of streams that run at other targets.
    #[serde(rename = "k")]
    pub copies: u32,
    /// Memory in use, in tokens.
    #[serde(rename = "u")]
    pub used_tokens: u64,
    /// Memory that streams and copies are expected to need, in tokens.
    #[serde(rename = "f")]
    pub forecast_tokens: u64,
    /// Prompt tokens of streams that have not sent their first event.
    #[serde(rename = "b")]
    pub backlog_tokens: u64,
    /// Streams that are expected to be long.
    #[serde(rename = "s")]
    pub long_streams: u32,
    /// Recent rate of prompt tokens sent to the target, per second.
    #[serde(rename = "p")]
    pub prompt_tokens_per_s: u64,
}

impl ops::AddAssign for LoadCount {
    fn add_assign(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.copies = self.copies.saturating_add(other.copies);
        self.used_tokens = self.used_tokens.saturating_add(other.used_tokens);
        self.forecast_tokens = self.forecast_tokens.saturating_add(other.forecast_tokens);
        self.backlog_tokens = self.backlog_tokens.saturating_add(other.backlog_tokens);
        self.long_streams = self.long_streams.saturating_add(other.long_streams);
        self.prompt_tokens_per_s = self
            .prompt_tokens_per_s
            .saturating_add(other.prompt_tokens_per_s);
    }
}

impl ops::SubAssign for LoadCount {
    fn sub_assign(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.copies = self.copies.saturating_sub(other.copies);
        self.used_tokens = self.used_tokens.saturating_sub(other.used_tokens);
        self.forecast_tokens = self.forecast_tokens.saturating_sub(other.forecast_tokens);
        self.backlog_tokens = self.backlog_tokens.saturating_sub(other.backlog_tokens);
        self.long_streams = self.long_streams.saturating_sub(other.long_streams);
        self.prompt_tokens_per_s = self
            .prompt_tokens_per_s
            .saturating_sub(other.prompt_tokens_per_s);
    }
}

/// Load of a relay at one target, as reported to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Target that has the load.
    #[serde(rename = "n")]
    pub target: ids::TargetName,
    /// Load at the target.
    #[serde(rename = "l")]
    pub load: LoadCount,
}

/// Loads of all peers, by peer and summed by target.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerLoads {
    peers: BTreeMap<ids::VmName, BTreeMap<ids::TargetName, LoadCount>>,
    /// Updated with each change, as each placement reads the sums of all targets.
    sums: BTreeMap<ids::TargetName, LoadCount>,
}

impl PeerLoads {
    pub(super) fn replace(&mut self, peer: ids::VmName, loads: Vec<PeerLoad>) {
        self.remove(&peer);
        let reported = self.peers.entry(peer).or_default();
        for peer_load in loads {
            set_load(reported, &mut self.sums, peer_load.target, peer_load.load);
        }
    }

    /// Updates some loads of a known peer; ignored for a peer that has not reported any.
    pub(super) fn update(&mut self, peer: &ids::VmName, loads: Vec<PeerLoad>) {
        let Some(reported) = self.peers.get_mut(peer) else {
            return;
        };
        for peer_load in loads {
            set_load(reported, &mut self.sums, peer_load.target, peer_load.load);
        }
    }

    /// Adds the load of a granted reservation until the peer reports its own load at the target.
    pub(super) fn add_reserved(
        &mut self,
        peer: &ids::VmName,
        target: &ids::TargetName,
        load: LoadCount,
    ) {
        let reported = self.peers.entry(peer.clone()).or_default();
        *reported.entry(target.clone()).or_default() += load;
        *self.sums.entry(target.clone()).or_default() += load;
    }

    /// Returns the peers that report their load.
    pub(super) fn peer_names(&self) -> impl Iterator<Item = &ids::VmName> {
        self.peers.keys()
    }

    pub(super) fn remove(&mut self, peer: &ids::VmName) {
        for (target, load) in self.peers.remove(peer).unwrap_or_default() {
            subtract(&mut self.sums, &target, load);
        }
    }

    pub(super) fn sum(&self, target: &ids::TargetName) -> LoadCount {
        self.sums.get(target).copied().unwrap_or_default()
    }
}

fn set_load(
    reported: &mut BTreeMap<ids::TargetName, LoadCount>,
    sums: &mut BTreeMap<ids::TargetName, LoadCount>,
    target: ids::TargetName,
    load: LoadCount,
) {
    if let Some(previous) = reported.insert(target.clone(), load) {
        subtract(sums, &target, previous);
    }
    *sums.entry(target).or_default() += load;
}

fn subtract(
    sums: &mut BTreeMap<ids::TargetName, LoadCount>,
    target: &ids::TargetName,
    load: LoadCount,
) {
    if let Some(sum) = sums.get_mut(target) {
        *sum -= load;
        if *sum == LoadCount::default() {
            sums.remove(target);
        }
    }
}

/// Exponentially decaying average rate.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingRate {
    amount: f64,
    updated_at: time::Timestamp,
}

impl DecayingRate {
    /// Adds an amount at `now`; `window` is the time constant of the average.
    pub(super) fn add(&mut self, now: time::Timestamp, window: Duration, amount: f64) {
        self.amount = self.decayed_amount(now, window) + amount;
        self.updated_at = now;
    }

    pub(super) fn per_second(&self, now: time::Timestamp, window: Duration) -> f64 {
        self.decayed_amount(now, window) / window.as_secs_f64()
    }

    fn decayed_amount(&self, now: time::Timestamp, window: Duration) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / window.as_secs_f64();
        self.amount * (-age).exp()
    }
}

/// Rates of prompt tokens at the targets that recently received prompts.
#[derive(Debug, Clone, Default)]
pub(super) struct PromptRates {
    rates: BTreeMap<ids::TargetName, DecayingRate>,
}

impl PromptRates {
    pub(super) fn add(&mut self, now: time::Timestamp, target: &ids::TargetName, tokens: u64) {
        let rate = self.rates.entry(target.clone()).or_default();
        rate.add(now, PROMPT_RATE_WINDOW, tokens as f64);
    }

    /// Returns the rate at one target, in tokens per second.
    pub(super) fn rate(&self, now: time::Timestamp, target: &ids::TargetName) -> u64 {
        let rate = self.rates.get(target);
        rate.map_or(0, |rate| rate.per_second(now, PROMPT_RATE_WINDOW) as u64)
    }

    /// Returns the rates that are not zero.
    pub(super) fn per_second(
        &self,
        now: time::Timestamp,
    ) -> impl Iterator<Item = (&ids::TargetName, u64)> {
        let rates = self.rates.iter();
        rates
            .map(move |(name, rate)| (name, rate.per_second(now, PROMPT_RATE_WINDOW) as u64))
            .filter(|(_, rate)| *rate > 0)
    }

    /// Removes targets whose rate has decayed to less than one token per second.
    pub(super) fn remove_idle(&mut self, now: time::Timestamp) {
        self.rates
            .retain(|_, rate| rate.per_second(now, PROMPT_RATE_WINDOW) >= 1.0);
    }
}
