//! Decision records, written to the log as one JSON line each.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use serde::Serialize;
use serde_with::skip_serializing_none;

/// Longest text in a record. Texts of other programs, as in errors, have any length.
const MAX_TEXT_BYTES: usize = 512;

/// Kind of a decision or an observed change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// The process started.
    Started,
    /// The process was requested to stop.
    Stopping,
    /// The process is about to exit.
    Stopped,
    /// The settings were reloaded.
    Reloaded,
    /// The changed settings can't be read; the previous ones stay active.
    ReloadFailed,
    /// A version of the routes became active.
    #[serde(rename = "routes_taken")]
    RoutesActivated,
    /// A version of the routes can't be decoded.
    RoutesRejected,
    /// Newer routes were requested from a peer.
    RoutesRequested,
    /// Routes were received from a peer, newer than the active ones or not.
    RoutesReceived,
    /// A target may be used, or its record changed.
    #[serde(rename = "target_seen")]
    TargetUsable,
    /// A target accepts no new work from now on.
    TargetLeaving,
    /// A target's record disappeared and is kept, as its registration may have expired.
    TargetMissing,
    /// A target's record was removed.
    TargetGone,
    /// A target's record can't be decoded.
    TargetRejected,
    /// A target fails too often or can't be reached; it is used only if no other target is
    /// available.
    #[serde(rename = "target_doubted")]
    TargetUnhealthy,
    /// A target that was unhealthy is used normally again.
    #[serde(rename = "target_trusted")]
    TargetHealthy,
    /// A target named a limit on the requests that it takes, or another limit than before.
    TargetLimited,
    /// A target that had named a limit takes any number of requests again.
    TargetUnlimited,
    /// A target became cold: it gets few requests from all relays together.
    TargetCold,
    /// A target that was cold takes any number of requests again.
    TargetWarm,
    /// A target asked this relay to send nothing for some time.
    TargetPaused,
    /// A call to the platform's directory failed.
    DirectoryCallFailed,
    /// The platform's directory stopped responding.
    DirectoryLost,
    /// The platform's directory responds again.
    DirectoryRegained,
    /// The platform's directory has returned from an older copy of itself.
    DirectoryRestored,
    /// An availability zone is evacuated: nothing is sent to its targets any more.
    ZoneEvacuated,
    /// The evacuation of an availability zone was withdrawn.
    EvacuationWithdrawn,
    /// The first link to a peer was opened.
    #[serde(rename = "peer_seen")]
    PeerLinked,
    /// The last link to a peer was closed.
    PeerLost,
    /// A call waits for a target with capacity.
    Queued,
    /// A call was sent to a target.
    Placed,
    /// A call was refused before any target could run it.
    Refused,
    /// A caller's request was rejected as invalid.
    Rejected,
    /// An attempt at a target ended without success.
    AttemptFailed,
    /// A request is suspected of having crashed a target that ran it.
    Suspected,
    /// A request has crashed too many targets: it is refused from now on.
    Quarantined,
    /// The target of a running stream sends nothing; a probe has found whether it accepts
    /// connections.
    TargetSilent,
    /// A target crashed, and prompts that may be the cause were lost there.
    PromptsLost,
    /// A part of prompts is suspected of having crashed targets.
    PartSuspected,
    /// Requests with a part of their prompts have crashed too many targets: they are refused from
    /// now on.
    PartQuarantined,
    /// A part of prompts is neither suspected nor quarantined any more.
    PartCleared,
    /// A stream was resumed at another target.
    Resumed,
    /// The end of a stream's run at a target that the stream has left was confirmed, or could not be.
    FormerRun,
    /// A stream could not be migrated to or resumed at another target, or an event of it was lost.
    #[serde(rename = "move_failed")]
    MigrationFailed,
    /// A call ended.
    Ended,
    /// A connection was closed for others, as its client kept the process waiting.
    ClientYielded,
    /// A caller disconnected before it received its response.
    CallerLeft,
    /// Records of one kind were omitted because they exceeded the limit per second.
    Omitted,
}

