//! Events and effects of the agents and their engines.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_model as model;

use super::ENGINE_RESTART_TIME;
use super::REPORT_INTERVAL;
use super::Simulation;
use super::SimulationEvent;
use super::node;
use crate::observer;

impl Simulation<'_> {
    /// Schedules the first events of a new incarnation of a VM.
    pub(super) fn schedule_vm_start(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation();
        let event = agent::AgentEvent::TargetHealth { up: true };
        self.push(
            Duration::ZERO,
            SimulationEvent::Agent {
                node,
                incarnation,
                event,
            },
        );
        self.push(
            Duration::ZERO,
            SimulationEvent::AgentTick { node, incarnation },
        );
        self.push(
            Duration::ZERO,
            SimulationEvent::LoadReport { node, incarnation },
        );
    }

    pub(super) fn tick_agent(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation() != incarnation {
            return;
        }
        if let Some(resume_at) = self.nodes[node].suspended_until() {
            let event = SimulationEvent::AgentTick { node, incarnation };
            self.events.push(resume_at, event);
            return;
        }
        self.apply_agent(node, agent::AgentEvent::Tick);
        self.push(
            agent::TICK_INTERVAL,
            SimulationEvent::AgentTick { node, incarnation },
        );
    }

    pub(super) fn deliver_agent_event(
        &mut self,
        node: usize,
        incarnation: u64,
        event: agent::AgentEvent,
    ) {
        if self.nodes[node].incarnation() != incarnation {
            return;
        }
        if let Some(resume_at) = self.nodes[node].suspended_until() {
            let event = SimulationEvent::Agent {
                node,
                incarnation,
                event,
            };
            self.events.push(resume_at, event);
            return;
        }
        self.apply_agent(node, event);
    }

    pub(super) fn send_load_report(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation() != incarnation {
            return;
        }
        let is_suspended = self.nodes[node].suspended_until().is_some();
        let report = self.nodes[node].report(self.now);
        if let Some(report) = report.filter(|_| !is_suspended) {
            let event = agent::AgentEvent::EngineReport(report);
            let lag = self.scenario.engine.report_lag;
            self.push(
                lag,
                SimulationEvent::Agent {
                    node,
                    incarnation,
                    event,
                },
            );
        }
        self.push(
            REPORT_INTERVAL,
            SimulationEvent::LoadReport { node, incarnation },
        );
    }

    pub(super) fn apply_agent(&mut self, node: usize, event: agent::AgentEvent) {
        let now = self.nodes[node].agent_time(self.now);
        let mut effects = Vec::new();
        self.nodes[node].agent().apply(now, event, &mut effects);

        for effect in effects {
            self.execute(node, effect);
        }
        self.schedule_step(node);
    }

    pub(super) fn step_engine(&mut self, node: usize, incarnation: u64) {
        let state = &mut self.nodes[node];
        let is_due = state.incarnation() == incarnation && state.scheduled_step == Some(self.now);
        if !is_due || state.suspended_until().is_some() {
            return;
        }
        state.scheduled_step = None;
        let engine_time = state.engine_time(self.now);
        let mut outputs = Vec::new();
        state.engine().advance(engine_time, &mut outputs);

        for output in outputs {
            self.handle_output(node, output);
        }
        self.schedule_step(node);
    }

    pub(super) fn restart_engine(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation() != incarnation {
            return;
        }
        self.nodes[node].restart_engine();
        let event = agent::AgentEvent::TargetHealth { up: true };
        self.deliver_agent_event(node, incarnation, event);
    }

    pub(super) fn schedule_step(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let step_ends_at = state.step_ends_at();
        if state.scheduled_step == step_ends_at || state.suspended_until().is_some() {
            return;
        }
        state.scheduled_step = step_ends_at;
        let incarnation = state.incarnation();
        if let Some(due) = step_ends_at {
            let event = SimulationEvent::EngineStep { node, incarnation };
            self.events.push(due, event);
        }
    }

    fn execute(&mut self, node: usize, effect: agent::AgentEffect) {
        let engine_time = self.nodes[node].engine_time(self.now);
        match effect {
            agent::AgentEffect::Send { link, frame } => self.send_to_gateway(link, frame),
            agent::AgentEffect::CloseLink { link } => self.close_by_agent(link),
            agent::AgentEffect::Generate(command) => self.generate(node, &command),
            agent::AgentEffect::Pause { attempt } => {
                self.observer.record_pause();
                self.nodes[node].engine().pause(attempt);
            }
            agent::AgentEffect::Resume { attempt } => {
                self.nodes[node].engine().resume(engine_time, attempt);
            }
            agent::AgentEffect::Cancel { attempt } => {
                self.nodes[node].generations.remove(&attempt);
                self.nodes[node].engine().cancel(attempt);
            }
            agent::AgentEffect::CallService { .. } => {}
            agent::AgentEffect::Exit => {
                self.nodes[node].restart(self.policies);
                self.schedule_vm_start(node);
            }
        }
    }

    fn generate(&mut self, node: usize, command: &agent::GenerateCommand) {
        let call: usize = command
            .request
            .prompt
            .parse()
            .expect("prompts of the bench are call numbers");
        let attempt = command.attempt;
        if !self.nodes[node].is_engine_up() {
            let incarnation = self.nodes[node].incarnation();
            let event = agent::AgentEvent::WorkFailed {
                attempt,
                failure: agent::WorkFailure::NotSent,
            };
            self.push(
                Duration::ZERO,
                SimulationEvent::Agent {
                    node,
                    incarnation,
                    event,
                },
            );
            return;
        }

        let leaving_since = self.nodes[node].leaving_since;
        let generation = self.observer.record_start(self.now, call, leaving_since);
        let offered_request = self
            .observer
            .offered_request(self.observer.request_of_call(call));
        let is_poisonous = offered_request.is_poisonous;
        let output_tokens = measures::TokenCount::new(offered_request.output_tokens);
        let request = model::StreamRequest {
            attempt,
            prompt_tokens: command.request.prompt_tokens,
            prefix: self.shared_prefix(offered_request.class),
            output_tokens,
            priority: command.priority,
            prefill_chunk: command.prefill_chunk,
        };

        let state = &mut self.nodes[node];
        let engine_time = state.engine_time(self.now);
        state.generations.insert(
            attempt,
            node::EngineGeneration {
                number: generation,
                is_poisonous,
            },
        );
        state.engine().submit(engine_time, request);
    }

    fn shared_prefix(&self, class: usize) -> Option<model::SharedPrefix> {
        let tokens = self.scenario.classes[class].shared_prefix_tokens;
        (tokens > 0).then(|| model::SharedPrefix {
            hash: work::PrefixHash::new(class as u64 + 1),
            tokens: measures::TokenCount::new(tokens),
        })
    }

    fn handle_output(&mut self, node: usize, output: model::EngineOutput) {
        match output {
            model::EngineOutput::Token { attempt, index, .. } => {
                self.handle_token(node, attempt, index);
            }
            model::EngineOutput::Ended { attempt, .. } => {
                if self.nodes[node].generations.remove(&attempt).is_some() {
                    let reason = work::FinishReason::Stop;
                    let event = agent::AgentEvent::GenerationEnded { attempt, reason };
                    self.apply_agent(node, event);
                }
            }
            model::EngineOutput::CacheChanged(event) => {
                let incarnation = self.nodes[node].incarnation();
                let event = agent::AgentEvent::CacheChanged(event);
                let lag = self.scenario.engine.report_lag;
                self.push(
                    lag,
                    SimulationEvent::Agent {
                        node,
                        incarnation,
                        event,
                    },
                );
            }
        }
    }

    fn handle_token(
        &mut self,
        node: usize,
        attempt: ids::AttemptId,
        index: measures::SequenceNumber,
    ) {
        // The engine has crashed or the generation was cancelled, so there is no receiver.
        let Some(generation) = self.nodes[node].generations.get(&attempt).copied() else {
            return;
        };
        if generation.is_poisonous {
            self.handle_engine_crash(node);
            return;
        }
        let text = observer::RunObserver::token_text(generation.number, index.get());
        let event = agent::AgentEvent::Token {
            attempt,
            index,
            text,
        };
        self.apply_agent(node, event);
    }

    fn handle_engine_crash(&mut self, node: usize) {
        self.nodes[node].crash_engine();
        let incarnation = self.nodes[node].incarnation();
        self.push(
            ENGINE_RESTART_TIME,
            SimulationEvent::EngineRestart { node, incarnation },
        );
        self.apply_agent(node, agent::AgentEvent::TargetHealth { up: false });
    }
}
