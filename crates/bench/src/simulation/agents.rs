//! Agents and their engines.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_model as model;

use super::ENGINE_RESTART;
use super::REPORT_INTERVAL;
use super::Simulation;
use super::SimulationEvent;
use super::node;
use crate::observer;

impl Simulation<'_> {
    /// Starts everything that comes with a new life of a VM.
    pub(super) fn schedule_life(&mut self, node: usize) {
        let life = self.nodes[node].life();
        let event = agent::AgentEvent::TargetHealth { up: true };
        self.push(Duration::ZERO, SimulationEvent::Agent { node, life, event });
        self.push(Duration::ZERO, SimulationEvent::AgentTick { node, life });
        self.push(Duration::ZERO, SimulationEvent::TakeReport { node, life });
    }

    pub(super) fn tick_agent(&mut self, node: usize, life: u64) {
        if self.nodes[node].life() != life {
            return;
        }
        if let Some(wake) = self.nodes[node].frozen_until() {
            let event = SimulationEvent::AgentTick { node, life };
            self.events.push(wake, event);
            return;
        }
        self.apply_agent(node, agent::AgentEvent::Tick);
        self.push(
            agent::TICK_INTERVAL,
            SimulationEvent::AgentTick { node, life },
        );
    }

    pub(super) fn agent_event(&mut self, node: usize, life: u64, event: agent::AgentEvent) {
        if self.nodes[node].life() != life {
            return;
        }
        if let Some(wake) = self.nodes[node].frozen_until() {
            let event = SimulationEvent::Agent { node, life, event };
            self.events.push(wake, event);
            return;
        }
        self.apply_agent(node, event);
    }

    pub(super) fn take_report(&mut self, node: usize, life: u64) {
        if self.nodes[node].life() != life {
            return;
        }
        let is_frozen = self.nodes[node].frozen_until().is_some();
        let report = self.nodes[node].report(self.now);
        if let Some(report) = report.filter(|_| !is_frozen) {
            let event = agent::AgentEvent::EngineReport(report);
            let lag = self.scenario.engine.report_lag;
            self.push(lag, SimulationEvent::Agent { node, life, event });
        }
        self.push(REPORT_INTERVAL, SimulationEvent::TakeReport { node, life });
    }

    pub(super) fn apply_agent(&mut self, node: usize, event: agent::AgentEvent) {
        let now = self.nodes[node].agent_time(self.now);
        let mut effects = Vec::new();
        self.nodes[node].agent().apply(now, event, &mut effects);

        for effect in effects {
            self.carry_out(node, effect);
        }
        self.schedule_step(node);
    }

    pub(super) fn step_engine(&mut self, node: usize, life: u64) {
        let state = &mut self.nodes[node];
        let is_due = state.life() == life && state.step_due == Some(self.now);
        if !is_due || state.frozen_until().is_some() {
            return;
        }
        state.step_due = None;
        let engine_time = state.engine_time(self.now);
        let mut outputs = Vec::new();
        state.engine().advance(engine_time, &mut outputs);

        for output in outputs {
            self.take_output(node, output);
        }
        self.schedule_step(node);
    }

    pub(super) fn restart_engine(&mut self, node: usize, life: u64) {
        if self.nodes[node].life() != life {
            return;
        }
        self.nodes[node].restart_engine();
        let event = agent::AgentEvent::TargetHealth { up: true };
        self.agent_event(node, life, event);
    }

    pub(super) fn schedule_step(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let due = state.next_step();
        if state.step_due == due || state.frozen_until().is_some() {
            return;
        }
        state.step_due = due;
        let life = state.life();
        if let Some(due) = due {
            let event = SimulationEvent::EngineStep { node, life };
            self.events.push(due, event);
        }
    }

    fn carry_out(&mut self, node: usize, effect: agent::AgentEffect) {
        let engine_time = self.nodes[node].engine_time(self.now);
        match effect {
            agent::AgentEffect::Send { link, frame } => self.send_to_gateway(link, frame),
            agent::AgentEffect::CloseLink { link } => self.close_from_agent(link),
            agent::AgentEffect::Generate(command) => self.generate(node, &command),
            agent::AgentEffect::Pause { attempt } => {
                self.observer.count_pause();
                self.nodes[node].engine().pause(attempt);
            }
            agent::AgentEffect::Resume { attempt } => {
                self.nodes[node].engine().resume(engine_time, attempt);
            }
            agent::AgentEffect::Cancel { attempt } => {
                self.nodes[node].runs.remove(&attempt);
                self.nodes[node].engine().cancel(attempt);
            }
            agent::AgentEffect::CallService { .. } => {}
            agent::AgentEffect::Exit => {
                self.nodes[node].revive(self.set);
                self.schedule_life(node);
            }
        }
    }

    fn generate(&mut self, node: usize, command: &agent::GenerateCommand) {
        let call: usize = command
            .request
            .prompt
            .parse()
            .expect("the bench writes call numbers as prompts");
        let attempt = command.attempt;
        if !self.nodes[node].is_engine_up() {
            let life = self.nodes[node].life();
            let event = agent::AgentEvent::WorkFailed {
                attempt,
                failure: agent::WorkFailure::NotSent,
            };
            self.push(Duration::ZERO, SimulationEvent::Agent { node, life, event });
            return;
        }

        let leaving_since = self.nodes[node].leaving_since;
        let run = self.observer.start_run(self.now, call, leaving_since);
        let expected = self.observer.expected(self.observer.call_request(call));
        let is_poisonous = expected.is_poisonous;
        let output_tokens = measures::TokenCount::new(expected.output_tokens);
        let request = model::StreamRequest {
            attempt,
            prompt_tokens: command.request.prompt_tokens,
            prefix: self.shared_prefix(expected.class),
            output_tokens,
            priority: command.priority,
            prefill_chunk: command.prefill_chunk,
        };

        let state = &mut self.nodes[node];
        let engine_time = state.engine_time(self.now);
        state
            .runs
            .insert(attempt, node::EngineRun { run, is_poisonous });
        state.engine().submit(engine_time, request);
    }

    fn shared_prefix(&self, class: usize) -> Option<model::SharedPrefix> {
        let tokens = self.scenario.classes[class].shared_prefix_tokens;
        (tokens > 0).then(|| model::SharedPrefix {
            hash: work::PrefixHash::new(class as u64 + 1),
            tokens: measures::TokenCount::new(tokens),
        })
    }

    fn take_output(&mut self, node: usize, output: model::EngineOutput) {
        match output {
            model::EngineOutput::Token { attempt, index, .. } => {
                self.take_token(node, attempt, index);
            }
            model::EngineOutput::Ended { attempt, .. } => {
                if self.nodes[node].runs.remove(&attempt).is_some() {
                    let reason = work::FinishReason::Stop;
                    let event = agent::AgentEvent::GenerationEnded { attempt, reason };
                    self.apply_agent(node, event);
                }
            }
            model::EngineOutput::Cache(event) => {
                let life = self.nodes[node].life();
                let event = agent::AgentEvent::CacheChanged(event);
                let lag = self.scenario.engine.report_lag;
                self.push(lag, SimulationEvent::Agent { node, life, event });
            }
        }
    }

    fn take_token(
        &mut self,
        node: usize,
        attempt: ids::AttemptId,
        index: measures::SequenceNumber,
    ) {
        // Outputs of a step that crashed the engine, or of cancelled runs, reach nobody.
        let Some(run) = self.nodes[node].runs.get(&attempt).copied() else {
            return;
        };
        if run.is_poisonous {
            self.crash(node);
            return;
        }
        let text = observer::RunObserver::token_text(run.run, index.get());
        let event = agent::AgentEvent::Token {
            attempt,
            index,
            text,
        };
        self.apply_agent(node, event);
    }

    fn crash(&mut self, node: usize) {
        self.nodes[node].crash_engine();
        let life = self.nodes[node].life();
        self.push(
            ENGINE_RESTART,
            SimulationEvent::EngineRestart { node, life },
        );
        self.apply_agent(node, agent::AgentEvent::TargetHealth { up: false });
    }
}
