//! The test world: processes, links and time.

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

use crate::nodes;
use crate::observer;
use crate::operations::CallKind;
use crate::operations::Operation;

const GATEWAYS: usize = 2;
const AGENTS: usize = 5;
const STEP: Duration = Duration::from_millis(10);
const TICK_STEPS: u64 = 5;
/// Time after the last operation in which every call must end.
const DRAIN: Duration = Duration::from_secs(240);

/// Times that callers give a call to start.
const START_PATIENCES: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(60)];
/// Time in which a caller that lost its connection is owed the rest of its stream.
const RESUME_GRACE: Duration = Duration::from_secs(15);
/// Usual upper end of a frame's delay, in milliseconds.
const DELAY_MILLIS: u64 = 30;
/// Share of frames at which a link stalls.
const STALL_SHARE: f64 = 0.01;
/// Upper end of a stall, in milliseconds.
const STALL_MILLIS: u64 = 8_000;
/// Upper end of the time for which frames on a closed link may still reach an agent.
const LINGER_MILLIS: u64 = 8_000;

/// A link as the network sees it.
#[derive(Debug)]
struct LinkRecord {
    gateway: usize,
    gateway_life: u64,
    agent: usize,
    agent_life: u64,
    silent: bool,
    /// Closed by the gateway; what is under way may still reach the agent until this time.
    closed_at: Option<time::Timestamp>,
    to_agent: VecDeque<(time::Timestamp, frames::GatewayFrame)>,
    to_gateway: VecDeque<(time::Timestamp, frames::AgentFrame)>,
}

/// What starts again later.
#[derive(Debug, Clone, Copy)]
enum DueStart {
    Gateway(usize),
    Agent(usize),
    Target(usize),
}

/// Everything in one case.
pub struct CaseWorld {
    now: time::Timestamp,
    steps: u64,
    generator: ChaCha8Rng,
    gateways: Vec<nodes::GatewayNode>,
    agents: Vec<nodes::AgentNode>,
    /// Links by their number, which is the same at both ends.
    links: BTreeMap<u64, LinkRecord>,
    /// Numbers of links by gateway, its life and its own number.
    names: BTreeMap<(usize, u64, ids::LinkId), u64>,
    next_link: u64,
    due: Vec<(time::Timestamp, DueStart)>,
    pub observer: observer::CaseObserver,
    /// Gateway and its life of each call.
    homes: BTreeMap<u64, (usize, u64)>,
    lengths: BTreeMap<u64, u64>,
    next_call: u64,
    patient: bool,
}

