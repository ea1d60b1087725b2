//! The agent's reducer: handles all events in one function and returns effects as data.

mod delivery;
mod departure;
mod effect;
mod event;
mod maintenance;
mod orders;
mod schedule;
mod subscription;
mod target;

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule as policy;

pub use departure::DeparturePhase;
pub use effect::AgentEffect;
pub use effect::GenerateCommand;
pub use event::AgentEvent;
pub use event::WorkFailure;
pub use maintenance::TICK_INTERVAL;

use crate::state;

/// Identity of an agent, set when it starts.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// Target that the agent serves.
    pub target: ids::TargetName,
    /// Incarnation of the agent process; idempotency keys of other incarnations are invalid.
    pub incarnation: ids::Incarnation,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
}

/// Event counts since the agent started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Attempts started on the target.
    pub started: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Start orders ignored because their attempt id was already known.
    pub duplicate_orders: u64,
    /// Times that a stream was paused.
    pub pauses: u64,
    /// Target events ignored because their attempt is not running or their token is out of order.
    pub unexpected_events: u64,
}

/// State of a link to a gateway.
#[derive(Debug, Clone, Default)]
struct LinkState {
    /// Cached prefixes in the last heartbeat; `None` before the first.
    cached: Option<Vec<load::CachedPrefix>>,
    last_received: time::Timestamp,
    gateway: Option<ids::ProcessId>,
}

/// State of one agent and its decision logic.
pub struct AgentReducer {
    identity: AgentIdentity,
    scheduler: Box<dyn policy::WorkScheduler>,
    links: BTreeMap<ids::LinkId, LinkState>,
    gateways: departure::GatewayTable,
    attempts: state::AttemptTable,
    executions: state::ExecutionTable,
    /// Attempts that never started and never will.
    tombstones: state::TombstoneTable,
    /// Attempts that started and were removed from `attempts`, and repeats of calls with an
    /// idempotency key.
    started_attempts: state::TombstoneTable,
    departure: DeparturePhase,
    target_up: bool,
    /// Nothing is started before this time, unless a probe finds the target healthy earlier.
    unhealthy_until: time::Timestamp,
    next_heartbeat: time::Timestamp,
    counters: AgentCounters,
}

impl AgentReducer {
    /// Creates an agent that treats its target as down until a probe succeeds.
    pub fn new(identity: AgentIdentity, scheduler: Box<dyn policy::WorkScheduler>) -> Self {
        Self {
            identity,
            scheduler,
            links: BTreeMap::new(),
            gateways: departure::GatewayTable::default(),
            attempts: state::AttemptTable::default(),
            executions: state::ExecutionTable::default(),
            tombstones: state::TombstoneTable::default(),
            started_attempts: state::TombstoneTable::default(),
            departure: DeparturePhase::Serving,
            target_up: false,
            unhealthy_until: time::Timestamp::ZERO,
            next_heartbeat: time::Timestamp::ZERO,
            counters: AgentCounters::default(),
        }
    }

    /// Handles one event at the time `now` and appends its effects in the order of execution.
    pub fn apply(
        &mut self,
        now: time::Timestamp,
        event: AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        match event {
            AgentEvent::LinkOpened { link } => self.open_link(now, link, effects),
            AgentEvent::LinkClosed { link } => self.close_link(now, link, effects),
            AgentEvent::FrameReceived { link, frame } => {
                self.handle_frame(now, link, frame, effects)
            }
            AgentEvent::Token {
                attempt,
                index,
                text,
            } => self.handle_token(now, attempt, index, &text, effects),
            AgentEvent::GenerationEnded { attempt, reason } => {
                self.end_attempt(now, attempt, state::AttemptEnd::Finished(reason), effects);
            }
            AgentEvent::Responded { attempt, response } => {
                self.end_attempt(
                    now,
                    attempt,
                    state::AttemptEnd::Responded(response),
                    effects,
                );
            }
            AgentEvent::WorkFailed { attempt, failure } => {
                self.fail_attempt(now, attempt, failure, effects);
            }
            AgentEvent::TargetHealth { up } => self.set_target_health(now, up, effects),
            AgentEvent::EngineReport(report) => self.scheduler.observe_report(now, &report),
            AgentEvent::CacheChanged(event) => self.scheduler.observe_cache(now, &event),
            AgentEvent::ServiceConcurrency { calls } => self.scheduler.set_concurrency(calls),
            AgentEvent::Leave => self.leave(now, effects),
            AgentEvent::Stop => self.stop(now, effects),
            AgentEvent::Tick => self.tick(now, effects),
        }

        self.run_schedule(now, effects);
        self.record_sent_results(now, effects);
        self.exit_if_done(now, effects);
    }

