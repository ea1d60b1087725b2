//! Effects that the dispatcher asks for.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;

use super::ClaimMessage;
use super::LoadCount;
use crate::directory;

/// Where a call goes.
#[derive(Debug, Clone, PartialEq)]
pub struct CallPlacement {
    /// Target that runs it.
    pub target: Rc<directory::TargetRecord>,
    /// Target that is to hold a copy of its memory.
    pub copy_to: Option<Rc<directory::TargetRecord>>,
    /// Load that all processes were known to have there when it was chosen, without the call.
    pub load: LoadCount,
}

/// Why a call is refused; it was sent to no target that may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No target of the service is known that takes work.
    NoTarget,
    /// Those that wait already take longer than the call can wait.
    Crowded,
    /// It waited as long as is of use.
    WaitedOut,
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
            Self::Crowded => "crowded",
            Self::WaitedOut => "waited_out",
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
    Evacuate {
        /// The call.
        call: ids::CallId,
    },
    /// The target with the copy of the call's memory is gone or leaves.
    DropCopy {
        /// The call.
        call: ids::CallId,
    },
    /// Target to which the memory of a call may be moved, if there is one.
    Shelter {
        /// The call.
        call: ids::CallId,
        /// The target.
        target: Option<Rc<directory::TargetRecord>>,
    },
    /// A target is doubted, or trusted again.
    Trust {
        /// The target.
        target: ids::TargetName,
        /// Whether it is trusted.
        is_trusted: bool,
        /// Attempts that failed, of a thousand recent ones.
        failures: u64,
    },
    /// Send a message to a peer.
    Tell {
        /// The peer.
        peer: ids::VmName,
        /// The message.
        message: ClaimMessage,
    },
}

impl DispatchEffect {
    /// Returns the call that the effect is for, if it is for one.
    pub const fn call(&self) -> Option<ids::CallId> {
        match self {
            Self::Place { call, .. }
            | Self::Refuse { call, .. }
            | Self::Evacuate { call }
            | Self::DropCopy { call }
            | Self::Shelter { call, .. } => Some(*call),
            Self::Trust { .. } | Self::Tell { .. } => None,
        }
    }
}