impl CaseWorld {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: time::Timestamp::ZERO,
            steps: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            gateways: (0..GATEWAYS)
                .map(|index| nodes::GatewayNode::new(index, 0))
                .collect(),
            agents: (0..AGENTS)
                .map(|index| nodes::AgentNode::new(index, 0))
                .collect(),
            links: BTreeMap::new(),
            names: BTreeMap::new(),
            next_link: 1,
            due: Vec::new(),
            observer: observer::CaseObserver::default(),
            homes: BTreeMap::new(),
            lengths: BTreeMap::new(),
            next_call: 1,
            patient: false,
        };
        for index in 0..AGENTS {
            world.agent_event(index, agent::AgentEvent::TargetHealth { up: true });
        }
        for index in 0..GATEWAYS {
            world.list_targets(index);
        }
        world.advance(Duration::from_millis(200));
        world
    }

    /// Gives every call enough time to start.
    pub fn with_patience(mut self) -> Self {
        self.patient = true;
        self
    }

    /// Checks that every caller who stayed got the whole answer.
    pub fn check_all_completed(&self) {
        for (call, record) in &self.observer.calls {
            let is_owed = record.connected && !record.repeat && !record.late;
            assert!(
                !is_owed || record.outcome == Some(work::CallOutcome::Completed),
                "call {call} did not complete: {record:?}"
            );
        }
    }

    /// Carries out all operations, lets everything end, and checks that every call did.
    pub fn run(&mut self, operations: &[Operation]) {
        for operation in operations {
            self.carry_out(*operation);
        }
        let end = self.now + DRAIN;
        while self.now < end && !self.is_idle() {
            self.advance(Duration::from_secs(1));
        }
        self.check_all_ended();
    }

    fn carry_out(&mut self, operation: Operation) {
        match operation {
            Operation::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Operation::Call(gateway, kind, tokens) => self.call(gateway % GATEWAYS, kind, tokens),
            Operation::Repeat(call, gateway) => self.repeat(call, gateway % GATEWAYS),
            Operation::Leave(call) => self.break_caller(call),
            Operation::Resume(call, gateway) => self.resume(call, gateway % GATEWAYS),
            Operation::CloseLink(link) => {
                if let Some(number) = self.pick_link(link) {
                    self.lose_link(number);
                }
            }
            Operation::Silence(link) => {
                if let Some(number) = self.pick_link(link)
                    && let Some(record) = self.links.get_mut(&number)
                {
                    record.silent = true;
                }
            }
            Operation::KillGateway(index, span) => self.kill_gateway(index % GATEWAYS, span),
            Operation::KillAgent(index, span) => self.kill_agent(index % AGENTS, span),
            Operation::KillTarget(index, span) => self.kill_target(index % AGENTS, span),
            Operation::PauseGateway(index, span) => {
                let until = self.now + Duration::from_millis(span);
                self.gateways[index % GATEWAYS].paused_until = until;
            }
            Operation::PauseAgent(index, span) => {
                let until = self.now + Duration::from_millis(span);
                self.agents[index % AGENTS].paused_until = until;
            }
            Operation::LeaveAgent(index, span) => self.leave_agent(index % AGENTS, span),
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.steps += 1;
            self.make_due_changes();
            self.run_targets();
            self.deliver_frames();
            if self.steps.is_multiple_of(TICK_STEPS) {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..AGENTS {
            self.agent_event(index, agent::AgentEvent::Tick);
        }
        for index in 0..GATEWAYS {
            self.gateway_event(index, gateway::GatewayEvent::Tick);
        }
    }

    fn make_due_changes(&mut self) {
        let now = self.now;
        let due: Vec<DueStart> = self
            .due
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, change)| change)
            .collect();
        for change in due {
            match change {
                DueStart::Gateway(index) => {
                    let life = self.gateways[index].life + 1;
                    self.gateways[index] = nodes::GatewayNode::new(index, life);
                    self.list_targets(index);
                }
                DueStart::Agent(index) => {
                    let life = self.agents[index].life + 1;
                    self.agents[index] = nodes::AgentNode::new(index, life);
                    self.agent_event(index, agent::AgentEvent::TargetHealth { up: true });
                }
                DueStart::Target(index) => {
                    if self.agents[index].alive && !self.agents[index].target_up {
                        self.agents[index].target_up = true;
                        self.agent_event(index, agent::AgentEvent::TargetHealth { up: true });
                    }
                }
            }
        }
    }

    fn list_targets(&mut self, index: usize) {
        let listings = nodes::listings(AGENTS);
        self.gateway_event(index, gateway::GatewayEvent::Targets(listings));
    }

    /// Lets every target make some tokens or answers.
    fn run_targets(&mut self) {
        for index in 0..AGENTS {
            let node = &self.agents[index];
            if !node.alive || !node.target_up || node.paused_until > self.now {
                continue;
            }
            let attempts: Vec<ids::AttemptId> = node.work.keys().copied().collect();
            for attempt in attempts {
                if self.generator.random_bool(0.3) {
                    self.run_work(index, attempt);
                }
            }
        }
    }

    fn run_work(&mut self, index: usize, attempt: ids::AttemptId) {
        let Some(target) = self.agents[index].work.get_mut(&attempt) else {
            return;
        };
        if target.left > 0 {
            let made = target.made;
            target.left -= 1;
            target.made += 1;
            let event = agent::AgentEvent::Token {
                attempt,
                index: measures::Sequence::new(made),
                text: observer::token_text(attempt, made).into(),
            };
            self.agent_event(index, event);
            return;
        }

        let target = self.agents[index].work.remove(&attempt).unwrap();
        let event = match target.request {
            work::WorkRequest::Generation(_) => {
                self.observer.record_total(attempt, target.made);
                agent::AgentEvent::GenerationEnded {
                    attempt,
                    reason: work::FinishReason::Stop,
                }
            }
            work::WorkRequest::Service(request) => {
                let operation = String::from_utf8(request.body).unwrap();
                agent::AgentEvent::Answered {
                    attempt,
                    answer: work::ServiceAnswer {
                        status: 200,
                        content_type: "text/plain".into(),
                        body: format!("booked {operation}").into_bytes(),
                    },
                }
            }
        };
        self.agent_event(index, event);
    }

    fn deliver_frames(&mut self) {
        let numbers: Vec<u64> = self.links.keys().copied().collect();
        for number in numbers {
            self.deliver_to_agent(number);
            self.deliver_to_gateway(number);
            self.finish_close(number);
        }
    }

    fn deliver_to_agent(&mut self, number: u64) {
        loop {
            let now = self.now;
            let Some(record) = self.links.get_mut(&number) else {
                return;
            };
            let index = record.agent;
            let node = &self.agents[index];
            let is_there = node.alive && node.life == record.agent_life;
            if node.paused_until > now && is_there {
                return;
            }
            let Some((_, frame)) = record.to_agent.pop_front_if(|(at, _)| *at <= now) else {
                return;
            };
            if is_there && !record.silent {
                let link = ids::LinkId::new(number);
                self.agent_event(index, agent::AgentEvent::Frame { link, frame });
            }
        }
    }

    fn deliver_to_gateway(&mut self, number: u64) {
        loop {
            let now = self.now;
            let Some(record) = self.links.get_mut(&number) else {
                return;
            };
            let index = record.gateway;
            let node = &self.gateways[index];
            let is_there = node.alive && node.life == record.gateway_life;
            if node.paused_until > now && is_there {
                return;
            }
            let Some((_, frame)) = record.to_gateway.pop_front_if(|(at, _)| *at <= now) else {
                return;
            };
            if is_there && !record.silent && record.closed_at.is_none() {
                let link = self.gateway_link(number);
                self.gateway_event(index, gateway::GatewayEvent::Frame { link, frame });
            }
        }
    }

    /// Tells the agent of a closed link once nothing is under way.
    fn finish_close(&mut self, number: u64) {
        let now = self.now;
        let is_done = self.links.get(&number).is_some_and(|record| {
            let is_closed = record.closed_at.is_some_and(|at| at <= now);
            let is_paused = self.agents[record.agent].paused_until > now;
            is_closed && !is_paused && (record.to_agent.is_empty() || record.silent)
        });
        if !is_done {
            return;
        }
        let Some(record) = self.links.remove(&number) else {
            return;
        };
        let node = &self.agents[record.agent];
        if node.alive && node.life == record.agent_life {
            let link = ids::LinkId::new(number);
            self.agent_event(record.agent, agent::AgentEvent::LinkClosed { link });
        }
    }

    fn gateway_link(&self, number: u64) -> ids::LinkId {
        self.names
            .iter()
            .find(|(_, value)| **value == number)
            .map(|((_, _, link), _)| *link)
            .expect("every link has a name")
    }

    fn gateway_event(&mut self, index: usize, event: gateway::GatewayEvent) {
        let node = &mut self.gateways[index];
        if !node.alive
            || (node.paused_until > self.now && matches!(event, gateway::GatewayEvent::Tick))
        {
            return;
        }
        let life = node.life;
        let mut effects = Vec::new();
        node.reducer.apply(self.now, event, &mut effects);

        for effect in effects {
            self.gateway_effect(index, life, effect);
        }
    }

    fn gateway_effect(&mut self, index: usize, life: u64, effect: gateway::GatewayEffect) {
        match effect {
            gateway::GatewayEffect::Connect { link, target, .. } => {
                self.connect(index, life, link, &target);
            }
            gateway::GatewayEffect::CloseLink { link } => {
                let number = self.names.get(&(index, life, link)).copied();
                let delay = Duration::from_millis(self.generator.random_range(0..LINGER_MILLIS));
                if let Some(record) = number.and_then(|number| self.links.get_mut(&number)) {
                    record.closed_at = record.closed_at.or(Some(self.now + delay));
                }
            }
            gateway::GatewayEffect::Send { link, frame } => {
                if let frames::GatewayFrame::Start(order) = &frame {
                    let call = self.gateways[index]
                        .reducer
                        .calls()
                        .attempt_call(order.attempt)
                        .expect("a start order belongs to a call");
                    self.observer.record_attempt(call.get(), order.attempt);
                }
                let at = self.now + self.delay();
                let number = self.names.get(&(index, life, link)).copied();
                if let Some(record) = number.and_then(|number| self.links.get_mut(&number)) {
                    let last = record.to_agent.back().map_or(at, |(last, _)| *last);
                    record.to_agent.push_back((at.max(last), frame));
                }
            }
            gateway::GatewayEffect::Reply { call, reply } => {
                self.observer.record_reply(call.get(), &reply);
            }
            gateway::GatewayEffect::Exit => {}
        }
    }

    fn agent_event(&mut self, index: usize, event: agent::AgentEvent) {
        let node = &mut self.agents[index];
        if !node.alive || (node.paused_until > self.now && matches!(event, agent::AgentEvent::Tick))
        {
            return;
        }
        let mut effects = Vec::new();
        node.reducer.apply(self.now, event, &mut effects);

        for effect in effects {
            self.agent_effect(index, effect);
        }
    }

    fn agent_effect(&mut self, index: usize, effect: agent::AgentEffect) {
        match effect {
            agent::AgentEffect::Send { link, frame } => {
                let at = self.now + self.delay();
                if let Some(record) = self.links.get_mut(&link.get()) {
                    let last = record.to_gateway.back().map_or(at, |(last, _)| *last);
                    record.to_gateway.push_back((at.max(last), frame));
                }
            }
            agent::AgentEffect::CloseLink { link } => self.lose_link(link.get()),
            agent::AgentEffect::Generate(command) => {
                let request = work::WorkRequest::Generation(command.request);
                self.start_work(index, command.attempt, request);
            }
            agent::AgentEffect::CallService { attempt, request } => {
                self.start_work(index, attempt, work::WorkRequest::Service(*request));
            }
            agent::AgentEffect::Cancel { attempt } => {
                self.agents[index].work.remove(&attempt);
            }
            agent::AgentEffect::Exit => {
                let span = self.agents[index].restart_span;
                self.kill_agent(index, span);
            }
            agent::AgentEffect::Pause { .. } | agent::AgentEffect::Resume { .. } => {}
        }
    }

    fn start_work(&mut self, index: usize, attempt: ids::AttemptId, request: work::WorkRequest) {
        let node = &self.agents[index];
        assert_eq!(
            node.left_at, None,
            "agent {index} started {attempt} while it leaves"
        );
        let operation = match &request {
            work::WorkRequest::Generation(_) => None,
            work::WorkRequest::Service(call) => Some(
                String::from_utf8(call.body.clone())
                    .unwrap()
                    .parse()
                    .unwrap(),
            ),
        };
        self.observer.record_start(attempt, operation);

        let left = match &request {
            work::WorkRequest::Generation(generation) => generation.max_tokens.get(),
            work::WorkRequest::Service(_) => 0,
        };
        let target = nodes::TargetWork {
            left,
            made: 0,
            request,
        };
        self.agents[index].work.insert(attempt, target);
    }

    fn connect(&mut self, index: usize, life: u64, link: ids::LinkId, target: &ids::TargetName) {
        let number = self.next_link;
        self.next_link += 1;
        self.names.insert((index, life, link), number);
        let agent = (0..AGENTS)
            .find(|agent| nodes::target_name(*agent) == *target)
            .expect("a listed target");
        if !self.agents[agent].alive || self.agents[agent].paused_until > self.now {
            // Nobody answers; the gateway's own timeout ends the try.
            return;
        }

        let record = LinkRecord {
            gateway: index,
            gateway_life: life,
            agent,
            agent_life: self.agents[agent].life,
            silent: false,
            closed_at: None,
            to_agent: VecDeque::new(),
            to_gateway: VecDeque::new(),
        };
        self.links.insert(number, record);
        let opened = ids::LinkId::new(number);
        self.agent_event(agent, agent::AgentEvent::LinkOpened { link: opened });
        self.gateway_event(index, gateway::GatewayEvent::LinkOpened { link });
    }

    /// Loses a link at both ends, with what is under way.
    fn lose_link(&mut self, number: u64) {
        if !self.links.contains_key(&number) {
            return;
        }
        let link = self.gateway_link(number);
        let Some(record) = self.links.remove(&number) else {
            return;
        };
        let agent = &self.agents[record.agent];
        if agent.alive && agent.life == record.agent_life {
            let closed = ids::LinkId::new(number);
            self.agent_event(record.agent, agent::AgentEvent::LinkClosed { link: closed });
        }
        let gateway = &self.gateways[record.gateway];
        if gateway.alive && gateway.life == record.gateway_life {
            self.gateway_event(record.gateway, gateway::GatewayEvent::LinkClosed { link });
        }
    }

    fn pick_link(&self, index: usize) -> Option<u64> {
        let count = self.links.len();
        match count {
            0 => None,
            _ => self.links.keys().nth(index % count).copied(),
        }
    }

    fn kill_gateway(&mut self, index: usize, span: u64) {
        if !self.gateways[index].alive {
            return;
        }
        self.gateways[index].alive = false;
        for (call, home) in &self.homes {
            if home.0 == index
                && let Some(record) = self.observer.calls.get_mut(call)
            {
                record.connected = false;
            }
        }
        self.lose_links_of(|record| record.gateway == index);
        self.schedule(span, DueStart::Gateway(index));
    }

    fn kill_agent(&mut self, index: usize, span: u64) {
        if !self.agents[index].alive {
            return;
        }
        self.agents[index].alive = false;
        self.agents[index].work.clear();
        self.lose_links_of(|record| record.agent == index);
        self.schedule(span, DueStart::Agent(index));
    }

    fn kill_target(&mut self, index: usize, span: u64) {
        if !self.agents[index].alive || !self.agents[index].target_up {
            return;
        }
        self.agents[index].target_up = false;
        self.agents[index].work.clear();
        self.agent_event(index, agent::AgentEvent::TargetHealth { up: false });
        self.schedule(span, DueStart::Target(index));
    }

    fn leave_agent(&mut self, index: usize, span: u64) {
        if !self.agents[index].alive || self.agents[index].left_at.is_some() {
            return;
        }
        self.agents[index].left_at = Some(self.now);
        self.agents[index].restart_span = span;
        self.agent_event(index, agent::AgentEvent::Stop);
    }

    fn schedule(&mut self, span: u64, change: DueStart) {
        self.due
            .push((self.now + Duration::from_millis(span), change));
    }

    fn lose_links_of(&mut self, is_lost: impl Fn(&LinkRecord) -> bool) {
        let numbers: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, record)| is_lost(record))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.lose_link(number);
        }
    }

    fn delay(&mut self) -> Duration {
        let most = match self.generator.random_bool(STALL_SHARE) {
            true => STALL_MILLIS,
            false => DELAY_MILLIS,
        };
        Duration::from_millis(self.generator.random_range(0..most))
    }

    fn call(&mut self, gateway: usize, kind: CallKind, tokens: u64) {
        let call = self.next_call;
        self.lengths.insert(call, tokens);
        self.start_call(gateway, kind, call, None);
    }

    fn repeat(&mut self, call: usize, gateway: usize) {
        let booked: Vec<(u64, observer::CallRecord)> = self
            .observer
            .calls
            .iter()
            .filter(|(_, record)| record.booking && record.key.is_some())
            .map(|(call, record)| (*call, record.clone()))
            .collect();
        if booked.is_empty() {
            return;
        }
        let (_, record) = &booked[call % booked.len()];
        self.start_call(
            gateway,
            CallKind::Booking,
            record.operation,
            record.key.clone(),
        );
    }

    fn start_call(
        &mut self,
        gateway: usize,
        kind: CallKind,
        operation: u64,
        key: Option<kingcupfall_core::keys::ExecutionKey>,
    ) {
        if !self.gateways[gateway].alive {
            return;
        }
        let call = self.next_call;
        self.next_call += 1;
        let tokens = self.lengths.get(&operation).copied().unwrap_or(1);
        let record = observer::CallRecord {
            operation,
            booking: kind == CallKind::Booking,
            attempts: Default::default(),
            repeat: key.is_some(),
            key: key.clone(),
            last_event: None,
            next_token: 0,
            outcome: None,
            connected: true,
            resumed: false,
            broken_at: None,
            late: false,
        };
        self.observer.calls.insert(call, record);
        self.homes
            .insert(call, (gateway, self.gateways[gateway].life));

        let patience = match self.patient {
            true => START_PATIENCES[1],
            false => START_PATIENCES[self.generator.random_range(0..2)],
        };
        let request = gateway::CallRequest {
            call: ids::CallId::new(call),
            tag: tag(),
            fingerprint: work::RequestFingerprint::new(operation),
            work: match kind {
                CallKind::Stream | CallKind::Whole => generation(tokens + 1),
                CallKind::Booking => booking(operation),
            },
            stream: kind == CallKind::Stream,
            repeatable: kind != CallKind::Booking,
            key,
            start_deadline: self.now + patience,
        };
        self.gateway_event(gateway, gateway::GatewayEvent::Call(Box::new(request)));
    }

    fn break_caller(&mut self, index: usize) {
        let open: Vec<u64> = self
            .observer
            .calls
            .iter()
            .filter(|(_, record)| record.connected && record.outcome.is_none())
            .map(|(call, _)| *call)
            .collect();
        if open.is_empty() {
            return;
        }
        let call = open[index % open.len()];
        let record = self.observer.calls.get_mut(&call).unwrap();
        record.connected = false;
        record.broken_at = Some(self.now);
        let (gateway, life) = self.homes[&call];
        if self.gateways[gateway].life == life {
            let event = gateway::GatewayEvent::CallerGone {
                call: ids::CallId::new(call),
            };
            self.gateway_event(gateway, event);
        }
    }

    fn resume(&mut self, index: usize, gateway: usize) {
        let broken: Vec<u64> = self
            .observer
            .calls
            .iter()
            .filter(|(_, record)| !record.connected && record.outcome.is_none())
            .filter(|(_, record)| record.last_event.is_some() && !record.resumed)
            .map(|(call, _)| *call)
            .collect();
        if broken.is_empty() || !self.gateways[gateway].alive {
            return;
        }
        let record = self
            .observer
            .calls
            .get_mut(&broken[index % broken.len()])
            .unwrap();
        // A caller follows its stream on one connection at a time.
        let former = record.clone();
        record.resumed = true;
        let token = former.last_event.clone().unwrap();
        let call = self.next_call;
        self.next_call += 1;
        self.observer.calls.insert(
            call,
            observer::CallRecord {
                connected: true,
                late: former
                    .broken_at
                    .is_some_and(|at| self.now.since(at) >= RESUME_GRACE),
                ..former
            },
        );
        self.homes
            .insert(call, (gateway, self.gateways[gateway].life));
        let request = gateway::ResumeRequest {
            call: ids::CallId::new(call),
            tag: tag(),
            token,
        };
        self.gateway_event(gateway, gateway::GatewayEvent::Resume(Box::new(request)));
    }

    fn is_idle(&self) -> bool {
        let gateways_idle = self
            .gateways
            .iter()
            .all(|node| node.reducer.calls().is_empty());
        let targets_idle = self.agents.iter().all(|node| node.work.is_empty());
        let links_idle = self.links.values().all(|record| record.closed_at.is_none());
        gateways_idle && targets_idle && links_idle && self.due.is_empty()
    }

    fn check_all_ended(&self) {
        for (call, record) in &self.observer.calls {
            let (gateway, life) = self.homes[call];
            let node = &self.gateways[gateway];
            if record.connected && node.alive && node.life == life {
                assert!(
                    record.outcome.is_some(),
                    "call {call} never ended: {record:?}"
                );
            }
        }
        for (index, node) in self.gateways.iter().enumerate() {
            assert!(
                node.reducer.calls().is_empty(),
                "gateway {index} keeps calls"
            );
        }
        for (index, node) in self.agents.iter().enumerate() {
            assert!(node.work.is_empty(), "target {index} still works");
        }
    }
}

fn tag() -> work::CallerTag {
    work::CallerTag {
        organisation: "exaustao".parse().unwrap(),
        class: "report".parse().unwrap(),
        priority: measures::Priority::new(2),
        weight: measures::Weight::new(1),
    }
}

fn generation(tokens: u64) -> work::WorkRequest {
    work::WorkRequest::Generation(work::GenerationRequest {
        model: "report".parse().unwrap(),
        prompt: "p".into(),
        prompt_tokens: measures::TokenCount::new(1),
        prefix: work::PrefixHash::new(1),
        max_tokens: measures::TokenCount::new(tokens),
    })
}

fn booking(operation: u64) -> work::WorkRequest {
    work::WorkRequest::Service(work::ServiceRequest {
        service: "bookings".parse().unwrap(),
        path: "visits".into(),
        content_type: "text/plain".into(),
        body: operation.to_string().into_bytes(),
    })
}
