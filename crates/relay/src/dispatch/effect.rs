//! Effects that the dispatcher returns to the shell.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;

use super::ColdChange;
use super::LoadCount;
use super::PlacementForecast;
use super::ReservationMessage;
use crate::directory;

/// The target assigned to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallPlacement {
    /// Target that runs the call.
    pub target: Rc<directory::TargetRecord>,
    /// Target that holds a copy of the call's memory; `None` if there is no copy.
    pub copy_holder: Option<Rc<directory::TargetRecord>>,
    /// Known load of all relays at the target when it was chosen, without this call; after a
    /// migration, that of the peers only.
    pub load: LoadCount,
    /// Speed of the target and risk of a late stream there; the default for a plain service.
    pub forecast: PlacementForecast,
}

/// Why a call is refused; it was not sent to any target that may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The service has no known target that accepts work.
    NoTarget,
    /// The calls ahead of it take longer than it may wait.
    QueueTooLong,
    /// It has waited for the maximum time.
    WaitTimedOut,
    /// It is larger than a target's memory.
    TooLarge,
    /// It crashed targets that ran it.
    Quarantined,
    /// Requests with this part of its prompt crashed targets that ran them.
    PartQuarantined(work::PromptPartId),
    /// Its targets refused it, and no further attempt is allowed.
    TargetsRefused,
    /// Its targets limit the requests that they take.
    TargetsLimited,
    /// This relay is stopping.
    Stopping,
    /// No routes have been received yet.
    NotConfigured,
    /// This relay buffers as many request bodies as its memory allows.
    Overloaded,
}

impl RefusalReason {
    /// Returns the reason's name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::QueueTooLong => "crowded",
            Self::WaitTimedOut => "waited_out",
            Self::TooLarge => "too_large",
            Self::Quarantined => "quarantined",
            Self::PartQuarantined(_) => "part_quarantined",
            Self::TargetsRefused => "shed",
            Self::TargetsLimited => "limited",
            Self::Stopping => "stopping",
            Self::NotConfigured => "not_configured",
            Self::Overloaded => "overloaded",
        }
    }
}

impl RefusalReason {
    /// Returns the prompt part that is the reason, if any.
    pub const fn part(self) -> Option<work::PromptPartId> {
        match self {
            Self::PartQuarantined(part) => Some(part),
            _ => None,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// A refusal as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller can expect to be served.
    pub retry_after: Duration,
}

/// Where suspicions of requests come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectSource {
    /// This target crashed while it ran the requests.
    Crash(ids::TargetName),
    /// A peer reported them.
    Peer,
}

/// What made this relay decide anew about prompt parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartSource {
    /// This target crashed.
    Crash(ids::TargetName),
    /// A peer reported a crash, or what is known of one.
    Peer,
    /// A stream was sound, or a target that had been taken for crashed responded.
    Response,
    /// Time has passed.
    Time,
}

/// Where a target's limit was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// In a response of the target to this relay.
    Target,
    /// A peer reported it.
    Peer,
}

impl LimitSource {
    /// Returns the source's name in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Peer => "peer",
        }
    }
}

/// An effect for one call, one target or one peer.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchEffect {
    /// Send the call to a target, or continue at it after a migration.
    Place {
        /// Call to send.
        call: ids::CallId,
        /// Assigned target.
        placement: CallPlacement,
    },
    /// Respond that the call was not run.
    Refuse {
        /// Refused call.
        call: ids::CallId,
        /// Reason and retry time for the caller.
        refusal: CallRefusal,
    },
    /// The call's target is leaving: migrate its stream to another target.
    Migrate {
        /// Call to migrate.
        call: ids::CallId,
        /// Target that is leaving. The call may have another one by the time it learns of this.
        target: directory::TargetKey,
    },
    /// The copy holder of the call is gone or leaving, or its zone is evacuated: drop the copy.
    DropCopy {
        /// Call whose copy is lost.
        call: ids::CallId,
        /// Copy holder that may not be used. The call may have another one by then.
        holder: directory::TargetKey,
    },
    /// Reply to [`MigrationRequested`](super::DispatchEvent::MigrationRequested).
    MigrationTarget {
        /// Call to migrate.
        call: ids::CallId,
        /// Target with capacity for the call's memory; `None` if none was found.
        target: Option<Rc<directory::TargetRecord>>,
    },
    /// A target became unhealthy, or healthy again.
    HealthChanged {
        /// Target whose health changed.
        target: ids::TargetName,
        /// Whether the target is healthy now.
        is_healthy: bool,
        /// Decayed failure rate of recent attempts, per thousand.
        failures_per_thousand: u64,
    },
    /// A target's limit changed: write it to the log.
    LimitChanged {
        /// Target that named the limit.
        target: ids::TargetName,
        /// Requests that the target takes from all relays together; `None` if it has no limit any
        /// more.
        limit: Option<measures::RequestRate>,
        /// Where the limit was heard.
        source: LimitSource,
    },
    /// Targets became cold, or are no longer: write it to the log, and update the shares.
    ColdChanged(Vec<ColdChange>),
    /// Check after `delay` whether a target accepts connections.
    Probe {
        /// Target to probe.
        target: Rc<directory::TargetRecord>,
        /// Time until the probe.
        delay: Duration,
    },
    /// Requests became suspect or quarantined: write them to the log, and tell the peers of those
    /// that this relay found.
    SuspectsChanged {
        /// New state of the requests.
        records: Vec<quarantine::SuspectRecord>,
        /// Where the suspicions come from.
        source: SuspectSource,
    },
    /// Prompts were lost in the crash of a target: write them to the log.
    PromptsLost {
        /// Target that crashed.
        target: ids::TargetName,
        /// Prompts that may be the cause.
        prompts: Vec<quarantine::LostPrompt>,
    },
    /// This relay learnt something of crashes that may be due to prompts: tell all peers.
    PromptCrashesChanged(Vec<quarantine::PromptCrash>),
    /// Prompt parts became suspect, quarantined or neither: write them to the log.
    PartsChanged {
        /// Changed parts.
        changes: Vec<quarantine::PartChange>,
        /// What the changes are due to.
        source: PartSource,
    },
    /// Send a reservation message to a peer.
    Send {
        /// Receiving peer.
        peer: ids::VmName,
        /// Message to send.
        message: ReservationMessage,
    },
}

impl DispatchEffect {
    /// Returns the call that the effect concerns, if any.
    pub const fn call(&self) -> Option<ids::CallId> {
        match self {
            Self::Place { call, .. }
            | Self::Refuse { call, .. }
            | Self::Migrate { call, .. }
            | Self::DropCopy { call, .. }
            | Self::MigrationTarget { call, .. } => Some(*call),
            Self::HealthChanged { .. }
            | Self::LimitChanged { .. }
            | Self::ColdChanged(_)
            | Self::Probe { .. }
            | Self::SuspectsChanged { .. }
            | Self::PromptsLost { .. }
            | Self::PromptCrashesChanged(_)
            | Self::PartsChanged { .. }
            | Self::Send { .. } => None,
        }
    }
}
