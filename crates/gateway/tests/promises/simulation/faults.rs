//! Crashes, planned stops and restarts.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;

use crate::nodes;

use super::ClusterSimulation;
use super::ScheduledRestart;

impl ClusterSimulation {
    pub(super) fn execute_due_restarts(&mut self) {
        let now = self.now;
        let due_restarts: Vec<ScheduledRestart> = self
            .scheduled_restarts
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, restart)| restart)
            .collect();
        for restart in due_restarts {
            match restart {
                ScheduledRestart::Gateway(index) => {
                    let incarnation = self.gateways[index].incarnation + 1;
                    self.gateways[index] = nodes::GatewayNode::new(index, incarnation);
                    self.send_target_list(index);
                }
                ScheduledRestart::Agent(index) => {
                    let incarnation = self.agents[index].incarnation + 1;
                    self.agents[index] = nodes::AgentNode::new(index, incarnation);
                    self.apply_agent_event(index, agent::AgentEvent::TargetHealth { up: true });
                }
                ScheduledRestart::Target(index) => {
                    if self.agents[index].alive && !self.agents[index].target_up {
                        self.agents[index].target_up = true;
                        self.apply_agent_event(index, agent::AgentEvent::TargetHealth { up: true });
                    }
                }
            }
        }
    }

    /// Kills a gateway, which disconnects its callers.
    pub(super) fn kill_gateway(&mut self, index: usize, restart_delay_ms: u64) {
        if !self.gateways[index].alive {
            return;
        }
        self.gateways[index].alive = false;
        for (call, gateway) in &self.call_gateways {
            if gateway.0 == index
                && let Some(record) = self.checker.calls.get_mut(call)
            {
                record.connected = false;
            }
        }
        self.lose_matching_links(|state| state.gateway == index);
        self.schedule_restart(restart_delay_ms, ScheduledRestart::Gateway(index));
    }

    /// Kills an agent and its target.
    pub(super) fn kill_agent(&mut self, index: usize, restart_delay_ms: u64) {
        if !self.agents[index].alive {
            return;
        }
        self.agents[index].alive = false;
        self.agents[index].work.clear();
        self.lose_matching_links(|state| state.agent == index);
        self.schedule_restart(restart_delay_ms, ScheduledRestart::Agent(index));
    }

    /// Kills a target; its agent learns of it at once.
    pub(super) fn kill_target(&mut self, index: usize, restart_delay_ms: u64) {
        if !self.agents[index].alive || !self.agents[index].target_up {
            return;
        }
        self.agents[index].target_up = false;
        self.agents[index].work.clear();
        self.apply_agent_event(index, agent::AgentEvent::TargetHealth { up: false });
        self.schedule_restart(restart_delay_ms, ScheduledRestart::Target(index));
    }

    /// Requests a planned stop of an agent, which exits once its work has ended.
    pub(super) fn stop_agent(&mut self, index: usize, restart_delay_ms: u64) {
        if !self.agents[index].alive || self.agents[index].stop_requested_at.is_some() {
            return;
        }
        self.agents[index].stop_requested_at = Some(self.now);
        self.agents[index].restart_delay_ms = restart_delay_ms;
        self.apply_agent_event(index, agent::AgentEvent::Stop);
    }

    pub(super) fn schedule_restart(&mut self, restart_delay_ms: u64, restart: ScheduledRestart) {
        self.scheduled_restarts
            .push((self.now + Duration::from_millis(restart_delay_ms), restart));
    }
}
