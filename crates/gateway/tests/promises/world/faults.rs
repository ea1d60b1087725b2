//! Deaths, planned stops and new lives.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;

use crate::nodes;

use super::CaseWorld;
use super::DueStart;

impl CaseWorld {
    pub(super) fn make_due_changes(&mut self) {
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

    pub(super) fn kill_gateway(&mut self, index: usize, span: u64) {
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

    pub(super) fn kill_agent(&mut self, index: usize, span: u64) {
        if !self.agents[index].alive {
            return;
        }
        self.agents[index].alive = false;
        self.agents[index].work.clear();
        self.lose_links_of(|record| record.agent == index);
        self.schedule(span, DueStart::Agent(index));
    }

    pub(super) fn kill_target(&mut self, index: usize, span: u64) {
        if !self.agents[index].alive || !self.agents[index].target_up {
            return;
        }
        self.agents[index].target_up = false;
        self.agents[index].work.clear();
        self.agent_event(index, agent::AgentEvent::TargetHealth { up: false });
        self.schedule(span, DueStart::Target(index));
    }

    pub(super) fn leave_agent(&mut self, index: usize, span: u64) {
        if !self.agents[index].alive || self.agents[index].left_at.is_some() {
            return;
        }
        self.agents[index].left_at = Some(self.now);
        self.agents[index].restart_span = span;
        self.agent_event(index, agent::AgentEvent::Stop);
    }

    pub(super) fn schedule(&mut self, span: u64, change: DueStart) {
        self.due
            .push((self.now + Duration::from_millis(span), change));
    }
}
