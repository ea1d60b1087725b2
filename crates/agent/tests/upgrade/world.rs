//! A few targets with their upgrade reducers, on simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_agent::upgrade;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_document::sections;

use super::MODEL;
use super::engine::FakeEngine;

/// Time between two ticks.
const STEP: Duration = Duration::from_secs(1);

/// Time that a target needs to finish its work.
const DRAIN_TIME: Duration = Duration::from_secs(10);

/// Beginning of the window, and of the simulation, in seconds of the day.
const WINDOW_START: u64 = 7_200;

/// One target with its agent.
pub struct Node {
    pub reducer: upgrade::UpgradeReducer,
    pub engine: FakeEngine,
    pub is_serving: bool,
    pub is_fence_held: bool,
    /// A paused node takes no event and carries out no effect.
    pub is_paused: bool,
    /// A node that is cut off hears and tells nothing of others.
    pub is_cut_off: bool,
    drained_at: Option<time::Timestamp>,
    effects: Vec<upgrade::UpgradeEffect>,
    inbox: Vec<upgrade::UpgradeEvent>,
}

/// All targets.
pub struct World {
    pub now: time::Timestamp,
    pub document: sections::OperatorDocument,
    pub nodes: BTreeMap<ids::TargetName, Node>,
    mode: engine::FencingMode,
    /// Agents that were started.
    starts: u128,
    /// Most targets that were upgraded at a time.
    pub most_upgrading: usize,
    /// Fewest targets that served.
    pub least_serving: usize,
}

impl World {
    pub fn new(targets: usize, floor: f64, parallel: u32, mode: engine::FencingMode) -> Self {
        let document = make_document(targets, floor, parallel, mode);
        let names = document.targets.keys().cloned();
        let nodes = names.enumerate().map(|(index, name)| {
            let process = ids::Incarnation::from_u128(index as u128);
            let reducer = upgrade::UpgradeReducer::new(name.clone(), process);
            (name, Node::new(reducer, mode))
        });

        let mut world = Self {
            now: time::Timestamp::ZERO,
            nodes: nodes.collect(),
            document,
            mode,
            starts: targets as u128,
            most_upgrading: 0,
            least_serving: targets,
        };
        world.publish();
        world.run(3);
        world
    }

    /// Returns the targets by the rank that they have for the version in the document.
    pub fn ranking(&self) -> Vec<ids::TargetName> {
        let any = self.document.targets.keys().next().unwrap();
        let plan = upgrade::UpgradePlan::of_document(&self.document, any);
        plan.models[&MODEL.parse().unwrap()].ranking.clone()
    }

    pub fn node(&mut self, target: &ids::TargetName) -> &mut Node {
        self.nodes.get_mut(target).unwrap()
    }

    pub fn want_version(&mut self, version: &str) {
        let model = MODEL.parse().unwrap();
        self.document.models.get_mut(&model).unwrap().version = version.into();
        self.publish();
    }

    fn publish(&mut self) {
        for (target, node) in &mut self.nodes {
            let plan = upgrade::UpgradePlan::of_document(&self.document, target);
            node.inbox.push(upgrade::UpgradeEvent::PlanChanged(plan));
        }
    }

    /// Ends the agent of a target, and tells the others.
    pub fn lose(&mut self, target: &ids::TargetName) {
        self.nodes.remove(target);
        for node in self.nodes.values_mut() {
            node.inbox.push(upgrade::UpgradeEvent::PeerGone {
                target: target.clone(),
            });
        }
    }

    /// Starts a new agent for a target whose agent was lost; the engine has its first version.
    pub fn join(&mut self, target: &ids::TargetName) {
        self.starts += 1;
        let process = ids::Incarnation::from_u128(self.starts);
        let reducer = upgrade::UpgradeReducer::new(target.clone(), process);
        let mut node = Node::new(reducer, self.mode);

        let plan = upgrade::UpgradePlan::of_document(&self.document, target);
        node.inbox.push(upgrade::UpgradeEvent::PlanChanged(plan));
        let notes = self.nodes.values().flat_map(|node| node.reducer.notes());
        let events = notes.cloned().map(upgrade::UpgradeEvent::PeerNoted);
        node.inbox.extend(events);
        self.nodes.insert(target.clone(), node);
    }

