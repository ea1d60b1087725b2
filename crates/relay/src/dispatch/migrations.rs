//! Copies and migrations of the streams' memory.

use std::rc::Rc;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallPlacement;
use super::DispatchEffect;
use super::Dispatcher;
use super::ReservationRequest;
use super::copies;
use super::reservations;
use crate::directory;

impl Dispatcher {
    /// Chooses a copy holder for a placed call and counts the copy there.
    pub(super) fn assign_copy_holder(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
    ) -> Option<Rc<directory::TargetRecord>> {
        let placed = self.placed.get(&call)?;
        if !copies::is_worth_copy(&placed.demand) {
            return None;
        }
        let loads = self.local_loads(now);
        let candidates = self.candidates(now, &loads, &placed.demand);
        let copy_holder = copies::choose_copy_holder(&placed.demand, &placed.target, &candidates);
        if let Some(holder) = &copy_holder {
            self.changed_targets.insert(holder.key.name.clone());
        }
        self.placed
            .get_mut(&call)?
            .copy_holder
            .clone_from(&copy_holder);
        copy_holder
    }

    /// Finds a target to which a call's memory can migrate and reserves capacity there.
    pub(super) fn reserve_migration(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        tried: Vec<ids::TargetName>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.reservations.remove(call);
        let found = self.build_migration_request(now, call, &tried);
        let Some((request, target)) = found else {
            let target = None;
            return effects.push(DispatchEffect::MigrationTarget { call, target });
        };
        if let Some(placed) = self.placed.get_mut(&call) {
            placed.copy_holder = Some(Rc::clone(&target));
        }
        let purpose = reservations::ReservationPurpose::Migration { tried };
        let pending = reservations::PendingReservation::new(now, target, purpose);
        self.reserve(now, call, request, pending, effects);
    }

    fn build_migration_request(
        &self,
        now: time::Timestamp,
        call: ids::CallId,
        tried: &[ids::TargetName],
    ) -> Option<(ReservationRequest, Rc<directory::TargetRecord>)> {
        let loads = self.local_loads(now);
        let placed = self.placed.get(&call)?;
        let engine = placed.demand.engine.as_ref()?;
        let mut candidates = self.candidates(now, &loads, &placed.demand);
        candidates.retain(|candidate| !tried.contains(&candidate.record.key.name));
        let tokens = placed.used_tokens();
        let target =
            copies::choose_migration_target(&placed.demand, tokens, &placed.target, &candidates)?;
        let request = ReservationRequest {
            target: target.key.clone(),
            load: placed.copy_load(),
            limit: copies::migration_limit(engine, &target),
        };
        Some((request, target))
    }

    /// Makes the migration target the one that runs the call, and chooses its next copy holder.
    pub(super) fn handle_migration(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        target: Rc<directory::TargetRecord>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        self.reservations.remove(call);
        let Some(placed) = self.placed.get_mut(&call) else {
            return;
        };
        placed.copy_holder = None;
        placed.start_times(now);
        placed.is_sound = false;
        let previous = std::mem::replace(&mut placed.target, Rc::clone(&target));
        self.changed_targets.insert(previous.key.name.clone());
        self.changed_targets.insert(target.key.name.clone());
        // A running stream doesn't wait for its share of a limit; later requests do. For a cold target
        // the shell has waited.
        self.record_request(now, &target.key);
        let copy_holder = self.assign_copy_holder(now, call);
        let load = self.peer_loads.sum(&target.key.name);
        let forecast = self.placement_forecast(call, &target.key, load);
        let placement = CallPlacement {
            target,
            copy_holder,
            load,
            forecast,
        };
        effects.push(DispatchEffect::Place { call, placement });
    }
}
