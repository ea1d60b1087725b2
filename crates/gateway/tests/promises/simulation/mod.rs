//! Simulation of gateways, agents, targets, links and callers on a simulated clock.

mod callers;
mod effects;
mod faults;
mod links;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_link::frames;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::checker;
use crate::nodes;
use crate::operations::Operation;

const GATEWAY_COUNT: usize = 2;
const AGENT_COUNT: usize = 5;
const TIME_STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u64 = 5;
/// Time after the last operation within which every call must end.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(240);

/// Times from a call to its start deadline; each call gets a random one of them, unless
/// `has_long_start_timeouts` is set.
const START_TIMEOUTS: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(60)];
/// Time for which a disconnected caller's stream is kept; if resumed later, it need not complete.
const RESUME_GRACE_PERIOD: Duration = Duration::from_secs(15);
/// Exclusive upper bound of a frame's delay without a stall.
const FRAME_DELAY_BOUND_MS: u64 = 30;
/// Probability that a frame stalls its direction of the link.
const STALL_PROBABILITY: f64 = 0.01;
/// Exclusive upper bound of the delay of a frame that stalls.
const STALL_BOUND_MS: u64 = 8_000;
/// Exclusive upper bound of the time until an agent can notice that the gateway closed a link.
const CLOSE_DELAY_BOUND_MS: u64 = 8_000;

/// A link that is open, or whose closing by the gateway the agent has not noticed yet.
#[derive(Debug)]
struct LinkState {
    gateway: usize,
    gateway_incarnation: u64,
    agent: usize,
    agent_incarnation: u64,
    /// Whether the link discards the frames that arrive, in both directions.
    silent: bool,
    /// Earliest time at which the agent can notice that the gateway closed the link; `None` while
    /// the gateway has it open. Frames in transit still reach the agent, and delay the notice.
    close_visible_at: Option<time::Timestamp>,
    /// Frames in transit to the agent, with arrival times that keep the order of sending.
    to_agent: VecDeque<(time::Timestamp, frames::GatewayFrame)>,
    /// Frames in transit to the gateway, with arrival times that keep the order of sending.
    to_gateway: VecDeque<(time::Timestamp, frames::AgentFrame)>,
}

/// A dead process that is to restart, by its index.
#[derive(Debug, Clone, Copy)]
enum ScheduledRestart {
    Gateway(usize),
    Agent(usize),
    Target(usize),
}

/// State of one case: processes, links, callers and the clock.
pub struct ClusterSimulation {
    now: time::Timestamp,
    steps: u64,
    rng: ChaCha8Rng,
    gateways: Vec<nodes::GatewayNode>,
    agents: Vec<nodes::AgentNode>,
    /// Links by number, which is also the link's id at the agent.
    links: BTreeMap<u64, LinkState>,
    /// Numbers of links by gateway, incarnation of the gateway, and the link's id there.
    link_numbers: BTreeMap<(usize, u64, ids::LinkId), u64>,
    next_link_number: u64,
    scheduled_restarts: Vec<(time::Timestamp, ScheduledRestart)>,
    pub checker: checker::InvariantChecker,
    /// Gateway of each call, and the gateway's incarnation.
    call_gateways: BTreeMap<u64, (usize, u64)>,
    /// Number of tokens that each operation requests beyond the first; unused for bookings.
    extra_tokens: BTreeMap<u64, u64>,
    next_call: u64,
    /// Whether every call gets the longer of [`START_TIMEOUTS`].
    has_long_start_timeouts: bool,
}

