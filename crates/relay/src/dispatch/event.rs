//! Events that the dispatcher takes.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;

use super::CallDemand;
use super::PeerLoad;
use super::ReservationMessage;
use crate::directory;
use crate::membership;

/// How an attempt of a call at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target's whole answer came, a success.
    Succeeded {
        /// Time from sending the request to the end of the answer.
        took: Duration,
    },
    /// The target's whole answer came, a failure of its own.
    Failed,
    /// The target said that it did not run the request.
    Shed,
    /// No connection came about, so that nothing was sent.
    Unreachable,
    /// The connection broke or what came is no answer.
    Broken,
    /// Nothing came for too long.
    TimedOut,
    /// This side ended the attempt: the caller left, its time was over, or its stream went on
    /// at another target.
    Cancelled,
}

/// One event.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// A call wants a target, for the first time or again.
    Arrived {
        /// The call.
        call: ids::CallId,
        /// What it needs.
        demand: Box<CallDemand>,
    },
    /// The first event of a call's stream came.
    Started {
        /// The call.
        call: ids::CallId,
    },
    /// Events of a call's stream came.
    Progressed {
        /// The call.
        call: ids::CallId,
        /// Events so far.
        events: u64,
    },
    /// An attempt ended; the call may arrive again.
    AttemptEnded {
        /// The call.
        call: ids::CallId,
        /// How it ended.
        result: AttemptResult,
    },
    /// The call is over.
    CallEnded {
        /// The call.
        call: ids::CallId,
    },
    /// A stream wants a target to which its memory can be moved.
    MigrationRequested {
        /// The call.
        call: ids::CallId,
        /// Targets that had no room.
        tried: Vec<ids::TargetName>,
    },
    /// A stream is to go on at another target, which holds its memory.
    Migrated {
        /// The call.
        call: ids::CallId,
        /// The target.
        target: Rc<directory::TargetRecord>,
    },
    /// It can't, and is still at its former target, without a copy.
    MigrationFailed {
        /// The call.
        call: ids::CallId,
        /// The former target.
        target: Rc<directory::TargetRecord>,
    },
    /// Targets changed.
    TargetsChanged(Vec<directory::TargetChange>),
    /// A peer told what it has at each target.
    PeerLoadsReplaced {
        /// The peer.
        peer: ids::VmName,
        /// Its load by target; targets that are left out have none.
        loads: Vec<PeerLoad>,
    },
    /// A peer told what it has at some targets.
    PeerLoadsUpdated {
        /// The peer.
        peer: ids::VmName,
        /// Its load at those targets.
        loads: Vec<PeerLoad>,
    },
    /// A peer asks for room at a target, or answers such a question.
    ReservationReceived {
        /// The peer.
        peer: ids::VmName,
        /// What it says.
        message: ReservationMessage,
    },
    /// A peer is gone.
    PeerLost {
        /// The peer.
        peer: ids::VmName,
    },
    /// The part of the fleet that shares targets with this process is another one: this deep are
    /// cells at the present size.
    CellDepthChanged(membership::CellDepth),
    /// The process stops: streams that wait could not end before it does.
    Stopping,
    /// Time has passed; comes several times within the shortest target latency.
    Tick,
}
