//! Faults, as they begin and end.

use std::time::Duration;

use kingcupfall_agent::reducer as agent;

use super::Simulation;
use super::SimulationEvent;
use crate::scenario;

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let section = &self.scenario.faults[fault];
        let Some(node) = self.fault_node(section) else {
            return;
        };
        let life = self.nodes[node].life();

        match section.kind {
            scenario::FaultKind::Kill => self.nodes[node].kill(),
            scenario::FaultKind::Pause => {
                let lasts = section
                    .lasts
                    .map_or(Duration::MAX, scenario::DurationText::get);
                self.nodes[node].freeze(self.now, lasts);
            }
            scenario::FaultKind::Leave => {
                self.nodes[node].leaving_since = Some(self.now);
                self.agent_event(node, life, agent::AgentEvent::Leave);
            }
            scenario::FaultKind::Silence => self.links.silence(node),
            // The request itself is drawn with the arrivals.
            scenario::FaultKind::Poison => {}
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let section = &self.scenario.faults[fault];
        let Some(node) = self.fault_node(section) else {
            return;
        };
        let lasts = section
            .lasts
            .map_or(Duration::ZERO, scenario::DurationText::get);

        match section.kind {
            scenario::FaultKind::Kill => {
                self.nodes[node].revive(self.set);
                self.schedule_life(node);
            }
            scenario::FaultKind::Pause => {
                self.nodes[node].wake(lasts);
                self.schedule_step(node);
            }
            scenario::FaultKind::Leave => {
                let life = self.nodes[node].life();
                let event = agent::AgentEvent::Stop;
                self.push(Duration::ZERO, SimulationEvent::Agent { node, life, event });
            }
            scenario::FaultKind::Silence | scenario::FaultKind::Poison => {}
        }
    }

    fn fault_node(&self, section: &scenario::FaultSection) -> Option<usize> {
        self.scenario.engine_index(section.target.as_ref()?)
    }
}
