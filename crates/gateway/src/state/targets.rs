//! Targets that the gateway may send work to.

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

/// Time for which a link is kept after a call asked for the target by name.
const ASKED_LINK_LIFE: Duration = Duration::from_secs(60);

/// What a target can be asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServedWork {
    /// Generations of these models.
    Models(Vec<ids::ModelName>),
    /// Calls of this service.
    Service(ids::ServiceName),
}

impl ServedWork {
    /// Says whether `request` fits.
    pub fn fits(&self, request: &work::WorkRequest) -> bool {
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

/// A target as the document and the VM list name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetListing {
    /// Name of the target.
    pub name: ids::TargetName,
    /// Address at which its agent takes links.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: ids::ZoneName,
    /// What it can be asked for.
    pub serves: ServedWork,
    /// Whether the document or the VM list says that it leaves.
    pub leaving: bool,
}

/// State of the link to a target's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPhase {
    /// There is none; the next is tried at this time.
    Closed {
        /// When to connect.
        retry_at: time::Timestamp,
    },
    /// It is being opened.
    Connecting {
        /// The link.
        link: ids::LinkId,
        /// When it was asked for.
        since: time::Timestamp,
    },
    /// The agent has said hello on it.
    Open {
        /// The link.
        link: ids::LinkId,
    },
}

/// One target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// What the document and the VM list say.
    pub listing: TargetListing,
    /// Whether the last listing still had the target.
    pub listed: bool,
    /// Whether it is one of those that the gateway keeps links to.
    pub chosen: bool,
    /// When a call last asked for it by name.
    pub asked_at: Option<time::Timestamp>,
    /// The link to its agent.
    pub link: LinkPhase,
    /// Links that failed since one was open.
    pub failed_links: u32,
    /// When the last frame came in.
    pub last_heard: time::Timestamp,
    /// When the link was lost, while there is none.
    pub lost_at: Option<time::Timestamp>,
    /// Life of the agent, when one has said hello.
    pub incarnation: Option<ids::Incarnation>,
    /// Life of the agent that is known to leave.
    pub left_incarnation: Option<ids::Incarnation>,
    /// The agent's clock.
    pub clock: Option<AgentClock>,
    /// Whether the target answered its agent.
    pub target_up: bool,
    /// Load from the last pulse.
    pub load: load::LoadSummary,
    /// Attempts placed since the last pulse.
    pub placed_since: u32,
    /// Their prompt tokens.
    pub placed_tokens: measures::TokenCount,
    /// Attempts of this gateway that have not ended.
    pub in_flight: BTreeSet<ids::AttemptId>,
    /// Attempts given up while the link was lost, to be cancelled when it is back.
    pub abandoned: Vec<frames::CancelOrder>,
}

impl TargetState {
    /// Makes the state of a target that has no link yet.
    pub fn new(listing: TargetListing, now: time::Timestamp) -> Self {
        Self {
            listing,
            listed: true,
            chosen: false,
            asked_at: None,
            link: LinkPhase::Closed { retry_at: now },
            failed_links: 0,
            last_heard: now,
            lost_at: Some(now),
            incarnation: None,
            left_incarnation: None,
            clock: None,
            target_up: false,
            load: load::LoadSummary::default(),
            placed_since: 0,
            placed_tokens: measures::TokenCount::ZERO,
            in_flight: BTreeSet::new(),
            abandoned: Vec::new(),
        }
    }

    /// Returns the link when it is open.
    pub fn open_link(&self) -> Option<ids::LinkId> {
        match self.link {
            LinkPhase::Open { link } => Some(link),
            LinkPhase::Connecting { .. } | LinkPhase::Closed { .. } => None,
        }
    }

    /// Says whether there should be a link to the agent.
    ///
    /// Beyond the chosen targets, one is linked to while it has something of this gateway's calls,
    /// and for a time after a call asked for it by name.
    pub fn needs_link(&self, now: time::Timestamp) -> bool {
        let is_asked_for = self
            .asked_at
            .is_some_and(|asked_at| now.since(asked_at) < ASKED_LINK_LIFE);
        let has_business = !self.in_flight.is_empty() || !self.abandoned.is_empty();
        has_business || (self.listed && (self.chosen || is_asked_for))
    }

    /// Says whether the target takes no new work.
    pub fn is_leaving(&self) -> bool {
        let has_left = self.left_incarnation.is_some() && self.left_incarnation == self.incarnation;
        !self.listed || self.listing.leaving || has_left
    }

    /// Marks this life of the agent as leaving, for good.
    pub fn mark_leaving(&mut self) {
        self.left_incarnation = self.incarnation;
    }

    /// Says why the target can't be chosen, or nothing when it can.
    pub fn obstacle(&self, now: time::Timestamp, silence: Duration) -> Option<TargetObstacle> {
        if self.is_leaving() {
            return Some(TargetObstacle::Leaving);
        }
        if self.open_link().is_none() {
            return Some(TargetObstacle::NoLink);
        }
        if now.since(self.last_heard) >= silence {
            return Some(TargetObstacle::Silent);
        }
        if !self.target_up {
            return Some(TargetObstacle::TargetDown);
        }
        None
    }
}

/// Why a target can't be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetObstacle {
    /// It takes no new work.
    Leaving,
    /// There is no link to its agent.
    NoLink,
    /// Its agent has been silent too long.
    Silent,
    /// Its agent says that it does not answer.
    TargetDown,
}

/// All targets by name.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<ids::TargetName, TargetState>,
    links: BTreeMap<ids::LinkId, ids::TargetName>,
}

impl TargetTable {
    /// Adds a target.
    pub fn insert(&mut self, state: TargetState) {
        self.targets.insert(state.listing.name.clone(), state);
    }

    /// Removes a target.
    pub fn remove(&mut self, name: &ids::TargetName) {
        self.targets.remove(name);
    }

    /// Returns a target.
    pub fn get(&self, name: &ids::TargetName) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Returns a target for change.
    pub fn get_mut(&mut self, name: &ids::TargetName) -> Option<&mut TargetState> {
        self.targets.get_mut(name)
    }

    /// Returns all targets by name.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// Returns all names.
    pub fn names(&self) -> Vec<ids::TargetName> {
        self.targets.keys().cloned().collect()
    }

    /// Notes that `link` leads to `name`.
    pub fn bind_link(&mut self, link: ids::LinkId, name: &ids::TargetName) {
        self.links.insert(link, name.clone());
    }

    /// Forgets `link`, and returns where it led.
    pub fn release_link(&mut self, link: ids::LinkId) -> Option<ids::TargetName> {
        self.links.remove(&link)
    }

    /// Returns where `link` leads.
    pub fn link_target(&self, link: ids::LinkId) -> Option<&ids::TargetName> {
        self.links.get(&link)
    }
}
