//! Whether a target may begin its upgrade.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use kingcupfall_core::ids;

use super::ModelPlan;
use super::PeerTable;
use super::WallTime;

/// Failures are too many when there are more than one for this many successes.
const SUCCESSES_PER_FAILURE: usize = 4;

/// Why an upgrade is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldReason {
    /// The model has no window.
    NoWindow,
    /// The window is not open.
    OutsideWindow,
    /// The target's slot has not begun.
    BeforeSlot {
        /// Time until it begins.
        wait: Duration,
    },
    /// No other target is known to serve the new version, and one with an earlier rank could.
    Unproven,
    /// Too many targets have failed to take the new version.
    OthersFailed {
        /// Targets that failed.
        failed: usize,
        /// Targets that serve it.
        done: usize,
    },
    /// As many targets are upgraded as may be at a time.
    Crowded {
        /// Targets that are upgraded, or are about to be.
        upgrading: usize,
    },
    /// Too few other targets would serve.
    CapacityFloor {
        /// Other targets that serve.
        serving: usize,
        /// Targets that must serve.
        needed: usize,
    },
    /// This target has failed to take the version in this window.
    OwnFailure,
    /// The exclusive port is no longer held.
    FenceLost,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoWindow => formatter.write_str("the model has no upgrade window"),
            Self::OutsideWindow => formatter.write_str("the upgrade window is closed"),
            Self::BeforeSlot { wait } => {
                write!(formatter, "the slot begins in {} s", wait.as_secs())
            }
            Self::Unproven => formatter.write_str("no target serves the new version yet"),
            Self::OthersFailed { failed, done } => write!(
                formatter,
                "{failed} targets failed to take the new version, {done} serve it"
            ),
            Self::Crowded { upgrading } => {
                write!(formatter, "{upgrading} targets are being upgraded")
            }
            Self::CapacityFloor { serving, needed } => write!(
                formatter,
                "{serving} other targets serve, {needed} are needed"
            ),
            Self::OwnFailure => formatter.write_str("the upgrade failed in this window"),
            Self::FenceLost => formatter.write_str("the exclusive port is no longer held"),
        }
    }
}

/// Judges whether this target may begin to upgrade `model` at `wall`.
///
/// The floors of all `plans` count, since the target serves none of its models meanwhile.
pub(super) fn judge_start(
    model: &ids::ModelName,
    plan: &ModelPlan,
    plans: &BTreeMap<ids::ModelName, ModelPlan>,
    peers: &PeerTable,
    wall: WallTime,
) -> Result<(), HoldReason> {
    let view = PeerView { model, plan, peers };

    judge_time(plan, wall)?;
    view.judge_failures()?;
    view.judge_proof()?;
    view.judge_crowd()?;
    for (served, plan) in plans {
        view.judge_capacity(served, plan)?;
    }
    Ok(())
}

/// Judges whether too many other targets have failed to take the version.
pub(super) fn judge_failures(
    model: &ids::ModelName,
    plan: &ModelPlan,
    peers: &PeerTable,
) -> Result<(), HoldReason> {
    PeerView { model, plan, peers }.judge_failures()
}

fn judge_time(plan: &ModelPlan, wall: WallTime) -> Result<(), HoldReason> {
    let window = plan.window.as_ref().ok_or(HoldReason::NoWindow)?;
    let position = wall.position_in(window).ok_or(HoldReason::OutsideWindow)?;
    let wait = plan.slot_start(window).saturating_sub(position.elapsed);

    match wait.is_zero() {
        true => Ok(()),
        false => Err(HoldReason::BeforeSlot { wait }),
    }
}

/// The other targets of one model.
struct PeerView<'view> {
    model: &'view ids::ModelName,
    plan: &'view ModelPlan,
    peers: &'view PeerTable,
}

impl<'view> PeerView<'view> {
    fn judge_failures(&self) -> Result<(), HoldReason> {
        let failed = self
            .plan
            .others()
            .filter(|target| self.has_failed(target))
            .count();
        let done = self.count_done();

        match failed * SUCCESSES_PER_FAILURE > done {
            true => Err(HoldReason::OthersFailed { failed, done }),
            false => Ok(()),
        }
    }

    /// Only the first target that is there goes without proof.
    fn judge_proof(&self) -> Result<(), HoldReason> {
        let earlier = &self.plan.ranking[..self.plan.rank];
        let is_first = earlier.iter().all(|target| self.peers.is_gone(target));

        match is_first || self.count_done() > 0 {
            true => Ok(()),
            false => Err(HoldReason::Unproven),
        }
    }

    fn judge_crowd(&self) -> Result<(), HoldReason> {
        let running = self
            .plan
            .others()
            .filter(|target| self.is_upgrading(target));
        let about_to = self
            .starting_mates()
            .filter(|target| !self.is_upgrading(target));
        let upgrading = running.count() + about_to.count();

        match upgrading >= self.plan.parallel_upgrades() {
            true => Err(HoldReason::Crowded { upgrading }),
            false => Ok(()),
        }
    }

    /// Judges whether enough other targets serve the model `served`.
    fn judge_capacity(&self, served: &ids::ModelName, plan: &ModelPlan) -> Result<(), HoldReason> {
        let starting: BTreeSet<&ids::TargetName> = self.starting_mates().collect();
        let serving = plan
            .others()
            .filter(|target| self.peers.is_serving(served, target))
            .filter(|target| !starting.contains(target))
            .count();
        let needed = plan.targets_needed();

        match serving < needed {
            true => Err(HoldReason::CapacityFloor { serving, needed }),
            false => Ok(()),
        }
    }

    /// Returns the targets with earlier ranks in this slot that have not ended their upgrade.
    ///
    /// They judge by the same notes at the same time, and count as if they had begun.
    fn starting_mates(&self) -> impl Iterator<Item = &'view ids::TargetName> {
        let mates = self.plan.slot_mates().iter();
        mates.filter(|target| {
            let has_ended = self.is_done(target) || self.has_failed(target);
            !has_ended && !self.peers.is_gone(target)
        })
    }

    fn count_done(&self) -> usize {
        self.plan
            .others()
            .filter(|target| self.is_done(target))
            .count()
    }

    fn is_done(&self, target: &ids::TargetName) -> bool {
        self.peers
            .has_upgraded(self.model, target, &self.plan.version)
    }

    fn has_failed(&self, target: &ids::TargetName) -> bool {
        self.peers
            .has_failed(self.model, target, &self.plan.version)
    }

    fn is_upgrading(&self, target: &ids::TargetName) -> bool {
        self.peers.is_upgrading(self.model, target)
    }
}
