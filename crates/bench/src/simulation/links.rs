//! Links between gateways and agents.

use std::collections::BTreeMap;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_link::frames;

use super::LINK_DELAY;
use super::LinkInput;
use super::Simulation;
use super::SimulationEvent;

/// Bits by which a gateway's number stands above its link numbers, as agents see them.
const GATEWAY_SHIFT: u32 = 32;

/// What a link can carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkCondition {
    /// Everything.
    Sound,
    /// Nothing, and neither end is told.
    Silent,
    /// Nothing, and both ends are told.
    Closed,
}

/// One link.
#[derive(Debug, Clone)]
struct LinkEntry {
    node: usize,
    /// Life of the agent that it was opened to; `None` while it opens.
    life: Option<u64>,
    condition: LinkCondition,
}

/// All links by gateway and number.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<(usize, ids::LinkId), LinkEntry>,
}

impl LinkTable {
    /// Silences the links that are open to a node.
    pub fn silence(&mut self, node: usize) {
        let open = self
            .links
            .values_mut()
            .filter(|entry| entry.node == node && entry.life.is_some());
        for entry in open {
            if entry.condition == LinkCondition::Sound {
                entry.condition = LinkCondition::Silent;
            }
        }
    }

    fn is_sound(&self, gateway: usize, link: ids::LinkId) -> bool {
        self.links
            .get(&(gateway, link))
            .is_some_and(|entry| entry.condition == LinkCondition::Sound)
    }
}

impl Simulation<'_> {
    pub(super) fn connect(&mut self, gateway: usize, link: ids::LinkId, target: &ids::TargetName) {
        let Some(node) = self.scenario.engine_index(target) else {
            return;
        };
        let entry = LinkEntry {
            node,
            life: None,
            condition: LinkCondition::Sound,
        };
        self.links.links.insert((gateway, link), entry);
        self.send_input(gateway, link, LinkInput::Open);
    }

    pub(super) fn close_from_gateway(&mut self, gateway: usize, link: ids::LinkId) {
        if self.links.is_sound(gateway, link) {
            self.send_input(gateway, link, LinkInput::Close);
        } else {
            self.links.links.remove(&(gateway, link));
        }
    }

    pub(super) fn send_input(&mut self, gateway: usize, link: ids::LinkId, input: LinkInput) {
        let event = SimulationEvent::LinkInput {
            gateway,
            link,
            input,
        };
        self.push(LINK_DELAY, event);
    }

    pub(super) fn close_from_agent(&mut self, link: ids::LinkId) {
        let (gateway, link) = split_link(link);
        self.reset(gateway, link);
    }

    pub(super) fn send_to_gateway(&mut self, link: ids::LinkId, frame: frames::AgentFrame) {
        let (gateway, link) = split_link(link);
        if self.links.is_sound(gateway, link) {
            let event = gateway::GatewayEvent::FrameReceived { link, frame };
            self.push(LINK_DELAY, SimulationEvent::Gateway { gateway, event });
        }
    }

    /// Brings something from a gateway to the agent, if the link still leads there.
    pub(super) fn take_link_input(&mut self, gateway: usize, link: ids::LinkId, input: LinkInput) {
        let Some(entry) = self.links.links.get_mut(&(gateway, link)) else {
            return;
        };
        let node = entry.node;
        if entry.condition != LinkCondition::Sound || !self.nodes[node].is_alive() {
            return;
        }
        if let Some(wake) = self.nodes[node].frozen_until() {
            let event = SimulationEvent::LinkInput {
                gateway,
                link,
                input,
            };
            self.events.push(wake, event);
            return;
        }

        let life = self.nodes[node].life();
        let opened = *entry.life.get_or_insert(life);
        if opened != life {
            // A restarted VM resets connections that it does not know.
            self.reset(gateway, link);
            return;
        }
        self.bring(node, gateway, link, input);
    }

    fn bring(&mut self, node: usize, gateway: usize, link: ids::LinkId, input: LinkInput) {
        let agent_link = join_link(gateway, link);
        match input {
            LinkInput::Open => {
                let event = gateway::GatewayEvent::LinkOpened { link };
                self.push(LINK_DELAY, SimulationEvent::Gateway { gateway, event });
                self.apply_agent(node, agent::AgentEvent::LinkOpened { link: agent_link });
            }
            LinkInput::Close => {
                self.links.links.remove(&(gateway, link));
                self.apply_agent(node, agent::AgentEvent::LinkClosed { link: agent_link });
            }
            LinkInput::Frame(frame) => {
                let event = agent::AgentEvent::Frame {
                    link: agent_link,
                    frame: *frame,
                };
                self.apply_agent(node, event);
            }
        }
    }

    fn reset(&mut self, gateway: usize, link: ids::LinkId) {
        let Some(entry) = self.links.links.get_mut(&(gateway, link)) else {
            return;
        };
        if entry.condition != LinkCondition::Sound {
            return;
        }
        entry.condition = LinkCondition::Closed;
        let event = gateway::GatewayEvent::LinkClosed { link };
        self.push(LINK_DELAY, SimulationEvent::Gateway { gateway, event });
    }
}

fn join_link(gateway: usize, link: ids::LinkId) -> ids::LinkId {
    ids::LinkId::new(((gateway as u64) << GATEWAY_SHIFT) | link.get())
}

fn split_link(link: ids::LinkId) -> (usize, ids::LinkId) {
    let number = link.get();
    let gateway = (number >> GATEWAY_SHIFT) as usize;
    (gateway, ids::LinkId::new(number & u64::from(u32::MAX)))
}
