//! Events into the reducers, and their effects.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_link::frames;
use rand::Rng;

use crate::nodes;

use super::CaseWorld;

impl CaseWorld {
    pub(super) fn gateway_event(&mut self, index: usize, event: gateway::GatewayEvent) {
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

    pub(super) fn gateway_effect(
        &mut self,
        index: usize,
        life: u64,
        effect: gateway::GatewayEffect,
    ) {
        match effect {
            gateway::GatewayEffect::Connect { link, target, .. } => {
                self.connect(index, life, link, &target);
            }
            gateway::GatewayEffect::CloseLink { link } => {
                let number = self.names.get(&(index, life, link)).copied();
                let delay =
                    Duration::from_millis(self.generator.random_range(0..super::LINGER_MILLIS));
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

    pub(super) fn agent_event(&mut self, index: usize, event: agent::AgentEvent) {
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

    pub(super) fn agent_effect(&mut self, index: usize, effect: agent::AgentEffect) {
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

    pub(super) fn start_work(
        &mut self,
        index: usize,
        attempt: ids::AttemptId,
        request: work::WorkRequest,
    ) {
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
}