impl RecordKind {
    /// Returns true if records of this kind report a failure. Such kinds may write more lines per
    /// second before records are omitted.
    pub const fn is_failure(self) -> bool {
        match self {
            Self::Refused
            | Self::Rejected
            | Self::AttemptFailed
            | Self::Suspected
            | Self::Quarantined
            | Self::TargetSilent
            | Self::PromptsLost
            | Self::PartSuspected
            | Self::PartQuarantined
            | Self::MigrationFailed
            | Self::RoutesRejected
            | Self::TargetRejected
            | Self::ReloadFailed
            | Self::TargetUnhealthy
            | Self::DirectoryCallFailed
            | Self::DirectoryLost
            | Self::PeerLost
            | Self::Omitted => true,
            Self::Started
            | Self::Stopping
            | Self::Stopped
            | Self::Reloaded
            | Self::RoutesActivated
            | Self::RoutesRequested
            | Self::RoutesReceived
            | Self::TargetUsable
            | Self::TargetLeaving
            | Self::TargetMissing
            | Self::TargetGone
            | Self::DirectoryRegained
            | Self::DirectoryRestored
            | Self::ZoneEvacuated
            | Self::EvacuationWithdrawn
            | Self::TargetHealthy
            | Self::TargetLimited
            | Self::TargetUnlimited
            | Self::TargetCold
            | Self::TargetWarm
            | Self::TargetPaused
            | Self::PeerLinked
            | Self::Queued
            | Self::Placed
            | Self::PartCleared
            | Self::Resumed
            | Self::FormerRun
            | Self::Ended
            | Self::ClientYielded
            | Self::CallerLeft => false,
        }
    }
}

/// One line of the decision log. Fields that don't apply to the decision are `None` and omitted.
#[skip_serializing_none]
#[derive(Debug, Clone, Serialize)]
pub struct DecisionRecord {
    /// Kind of the decision.
    pub event: RecordKind,
    /// Id that the caller gave its request.
    pub request: Option<Box<str>>,
    /// Fingerprint of the request, the same each time that its caller sends it.
    pub fingerprint: Option<Box<str>>,
    /// Part of the prompt that is the reason.
    pub part: Option<Box<str>>,
    /// Shared parts of the prompts that were lost: those of a prompt joined by commas, the prompts
    /// by semicolons.
    pub prompts: Option<Box<str>>,
    /// Name of the request's route.
    pub route: Option<Box<str>>,
    /// Organisation of the caller.
    pub organisation: Option<Box<str>>,
    /// Name of the target concerned, or VM of the peer concerned.
    pub target: Option<Box<str>>,
    /// Name of the availability zone concerned.
    pub zone: Option<Box<str>>,
    /// Name of the target that holds or is to hold a copy of the stream's memory.
    pub copy: Option<Box<str>>,
    /// Result, source or reason of the decision.
    pub outcome: Option<Box<str>>,
    /// Version of the routes, or directory revision, that the decision is based on.
    pub version: Option<u64>,
    /// HTTP status of a response.
    pub status: Option<u16>,
    /// Number or count of the attempts, events, failures, calls, routes or lines that the record
    /// concerns.
    pub count: Option<u64>,
    /// Number of calls that the target was known to run when it was chosen.
    pub load_calls: Option<u32>,
    /// Tokens of the target's memory that these calls were expected to need.
    pub load_tokens: Option<u64>,
    /// Time that work takes at the target, in thousandths of the usual time.
    pub speed_thousandths: Option<u32>,
    /// Risk that a pause between two events is too long at the target, in thousandths.
    pub pause_risk_thousandths: Option<u32>,
    /// Requests per second that the target takes from all relays together.
    pub limit_per_s: Option<measures::RequestRate>,
    /// Milliseconds since the request arrived, or duration of the attempt, silence or stop that the
    /// record reports.
    pub after_ms: Option<u64>,
    /// Milliseconds after which the caller may retry.
    pub retry_after_ms: Option<u64>,
    /// Milliseconds from the request's arrival to the first event of its stream.
    pub first_event_ms: Option<u64>,
    /// Longest pause between two events of a stream, in milliseconds.
    pub longest_pause_ms: Option<u64>,
}

/// Shortens a text that may come from elsewhere.
fn shorten(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}

