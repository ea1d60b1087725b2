//! Records of decisions, one JSON line each.

use std::time::Duration;

use kingcupfall_core::ids;
use serde::Serialize;
use serde_with::skip_serializing_none;

/// What was decided or learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// The process started.
    Started,
    /// The process was told to stop.
    Stopping,
    /// The process ends.
    Stopped,
    /// The settings were read again.
    Reloaded,
    /// Settings that can't be read were left alone.
    ReloadFailed,
    /// A version of the routes is in force.
    RoutesTaken,
    /// A version of the routes can't be read.
    RoutesRejected,
    /// A target may be used.
    TargetSeen,
    /// A target leaves.
    TargetLeaving,
    /// A target's record is gone.
    TargetGone,
    /// A target's record can't be read.
    TargetRejected,
    /// A target fails too often or can't be reached, and is left alone while there are others.
    TargetDoubted,
    /// It is used like the others again.
    TargetTrusted,
    /// The platform's directory does not answer.
    DirectoryLost,
    /// It answers again.
    DirectoryRegained,
    /// A peer is linked.
    PeerSeen,
    /// A peer is lost.
    PeerLost,
    /// A call waits for a target with room.
    Queued,
    /// A call was sent to a target.
    Placed,
    /// A call was refused before any target could run it.
    Refused,
    /// A caller's request was rejected as improper.
    Rejected,
    /// An attempt at a target ended without a success.
    AttemptFailed,
    /// A stream goes on at another target.
    Resumed,
    /// A stream could not be brought to another target.
    MoveFailed,
    /// A call ended.
    Ended,
    /// A caller left before its answer.
    CallerLeft,
    /// Lines that were left out.
    Omitted,
}

impl RecordKind {
    /// Says whether records of this kind tell of a failure; these are left out last.
    pub const fn is_failure(self) -> bool {
        match self {
            Self::Refused
            | Self::Rejected
            | Self::AttemptFailed
            | Self::MoveFailed
            | Self::RoutesRejected
            | Self::TargetRejected
            | Self::ReloadFailed
            | Self::TargetDoubted
            | Self::DirectoryLost
            | Self::PeerLost
            | Self::Omitted => true,
            Self::Started
            | Self::Stopping
            | Self::Stopped
            | Self::Reloaded
            | Self::RoutesTaken
            | Self::TargetSeen
            | Self::TargetLeaving
            | Self::TargetGone
            | Self::DirectoryRegained
            | Self::TargetTrusted
            | Self::PeerSeen
            | Self::Queued
            | Self::Placed
            | Self::Resumed
            | Self::Ended
            | Self::CallerLeft => false,
        }
    }
}

/// One line. Fields that say nothing of the decision are left out.
#[skip_serializing_none]
#[derive(Debug, Clone, Serialize)]
pub struct DecisionRecord {
    /// What was decided.
    pub event: RecordKind,
    /// The caller's id of its request.
    pub request: Option<Box<str>>,
    /// Name of the route.
    pub route: Option<Box<str>>,
    /// The caller's organisation.
    pub organisation: Option<Box<str>>,
    /// Target that the line is about.
    pub target: Option<Box<str>>,
    /// Target that holds or gets a copy.
    pub copy: Option<Box<str>>,
    /// What came of it, and why.
    pub outcome: Option<Box<str>>,
    /// Version of the routes or of the directory that the decision rests on.
    pub version: Option<u64>,
    /// Status of an answer.
    pub status: Option<u16>,
    /// Number of the attempt, event, target or line that the outcome names.
    pub count: Option<u64>,
    /// Calls that the target was known to have when it was chosen.
    pub load_calls: Option<u32>,
    /// Tokens of its memory that these were expected to need.
    pub load_tokens: Option<u64>,
    /// Time since the request arrived, or age of what the decision rests on.
    pub after_ms: Option<u64>,
    /// Time after which the caller may come back.
    pub retry_after_ms: Option<u64>,
    /// Time from arrival to the first event of a stream.
    pub first_event_ms: Option<u64>,
    /// Longest pause between events of a stream.
    pub longest_pause_ms: Option<u64>,
}

impl DecisionRecord {
    /// Makes a record that says nothing but its kind.
    pub const fn new(event: RecordKind) -> Self {
        Self {
            event,
            request: None,
            route: None,
            organisation: None,
            target: None,
            copy: None,
            outcome: None,
            version: None,
            status: None,
            count: None,
            load_calls: None,
            load_tokens: None,
            after_ms: None,
            retry_after_ms: None,
            first_event_ms: None,
            longest_pause_ms: None,
        }
    }

    /// Sets the request.
    pub fn request(mut self, request: &str) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the route.
    pub fn route(mut self, route: &str) -> Self {
        self.route = Some(route.into());
        self
    }

    /// Sets the organisation.
    pub fn organisation(mut self, organisation: &str) -> Self {
        self.organisation = Some(organisation.into());
        self
    }

    /// Sets the target.
    pub fn target(mut self, target: &ids::TargetName) -> Self {
        self.target = Some(target.as_str().into());
        self
    }

    /// Sets the VM of a peer in place of a target.
    pub fn target_text(mut self, name: &str) -> Self {
        self.target = Some(name.into());
        self
    }

    /// Sets the target with the copy.
    pub fn copy(mut self, target: Option<&ids::TargetName>) -> Self {
        self.copy = target.map(|target| target.as_str().into());
        self
    }

    /// Sets the outcome.
    pub fn outcome(mut self, outcome: &str) -> Self {
        self.outcome = Some(outcome.into());
        self
    }

    /// Sets the version.
    pub const fn version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Sets the status.
    pub const fn status(mut self, status: u16) -> Self {
        self.status = Some(status);
        self
    }

    /// Sets the count.
    pub const fn count(mut self, count: u64) -> Self {
        self.count = Some(count);
        self
    }

    /// Sets the load that a target was chosen by.
    pub const fn load(mut self, calls: u32, tokens: u64) -> Self {
        self.load_calls = Some(calls);
        self.load_tokens = Some(tokens);
        self
    }

    /// Sets the time that has passed.
    pub fn after(mut self, after: Duration) -> Self {
        self.after_ms = Some(millis(after));
        self
    }

    /// Sets how a stream kept its times.
    pub fn stream(mut self, first_event: Option<Duration>, longest_pause: Duration) -> Self {
        self.first_event_ms = first_event.map(millis);
        self.longest_pause_ms = Some(millis(longest_pause));
        self
    }

    /// Sets when the caller may come back.
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after_ms = Some(millis(retry_after));
        self
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
