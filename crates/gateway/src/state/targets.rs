//! State of the targets that the gateway may send work to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;

use super::AgentClock;

/// Time for which a link is kept after a call requested it by target name.
const REQUESTED_LINK_TIMEOUT: Duration = Duration::from_secs(60);

/// Work that a target can run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServedWork {
    /// Generations of these models.
    Models(Vec<ids::ModelName>),
    /// Calls of this service.
    Service(ids::ServiceName),
}

impl ServedWork {
    /// Returns true if `request` is part of this work.
    pub fn includes(&self, request: &work::WorkRequest) -> bool {
        match (self, request) {
            (Self::Models(models), work::WorkRequest::Generation(generation)) => {
                models.contains(&generation.model)
            }
            (Self::Service(service), work::WorkRequest::Service(call)) => *service == call.service,
            (Self::Models(_), work::WorkRequest::Service(_))
            | (Self::Service(_), work::WorkRequest::Generation(_)) => false,
        }
    }
}

/// Entry of a target in the configuration document and the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetListing {
    /// Name of the target.
    pub name: ids::TargetName,
    /// Address on which its agent accepts links.
    pub address: net::SocketAddr,
    /// Availability zone of the target.
    pub zone: ids::ZoneName,
    /// Models or service that the target serves.
    pub serves: ServedWork,
    /// Whether the document or the VM list marks the target as leaving.
    pub leaving: bool,
}

/// State of the link to a target's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPhase {
    /// There is no link.
    Closed {
        /// Earliest time of the next connection.
        retry_at: time::Timestamp,
    },
    /// A connection was requested, but the agent has not sent its hello.
    Connecting {
        /// Link that was requested.
        link: ids::LinkId,
        /// Time of the request.
        since: time::Timestamp,
    },
    /// The agent has sent its hello.
    Open {
        /// Link that is open.
        link: ids::LinkId,
    },
}

/// State of one target and the link to its agent.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Entry in the configuration document and the VM list.
    pub listing: TargetListing,
    /// Whether the current list contains the target.
    pub listed: bool,
    /// Whether the target is in the subset that the gateway keeps links to.
    pub in_subset: bool,
    /// When a call last requested a link to the target by its name.
    pub link_requested_at: Option<time::Timestamp>,
    /// Link to the agent.
    pub link: LinkPhase,
    /// Number of links that failed since the last open one.
    pub failed_links: u32,
    /// Time of the last frame, or of the last opening of a link.
    pub last_received: time::Timestamp,
    /// Start of the period without an open link; `None` while a link is open.
    pub lost_at: Option<time::Timestamp>,
    /// Incarnation in the last hello; `None` before the first.
    pub incarnation: Option<ids::Incarnation>,
    /// Incarnation of the agent that was last marked as leaving; `None` if none was.
    pub leaving_incarnation: Option<ids::Incarnation>,
    /// Estimate of the agent's clock; `None` before the first heartbeat.
    pub clock: Option<AgentClock>,
    /// Whether the target is reachable from its agent, as of the last heartbeat.
    pub target_up: bool,
    /// Load as of the last heartbeat.
    pub load: load::LoadSummary,
    /// Number of attempts placed since the last heartbeat.
    pub placed_attempts: u32,
    /// Prompt tokens of the attempts placed since the last heartbeat.
    pub placed_tokens: measures::TokenCount,
    /// Attempts of this gateway that have not ended.
    pub in_flight: BTreeSet<ids::AttemptId>,
    /// Cancel orders to send when the link reopens.
    pub pending_cancels: Vec<frames::CancelOrder>,
}

impl TargetState {
    /// Creates the state of a listed target without a link.
    pub fn new(listing: TargetListing, now: time::Timestamp) -> Self {
        Self {
            listing,
            listed: true,
            in_subset: false,
            link_requested_at: None,
            link: LinkPhase::Closed { retry_at: now },
            failed_links: 0,
            last_received: now,
            lost_at: Some(now),
            incarnation: None,
            leaving_incarnation: None,
            clock: None,
            target_up: false,
            load: load::LoadSummary::default(),
            placed_attempts: 0,
            placed_tokens: measures::TokenCount::ZERO,
            in_flight: BTreeSet::new(),
            pending_cancels: Vec::new(),
        }
    }

