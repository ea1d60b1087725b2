//! Tracks usable targets and handles their departure.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallDemand;
use super::DispatchEffect;
use super::Dispatcher;
use super::TargetHealth;
use super::speeds;
use super::terms;
use crate::directory;
use crate::membership;

/// Minimum usable targets of a service in a cell for its relays to use no others: with one leaving
/// and one unhealthy there is still a choice.
pub(super) const MIN_CELL_TARGETS: usize = 4;

/// A target that may be used, or that is leaving and may still run calls of this relay.
#[derive(Debug, Clone)]
pub(super) struct TargetEntry {
    pub(super) record: Rc<directory::TargetRecord>,
    pub(super) is_leaving: bool,
    /// Whether the target's zone is evacuated.
    pub(super) is_evacuated: bool,
    pub(super) health: TargetHealth,
    /// What the target has asked for.
    pub(super) terms: terms::TargetTerms,
    /// Whether the target was unhealthy at the last check.
    pub(super) was_unhealthy: bool,
    /// Position of the target, which determines its cell.
    pub(super) position: membership::CellPosition,
    /// Speed that placement assumes.
    pub(super) speed: speeds::TargetSpeed,
    /// Whether the speed is based on observations of this target.
    pub(super) is_speed_known: bool,
}

impl Dispatcher {
    pub(super) fn apply_target_change(
        &mut self,
        now: time::Timestamp,
        change: directory::TargetChange,
        effects: &mut Vec<DispatchEffect>,
    ) {
        match change {
            directory::TargetChange::Usable(record) => {
                self.handle_registration(now, &record.key, effects);
                let name = record.key.name.clone();
                let is_evacuated = self.evacuated_zones.contains(&record.zone);
                match self.targets.get_mut(&name) {
                    Some(entry) if entry.record.key == record.key => {
                        entry.terms.cold.receive(now, &record);
                        entry.record = record;
                        entry.is_leaving = false;
                        entry.is_evacuated = is_evacuated;
                    }
                    Some(_) | None => {
                        let mut terms = self.unlisted_terms.take(&record.key);
                        terms.cold.receive(now, &record);
                        let entry = TargetEntry {
                            record,
                            is_leaving: false,
                            is_evacuated,
                            health: TargetHealth::default(),
                            terms,
                            was_unhealthy: false,
                            position: membership::CellPosition::of(&name),
                            speed: speeds::TargetSpeed::default(),
                            is_speed_known: false,
                        };
                        self.targets.insert(name, entry);
                    }
                }
            }
            directory::TargetChange::Leaving(key) => {
                self.lost_attempts.record_departure(now, &key);
                if let Some(entry) = self.targets.get_mut(&key.name)
                    && entry.record.key == key
                {
                    entry.is_leaving = true;
                }
                self.handle_departure(&key, effects);
            }
            directory::TargetChange::Missing(..) => {}
            directory::TargetChange::Gone(key) => {
                if self
                    .targets
                    .get(&key.name)
                    .is_some_and(|entry| entry.record.key == key)
                    && let Some(entry) = self.targets.remove(&key.name)
                    && entry.terms.apply(now)
                {
                    self.unlisted_terms.insert(now, key.clone(), entry.terms);
                }
                self.handle_departure(&key, effects);
            }
        }
    }

    /// Handles the request of a target to get nothing for some time. A later, shorter pause does not
    /// end an earlier one.
    pub(super) fn pause_target(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
        pause: Duration,
    ) {
        if let Some(terms) = self.terms_mut(now, key) {
            terms.paused_until = terms.paused_until.max(now + pause);
        }
    }

    /// Returns whether an incarnation of a target has asked for a pause that has not ended.
    pub fn is_paused(&self, now: time::Timestamp, key: &directory::TargetKey) -> bool {
        self.targets
            .get(&key.name)
            .is_some_and(|entry| entry.record.key == *key && entry.terms.paused_until > now)
    }

    /// Returns how long no target that may run a call accepts work, if all of them have asked for a
    /// pause.
    pub(super) fn service_pause(
        &self,
        now: time::Timestamp,
        demand: &CallDemand,
    ) -> Option<Duration> {
        let staying = self.targets.values().filter(|entry| entry.may_run(demand));
        let earliest_end = staying.map(|entry| entry.terms.paused_until).min()?;
        (earliest_end > now).then(|| earliest_end.since(now))
    }

    /// Returns whether this incarnation of a target accepts new work.
    pub(super) fn accepts_work(&self, key: &directory::TargetKey) -> bool {
        self.targets
            .get(&key.name)
            .is_some_and(|entry| entry.record.key == *key && entry.takes_work())
    }

    /// Returns whether this incarnation of a target is registered and does not leave, whether it
    /// accepts new work or not.
    pub(super) fn is_staying(&self, key: &directory::TargetKey) -> bool {
        self.targets
            .get(&key.name)
            .is_some_and(|entry| entry.record.key == *key && !entry.is_leaving)
    }

    /// Emits an effect for each target that became unhealthy, or healthy again, since the last
    /// check.
    pub(super) fn report_health_changes(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<DispatchEffect>,
    ) {
        for (name, entry) in &mut self.targets {
            let is_unhealthy = entry.health.is_unhealthy(now);
            if is_unhealthy != entry.was_unhealthy {
                entry.was_unhealthy = is_unhealthy;
                effects.push(DispatchEffect::HealthChanged {
                    target: name.clone(),
                    is_healthy: !is_unhealthy,
                    failures_per_thousand: (entry.health.failure_rate(now) * 1_000.0) as u64,
                });
            }
        }
    }

    /// Notifies the streams that run or have their copy at a target that it is leaving or gone.
    fn handle_departure(&mut self, key: &directory::TargetKey, effects: &mut Vec<DispatchEffect>) {
        for (call, placed) in &mut self.placed {
            if placed.demand.engine.is_none() {
                continue;
            }
            if placed
                .copy_holder
                .as_ref()
                .is_some_and(|holder| holder.key == *key)
            {
                placed.copy_holder = None;
                effects.push(DispatchEffect::DropCopy {
                    call: *call,
                    holder: key.clone(),
                });
            }
            if placed.target.key == *key {
                effects.push(DispatchEffect::Migrate {
                    call: *call,
                    target: key.clone(),
                });
            }
        }
    }
}

/// Returns the targets that accept work and may run a call: those of the own cell, whose total load is
/// known, or all if the cell has too few.
pub(super) fn usable_targets<'a>(
    targets: &'a BTreeMap<ids::TargetName, TargetEntry>,
    now: time::Timestamp,
    demand: &CallDemand,
    is_in_cell: impl Fn(&TargetEntry) -> bool,
) -> Vec<(&'a ids::TargetName, &'a TargetEntry)> {
    let usable: Vec<_> = targets
        .iter()
        .filter(|(_, entry)| {
            entry.record.service == demand.service && entry.obstacle(now, demand).is_none()
        })
        .collect();
    let in_cell: Vec<_> = usable
        .iter()
        .copied()
        .filter(|(_, entry)| is_in_cell(entry))
        .collect();
    match in_cell.len() < MIN_CELL_TARGETS {
        true => usable,
        false => in_cell,
    }
}
