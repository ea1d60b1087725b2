//! Events that the dispatcher handles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_policy::limit;
use kingcupfall_policy::quarantine;

use super::CallDemand;
use super::PeerLoad;
use super::ReservationMessage;
use super::SpeedReport;
use super::TargetLimit;
use crate::directory;
use crate::membership;

/// How an attempt to run a call at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target sent a complete, successful response.
    Succeeded {
        /// Time from sending the request to the end of the response.
        took: Duration,
    },
    /// The target sent a complete response that reports its own failure.
    Failed,
    /// The target reported that it did not run the request.
    NotRun,
    /// The connection could not be established, so nothing was sent.
    Unreachable,
    /// The connection was lost or the response was malformed.
    Broken,
    /// The target sent nothing for too long.
    TimedOut,
    /// This relay ended the attempt: the caller left, its time expired, or its stream resumed at
    /// another target.
    Cancelled,
}

impl AttemptResult {
    /// Returns whether the target may still be running a call that goes on elsewhere.
    pub const fn may_run_on(self) -> bool {
        match self {
            Self::Broken | Self::TimedOut => true,
            Self::Succeeded { .. }
            | Self::Failed
            | Self::NotRun
            | Self::Unreachable
            | Self::Cancelled => false,
        }
    }
}

/// An event that the dispatcher handles.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// A call needs a target, for the first time or again.
    Arrived {
        /// Arrived call.
        call: ids::CallId,
        /// Requirements of the call.
        demand: Box<CallDemand>,
    },
    /// The first event of a call's stream was received.
    Started {
        /// Call of the stream.
        call: ids::CallId,
    },
    /// Further events of a call's stream were received.
    Progressed {
        /// Call of the stream.
        call: ids::CallId,
        /// Events received so far.
        events: u64,
    },
    /// An attempt ended; the call may arrive again.
    AttemptEnded {
        /// Call of the attempt.
        call: ids::CallId,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// The call ended and will not arrive again.
    CallEnded {
        /// Ended call.
        call: ids::CallId,
    },
    /// A stream requests a target to which its memory can migrate.
    MigrationRequested {
        /// Call of the stream.
        call: ids::CallId,
        /// Targets that had no capacity.
        tried: Vec<ids::TargetName>,
    },
    /// A stream resumes at another target, which holds its memory.
    Migrated {
        /// Call of the stream.
        call: ids::CallId,
        /// Target at which it resumes.
        target: Rc<directory::TargetRecord>,
    },
    /// A stream could not resume at another target: it stays at its previous one, without a copy.
    MigrationFailed {
        /// Call of the stream.
        call: ids::CallId,
        /// Previous target, which still runs the stream.
        target: Rc<directory::TargetRecord>,
        /// How the attempt to resume it at the other target ended.
        result: AttemptResult,
    },
    /// A stream lost its target, or that fell silent; the stream may resume at another one.
    StreamLost {
        /// Call of the stream.
        call: ids::CallId,
    },
    /// A probe of a target ended.
    TargetProbed {
        /// Incarnation that was probed.
        target: directory::TargetKey,
        /// Whether it accepted a connection.
        is_reachable: bool,
    },
    /// A target asked for a pause in which it gets no requests of this relay.
    TargetPaused {
        /// Incarnation that asked for it.
        target: directory::TargetKey,
        /// Length of the pause.
        pause: Duration,
    },
    /// A response stated whether its target limits the requests that it takes.
    LimitHeard {
        /// Incarnation that sent the response.
        target: directory::TargetKey,
        /// Requests that the target takes from all relays together; `None` without a limit.
        limit: Option<measures::RequestRate>,
        /// When the request was sent.
        sent_at: time::Timestamp,
    },
    /// A peer reported limits of targets.
    LimitsReported(Vec<TargetLimit>),
    /// This relay's shares of limits changed.
    LimitSharesChanged(Vec<(directory::TargetKey, limit::TokenRate)>),
    /// Routes became active: the limits on the requests to the cold targets of each service that has
    /// one.
    ColdRulesChanged(BTreeMap<ids::ServiceName, directory::ColdRule>),
    /// This relay's shares of the requests to cold targets changed.
    ColdSharesChanged(Vec<(directory::TargetKey, limit::TokenRate)>),
    /// A response stated how much other work slows the target's machine down at this moment.
    SlowdownHeard {
        /// Incarnation that sent the response.
        target: directory::TargetKey,
        /// Duration of work on its machine, in percent of the usual duration.
        percent: u32,
    },
    /// A peer reported what it observed of the speeds of targets.
    SpeedsReported {
        /// Reporting peer.
        peer: ids::VmName,
        /// Its recent observations.
        reports: Vec<SpeedReport>,
    },
    /// A peer reported requests that crashed targets.
    SuspectsReported(Vec<quarantine::SuspectRecord>),
    /// A peer reported crashes that may be due to prompts, or what it learnt of them.
    PromptCrashesReported(Vec<quarantine::PromptCrash>),
    /// Targets became usable, began to leave or are gone.
    TargetsChanged(Vec<directory::TargetChange>),
    /// The set of evacuated availability zones changed to this one.
    EvacuationsChanged(BTreeSet<ids::ZoneName>),
    /// A peer reported its load at all targets.
    PeerLoadsReplaced {
        /// Reporting peer.
        peer: ids::VmName,
        /// Its load by target; it has none at targets that are not listed.
        loads: Vec<PeerLoad>,
    },
    /// A peer reported changed loads at some targets.
    PeerLoadsUpdated {
        /// Reporting peer.
        peer: ids::VmName,
        /// Its load at these targets.
        loads: Vec<PeerLoad>,
    },
    /// A peer requested a reservation at a target, or replied to a request of this relay.
    ReservationReceived {
        /// Sending peer.
        peer: ids::VmName,
        /// Received message.
        message: ReservationMessage,
    },
    /// A peer is gone or belongs to another cell, so its load no longer counts.
    PeerLost {
        /// Lost peer.
        peer: ids::VmName,
    },
    /// The cells of the fleet were resized to this depth; relays of one cell share targets.
    CellDepthChanged(membership::CellDepth),
    /// This relay is stopping: waiting streams could not end before it does.
    Stopping,
    /// Time has passed; sent several times within the shortest target latency.
    Tick,
}