impl ClusterSimulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: time::Timestamp::ZERO,
            steps: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateways: (0..GATEWAY_COUNT)
                .map(|index| nodes::GatewayNode::new(index, 0))
                .collect(),
            agents: (0..AGENT_COUNT)
                .map(|index| nodes::AgentNode::new(index, 0))
                .collect(),
            links: BTreeMap::new(),
            link_numbers: BTreeMap::new(),
            next_link_number: 1,
            scheduled_restarts: Vec::new(),
            checker: checker::InvariantChecker::default(),
            call_gateways: BTreeMap::new(),
            extra_tokens: BTreeMap::new(),
            next_call: 1,
            has_long_start_timeouts: false,
        };
        for index in 0..AGENT_COUNT {
            simulation.apply_agent_event(index, agent::AgentEvent::TargetHealth { up: true });
        }
        for index in 0..GATEWAY_COUNT {
            simulation.send_target_list(index);
        }
        simulation.advance(Duration::from_millis(200));
        simulation
    }

    /// Gives every call the longer start timeout, which is enough for it to start.
    pub fn with_long_start_timeouts(mut self) -> Self {
        self.has_long_start_timeouts = true;
        self
    }

    /// Checks that every caller that stayed connected received its complete response.
    ///
    /// Repeated bookings and streams resumed after the grace period need not complete.
    pub fn check_all_completed(&self) {
        for (call, record) in &self.checker.calls {
            let must_complete = record.connected && !record.is_repeat && !record.resumed_late;
            assert!(
                !must_complete || record.outcome == Some(work::CallOutcome::Completed),
                "call {call} did not complete: {record:?}"
            );
        }
    }

    /// Executes all operations, lets time pass until the work has ended, and checks that every call
    /// has ended.
    pub fn run(&mut self, operations: &[Operation]) {
        for operation in operations {
            self.execute(*operation);
        }
        let end = self.now + COMPLETION_TIMEOUT;
        while self.now < end && !self.is_idle() {
            self.advance(Duration::from_secs(1));
        }
        self.check_all_ended();
    }

    fn execute(&mut self, operation: Operation) {
        match operation {
            Operation::Advance(duration_ms) => self.advance(Duration::from_millis(duration_ms)),
            Operation::Call(gateway, kind, extra_tokens) => {
                self.make_call(gateway % GATEWAY_COUNT, kind, extra_tokens)
            }
            Operation::RepeatBooking(call, gateway) => {
                self.repeat_booking(call, gateway % GATEWAY_COUNT)
            }
            Operation::Disconnect(call) => self.disconnect_caller(call),
            Operation::ResumeStream(call, gateway) => {
                self.resume_stream(call, gateway % GATEWAY_COUNT)
            }
            Operation::CloseLink(link) => {
                if let Some(number) = self.pick_link(link) {
                    self.lose_link(number);
                }
            }
            Operation::SilenceLink(link) => {
                if let Some(number) = self.pick_link(link)
                    && let Some(state) = self.links.get_mut(&number)
                {
                    state.silent = true;
                }
            }
            Operation::KillGateway(index, delay_ms) => {
                self.kill_gateway(index % GATEWAY_COUNT, delay_ms)
            }
            Operation::KillAgent(index, delay_ms) => self.kill_agent(index % AGENT_COUNT, delay_ms),
            Operation::KillTarget(index, delay_ms) => {
                self.kill_target(index % AGENT_COUNT, delay_ms)
            }
            Operation::PauseGateway(index, duration_ms) => {
                let until = self.now + Duration::from_millis(duration_ms);
                self.gateways[index % GATEWAY_COUNT].paused_until = until;
            }
            Operation::PauseAgent(index, duration_ms) => {
                let until = self.now + Duration::from_millis(duration_ms);
                self.agents[index % AGENT_COUNT].paused_until = until;
            }
            Operation::StopAgent(index, delay_ms) => self.stop_agent(index % AGENT_COUNT, delay_ms),
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            self.steps += 1;
            self.execute_due_restarts();
            self.step_targets();
            self.deliver_frames();
            if self.steps.is_multiple_of(STEPS_PER_TICK) {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..AGENT_COUNT {
            self.apply_agent_event(index, agent::AgentEvent::Tick);
        }
        for index in 0..GATEWAY_COUNT {
            self.apply_gateway_event(index, gateway::GatewayEvent::Tick);
        }
    }

    fn send_target_list(&mut self, index: usize) {
        let listings = nodes::target_listings(AGENT_COUNT);
        self.apply_gateway_event(index, gateway::GatewayEvent::TargetsChanged(listings));
    }

    /// Lets each attempt on a running target make progress with a fixed probability.
    fn step_targets(&mut self) {
        for index in 0..AGENT_COUNT {
            let node = &self.agents[index];
            if !node.alive || !node.target_up || node.paused_until > self.now {
                continue;
            }
            let attempts: Vec<ids::AttemptId> = node.work.keys().copied().collect();
            for attempt in attempts {
                if self.rng.random_bool(0.3) {
                    self.step_work(index, attempt);
                }
            }
        }
    }

    /// Generates the next token of an attempt; ends the attempt if none remains.
    fn step_work(&mut self, index: usize, attempt: ids::AttemptId) {
        let Some(running) = self.agents[index].work.get_mut(&attempt) else {
            return;
        };
        if running.remaining_tokens > 0 {
            let token_index = running.generated_tokens;
            running.remaining_tokens -= 1;
            running.generated_tokens += 1;
            let event = agent::AgentEvent::Token {
                attempt,
                index: measures::SequenceNumber::new(token_index),
                text: checker::token_text(attempt, token_index).into(),
            };
            self.apply_agent_event(index, event);
            return;
        }

        let running = self.agents[index].work.remove(&attempt).unwrap();
        let event = match running.request {
            work::WorkRequest::Generation(_) => {
                self.checker
                    .record_token_total(attempt, running.generated_tokens);
                agent::AgentEvent::GenerationEnded {
                    attempt,
                    reason: work::FinishReason::Stop,
                }
            }
            work::WorkRequest::Service(request) => {
                let operation = String::from_utf8(request.body).unwrap();
                agent::AgentEvent::Responded {
                    attempt,
                    response: work::ServiceResponse {
                        status: 200,
                        content_type: "text/plain".into(),
                        body: format!("booked {operation}").into_bytes(),
                    },
                }
            }
        };
        self.apply_agent_event(index, event);
    }

    /// Returns true if no call, work, closing link or restart is pending.
    fn is_idle(&self) -> bool {
        let gateways_idle = self
            .gateways
            .iter()
            .all(|node| node.reducer.calls().is_empty());
        let targets_idle = self.agents.iter().all(|node| node.work.is_empty());
        let links_idle = self
            .links
            .values()
            .all(|state| state.close_visible_at.is_none());
        gateways_idle && targets_idle && links_idle && self.scheduled_restarts.is_empty()
    }

    /// Checks that every connected call has an outcome, and that no gateway or target has work
    /// left.
    ///
    /// Calls of a gateway incarnation that was killed are exempt.
    fn check_all_ended(&self) {
        for (call, record) in &self.checker.calls {
            let (gateway, incarnation) = self.call_gateways[call];
            let node = &self.gateways[gateway];
            if record.connected && node.alive && node.incarnation == incarnation {
                assert!(
                    record.outcome.is_some(),
                    "call {call} has not ended: {record:?}"
                );
            }
        }
        for (index, node) in self.gateways.iter().enumerate() {
            assert!(
                node.reducer.calls().is_empty(),
                "gateway {index} still has open calls"
            );
        }
        for (index, node) in self.agents.iter().enumerate() {
            assert!(node.work.is_empty(), "target {index} still runs work");
        }
    }
}
