//! The sets of decisions that the bench compares.

use std::fmt;
use std::str::FromStr;

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
    pub fn scheduler(self) -> Box<dyn schedule::WorkScheduler> {
        match self {
            Self::Naive | Self::LeastOutstanding => Box::new(schedule::NaiveScheduler::new()),
            Self::Kingcupfall => {
                let settings = schedule::ScheduleSettings::default();
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

fn gateway_policies(
    placement: Box<dyn place::PlacementPolicy>,
    most_attempts: u32,
) -> gateway::GatewayPolicies {
    gateway::GatewayPolicies {
        placement,
        retry: Box::new(retry::BlindRetry::new(most_attempts)),
        limit: Box::new(limit::NoLimit),
        quarantine: Box::new(quarantine::TrustingQuarantine),
    }
}
