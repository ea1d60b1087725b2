//! Application of events to the reducers, and execution of their effects.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_link::frames;
use rand::Rng;

use crate::nodes;

use super::ClusterSimulation;

impl ClusterSimulation {
    /// Applies an event to a gateway, unless it is dead or the event is a tick during a pause.
    pub(super) fn apply_gateway_event(&mut self, index: usize, event: gateway::GatewayEvent) {
        let node = &mut self.gateways[index];
        if !node.alive
            || (node.paused_until > self.now && matches!(event, gateway::GatewayEvent::Tick))
        {
            return;
        }
        let incarnation = node.incarnation;
        let mut effects = Vec::new();
        node.reducer.apply(self.now, event, &mut effects);

        for effect in effects {
            self.execute_gateway_effect(index, incarnation, effect);
        }
    }

    pub(super) fn execute_gateway_effect(
        &mut self,
        index: usize,
        incarnation: u64,
        effect: gateway::GatewayEffect,
    ) {
        match effect {
            gateway::GatewayEffect::Connect { link, target, .. } => {
                self.connect(index, incarnation, link, &target);
            }
            gateway::GatewayEffect::CloseLink { link } => {
                let number = self.link_numbers.get(&(index, incarnation, link)).copied();
                let close_delay =
                    Duration::from_millis(self.rng.random_range(0..super::CLOSE_DELAY_BOUND_MS));
                if let Some(state) = number.and_then(|number| self.links.get_mut(&number)) {
                    state.close_visible_at =
                        state.close_visible_at.or(Some(self.now + close_delay));
                }
            }
            gateway::GatewayEffect::Send { link, frame } => {
                if let frames::GatewayFrame::Start(order) = &frame {
                    let call = self.gateways[index]
                        .reducer
                        .calls()
                        .attempt_call(order.attempt)
                        .expect("a start order belongs to an open call");
                    self.checker.record_attempt(call.get(), order.attempt);
                }
                let arrival_at = self.now + self.random_delay();
                let number = self.link_numbers.get(&(index, incarnation, link)).copied();
                if let Some(state) = number.and_then(|number| self.links.get_mut(&number)) {
                    let last_arrival_at = state
                        .to_agent
                        .back()
                        .map_or(arrival_at, |(last_arrival_at, _)| *last_arrival_at);
                    state
                        .to_agent
                        .push_back((arrival_at.max(last_arrival_at), frame));
                }
            }
            gateway::GatewayEffect::Reply { call, reply } => {
                self.checker.record_reply(call.get(), &reply);
            }
            gateway::GatewayEffect::Exit => {}
        }
    }

    /// Applies an event to an agent, unless it is dead or the event is a tick during a pause.
    pub(super) fn apply_agent_event(&mut self, index: usize, event: agent::AgentEvent) {
        let node = &mut self.agents[index];
        if !node.alive || (node.paused_until > self.now && matches!(event, agent::AgentEvent::Tick))
        {
            return;
        }
        let mut effects = Vec::new();
        node.reducer.apply(self.now, event, &mut effects);

        for effect in effects {
            self.execute_agent_effect(index, effect);
        }
    }

    pub(super) fn execute_agent_effect(&mut self, index: usize, effect: agent::AgentEffect) {
        match effect {
            agent::AgentEffect::Send { link, frame } => {
                let arrival_at = self.now + self.random_delay();
                if let Some(state) = self.links.get_mut(&link.get()) {
                    let last_arrival_at = state
                        .to_gateway
                        .back()
                        .map_or(arrival_at, |(last_arrival_at, _)| *last_arrival_at);
                    state
                        .to_gateway
                        .push_back((arrival_at.max(last_arrival_at), frame));
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
                let restart_delay_ms = self.agents[index].restart_delay_ms;
                self.kill_agent(index, restart_delay_ms);
            }
            agent::AgentEffect::Pause { .. } | agent::AgentEffect::Resume { .. } => {}
        }
    }

    /// Starts an attempt on the target of an agent, and checks that it may start.
    pub(super) fn start_work(
        &mut self,
        index: usize,
        attempt: ids::AttemptId,
        request: work::WorkRequest,
    ) {
        let node = &self.agents[index];
        assert_eq!(
            node.stop_requested_at, None,
            "agent {index} started attempt {attempt} after a stop was requested"
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
        self.checker.record_start(attempt, operation);

        let remaining_tokens = match &request {
            work::WorkRequest::Generation(generation) => generation.max_tokens.get(),
            work::WorkRequest::Service(_) => 0,
        };
        let running = nodes::RunningWork {
            remaining_tokens,
            generated_tokens: 0,
            request,
        };
        self.agents[index].work.insert(attempt, running);
    }
}
