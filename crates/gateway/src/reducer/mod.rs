//! The gateway's reducer: one function over all events, with effects as data.

mod answers;
mod calls;
mod candidates;
mod effect;
mod event;
mod explain;
mod failures;
mod links;
mod moves;
mod placing;
mod starting;
mod targets;
mod upkeep;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use effect::CallProblem;
pub use effect::CallReply;
pub use effect::GatewayEffect;
pub use effect::ProblemCode;
pub use effect::ServiceReply;
pub use effect::TokenReply;
pub use effect::WholeReply;
pub use event::CallRequest;
pub use event::GatewayEvent;
pub use event::KeyRequest;
pub use event::LimitListing;
pub use event::ResumeRequest;
pub use explain::TargetStanding;
pub use placing::SUSPICION_SILENCE;
pub use upkeep::TICK_INTERVAL;

use crate::state;

/// What a gateway is told when it starts.
#[derive(Debug, Clone)]
pub struct GatewayIdentity {
    /// This process.
    pub process: ids::ProcessId,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
    /// Seed of the generator that draws ids and jitter.
    pub seed: u64,
}

/// The decisions of a gateway.
pub struct GatewayPolicies {
    /// Chooses targets.
    pub placement: Box<dyn place::PlacementPolicy>,
    /// Decides retries.
    pub retry: Box<dyn retry::RetryPolicy>,
    /// Holds the limits of organisations.
    pub limit: Box<dyn limit::LimitPolicy>,
    /// Judges requests that may crash targets.
    pub quarantine: Box<dyn quarantine::QuarantinePolicy>,
}

/// Counts of what the gateway met, for metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayCounters {
    /// Calls taken.
    pub calls: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts after the first of their calls.
    pub retries: u64,
    /// Waiting attempts that were moved to another target.
    pub moves: u64,
    /// Frames for attempts that are not known, or that came twice.
    pub stray_frames: u64,
    /// Links replaced because they were silent.
    pub silent_links: u64,
    /// Streams asked for again after a link was replaced.
    pub resumes: u64,
}

/// State of one gateway.
pub struct GatewayReducer {
    identity: GatewayIdentity,
    policies: GatewayPolicies,
    calls: state::CallTable,
    targets: state::TargetTable,
    generator: ChaCha8Rng,
    next_link: u64,
    next_heartbeat: time::Timestamp,
    stopping: bool,
    exited: bool,
    counters: GatewayCounters,
}

impl GatewayReducer {
    /// Makes a gateway that knows no target yet.
    pub fn new(identity: GatewayIdentity, policies: GatewayPolicies) -> Self {
        let generator = ChaCha8Rng::seed_from_u64(identity.seed);

        Self {
            identity,
            policies,
            calls: state::CallTable::default(),
            targets: state::TargetTable::default(),
            generator,
            next_link: 0,
            next_heartbeat: time::Timestamp::ZERO,
            stopping: false,
            exited: false,
            counters: GatewayCounters::default(),
        }
    }

    /// Takes one event at the time `now` and appends its effects, in the order to carry them out.
    pub fn apply(
        &mut self,
        now: time::Timestamp,
        event: GatewayEvent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match event {
            GatewayEvent::Call(request) => self.take_call(now, *request, effects),
            GatewayEvent::Resume(request) => self.take_resume(now, *request, effects),
            GatewayEvent::IssueKey(request) => self.take_key_request(now, &request, effects),
            GatewayEvent::CallerTook { call, next } => self.take_progress(call, next, effects),
            GatewayEvent::CallerGone { call } => self.take_departure(now, call, effects),
            GatewayEvent::LinkOpened { link } => self.open_link(now, link, effects),
            GatewayEvent::LinkClosed { link } => self.close_link(now, link),
            GatewayEvent::Frame { link, frame } => self.take_frame(now, link, frame, effects),
            GatewayEvent::Targets(listings) => self.take_targets(now, listings, effects),
            GatewayEvent::Limits(listings) => self.take_limits(&listings),
            GatewayEvent::Suspects(records) => {
                for record in &records {
                    self.policies.quarantine.merge(now, record);
                }
            }
            GatewayEvent::Stop => self.stopping = true,
            GatewayEvent::Tick => self.tick(now, effects),
        }

        self.check_exit(effects);
    }

    /// Returns who this gateway is.
    pub fn identity(&self) -> &GatewayIdentity {
        &self.identity
    }

    /// Returns the counters.
    pub fn counters(&self) -> &GatewayCounters {
        &self.counters
    }

    /// Returns the calls in progress.
    pub fn calls(&self) -> &state::CallTable {
        &self.calls
    }

    /// Returns the targets.
    pub fn targets(&self) -> &state::TargetTable {
        &self.targets
    }

    /// Returns the records of suspects, for other gateways and the administration API.
    pub fn suspects(&self, now: time::Timestamp) -> Vec<quarantine::SuspectRecord> {
        self.policies.quarantine.records(now)
    }

    /// Says whether the gateway was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    fn take_limits(&mut self, listings: &[LimitListing]) {
        for listing in listings {
            self.policies
                .limit
                .configure(&listing.organisation, listing.limit);
        }
    }

    fn check_exit(&mut self, effects: &mut Vec<GatewayEffect>) {
        if self.stopping && !self.exited && self.calls.is_empty() {
            self.exited = true;
            effects.push(GatewayEffect::Exit);
        }
    }
}