    /// Cuts all targets off from each other, and tells each that the others are gone.
    pub fn cut_off_all(&mut self) {
        let targets: Vec<ids::TargetName> = self.nodes.keys().cloned().collect();
        for (own, node) in &mut self.nodes {
            node.is_cut_off = true;
            let others = targets.iter().filter(|target| *target != own);
            let events = others.map(|target| upgrade::UpgradeEvent::PeerGone {
                target: target.clone(),
            });
            node.inbox.extend(events);
        }
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
        }
    }

    /// Runs until `is_met`, at most for `seconds`; returns whether it was met.
    pub fn run_until(&mut self, seconds: u64, is_met: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..seconds {
            if is_met(self) {
                return true;
            }
            self.step();
        }
        is_met(self)
    }

    pub fn count_serving(&self, version: &str) -> usize {
        let serves = |node: &&Node| {
            node.is_serving
                && node.engine.is_alive
                && node.engine.version.as_deref() == Some(version)
        };
        self.nodes.values().filter(serves).count()
    }

    pub fn is_upgrading(&self, target: &ids::TargetName) -> bool {
        self.nodes
            .get(target)
            .is_some_and(|node| node.reducer.upgrading().is_some())
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let seconds = self.now.as_micros() / 1_000_000;
        let wall = upgrade::WallTime::from_unix_seconds(WINDOW_START + seconds);

        let mut notes = Vec::new();
        for node in self.nodes.values_mut() {
            node.step(self.now, wall, &mut notes);
        }
        for node in self.nodes.values_mut().filter(|node| !node.is_cut_off) {
            let events = notes.iter().cloned().map(upgrade::UpgradeEvent::PeerNoted);
            node.inbox.extend(events);
        }

        let upgrading = self.nodes.values().filter(|node| !node.is_serving).count();
        let serving = self.nodes.values().filter(|node| node.serves()).count();
        self.most_upgrading = self.most_upgrading.max(upgrading);
        self.least_serving = self.least_serving.min(serving);
    }
}

impl Node {
    fn new(reducer: upgrade::UpgradeReducer, mode: engine::FencingMode) -> Self {
        Self {
            reducer,
            engine: FakeEngine::new(mode),
            is_serving: true,
            is_fence_held: true,
            is_paused: false,
            is_cut_off: false,
            drained_at: None,
            effects: Vec::new(),
            inbox: Vec::new(),
        }
    }

    fn serves(&self) -> bool {
        self.is_serving && self.engine.is_alive
    }

    fn step(
        &mut self,
        now: time::Timestamp,
        wall: upgrade::WallTime,
        notes: &mut Vec<upgrade::UpgradeNote>,
    ) {
        self.engine.step(now);
        if self.is_paused {
            return;
        }

        // What was left undone by a pause comes first, late as it is.
        self.carry_out(now, notes);
        let seen = upgrade::UpgradeEvent::EngineSeen(self.engine.state());
        self.inbox.push(seen);
        self.inbox.push(upgrade::UpgradeEvent::Tick { wall });
        if self.drained_at.is_some_and(|drained_at| now >= drained_at) {
            self.drained_at = None;
            self.inbox.push(upgrade::UpgradeEvent::Drained);
        }
        for event in std::mem::take(&mut self.inbox) {
            self.reducer.apply(now, event, &mut self.effects);
        }
    }

    fn carry_out(&mut self, now: time::Timestamp, notes: &mut Vec<upgrade::UpgradeNote>) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                upgrade::UpgradeEffect::Announce(note) if !self.is_cut_off => notes.push(note),
                upgrade::UpgradeEffect::Announce(_) => {}
                upgrade::UpgradeEffect::Drain => {
                    self.is_serving = false;
                    self.drained_at = Some(now + DRAIN_TIME);
                }
                upgrade::UpgradeEffect::Prepare { question } => {
                    let preparation = upgrade::Preparation {
                        question,
                        is_fence_held: self.is_fence_held,
                        engine: self.engine.state(),
                    };
                    let event = upgrade::UpgradeEvent::Prepared(preparation);
                    self.inbox.push(event);
                }
                upgrade::UpgradeEffect::GiveOrder {
                    question,
                    fencing,
                    order,
                    expires_at,
                } => {
                    let outcome = match now > expires_at {
                        true => upgrade::OrderOutcome::Expired,
                        false => self.engine.order(now, fencing, &order),
                    };
                    let event = upgrade::UpgradeEvent::OrderEnded { question, outcome };
                    self.inbox.push(event);
                }
                upgrade::UpgradeEffect::Rejoin => self.is_serving = true,
            }
        }
    }
}

fn make_document(
    targets: usize,
    floor: f64,
    parallel: u32,
    mode: engine::FencingMode,
) -> sections::OperatorDocument {
    let mut document = sections::OperatorDocument::default();
    let window = sections::UpgradeWindow {
        start_minute: 120,
        length_minutes: 60,
        parallel_loads: parallel,
    };
    let model = sections::ModelEntry {
        version: "1".into(),
        adapters: Vec::new(),
        max_tokens: measures::TokenCount::new(100),
        gap_target: Duration::from_millis(40),
        capacity_floor: floor,
        upgrade_window: Some(window),
    };
    document.models.insert(MODEL.parse().unwrap(), model);

    for index in 0..targets {
        let entry = sections::TargetEntry {
            kind: sections::TargetKind::Engine {
                models: vec![MODEL.parse().unwrap()],
                fencing: mode,
            },
            vm: format!("vm-{index}").parse().unwrap(),
            zone: "a".parse().unwrap(),
            agent: ([10, 0, 0, index as u8], 7_001).into(),
            leaving: false,
        };
        let name = format!("engine-{index}").parse().unwrap();
        document.targets.insert(name, entry);
    }
    document
}
