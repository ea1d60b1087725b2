//! Targets that may be used, and what their leaving means for the calls there.

use std::collections::BTreeMap;
use std::rc::Rc;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::DispatchEffect;
use super::Dispatcher;
use super::TargetDoubt;
use crate::directory;
use crate::membership;

/// Targets of a service that a cell must have for its processes to use no others: one that leaves
/// and one in doubt still leave a choice.
const LEAST_TARGETS: usize = 4;

/// A target that may be used, or that still runs calls of this process.
#[derive(Debug)]
pub(super) struct TargetEntry {
    pub(super) record: Rc<directory::TargetRecord>,
    pub(super) is_leaving: bool,
    pub(super) doubt: TargetDoubt,
    /// Whether it was doubted when that was last looked at.
    pub(super) was_doubted: bool,
    /// Place of the target among the cells of the fleet.
    pub(super) position: membership::CellPosition,
}

impl Dispatcher {
    pub(super) fn change_target(
        &mut self,
        change: directory::TargetChange,
        effects: &mut Vec<DispatchEffect>,
    ) {
        match change {
            directory::TargetChange::Usable(record) => {
                let name = record.key.name.clone();
                match self.targets.get_mut(&name) {
                    Some(entry) if entry.record.key == record.key => {
                        entry.record = record;
                        entry.is_leaving = false;
                    }
                    Some(_) | None => {
                        let entry = TargetEntry {
                            record,
                            is_leaving: false,
                            doubt: TargetDoubt::default(),
                            was_doubted: false,
                            position: membership::CellPosition::of(&name),
                        };
                        self.targets.insert(name, entry);
                    }
                }
            }
            directory::TargetChange::Leaving(key) => {
                if let Some(entry) = self.targets.get_mut(&key.name)
                    && entry.record.key == key
                {
                    entry.is_leaving = true;
                }
                self.leave(&key, effects);
            }
            directory::TargetChange::Gone(key) => {
                if self
                    .targets
                    .get(&key.name)
                    .is_some_and(|entry| entry.record.key == key)
                {
                    self.targets.remove(&key.name);
                }
                self.leave(&key, effects);
            }
        }
    }

    /// Says whether this life of a target takes new work.
    pub(super) fn takes_work(&self, key: &directory::TargetKey) -> bool {
        self.targets
            .get(&key.name)
            .is_some_and(|entry| entry.record.key == *key && !entry.is_leaving)
    }

    /// Tells which targets are doubted now that were not, or the other way round.
    pub(super) fn review_trust(&mut self, now: time::Timestamp, effects: &mut Vec<DispatchEffect>) {
        for (name, entry) in &mut self.targets {
            let is_doubted = entry.doubt.is_doubted(now);
            if is_doubted != entry.was_doubted {
                entry.was_doubted = is_doubted;
                effects.push(DispatchEffect::Trust {
                    target: name.clone(),
                    is_trusted: !is_doubted,
                    failures: (entry.doubt.failure_rate(now) * 1_000.0) as u64,
                });
            }
        }
    }

    /// Tells the streams that run or have their copy at a target that it leaves.
    fn leave(&mut self, key: &directory::TargetKey, effects: &mut Vec<DispatchEffect>) {
        for (call, placed) in &mut self.placed {
            if placed.demand.engine.is_none() {
                continue;
            }
            if placed.copy.as_ref().is_some_and(|copy| copy.key == *key) {
                placed.copy = None;
                effects.push(DispatchEffect::DropCopy { call: *call });
            }
            if placed.target.key == *key {
                effects.push(DispatchEffect::Evacuate { call: *call });
            }
        }
    }
}

/// Returns the targets of a service that take work: those of the own cell, whose whole load is
/// known, unless they are too few.
pub(super) fn usable<'a>(
    targets: &'a BTreeMap<ids::TargetName, TargetEntry>,
    now: time::Timestamp,
    service: &ids::ServiceName,
    is_near: impl Fn(&TargetEntry) -> bool,
) -> Vec<(&'a ids::TargetName, &'a TargetEntry)> {
    let usable: Vec<_> = targets
        .iter()
        .filter(|(_, entry)| {
            entry.record.service == *service && !entry.is_leaving && !entry.doubt.is_paused(now)
        })
        .collect();
    let near: Vec<_> = usable
        .iter()
        .copied()
        .filter(|(_, entry)| is_near(entry))
        .collect();
    match near.len() < LEAST_TARGETS {
        true => usable,
        false => near,
    }
}
