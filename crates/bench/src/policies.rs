//! The sets of decisions that the bench compares.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use kingcupfall_gateway::reducer as gateway;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;
use kingcupfall_policy::schedule;

/// Attempts of a call under the naive set.
const NAIVE_ATTEMPTS: u32 = 3;

/// Attempts of a call under the least-outstanding set: it is retried once.
const LEAST_OUTSTANDING_ATTEMPTS: u32 = 2;

/// A set of decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicySet {
    /// Round robin, admission at once, blind retries.
    Naive,
    /// Fewest attempts in flight, admission at once, one retry.
    LeastOutstanding,
    /// The decisions of this system.
    Kingcupfall,
}

impl PolicySet {
    /// All sets, in the order in which they run.
    pub const ALL: [Self; 3] = [Self::Naive, Self::LeastOutstanding, Self::Kingcupfall];

    /// Returns the name in results and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::LeastOutstanding => "least-outstanding",
            Self::Kingcupfall => "kingcupfall",
        }
    }

    /// Makes the decisions of one gateway.
    pub fn gateway(self, seed: u64) -> gateway::GatewayPolicies {
        match self {
            Self::Kingcupfall => gateway::GatewayPolicies {
                placement: Box::new(place::ExpectedCostPlacement::default()),
                retry: Box::new(retry::BudgetedRetry::new(seed)),
                limit: Box::new(limit::NoLimit),
                quarantine: Box::new(quarantine::SuspectQuarantine::default()),
            },
            Self::Naive => {
                let placement = Box::new(place::RoundRobinPlacement::default());
                gateway_policies(placement, NAIVE_ATTEMPTS)
            }
            Self::LeastOutstanding => {
                let placement = Box::new(place::LeastOutstandingPlacement::default());
                gateway_policies(placement, LEAST_OUTSTANDING_ATTEMPTS)
            }
        }
    }

    /// Makes the scheduler of one agent.
    ///
    /// `ablation` turns one decision of ours off; the other sets have none of them.
    pub fn scheduler(self, ablation: Option<Ablation>) -> Box<dyn schedule::WorkScheduler> {
        match self {
            Self::Naive | Self::LeastOutstanding => Box::new(schedule::NaiveScheduler::new()),
            Self::Kingcupfall => {
                let settings = schedule_settings(ablation);
                Box::new(schedule::ForecastScheduler::new(settings))
            }
        }
    }
}

impl fmt::Display for PolicySet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for PolicySet {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|set| set.name() == text)
            .ok_or_else(|| format!("{text:?} is not a policy").into())
    }
}

/// A decision of ours that can be turned off, to see what it is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ablation {
    /// Learning of lengths.
    Lengths,
    /// Forecast of memory.
    Forecast,
    /// Prompts in chunks.
    Chunks,
    /// Pauses, and with them yielding.
    Pauses,
    /// Yielding of large streams.
    Yields,
    /// Fair shares.
    Shares,
    /// Short work first.
    Short,
}

impl Ablation {
    /// All ablations.
    pub const ALL: [Self; 7] = [
        Self::Lengths,
        Self::Forecast,
        Self::Chunks,
        Self::Pauses,
        Self::Yields,
        Self::Shares,
        Self::Short,
    ];

    /// Returns the name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Lengths => "lengths",
            Self::Forecast => "forecast",
            Self::Chunks => "chunks",
            Self::Pauses => "pauses",
            Self::Yields => "yields",
            Self::Shares => "shares",
            Self::Short => "short",
        }
    }
}

impl FromStr for Ablation {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|ablation| ablation.name() == text)
            .ok_or_else(|| format!("{text:?} is not a decision that can be turned off").into())
    }
}

fn schedule_settings(ablation: Option<Ablation>) -> schedule::ScheduleSettings {
    let mut settings = schedule::ScheduleSettings::default();
    match ablation {
        None => {}
        Some(Ablation::Lengths) => settings.learns_lengths = false,
        Some(Ablation::Forecast) => settings.forecasts_memory = false,
        Some(Ablation::Chunks) => settings.chunks_prefill = false,
        Some(Ablation::Pauses) => settings.pauses_streams = false,
        Some(Ablation::Yields) => settings.large_stream_pause = Duration::ZERO,
        Some(Ablation::Shares) => settings.shares_fairly = false,
        Some(Ablation::Short) => settings.backfills = false,
    }
    settings
}

fn gateway_policies(
    placement: Box<dyn place::PlacementPolicy>,
    most_attempts: u32,
) -> gateway::GatewayPolicies {
    gateway::GatewayPolicies {
        placement,
        retry: Box::new(retry::ImmediateRetry::new(most_attempts)),
        limit: Box::new(limit::NoLimit),
        quarantine: Box::new(quarantine::NoQuarantine),
    }
}
