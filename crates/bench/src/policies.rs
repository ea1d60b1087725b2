//! Policy sets that the bench compares.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use kingcupfall_gateway::reducer as gateway;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;
use kingcupfall_policy::schedule;

/// Maximum attempts of a call under the naive set.
const NAIVE_ATTEMPTS: u32 = 3;

/// Maximum attempts of a call under the least-outstanding set, which retries once.
const LEAST_OUTSTANDING_ATTEMPTS: u32 = 2;

/// Set of the policies that gateways and agents use in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicySet {
    /// Round-robin placement, immediate admission, and two immediate retries.
    Naive,
    /// Placement by the fewest attempts in flight, immediate admission, and one immediate retry.
    LeastOutstanding,
    /// The default policies of the gateway and the agent, without limits on organisations.
    Kingcupfall,
}

impl PolicySet {
    /// All policy sets, in the order in which they run.
    pub const ALL: [Self; 3] = [Self::Naive, Self::LeastOutstanding, Self::Kingcupfall];

    /// Returns the name of the set in results and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::LeastOutstanding => "least-outstanding",
            Self::Kingcupfall => "kingcupfall",
        }
    }

    /// Creates the policies of one gateway; `seed` seeds the jitter of retries.
    pub fn gateway_policies(self, seed: u64) -> gateway::GatewayPolicies {
        match self {
            Self::Kingcupfall => gateway::GatewayPolicies {
                placement: Box::new(place::ExpectedCostPlacement::default()),
                retry: Box::new(retry::BudgetedRetry::new(seed)),
                limit: Box::new(limit::NoLimit),
                quarantine: Box::new(quarantine::SuspectQuarantine::default()),
            },
            Self::Naive => {
                let placement = Box::new(place::RoundRobinPlacement::default());
                baseline_gateway_policies(placement, NAIVE_ATTEMPTS)
            }
            Self::LeastOutstanding => {
                let placement = Box::new(place::LeastOutstandingPlacement::default());
                baseline_gateway_policies(placement, LEAST_OUTSTANDING_ATTEMPTS)
            }
        }
    }

    /// Creates the scheduler of one agent.
    ///
    /// `disabled_feature` applies to the kingcupfall set only: the schedulers of the other sets
    /// have none of these features.
    pub fn scheduler(
        self,
        disabled_feature: Option<SchedulerFeature>,
    ) -> Box<dyn schedule::WorkScheduler> {
        match self {
            Self::Naive | Self::LeastOutstanding => Box::new(schedule::ImmediateScheduler::new()),
            Self::Kingcupfall => {
                let settings = schedule_settings(disabled_feature);
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
            .ok_or_else(|| format!("unknown policy set {text:?}").into())
    }
}

/// Feature of the kingcupfall scheduler that a run can disable, to measure what it contributes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SchedulerFeature {
    /// Learning of output lengths from completed work.
    LengthLearning,
    /// Admission by forecast memory use instead of current use.
    MemoryForecast,
    /// Processing of prompts in chunks.
    PrefillChunks,
    /// Pausing of streams, which includes pauses of large streams.
    StreamPauses,
    /// Pausing of large streams in favour of work behind its first-token target.
    LargeStreamPauses,
    /// Weighted fair shares between organisations.
    FairShares,
    /// Admission of short work before larger work that does not fit yet.
    Backfilling,
}

impl SchedulerFeature {
    /// All features, in the order of their declaration.
    pub const ALL: [Self; 7] = [
        Self::LengthLearning,
        Self::MemoryForecast,
        Self::PrefillChunks,
        Self::StreamPauses,
        Self::LargeStreamPauses,
        Self::FairShares,
        Self::Backfilling,
    ];

    /// Returns the name as the argument of `--without`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::LengthLearning => "lengths",
            Self::MemoryForecast => "forecast",
            Self::PrefillChunks => "chunks",
            Self::StreamPauses => "pauses",
            Self::LargeStreamPauses => "yields",
            Self::FairShares => "shares",
            Self::Backfilling => "short",
        }
    }
}

impl FromStr for SchedulerFeature {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|feature| feature.name() == text)
            .ok_or_else(|| format!("unknown scheduler feature {text:?}").into())
    }
}

fn schedule_settings(disabled_feature: Option<SchedulerFeature>) -> schedule::ScheduleSettings {
    let mut settings = schedule::ScheduleSettings::default();
    match disabled_feature {
        None => {}
        Some(SchedulerFeature::LengthLearning) => settings.learns_lengths = false,
        Some(SchedulerFeature::MemoryForecast) => settings.forecasts_memory = false,
        Some(SchedulerFeature::PrefillChunks) => settings.chunks_prefill = false,
        Some(SchedulerFeature::StreamPauses) => settings.pauses_streams = false,
        Some(SchedulerFeature::LargeStreamPauses) => settings.large_stream_pause = Duration::ZERO,
        Some(SchedulerFeature::FairShares) => settings.uses_fair_shares = false,
        Some(SchedulerFeature::Backfilling) => settings.backfills_short_work = false,
    }
    settings
}

fn baseline_gateway_policies(
    placement: Box<dyn place::PlacementPolicy>,
    max_attempts: u32,
) -> gateway::GatewayPolicies {
    gateway::GatewayPolicies {
        placement,
        retry: Box::new(retry::ImmediateRetry::new(max_attempts)),
        limit: Box::new(limit::NoLimit),
        quarantine: Box::new(quarantine::NoQuarantine),
    }
}
