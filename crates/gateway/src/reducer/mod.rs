//! The gateway's reducer, its functional core.
//!
//! [`GatewayReducer::apply`] handles one event at a time. It performs no I/O; what the shell has
//! to do is returned as effects.

mod agent_frames;
mod calls;
mod candidates;
mod effect;
mod event;
mod explain;
mod failures;
mod links;
mod maintenance;
mod placement;
mod reassignment;
mod start_orders;
mod targets;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use effect::BufferedReply;
pub use effect::CallProblem;
pub use effect::CallReply;
pub use effect::GatewayEffect;
pub use effect::ProblemCode;
pub use effect::ServiceReply;
pub use effect::TokenReply;
pub use event::CallRequest;
pub use event::GatewayEvent;
pub use event::KeyRequest;
pub use event::LimitListing;
pub use event::ResumeRequest;
pub use explain::CandidateStatus;
pub use maintenance::TICK_INTERVAL;
pub use placement::TARGET_SILENCE_TIMEOUT;

use crate::state;

/// Identity of a gateway process, fixed at its start.
#[derive(Debug, Clone)]
pub struct GatewayIdentity {
    /// Id of the process, new at each start.
    pub process: ids::ProcessId,
    /// Availability zone of the VM that the process runs on.
    pub zone: ids::ZoneName,
    /// Seed of the random generator for ids and reconnect jitter.
    pub seed: u64,
}

/// Policies that a gateway delegates its decisions to.
pub struct GatewayPolicies {
    /// Chooses the target of each attempt.
    pub placement: Box<dyn place::PlacementPolicy>,
    /// Decides whether and when a call gets another attempt.
    pub retry: Box<dyn retry::RetryPolicy>,
    /// Enforces the limits of organisations.
    pub limit: Box<dyn limit::LimitPolicy>,
    /// Tracks requests that may crash targets.
    pub quarantine: Box<dyn quarantine::QuarantinePolicy>,
}

/// Cumulative counts since the start of the process, for metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayCounters {
    /// Calls and resumptions received, including refused ones.
    pub calls: u64,
    /// Start orders sent to targets.
    pub attempts: u64,
    /// Attempts other than the first of their call.
    pub retries: u64,
    /// Requests to reassign an attempt that waits at its target.
    pub reassignments: u64,
    /// Frames for unknown links or attempts, and duplicate frames.
    pub unexpected_frames: u64,
    /// Links dropped because no frame arrived on them or they did not open in time.
    pub silent_links: u64,
    /// Resume orders for the missing tokens of an attempt.
    pub resumptions: u64,
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
    exit_requested: bool,
    counters: GatewayCounters,
}

impl GatewayReducer {
    /// Creates a gateway without targets or calls.
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
            exit_requested: false,
            counters: GatewayCounters::default(),
        }
    }

    /// Handles one event at the time `now` and appends its effects in the order of their execution.
    pub fn apply(
        &mut self,
        now: time::Timestamp,
        event: GatewayEvent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match event {
            GatewayEvent::Call(request) => self.handle_call(now, *request, effects),
            GatewayEvent::Resume(request) => self.handle_resume(now, *request, effects),
            GatewayEvent::IssueKey(request) => self.handle_key_request(now, &request, effects),
            GatewayEvent::TokensDelivered { call, next } => {
                self.handle_tokens_delivered(call, next, effects)
            }
            GatewayEvent::CallerDisconnected { call } => {
                self.handle_caller_disconnected(now, call, effects)
            }
            GatewayEvent::LinkOpened { link } => self.handle_link_opened(now, link, effects),
            GatewayEvent::LinkClosed { link } => self.mark_link_closed(now, link),
            GatewayEvent::FrameReceived { link, frame } => {
                self.handle_frame(now, link, frame, effects)
            }
            GatewayEvent::TargetsChanged(listings) => {
                self.handle_targets_changed(now, listings, effects)
            }
            GatewayEvent::LimitsChanged(listings) => self.handle_limits_changed(&listings),
            GatewayEvent::SuspectsReceived(records) => {
                for record in &records {
                    self.policies.quarantine.merge(now, record);
                }
            }
            GatewayEvent::Stop => self.stopping = true,
            GatewayEvent::Tick => self.tick(now, effects),
        }

        self.exit_if_idle(effects);
    }

    /// Returns the identity that the gateway was created with.
    pub fn identity(&self) -> &GatewayIdentity {
        &self.identity
    }

    /// Returns the cumulative counters.
    pub fn counters(&self) -> &GatewayCounters {
        &self.counters
    }

    /// Returns the calls that have not ended.
    pub fn calls(&self) -> &state::CallTable {
        &self.calls
    }

    /// Returns all known targets, including unlisted ones that still run calls.
    pub fn targets(&self) -> &state::TargetTable {
        &self.targets
    }

    /// Returns the suspected and quarantined requests.
    pub fn suspects(&self, now: time::Timestamp) -> Vec<quarantine::SuspectRecord> {
        self.policies.quarantine.records(now)
    }

    /// Returns true once a stop was requested; new calls are then refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    fn handle_limits_changed(&mut self, listings: &[LimitListing]) {
        for listing in listings {
            self.policies
                .limit
                .configure(&listing.organisation, listing.limit);
        }
    }

    fn exit_if_idle(&mut self, effects: &mut Vec<GatewayEffect>) {
        if self.stopping && !self.exit_requested && self.calls.is_empty() {
            self.exit_requested = true;
            effects.push(GatewayEffect::Exit);
        }
    }
}
