//! Links that delay, stall, fall silent and close.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_gateway::reducer as gateway;
use rand::Rng;

use crate::nodes;

use super::CaseWorld;
use super::LinkRecord;

impl CaseWorld {
    pub(super) fn deliver_frames(&mut self) {
        let numbers: Vec<u64> = self.links.keys().copied().collect();
        for number in numbers {
            self.deliver_to_agent(number);
            self.deliver_to_gateway(number);
            self.finish_close(number);
        }
    }

    pub(super) fn deliver_to_agent(&mut self, number: u64) {
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

    pub(super) fn deliver_to_gateway(&mut self, number: u64) {
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
                self.gateway_event(index, gateway::GatewayEvent::FrameReceived { link, frame });
            }
        }
    }

    /// Tells the agent of a closed link once nothing is under way.
    pub(super) fn finish_close(&mut self, number: u64) {
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

    pub(super) fn gateway_link(&self, number: u64) -> ids::LinkId {
        self.names
            .iter()
            .find(|(_, value)| **value == number)
            .map(|((_, _, link), _)| *link)
            .expect("every link has a name")
    }

    pub(super) fn connect(
        &mut self,
        index: usize,
        life: u64,
        link: ids::LinkId,
        target: &ids::TargetName,
    ) {
        let number = self.next_link;
        self.next_link += 1;
        self.names.insert((index, life, link), number);
        let agent = (0..super::AGENTS)
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
    pub(super) fn lose_link(&mut self, number: u64) {
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

    pub(super) fn pick_link(&self, index: usize) -> Option<u64> {
        let count = self.links.len();
        match count {
            0 => None,
            _ => self.links.keys().nth(index % count).copied(),
        }
    }

    pub(super) fn lose_links_of(&mut self, is_lost: impl Fn(&LinkRecord) -> bool) {
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

    pub(super) fn delay(&mut self) -> Duration {
        let most = match self.generator.random_bool(super::STALL_SHARE) {
            true => super::STALL_MILLIS,
            false => super::DELAY_MILLIS,
        };
        Duration::from_millis(self.generator.random_range(0..most))
    }
}
