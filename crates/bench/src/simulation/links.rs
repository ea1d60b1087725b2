//! Links between gateways and agents, with a constant delay.

use std::collections::BTreeMap;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_link::frames;

use super::LINK_DELAY;
use super::LinkInput;
use super::Simulation;
use super::SimulationEvent;

/// Agents get link ids that are unique across gateways: the gateway's number is shifted left by
/// this many bits, above the gateway's own link id.
const GATEWAY_NUMBER_SHIFT_BITS: u32 = 32;

/// Whether a link delivers what is sent over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkStatus {
    /// Delivers everything.
    Working,
    /// Drops everything, and neither end is notified.
    Silent,
    /// Reset or closed by the agent's side: drops everything, and the gateway is notified.
    Closed,
}

/// State of one link.
#[derive(Debug, Clone)]
struct LinkEntry {
    node: usize,
    /// Incarnation of the VM that accepted the link; `None` until it is open.
    agent_incarnation: Option<u64>,
    status: LinkStatus,
}

/// All links by gateway number and link id.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<(usize, ids::LinkId), LinkEntry>,
}

impl LinkTable {
    /// Makes all open links to a node silent.
    pub fn silence(&mut self, node: usize) {
        let open_links = self
            .links
            .values_mut()
            .filter(|entry| entry.node == node && entry.agent_incarnation.is_some());
        for entry in open_links {
            if entry.status == LinkStatus::Working {
                entry.status = LinkStatus::Silent;
            }
        }
    }

    fn is_working(&self, gateway: usize, link: ids::LinkId) -> bool {
        self.links
            .get(&(gateway, link))
            .is_some_and(|entry| entry.status == LinkStatus::Working)
    }
}

impl Simulation<'_> {
    pub(super) fn connect(&mut self, gateway: usize, link: ids::LinkId, target: &ids::TargetName) {
        let Some(node) = self.scenario.engine_index(target) else {
            return;
        };
        let entry = LinkEntry {
            node,
            agent_incarnation: None,
            status: LinkStatus::Working,
        };
        self.links.links.insert((gateway, link), entry);
        self.send_to_agent(gateway, link, LinkInput::Open);
    }

    pub(super) fn close_by_gateway(&mut self, gateway: usize, link: ids::LinkId) {
        if self.links.is_working(gateway, link) {
            self.send_to_agent(gateway, link, LinkInput::Close);
        } else {
            self.links.links.remove(&(gateway, link));
        }
    }

    pub(super) fn send_to_agent(&mut self, gateway: usize, link: ids::LinkId, input: LinkInput) {
        let event = SimulationEvent::LinkInput {
            gateway,
            link,
            input,
        };
        self.push(LINK_DELAY, event);
    }

    pub(super) fn close_by_agent(&mut self, link: ids::LinkId) {
        let (gateway, link) = from_agent_link(link);
        self.reset_link(gateway, link);
    }

    pub(super) fn send_to_gateway(&mut self, link: ids::LinkId, frame: frames::AgentFrame) {
        let (gateway, link) = from_agent_link(link);
        if self.links.is_working(gateway, link) {
            let event = gateway::GatewayEvent::FrameReceived { link, frame };
            self.push(LINK_DELAY, SimulationEvent::Gateway { gateway, event });
        }
    }

    /// Delivers input from a gateway to the agent, unless the link no longer works or its VM is
    /// dead. Input for a suspended VM is deferred until it resumes.
    pub(super) fn handle_link_input(
        &mut self,
        gateway: usize,
        link: ids::LinkId,
        input: LinkInput,
    ) {
        let Some(entry) = self.links.links.get_mut(&(gateway, link)) else {
            return;
        };
        let node = entry.node;
        if entry.status != LinkStatus::Working || !self.nodes[node].is_alive() {
            return;
        }
        if let Some(resume_at) = self.nodes[node].suspended_until() {
            let event = SimulationEvent::LinkInput {
                gateway,
                link,
                input,
            };
            self.events.push(resume_at, event);
            return;
        }

        let incarnation = self.nodes[node].incarnation();
        let accepting_incarnation = *entry.agent_incarnation.get_or_insert(incarnation);
        if accepting_incarnation != incarnation {
            // A restarted VM resets connections of its previous incarnations.
            self.reset_link(gateway, link);
            return;
        }
        self.deliver_input(node, gateway, link, input);
    }

    fn deliver_input(&mut self, node: usize, gateway: usize, link: ids::LinkId, input: LinkInput) {
        let agent_link = to_agent_link(gateway, link);
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
                let event = agent::AgentEvent::FrameReceived {
                    link: agent_link,
                    frame: *frame,
                };
                self.apply_agent(node, event);
            }
        }
    }

    fn reset_link(&mut self, gateway: usize, link: ids::LinkId) {
        let Some(entry) = self.links.links.get_mut(&(gateway, link)) else {
            return;
        };
        if entry.status != LinkStatus::Working {
            return;
        }
        entry.status = LinkStatus::Closed;
        let event = gateway::GatewayEvent::LinkClosed { link };
        self.push(LINK_DELAY, SimulationEvent::Gateway { gateway, event });
    }
}

fn to_agent_link(gateway: usize, link: ids::LinkId) -> ids::LinkId {
    ids::LinkId::new(((gateway as u64) << GATEWAY_NUMBER_SHIFT_BITS) | link.get())
}

fn from_agent_link(link: ids::LinkId) -> (usize, ids::LinkId) {
    let number = link.get();
    let gateway = (number >> GATEWAY_NUMBER_SHIFT_BITS) as usize;
    (gateway, ids::LinkId::new(number & u64::from(u32::MAX)))
}
