//! The agent's reducer: one function over all events, with effects as data.

mod delivery;
mod departure;
mod effect;
mod event;
mod intake;
mod schedule;
mod subscription;
mod target;
mod upkeep;

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
pub use upkeep::TICK_INTERVAL;

use crate::state;

/// What an agent is told when it starts.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// Target beside the agent.
    pub target: ids::TargetName,
    /// Life of this agent.
    pub incarnation: ids::Incarnation,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
}

/// Counts of what the agent met, for metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Attempts that were given to the target.
    pub started: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Start orders with an id that was known.
    pub duplicate_orders: u64,
    /// Streams that were paused.
    pub pauses: u64,
    /// Events of the target for attempts that are not running.
    pub stray_events: u64,
}

/// A link to a gateway.
#[derive(Debug, Clone, Default)]
struct LinkState {
    /// Cached prefixes in the last pulse.
    cached: Option<Vec<load::CachedPrefix>>,
    last_heard: time::Timestamp,
    gateway: Option<ids::ProcessId>,
}

/// State of one agent.
pub struct AgentReducer {
    identity: AgentIdentity,
    scheduler: Box<dyn policy::WorkScheduler>,
    links: BTreeMap<ids::LinkId, LinkState>,
    gateways: departure::GatewayRoll,
    attempts: state::AttemptTable,
    executions: state::ExecutionTable,
    /// Attempts that never started and never will.
    tombstones: state::TombstoneTable,
    /// Attempts that started, ended and were dropped from `attempts`.
    settled: state::TombstoneTable,
    departure: DeparturePhase,
    target_up: bool,
    /// Until when nothing new is started, unless the target is found to answer before.
    doubtful_until: time::Timestamp,
    next_pulse: time::Timestamp,
    counters: AgentCounters,
}

impl AgentReducer {
    /// Makes an agent whose target is not known to answer yet.
    pub fn new(identity: AgentIdentity, scheduler: Box<dyn policy::WorkScheduler>) -> Self {
        Self {
            identity,
            scheduler,
            links: BTreeMap::new(),
            gateways: departure::GatewayRoll::default(),
            attempts: state::AttemptTable::default(),
            executions: state::ExecutionTable::default(),
            tombstones: state::TombstoneTable::default(),
            settled: state::TombstoneTable::default(),
            departure: DeparturePhase::Serving,
            target_up: false,
            doubtful_until: time::Timestamp::ZERO,
            next_pulse: time::Timestamp::ZERO,
            counters: AgentCounters::default(),
        }
    }

    /// Takes one event at the time `now` and appends its effects, in the order to carry them out.
    pub fn apply(
        &mut self,
        now: time::Timestamp,
        event: AgentEvent,
        effects: &mut Vec<AgentEffect>,
    ) {
        match event {
            AgentEvent::LinkOpened { link } => self.open_link(now, link, effects),
            AgentEvent::LinkClosed { link } => self.close_link(now, link, effects),
            AgentEvent::Frame { link, frame } => self.take_frame(now, link, frame, effects),
            AgentEvent::Token {
                attempt,
                index,
                text,
            } => self.take_token(now, attempt, index, &text, effects),
            AgentEvent::GenerationEnded { attempt, reason } => {
                self.end_attempt(now, attempt, state::AttemptEnd::Finished(reason), effects);
            }
            AgentEvent::Answered { attempt, answer } => {
                self.end_attempt(now, attempt, state::AttemptEnd::Answered(answer), effects);
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
        self.note_answers(now, effects);
        self.check_exit(now, effects);
    }

    /// Returns who this agent is.
    pub fn identity(&self) -> &AgentIdentity {
        &self.identity
    }

    /// Returns the counters.
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Returns the load that gateways are told.
    pub fn load(&self, now: time::Timestamp) -> load::LoadSummary {
        self.scheduler.summarize(now)
    }

    /// Returns whether and how the agent leaves.
    pub fn departure(&self) -> DeparturePhase {
        self.departure
    }

    /// Says whether the target answers.
    pub fn is_target_up(&self) -> bool {
        self.target_up
    }

    /// Returns the attempts it keeps.
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
            last_heard: now,
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
        self.send_pulse(now, link, effects);
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

    fn take_frame(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        frame: frames::GatewayFrame,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        state.last_heard = now;
        if let Some(gateway) = state.gateway {
            self.gateways.record_sign(now, gateway);
        }
        if state.gateway.is_none() && !matches!(frame, frames::GatewayFrame::Hello(_)) {
            self.drop_link(now, link, effects);
            return;
        }

        match frame {
            frames::GatewayFrame::Hello(hello) => self.take_hello(now, link, &hello, effects),
            frames::GatewayFrame::Start(order) => self.take_start(now, link, *order, effects),
            frames::GatewayFrame::Cancel(order) => self.take_cancel(now, link, order, effects),
            frames::GatewayFrame::Detach { attempt } => {
                self.take_detach(now, link, attempt, effects);
            }
            frames::GatewayFrame::Resume(order) => self.take_resume(now, link, &order, effects),
            frames::GatewayFrame::Acknowledge { attempt, next } => {
                self.take_acknowledgement(link, attempt, next, effects);
            }
            frames::GatewayFrame::EndAcknowledged { attempt } => {
                self.take_settlement(link, attempt)
            }
            frames::GatewayFrame::LeavingAcknowledged { pulse } => self.note_farewell(link, pulse),
            frames::GatewayFrame::Heartbeat | frames::GatewayFrame::Fleet(_) => {}
        }
    }

    fn take_hello(
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

/// Appends the effect that sends `frame` on `link`.
fn send(effects: &mut Vec<AgentEffect>, link: ids::LinkId, frame: frames::AgentFrame) {
    effects.push(AgentEffect::Send { link, frame });
}
