//! What the administration API reports, as it stands in its JSON.

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

/// Why a target can't be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObstacleReport {
    /// It takes no new work.
    Leaving,
    /// There is no link to its agent.
    NoLink,
    /// Its agent has been silent too long.
    Silent,
    /// Its agent says that it does not answer.
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
    /// There is none.
    Closed,
    /// It is being opened.
    Connecting,
    /// It is open.
    Open,
}

/// Load of a target, from its agent's last pulse.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Streams that the engine runs.
    pub running: u32,
    /// Streams that the agent has paused.
    pub paused: u32,
    /// Attempts that wait for admission.
    pub queued: u32,
    /// Key-value memory in use, in tokens.
    pub memory_used: measures::TokenCount,
    /// Key-value memory in all, in tokens.
    pub memory_total: measures::TokenCount,
    /// Forecast wait before admission, in milliseconds.
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
            queue_delay_ms: millis(load.queue_delay),
        }
    }
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Its availability zone.
    pub zone: ids::ZoneName,
    /// Models or service that it serves.
    pub serves: Vec<Box<str>>,
    /// The link to its agent.
    pub link: LinkReport,
    /// Why it can't be chosen; `None` when it can.
    pub obstacle: Option<ObstacleReport>,
    /// Time since the last frame of its agent, in milliseconds.
    pub silent_ms: u64,
    /// Life of its agent.
    pub incarnation: Option<ids::Incarnation>,
    /// Attempts of this gateway that have not ended there.
    pub in_flight: usize,
    /// Its load.
    pub load: LoadReport,
}

impl TargetReport {
    /// Reports on a target at the time `now`.
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
            silent_ms: millis(now.since(target.last_heard)),
            incarnation: target.incarnation,
            in_flight: target.in_flight.len(),
            load: LoadReport::new(&target.load),
        }
    }
}

/// How one target stands for a piece of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StandingReport {
    /// The target.
    pub target: ids::TargetName,
    /// Why it can't be chosen; `None` when it can.
    pub obstacle: Option<ObstacleReport>,
    /// Expected cost in seconds; the lowest is chosen.
    pub cost_s: Option<f64>,
    /// The parts of the cost, in words.
    pub reason: Option<Box<str>>,
}

impl StandingReport {
    /// Reports on a standing.
    pub fn new(standing: &reducer::TargetStanding) -> Self {
        let score = standing.score.as_ref();
        Self {
            target: standing.target.clone(),
            obstacle: standing.obstacle.map(ObstacleReport::from),
            cost_s: score.map(|score| score.cost_s),
            reason: score.map(|score| score.reason.clone()),
        }
    }
}

/// Answer to `GET /v1/explain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// Model or service that was asked about.
    pub wanted: Box<str>,
    /// Organisation that was asked about.
    pub organisation: ids::OrganisationName,
    /// Class that was asked about.
    pub class: ids::ClassName,
    /// Priority of the class.
    pub priority: measures::Priority,
    /// Targets that serve it, by name.
    pub targets: Vec<StandingReport>,
}

/// A suspected or quarantined request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Fingerprint of the request.
    pub fingerprint: Box<str>,
    /// Crashes of targets that ran it.
    pub crashes: usize,
    /// Whether it is refused.
    pub quarantined: bool,
    /// How much longer the entry is kept, in seconds.
    pub seconds_left: u32,
}

impl QuarantineReport {
    /// Reports on a record.
    pub fn new(record: &quarantine::SuspectRecord) -> Self {
        let crashes = record.crashes.iter().flatten().count();
        Self {
            fingerprint: display(&record.fingerprint),
            crashes,
            quarantined: crashes == record.crashes.len(),
            seconds_left: record.seconds_left,
        }
    }
}

/// One section of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionReport {
    /// Section.
    pub section: sections::SectionName,
    /// Version in force.
    pub version: Option<measures::SectionVersion>,
    /// Hash of the text in force.
    pub hash: Option<acceptance::ContentHash>,
    /// Time since it entered into force here, in seconds.
    pub age_s: Option<u64>,
    /// Accepted version that waits because a higher one was accepted elsewhere.
    pub held: Option<measures::SectionVersion>,
    /// Higher version that has findings and replaces nothing.
    pub rejected: Option<measures::SectionVersion>,
    /// Highest version that was heard of, when its text is not here.
    pub awaited: Option<measures::SectionVersion>,
    /// Whether texts that differ were published under the highest version.
    pub conflict: bool,
    /// What is wrong with the rejected text.
    pub findings: findings::FindingList,
    /// References to missing entries of other sections, which have no effect.
    pub dangling: findings::FindingList,
}

impl SectionReport {
    /// Reports on a section that has been in force for `age`.
    pub fn new(status: acceptance::SectionStatus, age: Option<Duration>) -> Self {
        Self {
            section: status.section,
            version: status.active_id.map(|mark| mark.version),
            hash: status.active_id.map(|mark| mark.hash),
            age_s: age.map(|age| age.as_secs()),
            held: status.held.map(|mark| mark.version),
            rejected: status.rejected.map(|mark| mark.version),
            awaited: status.awaited,
            conflict: status.conflict.is_some(),
            findings: status.findings,
            dangling: status.dangling,
        }
    }
}

/// A gateway's view of its fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Whether the gateway has asked its peers which document is in force.
    pub is_confirmed: bool,
    /// Whether it reads the configuration service for its zone.
    pub is_reader: bool,
    /// Gateways of its zone that serve, but itself.
    pub zone_live: usize,
    /// Gateways of its zone that the VM list names.
    pub zone_listed: usize,
    /// Gateways that are suspect or dead.
    pub lost: Vec<ids::VmName>,
    /// VMs known to leave.
    pub departures: usize,
    /// Links on which heartbeats travel.
    pub active_links: usize,
    /// Calls at the configuration service.
    pub service_calls: u64,
    /// Calls of them that failed.
    pub failed_readings: u64,
    /// Answers of them that were older than one before.
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

/// Answer to `POST /v1/dry-run`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DryRunReport {
    /// Section that the text was tried as.
    pub section: sections::SectionName,
    /// Whether the text would be accepted and leave nothing dangling.
    pub accepted: bool,
    /// Everything that is wrong with it.
    pub findings: findings::FindingList,
}

/// A question that can't be answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// HTTP status.
    pub status: u16,
    /// Stable code.
    pub code: Box<str>,
    /// What happened, for people.
    pub detail: Box<str>,
}

fn served_names(serves: &state::ServedWork) -> Vec<Box<str>> {
    match serves {
        state::ServedWork::Models(models) => models.iter().map(|name| display(name)).collect(),
        state::ServedWork::Service(service) => vec![display(service)],
    }
}

fn display(value: &dyn std::fmt::Display) -> Box<str> {
    value.to_string().into()
}

fn link_report(phase: state::LinkPhase) -> LinkReport {
    match phase {
        state::LinkPhase::Closed { .. } => LinkReport::Closed,
        state::LinkPhase::Connecting { .. } => LinkReport::Connecting,
        state::LinkPhase::Open { .. } => LinkReport::Open,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
