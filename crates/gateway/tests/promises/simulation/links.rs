//! Simulated links, which delay frames, stall, fall silent and close.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_gateway::reducer as gateway;
use rand::Rng;

use crate::nodes;

use super::ClusterSimulation;
use super::LinkState;

impl ClusterSimulation {
    pub(super) fn deliver_frames(&mut self) {
        let numbers: Vec<u64> = self.links.keys().copied().collect();
        for number in numbers {
            self.deliver_to_agent(number);
            self.deliver_to_gateway(number);
            self.deliver_link_close(number);
        }
    }

    pub(super) fn deliver_to_agent(&mut self, number: u64) {
        loop {
            let now = self.now;
            let Some(state) = self.links.get_mut(&number) else {
                return;
            };
            let index = state.agent;
            let node = &self.agents[index];
            let is_same_incarnation = node.alive && node.incarnation == state.agent_incarnation;
            if node.paused_until > now && is_same_incarnation {
                return;
            }
            let Some((_, frame)) = state.to_agent.pop_front_if(|(at, _)| *at <= now) else {
                return;
            };
            if is_same_incarnation && !state.silent {
                let link = ids::LinkId::new(number);
                self.apply_agent_event(index, agent::AgentEvent::FrameReceived { link, frame });
            }
        }
    }

    pub(super) fn deliver_to_gateway(&mut self, number: u64) {
        loop {
            let now = self.now;
            let Some(state) = self.links.get_mut(&number) else {
                return;
            };
            let index = state.gateway;
            let node = &self.gateways[index];
            let is_same_incarnation = node.alive && node.incarnation == state.gateway_incarnation;
            if node.paused_until > now && is_same_incarnation {
                return;
            }
            let Some((_, frame)) = state.to_gateway.pop_front_if(|(at, _)| *at <= now) else {
                return;
            };
            if is_same_incarnation && !state.silent && state.close_visible_at.is_none() {
                let link = self.gateway_link_id(number);
                self.apply_gateway_event(
                    index,
                    gateway::GatewayEvent::FrameReceived { link, frame },
                );
            }
        }
    }

    /// Notifies the agent that the gateway closed a link, once no frame to the agent is in transit.
    pub(super) fn deliver_link_close(&mut self, number: u64) {
        let now = self.now;
        let is_due = self.links.get(&number).is_some_and(|state| {
            let is_visible = state.close_visible_at.is_some_and(|at| at <= now);
            let is_paused = self.agents[state.agent].paused_until > now;
            is_visible && !is_paused && (state.to_agent.is_empty() || state.silent)
        });
        if !is_due {
            return;
        }
        let Some(state) = self.links.remove(&number) else {
            return;
        };
        let node = &self.agents[state.agent];
        if node.alive && node.incarnation == state.agent_incarnation {
            let link = ids::LinkId::new(number);
            self.apply_agent_event(state.agent, agent::AgentEvent::LinkClosed { link });
        }
    }

    /// Returns the id that a link has at its gateway.
    pub(super) fn gateway_link_id(&self, number: u64) -> ids::LinkId {
        self.link_numbers
            .iter()
            .find(|(_, value)| **value == number)
            .map(|((_, _, link), _)| *link)
            .expect("every link has an id at its gateway")
    }

    /// Opens a link to the agent of `target`, unless the agent is dead or paused.
    pub(super) fn connect(
        &mut self,
        index: usize,
        incarnation: u64,
        link: ids::LinkId,
        target: &ids::TargetName,
    ) {
        let number = self.next_link_number;
        self.next_link_number += 1;
        self.link_numbers.insert((index, incarnation, link), number);
        let agent = (0..super::AGENT_COUNT)
            .find(|agent| nodes::target_name(*agent) == *target)
            .expect("the gateway connects to a listed target");
        if !self.agents[agent].alive || self.agents[agent].paused_until > self.now {
            // No event follows; the gateway's own timeout abandons the attempt to connect.
            return;
        }

        let state = LinkState {
            gateway: index,
            gateway_incarnation: incarnation,
            agent,
            agent_incarnation: self.agents[agent].incarnation,
            silent: false,
            close_visible_at: None,
            to_agent: VecDeque::new(),
            to_gateway: VecDeque::new(),
        };
        self.links.insert(number, state);
        let agent_link = ids::LinkId::new(number);
        self.apply_agent_event(agent, agent::AgentEvent::LinkOpened { link: agent_link });
        self.apply_gateway_event(index, gateway::GatewayEvent::LinkOpened { link });
    }

    /// Closes a link at both ends and drops its frames in transit.
    pub(super) fn lose_link(&mut self, number: u64) {
        if !self.links.contains_key(&number) {
            return;
        }
        let link = self.gateway_link_id(number);
        let Some(state) = self.links.remove(&number) else {
            return;
        };
        let agent = &self.agents[state.agent];
        if agent.alive && agent.incarnation == state.agent_incarnation {
            let agent_link = ids::LinkId::new(number);
            self.apply_agent_event(
                state.agent,
                agent::AgentEvent::LinkClosed { link: agent_link },
            );
        }
        let gateway = &self.gateways[state.gateway];
        if gateway.alive && gateway.incarnation == state.gateway_incarnation {
            self.apply_gateway_event(state.gateway, gateway::GatewayEvent::LinkClosed { link });
        }
    }

    /// Returns the number of the link at `index` modulo the number of links.
    pub(super) fn pick_link(&self, index: usize) -> Option<u64> {
        let count = self.links.len();
        match count {
            0 => None,
            _ => self.links.keys().nth(index % count).copied(),
        }
    }

    /// Loses every link for which `is_lost` returns true.
    pub(super) fn lose_matching_links(&mut self, is_lost: impl Fn(&LinkState) -> bool) {
        let numbers: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, state)| is_lost(state))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.lose_link(number);
        }
    }

    /// Draws the delay of one frame.
    pub(super) fn random_delay(&mut self) -> Duration {
        let bound_ms = match self.rng.random_bool(super::STALL_PROBABILITY) {
            true => super::STALL_BOUND_MS,
            false => super::FRAME_DELAY_BOUND_MS,
        };
        Duration::from_millis(self.rng.random_range(0..bound_ms))
    }
}
