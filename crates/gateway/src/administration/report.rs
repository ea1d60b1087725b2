//! The JSON types of the administration API. Times are in the unit that the field name ends in.

use std::time::Duration;

use kingcupfall_core::findings;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer as fleet;
use kingcupfall_policy::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::reducer;
use crate::state;

/// Why a target is not eligible for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObstacleReport {
    /// The target is leaving and takes no new work.
    Leaving,
    /// No link to the target's agent is open.
    NoLink,
    /// Nothing has been received from the agent for [`reducer::TARGET_SILENCE_TIMEOUT`].
    Silent,
    /// The agent reports that the target does not respond.
    TargetDown,
}

impl From<state::TargetObstacle> for ObstacleReport {
    fn from(obstacle: state::TargetObstacle) -> Self {
        match obstacle {
            state::TargetObstacle::Leaving => Self::Leaving,
            state::TargetObstacle::NoLink => Self::NoLink,
            state::TargetObstacle::Silent => Self::Silent,
            state::TargetObstacle::TargetDown => Self::TargetDown,
        }
    }
}

/// State of the link to a target's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkReport {
    /// There is no link.
    Closed,
    /// The link is being opened.
    Connecting,
    /// The link is open.
    Open,
}

/// Load of a target, from its agent's last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Streams that the engine runs.
    pub running: u32,
    /// Streams that the agent has paused on the engine.
    pub paused: u32,
    /// Attempts that wait for admission.
    pub queued: u32,
    /// Key-value memory in use, in tokens.
    pub memory_used: measures::TokenCount,
    /// Key-value memory in total, in tokens.
    pub memory_total: measures::TokenCount,
    /// Forecast wait of a new attempt before admission, in milliseconds.
    pub queue_delay_ms: u64,
}

impl LoadReport {
    fn new(load: &load::LoadSummary) -> Self {
        Self {
            running: load.running,
            paused: load.paused,
            queued: load.queued,
            memory_used: load.memory_used,
            memory_total: load.memory_total,
            queue_delay_ms: to_millis(load.queue_delay),
        }
    }
}

/// State of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Availability zone of the target.
    pub zone: ids::ZoneName,
    /// Models that the target serves, or its one service.
    pub serves: Vec<Box<str>>,
    /// State of the link to its agent.
    pub link: LinkReport,
    /// Why the target is not eligible for new work; `None` when it is.
    pub obstacle: Option<ObstacleReport>,
    /// Time since a frame was last received from its agent, in milliseconds.
    pub silent_ms: u64,
    /// Incarnation of its agent; `None` before the agent's first hello.
    pub incarnation: Option<ids::Incarnation>,
    /// Attempts of this gateway at the target that have not ended.
    pub in_flight: usize,
    /// Load of the target.
    pub load: LoadReport,
}

impl TargetReport {
    /// Reports the state of a target at the time `now`.
    pub fn new(
        now: time::Timestamp,
        target: &state::TargetState,
        obstacle: Option<state::TargetObstacle>,
    ) -> Self {
        Self {
            target: target.listing.name.clone(),
            zone: target.listing.zone.clone(),
            serves: served_names(&target.listing.serves),
            link: link_report(target.link),
            obstacle: obstacle.map(ObstacleReport::from),
            silent_ms: to_millis(now.since(target.last_received)),
            incarnation: target.incarnation,
            in_flight: target.in_flight.len(),
            load: LoadReport::new(&target.load),
        }
    }
}

/// Evaluation of one target as a candidate for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateReport {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Why the target is not eligible for new work; `None` when it is.
    pub obstacle: Option<ObstacleReport>,
    /// Expected cost in seconds, `None` when there is an obstacle; the target with the lowest cost
    /// is chosen.
    pub cost_s: Option<f64>,
    /// Text that explains how the cost is made up.
    pub reason: Option<Box<str>>,
}

impl CandidateReport {
    /// Reports the reducer's evaluation of a candidate.
    pub fn new(candidate: &reducer::CandidateStatus) -> Self {
        let score = candidate.score.as_ref();
        Self {
            target: candidate.target.clone(),
            obstacle: candidate.obstacle.map(ObstacleReport::from),
            cost_s: score.map(|score| score.cost_s),
            reason: score.map(|score| score.reason.clone()),
        }
    }
}

/// Response to `GET /v1/explain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// Name of the requested model or service.
    #[serde(rename = "wanted")]
    pub requested: Box<str>,
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Class of the request.
    pub class: ids::ClassName,
    /// Priority of the organisation's requests of this class.
    pub priority: measures::Priority,
    /// Targets that serve the requested model or service, ordered by name.
    pub targets: Vec<CandidateReport>,
}

/// A suspected or quarantined request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Fingerprint of the request.
    pub fingerprint: Box<str>,
    /// Attempts of the request that ended with a crash of their target.
    pub crashes: usize,
    /// Whether requests with the fingerprint are refused.
    pub quarantined: bool,
    /// Remaining time until the entry expires, in seconds.
    pub seconds_left: u32,
}