    /// Returns the identity set when the agent started.
    pub fn identity(&self) -> &AgentIdentity {
        &self.identity
    }

    /// Returns the event counts since the agent started.
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Returns the load reported to gateways.
    pub fn load(&self, now: time::Timestamp) -> load::LoadSummary {
        self.scheduler.summarize(now)
    }

    /// Returns the phase of the agent's departure.
    pub fn departure(&self) -> DeparturePhase {
        self.departure
    }

    /// Returns true if the target is up by its probes; failures of work do not change it.
    pub fn is_target_up(&self) -> bool {
        self.target_up
    }

    /// Returns the attempts that are queued, running, or ended and still kept.
    pub fn attempts(&self) -> &state::AttemptTable {
        &self.attempts
    }

    /// Returns the records of calls that run at most once.
    pub fn executions(&self) -> &state::ExecutionTable {
        &self.executions
    }

    fn open_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let state = LinkState {
            cached: None,
            last_received: now,
            gateway: None,
        };
        self.links.insert(link, state);

        let hello = frames::AgentHello {
            version: frames::PROTOCOL_VERSION,
            target: self.identity.target.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
        };
        send(effects, link, frames::AgentFrame::Hello(hello));
        self.send_heartbeat(now, link, effects);
    }

    fn close_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.detach_link(now, link, effects);
        self.links.remove(&link);
    }

    fn handle_frame(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        frame: frames::GatewayFrame,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        state.last_received = now;
        if let Some(gateway) = state.gateway {
            self.gateways.record_frame(now, gateway);
        }
        if state.gateway.is_none() && !matches!(frame, frames::GatewayFrame::Hello(_)) {
            self.drop_link(now, link, effects);
            return;
        }

        match frame {
            frames::GatewayFrame::Hello(hello) => self.handle_hello(now, link, &hello, effects),
            frames::GatewayFrame::Start(order) => self.handle_start(now, link, *order, effects),
            frames::GatewayFrame::Cancel(order) => self.handle_cancel(now, link, order, effects),
            frames::GatewayFrame::Detach { attempt } => {
                self.handle_detach(now, link, attempt, effects);
            }
            frames::GatewayFrame::Resume(order) => self.handle_resume(now, link, &order, effects),
            frames::GatewayFrame::Acknowledge { attempt, next } => {
                self.handle_acknowledgement(link, attempt, next, effects);
            }
            frames::GatewayFrame::EndAcknowledged { attempt } => {
                self.handle_end_acknowledgement(link, attempt)
            }
            frames::GatewayFrame::LeavingAcknowledged {
                pulse: heartbeat_at,
            } => self.handle_leaving_acknowledged(link, heartbeat_at),
            frames::GatewayFrame::Heartbeat | frames::GatewayFrame::Fleet(_) => {}
        }
    }

    fn handle_hello(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        hello: &frames::GatewayHello,
        effects: &mut Vec<AgentEffect>,
    ) {
        if hello.version != frames::PROTOCOL_VERSION {
            self.drop_link(now, link, effects);
            return;
        }
        if let Some(state) = self.links.get_mut(&link) {
            state.gateway = Some(hello.gateway);
            self.gateways.record_hello(now, hello.gateway);
        }
    }

    pub(super) fn drop_link(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.close_link(now, link, effects);
        effects.push(AgentEffect::CloseLink { link });
    }
}

fn send(effects: &mut Vec<AgentEffect>, link: ids::LinkId, frame: frames::AgentFrame) {
    effects.push(AgentEffect::Send { link, frame });
}