impl DecisionRecord {
    /// Creates a record with all fields but the kind unset.
    pub const fn new(event: RecordKind) -> Self {
        Self {
            event,
            request: None,
            fingerprint: None,
            part: None,
            prompts: None,
            route: None,
            organisation: None,
            target: None,
            zone: None,
            copy: None,
            outcome: None,
            version: None,
            status: None,
            count: None,
            load_calls: None,
            load_tokens: None,
            speed_thousandths: None,
            pause_risk_thousandths: None,
            limit_per_s: None,
            after_ms: None,
            retry_after_ms: None,
            first_event_ms: None,
            longest_pause_ms: None,
        }
    }

    /// Sets the caller's id of the request.
    pub fn request(mut self, request: &str) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the fingerprint of the request.
    pub fn fingerprint(mut self, fingerprint: work::RequestFingerprint) -> Self {
        self.fingerprint = Some(fingerprint.to_string().into());
        self
    }

    /// Sets the part of the prompt that is the reason.
    pub fn part(mut self, part: Option<work::PromptPartId>) -> Self {
        self.part = part.map(|part| part.to_string().into());
        self
    }

    /// Sets the text that names the prompts that were lost.
    pub fn prompts(mut self, prompts: &str) -> Self {
        self.prompts = Some(prompts.into());
        self
    }

    /// Sets the name of the route.
    pub fn route(mut self, route: &str) -> Self {
        self.route = Some(route.into());
        self
    }

    /// Sets the caller's organisation.
    pub fn organisation(mut self, organisation: &str) -> Self {
        self.organisation = Some(organisation.into());
        self
    }

    /// Sets the target to the name of a registered target.
    pub fn target(mut self, target: &ids::TargetName) -> Self {
        self.target = Some(target.as_str().into());
        self
    }

    /// Sets the target to any text: the VM of a peer, or an id whose record can't be decoded.
    pub fn target_text(mut self, name: &str) -> Self {
        self.target = Some(shorten(name).into());
        self
    }

    /// Sets the availability zone.
    pub fn zone(mut self, zone: &ids::ZoneName) -> Self {
        self.zone = Some(zone.as_str().into());
        self
    }

    /// Sets the target that holds or is to hold a copy.
    pub fn copy(mut self, target: Option<&ids::TargetName>) -> Self {
        self.copy = target.map(|target| target.as_str().into());
        self
    }

    /// Sets the result, source or reason of the decision.
    pub fn outcome(mut self, outcome: &str) -> Self {
        self.outcome = Some(shorten(outcome).into());
        self
    }

    /// Sets the version of the routes, or the directory revision.
    pub const fn version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Sets the HTTP status of a response.
    pub const fn status(mut self, status: u16) -> Self {
        self.status = Some(status);
        self
    }

    /// Sets the number or count that the record concerns.
    pub const fn count(mut self, count: u64) -> Self {
        self.count = Some(count);
        self
    }

    /// Sets the load for which a target was chosen.
    pub const fn load(mut self, calls: u32, tokens: u64) -> Self {
        self.load_calls = Some(calls);
        self.load_tokens = Some(tokens);
        self
    }

    /// Sets the forecast for which a target was chosen, in thousandths.
    pub const fn forecast(mut self, speed: u32, pause_risk: u32) -> Self {
        self.speed_thousandths = Some(speed);
        self.pause_risk_thousandths = Some(pause_risk);
        self
    }

    /// Sets the requests per second that the target takes.
    pub const fn limit(mut self, limit: Option<measures::RequestRate>) -> Self {
        self.limit_per_s = limit;
        self
    }

    /// Sets the time since the request arrived, or the duration that the record reports.
    pub fn after(mut self, after: Duration) -> Self {
        self.after_ms = Some(millis(after));
        self
    }

    /// Sets the time to the first event of a stream and the longest pause between its events.
    pub fn stream_timing(mut self, first_event: Option<Duration>, longest_pause: Duration) -> Self {
        self.first_event_ms = first_event.map(millis);
        self.longest_pause_ms = Some(millis(longest_pause));
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after_ms = Some(millis(retry_after));
        self
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