impl QuarantineReport {
    /// Reports a record of the quarantine policy.
    pub fn new(record: &quarantine::SuspectRecord) -> Self {
        let crashes = record.crashes.iter().flatten().count();
        Self {
            fingerprint: to_text(&record.fingerprint),
            crashes,
            quarantined: crashes == record.crashes.len(),
            seconds_left: record.seconds_left,
        }
    }
}

/// State of one section of the operator document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionReport {
    /// Name of the section.
    pub section: sections::SectionName,
    /// Active version; `None` while no text of the section is active.
    pub version: Option<measures::SectionVersion>,
    /// Hash of the active text.
    pub hash: Option<acceptance::ContentHash>,
    /// Time since the active text became active in this gateway, in seconds.
    pub age_s: Option<u64>,
    /// Accepted version that is not active yet because a higher one was accepted elsewhere.
    pub held: Option<measures::SectionVersion>,
    /// Higher version that was rejected because its text has findings.
    pub rejected: Option<measures::SectionVersion>,
    /// Highest known version, when its text has not been received.
    pub awaited: Option<measures::SectionVersion>,
    /// Whether different texts were published under the highest version.
    pub conflict: bool,
    /// Errors in the rejected text.
    pub findings: findings::FindingList,
    /// References to missing entries of other sections; the entries that hold them have no effect.
    pub dangling: findings::FindingList,
}

impl SectionReport {
    /// Reports the state of a section whose text has been active for `age`.
    pub fn new(status: acceptance::SectionStatus, age: Option<Duration>) -> Self {
        Self {
            section: status.section,
            version: status.active_id.map(|id| id.version),
            hash: status.active_id.map(|id| id.hash),
            age_s: age.map(|age| age.as_secs()),
            held: status.held.map(|id| id.version),
            rejected: status.rejected.map(|id| id.version),
            awaited: status.awaited,
            conflict: status.conflict.is_some(),
            findings: status.findings,
            dangling: status.dangling,
        }
    }
}

/// The fleet as this gateway sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Whether peers have confirmed which document is active, or there are no peers.
    pub is_confirmed: bool,
    /// Whether the gateway reads the configuration service on behalf of its zone.
    pub is_reader: bool,
    /// Live gateways of its zone, excluding itself.
    pub zone_live: usize,
    /// Gateways of its zone in the VM list.
    pub zone_listed: usize,
    /// VMs whose gateways are suspect or dead.
    pub lost: Vec<ids::VmName>,
    /// Number of VMs known to be leaving.
    pub departures: usize,
    /// Links on which heartbeats are exchanged.
    pub active_links: usize,
    /// Calls to the configuration service since the start of the process.
    pub service_calls: u64,
    /// Calls to the configuration service that failed.
    pub failed_readings: u64,
    /// Responses of the configuration service with an older revision than an earlier response.
    pub stale_readings: u64,
}

impl From<fleet::FleetStatus> for FleetReport {
    fn from(status: fleet::FleetStatus) -> Self {
        Self {
            is_confirmed: status.is_confirmed,
            is_reader: status.is_reader,
            zone_live: status.zone_live,
            zone_listed: status.zone_listed,
            lost: status.lost,
            departures: status.departures,
            active_links: status.active_links,
            service_calls: status.counters.service_calls,
            failed_readings: status.counters.failed_readings,
            stale_readings: status.counters.stale_readings,
        }
    }
}

/// Response to `POST /v1/dry-run`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DryRunReport {
    /// Section that the text was checked as.
    pub section: sections::SectionName,
    /// Whether the text would be accepted and leave no dangling references.
    pub accepted: bool,
    /// Errors in the text, and references that it would leave dangling.
    pub findings: findings::FindingList,
}

/// Error response of the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReport {
    /// HTTP status.
    pub status: u16,
    /// Stable machine-readable code.
    pub code: Box<str>,
    /// Human-readable description of the error.
    pub detail: Box<str>,
}

fn served_names(serves: &state::ServedWork) -> Vec<Box<str>> {
    match serves {
        state::ServedWork::Models(models) => models.iter().map(|name| to_text(name)).collect(),
        state::ServedWork::Service(service) => vec![to_text(service)],
    }
}

fn to_text(value: &dyn std::fmt::Display) -> Box<str> {
    value.to_string().into()
}

fn link_report(phase: state::LinkPhase) -> LinkReport {
    match phase {
        state::LinkPhase::Closed { .. } => LinkReport::Closed,
        state::LinkPhase::Connecting { .. } => LinkReport::Connecting,
        state::LinkPhase::Open { .. } => LinkReport::Open,
    }
}

/// Converts to milliseconds, saturating at [`u64::MAX`].
fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
