//! Begin and end of faults.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;

use super::Simulation;
use super::SimulationEvent;
use crate::scenario;

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let section = &self.scenario.faults[fault];
        let Some(node) = self.target_node(section) else {
            return;
        };
        let incarnation = self.nodes[node].incarnation();

        match section.kind {
            scenario::FaultKind::Kill => self.nodes[node].kill(),
            scenario::FaultKind::Pause => {
                let duration = section
                    .duration
                    .map_or(Duration::MAX, scenario::DurationText::get);
                self.nodes[node].suspend(self.now, duration);
            }
            scenario::FaultKind::Leave => {
                self.nodes[node].leaving_since = Some(self.now);
                self.deliver_agent_event(node, incarnation, agent::AgentEvent::Leave);
            }
            scenario::FaultKind::Silence => self.links.silence(node),
            // The poisonous request was already marked when the requests were drawn.
            scenario::FaultKind::Poison => {}
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let section = &self.scenario.faults[fault];
        let Some(node) = self.target_node(section) else {
            return;
        };
        let duration = section
            .duration
            .map_or(Duration::ZERO, scenario::DurationText::get);

        match section.kind {
            scenario::FaultKind::Kill => {
                self.nodes[node].restart(self.policies);
                self.schedule_vm_start(node);
            }
            scenario::FaultKind::Pause => {
                self.nodes[node].resume(duration);
                self.schedule_step(node);
            }
            scenario::FaultKind::Leave => {
                let incarnation = self.nodes[node].incarnation();
                let event = agent::AgentEvent::Stop;
                self.push(
                    Duration::ZERO,
                    SimulationEvent::Agent {
                        node,
                        incarnation,
                        event,
                    },
                );
            }
            scenario::FaultKind::Silence | scenario::FaultKind::Poison => {}
        }
    }

    fn target_node(&self, section: &scenario::FaultSection) -> Option<usize> {
        self.scenario.engine_index(section.target.as_ref()?)
    }
}
