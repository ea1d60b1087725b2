//! Why a target can't take a call.

use std::fmt;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use super::CallDemand;
use super::Dispatcher;
use super::targets;

/// The first reason why a target can't take a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetObstacle {
    /// It is leaving.
    Leaving,
    /// Its zone is evacuated.
    EvacuatedZone,
    /// It is outside of the regions that the route and the organisation allow.
    OutsideRegions,
    /// It asked for a pause.
    Paused,
    /// It was unreachable or timed out, and is not used for a while.
    BackedOff,
    /// Relays of other cells use it.
    OtherCell,
    /// It named a limit, and this relay's share of it is used up.
    Limited,
    /// It is cold, and this relay's share of the requests to it is used up.
    Cold,
    /// Its arbiter denied a reservation a moment ago.
    RecentlyDenied,
    /// The call has been tried there.
    AlreadyTried,
    /// Its calls and copies use all slots.
    NoSlot,
    /// Its streams and copies use its memory, or are expected to.
    NoMemory,
    /// Too many prompt tokens wait there.
    PromptsWaiting,
}

impl TargetObstacle {
    /// Returns the obstacle in words.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::EvacuatedZone => "zone evacuated",
            Self::OutsideRegions => "outside of the allowed regions",
            Self::Paused => "paused",
            Self::BackedOff => "backed off",
            Self::OtherCell => "other cell",
            Self::Limited => "limited",
            Self::Cold => "cold",
            Self::RecentlyDenied => "denied recently",
            Self::AlreadyTried => "already tried",
            Self::NoSlot => "no slot",
            Self::NoMemory => "no memory",
            Self::PromptsWaiting => "prompts waiting",
        }
    }
}

impl fmt::Display for TargetObstacle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.label())
    }
}

impl targets::TargetEntry {
    /// Returns why the target may not run a call of its service, whatever its load and its terms.
    pub(super) fn standing_obstacle(&self, demand: &CallDemand) -> Option<TargetObstacle> {
        if self.is_leaving {
            Some(TargetObstacle::Leaving)
        } else if self.is_evacuated {
            Some(TargetObstacle::EvacuatedZone)
        } else if !demand.allows_zone(&self.record.zone) {
            Some(TargetObstacle::OutsideRegions)
        } else {
            None
        }
    }

    /// Returns why the target accepts no call like this one of its service at `now`.
    pub(super) fn obstacle(
        &self,
        now: time::Timestamp,
        demand: &CallDemand,
    ) -> Option<TargetObstacle> {
        let standing = self.standing_obstacle(demand);
        if standing.is_some() {
            standing
        } else if self.terms.paused_until > now {
            Some(TargetObstacle::Paused)
        } else if self.health.is_backed_off(now) {
            Some(TargetObstacle::BackedOff)
        } else {
            None
        }
    }
}

impl Dispatcher {
    /// Returns why a target that accepts calls takes none of this relay at `now`.
    pub(super) fn request_obstacle(
        &self,
        now: time::Timestamp,
        name: &ids::TargetName,
        entry: &targets::TargetEntry,
    ) -> Option<TargetObstacle> {
        let denied_until = self.denied_until.get(name);
        if !entry.terms.limit.allows_request(now) {
            Some(TargetObstacle::Limited)
        } else if !entry.terms.cold.allows_request(now) {
            Some(TargetObstacle::Cold)
        } else if denied_until.is_some_and(|until| *until > now) {
            Some(TargetObstacle::RecentlyDenied)
        } else {
            None
        }
    }
}
