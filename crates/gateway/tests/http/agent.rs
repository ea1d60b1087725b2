//! An in-process agent: the real reducer, with a scripted target behind it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_gateway::shell;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule;
use tokio::sync::mpsc;

/// What the scripted target does with its work.
#[derive(Debug, Clone)]
pub enum TargetScript {
    /// Generates these tokens at once, and ends.
    Generate(Vec<&'static str>),
    /// Generates these tokens, and then hangs.
    Hang(Vec<&'static str>),
    /// Generates tokens without end, at every tick of the agent.
    Flood,
    /// Responds to service calls with their own body.
    Echo,
    /// Crashes on every request, and restarts at once.
    Crash,
}

/// The agents of a test, by address.
#[derive(Clone, Default)]
pub struct AgentFleet {
    agents: Rc<RefCell<BTreeMap<net::SocketAddr, Rc<RefCell<ScriptedAgent>>>>>,
}

/// An agent and its scripted target.
pub struct ScriptedAgent {
    clock: shell::ShellClock,
    reducer: agent::AgentReducer,
    script: TargetScript,
    links: BTreeMap<ids::LinkId, shell::LinkEventSender>,
    /// Attempts that the target has started.
    pub started: Vec<ids::AttemptId>,
    /// Attempts that were cancelled at the target.
    pub cancelled: Vec<ids::AttemptId>,
}

impl AgentFleet {
    /// Adds the agent of a target, and starts its ticks.
    pub fn add(
        &self,
        target: &str,
        address: net::SocketAddr,
        script: TargetScript,
    ) -> Rc<RefCell<ScriptedAgent>> {
        let identity = agent::AgentIdentity {
            target: target.parse().unwrap(),
            incarnation: ids::Incarnation::from_u128(u128::from(address.port())),
            zone: "a".parse().unwrap(),
        };
        let mut agent = ScriptedAgent {
            clock: shell::ShellClock::start(),
            reducer: agent::AgentReducer::new(
                identity,
                Box::new(schedule::ImmediateScheduler::new()),
            ),
            script,
            links: BTreeMap::new(),
            started: Vec::new(),
            cancelled: Vec::new(),
        };
        agent.apply(agent::AgentEvent::TargetHealth { up: true });

        let agent = Rc::new(RefCell::new(agent));
        self.agents.borrow_mut().insert(address, Rc::clone(&agent));
        ntex::rt::spawn(tick(Rc::clone(&agent)));
        agent
    }
}

async fn tick(agent: Rc<RefCell<ScriptedAgent>>) {
    let mut ticker = tokio::time::interval(Duration::from_millis(20));
    loop {
        ticker.tick().await;
        agent.borrow_mut().apply(agent::AgentEvent::Tick);
        agent.borrow_mut().flood();
    }
}

impl ScriptedAgent {
    /// Resumes the last attempt with `tokens`, the first at index `from`, and ends it.
    pub fn finish(&mut self, from: u64, tokens: &[&str]) {
        let attempt = *self.started.last().expect("an attempt was started");
        self.generate(attempt, from, tokens);
        self.end(attempt);
    }

    fn apply(&mut self, event: agent::AgentEvent) {
        let mut effects = Vec::new();
        self.reducer.apply(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: agent::AgentEffect) {
        match effect {
            agent::AgentEffect::Send { link, frame } => {
                if let Some(link_events) = self.links.get(&link) {
                    let frames = vec![frame];
                    let _ = link_events.try_send(shell::LinkEvent::Frames { link, frames });
                }
            }
            agent::AgentEffect::CloseLink { link } => {
                if let Some(link_events) = self.links.remove(&link) {
                    let _ = link_events.try_send(shell::LinkEvent::Closed { link });
                }
            }
            agent::AgentEffect::Generate(command) => self.run(command.attempt),
            agent::AgentEffect::CallService { attempt, request } => {
                self.started.push(attempt);
                let echo = work::ServiceResponse {
                    status: 200,
                    content_type: request.content_type.clone(),
                    body: request.body.clone(),
                };
                self.apply(agent::AgentEvent::Responded {
                    attempt,
                    response: echo,
                });
            }
            agent::AgentEffect::Cancel { attempt } => self.cancelled.push(attempt),
            agent::AgentEffect::Pause { .. }
            | agent::AgentEffect::Resume { .. }
            | agent::AgentEffect::Exit => {}
        }
    }

    fn run(&mut self, attempt: ids::AttemptId) {
        self.started.push(attempt);
        match self.script.clone() {
            TargetScript::Generate(tokens) => {
                self.generate(attempt, 0, &tokens);
                self.end(attempt);
            }
            TargetScript::Hang(tokens) => self.generate(attempt, 0, &tokens),
            TargetScript::Flood | TargetScript::Echo => {}
            TargetScript::Crash => {
                self.apply(agent::AgentEvent::TargetHealth { up: false });
                self.apply(agent::AgentEvent::TargetHealth { up: true });
            }
        }
    }

    fn flood(&mut self) {
        if !matches!(self.script, TargetScript::Flood) {
            return;
        }
        for attempt in self.started.clone() {
            let next = self.reducer.attempts().get(attempt);
            let next = next.map_or(0, |state| state.buffer.next().get());
            // Large tokens fill the socket buffers of a caller that reads nothing.
            let token = "0123456789abcdef".repeat(256);
            self.generate(attempt, next, &[token.as_str(); 64]);
        }
    }

    fn generate(&mut self, attempt: ids::AttemptId, from: u64, tokens: &[&str]) {
        for (index, token) in (from..).zip(tokens) {
            self.apply(agent::AgentEvent::Token {
                attempt,
                index: measures::SequenceNumber::new(index),
                text: (*token).into(),
            });
        }
    }

    fn end(&mut self, attempt: ids::AttemptId) {
        self.apply(agent::AgentEvent::GenerationEnded {
            attempt,
            reason: work::FinishReason::Stop,
        });
    }
}

impl shell::LinkConnector for AgentFleet {
    fn open(
        &self,
        link: ids::LinkId,
        address: net::SocketAddr,
        link_events: shell::LinkEventSender,
    ) -> Box<dyn shell::LinkWriter> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let agent = self.agents.borrow().get(&address).cloned();
        ntex::rt::spawn(run_link(agent, link, link_events, receiver));
        Box::new(ScriptedLinkWriter(sender))
    }
}

async fn run_link(
    agent: Option<Rc<RefCell<ScriptedAgent>>>,
    link: ids::LinkId,
    link_events: shell::LinkEventSender,
    mut receiver: mpsc::UnboundedReceiver<Vec<frames::GatewayFrame>>,
) {
    let Some(agent) = agent else {
        let _ = link_events.send(shell::LinkEvent::Closed { link }).await;
        return;
    };
    let _ = link_events.send(shell::LinkEvent::Opened { link }).await;
    agent.borrow_mut().links.insert(link, link_events);
    agent
        .borrow_mut()
        .apply(agent::AgentEvent::LinkOpened { link });

    while let Some(frames) = receiver.recv().await {
        for frame in frames {
            let event = agent::AgentEvent::FrameReceived { link, frame };
            agent.borrow_mut().apply(event);
        }
    }
    agent.borrow_mut().links.remove(&link);
    agent
        .borrow_mut()
        .apply(agent::AgentEvent::LinkClosed { link });
}

struct ScriptedLinkWriter(mpsc::UnboundedSender<Vec<frames::GatewayFrame>>);

impl shell::LinkWriter for ScriptedLinkWriter {
    fn send(&self, frames: Vec<frames::GatewayFrame>) -> bool {
        self.0.send(frames).is_ok()
    }
}
