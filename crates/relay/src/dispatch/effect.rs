//! Effects that the dispatcher asks for.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;

use super::LoadCount;
use super::ReservationMessage;
use crate::directory;

/// Where a call goes.
#[derive(Debug, Clone, PartialEq)]
pub struct CallPlacement {
    /// Target that runs it.
    pub target: Rc<directory::TargetRecord>,
    /// Target that is to hold a copy of its memory.
    pub copy_holder: Option<Rc<directory::TargetRecord>>,
    /// Load that all processes were known to have there when it was chosen, without the call.
    pub load: LoadCount,
}

/// Why a call is refused; it was sent to no target that may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No target of the service is known that takes work.
    NoTarget,
    /// Those that wait already take longer than the call can wait.
    QueueTooLong,
    /// It waited as long as is of use.
    WaitTimedOut,
    /// It is larger than a target's memory.
    TooLarge,
    /// It crashed targets that ran it.
    Quarantined,
    /// Its targets refused it, and no further try is allowed.
    Shed,
    /// The process stops.
    Stopping,
    /// No routes are known yet.
    NotConfigured,
    /// The process holds as many bodies as it can.
    Overloaded,
}

impl RefusalReason {
    /// Returns the reason as logs and metrics name it.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::QueueTooLong => "crowded",
            Self::WaitTimedOut => "waited_out",
            Self::TooLarge => "too_large",
            Self::Quarantined => "quarantined",
            Self::Shed => "shed",
            Self::Stopping => "stopping",
            Self::NotConfigured => "not_configured",
            Self::Overloaded => "overloaded",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// A refusal as the caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back with a prospect of being served.
    pub retry_after: Duration,
}

/// One effect, for one call or for a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchEffect {
    /// Send the call.
    Place {
        /// The call.
        call: ids::CallId,
        /// Where to.
        placement: CallPlacement,
    },
    /// Answer that the call has not run.
    Refuse {
        /// The call.
        call: ids::CallId,
        /// What the caller is told.
        refusal: CallRefusal,
    },
    /// The call's target leaves: bring its stream to another one.
    Migrate {
        /// The call.
        call: ids::CallId,
    },
    /// The target with the copy of the call's memory is gone or leaves.
    DropCopy {
        /// The call.
        call: ids::CallId,
    },
    /// Target to which the memory of a call may be moved, if there is one.
    MigrationTarget {
        /// The call.
        call: ids::CallId,
        /// The target.
        target: Option<Rc<directory::TargetRecord>>,
    },
    /// A target is doubted, or trusted again.
    HealthChanged {
        /// The target.
        target: ids::TargetName,
        /// Whether it is trusted.
        is_healthy: bool,
        /// Attempts that failed, of a thousand recent ones.
        failures_per_thousand: u64,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        peer: ids::VmName,
        /// The message.
        message: ReservationMessage,
    },
}

impl DispatchEffect {
    /// Returns the call that the effect is for, if it is for one.
    pub const fn call(&self) -> Option<ids::CallId> {
        match self {
            Self::Place { call, .. }
            | Self::Refuse { call, .. }
            | Self::Migrate { call }
            | Self::DropCopy { call }
            | Self::MigrationTarget { call, .. } => Some(*call),
            Self::HealthChanged { .. } | Self::Send { .. } => None,
        }
    }
}