    /// Returns the link if it is open.
    pub fn open_link(&self) -> Option<ids::LinkId> {
        match self.link {
            LinkPhase::Open { link } => Some(link),
            LinkPhase::Connecting { .. } | LinkPhase::Closed { .. } => None,
        }
    }

    /// Returns true if the gateway should have a link to the agent.
    ///
    /// A target outside the subset needs a link while it has attempts or pending cancel orders of
    /// this gateway, and for a limited time after a call requested the link by target name.
    pub fn needs_link(&self, now: time::Timestamp) -> bool {
        let is_link_requested = self
            .link_requested_at
            .is_some_and(|requested_at| now.since(requested_at) < REQUESTED_LINK_TIMEOUT);
        let has_pending_work = !self.in_flight.is_empty() || !self.pending_cancels.is_empty();
        has_pending_work || (self.listed && (self.in_subset || is_link_requested))
    }

    /// Returns true if the target takes no new work.
    pub fn is_leaving(&self) -> bool {
        let is_agent_leaving =
            self.leaving_incarnation.is_some() && self.leaving_incarnation == self.incarnation;
        !self.listed || self.listing.leaving || is_agent_leaving
    }

    /// Marks the current incarnation of the agent as leaving, for the rest of its lifetime.
    pub fn mark_leaving(&mut self) {
        self.leaving_incarnation = self.incarnation;
    }

    /// Returns why the target can't be chosen, or `None` if it can.
    ///
    /// The target counts as silent after `timeout` without a frame from its agent.
    pub fn obstacle(&self, now: time::Timestamp, timeout: Duration) -> Option<TargetObstacle> {
        if self.is_leaving() {
            return Some(TargetObstacle::Leaving);
        }
        if self.open_link().is_none() {
            return Some(TargetObstacle::NoLink);
        }
        if now.since(self.last_received) >= timeout {
            return Some(TargetObstacle::Silent);
        }
        if !self.target_up {
            return Some(TargetObstacle::TargetDown);
        }
        None
    }
}

/// Reason why a target can't be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetObstacle {
    /// The target takes no new work.
    Leaving,
    /// No link to the agent is open.
    NoLink,
    /// No frame from the agent arrived within the silence timeout.
    Silent,
    /// The agent reports that the target does not respond.
    TargetDown,
}

/// Targets by name, with an index from links to targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<ids::TargetName, TargetState>,
    links: BTreeMap<ids::LinkId, ids::TargetName>,
}

impl TargetTable {
    /// Adds a target; replaces a target with the same name.
    pub fn insert(&mut self, state: TargetState) {
        self.targets.insert(state.listing.name.clone(), state);
    }

    /// Removes a target but not its links.
    pub fn remove(&mut self, name: &ids::TargetName) {
        self.targets.remove(name);
    }

    /// Returns the target with this name.
    pub fn get(&self, name: &ids::TargetName) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Returns the target with this name for modification.
    pub fn get_mut(&mut self, name: &ids::TargetName) -> Option<&mut TargetState> {
        self.targets.get_mut(name)
    }

    /// Iterates over the targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// Returns the names of all targets, in order.
    pub fn names(&self) -> Vec<ids::TargetName> {
        self.targets.keys().cloned().collect()
    }

    /// Records that `link` connects to the target `name`.
    pub fn bind_link(&mut self, link: ids::LinkId, name: &ids::TargetName) {
        self.links.insert(link, name.clone());
    }

    /// Removes `link` and returns its target.
    pub fn release_link(&mut self, link: ids::LinkId) -> Option<ids::TargetName> {
        self.links.remove(&link)
    }

    /// Returns the target of `link`.
    pub fn link_target(&self, link: ids::LinkId) -> Option<&ids::TargetName> {
        self.links.get(&link)
    }
}
