//! What is known of the other targets' upgrades.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;

use super::UpgradeNote;

/// Latest notes of all other targets.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    notes: BTreeMap<ids::ModelName, BTreeMap<ids::TargetName, UpgradeNote>>,
    gone: BTreeSet<ids::TargetName>,
}

impl PeerTable {
    /// Takes a note, unless a later one of the same process is known.
    ///
    /// A failure is remembered until the target serves the version: an agent that died in the
    /// upgrade comes back without memory of it.
    pub fn record(&mut self, mut note: UpgradeNote) {
        let notes = self.notes.entry(note.model.clone()).or_default();
        if let Some(known) = notes.get(&note.target) {
            let is_same_life = known.process == note.process;
            if is_same_life && known.revision > note.revision {
                return;
            }
            if note.failed.is_none() && known.failed != note.serves {
                note.failed.clone_from(&known.failed);
            }
        }

        self.gone.remove(&note.target);
        notes.insert(note.target.clone(), note);
    }

    /// Notes that a target's agent is gone; one that goes during an upgrade has failed it.
    pub fn mark_gone(&mut self, target: &ids::TargetName) {
        self.gone.insert(target.clone());

        for notes in self.notes.values_mut() {
            let Some(note) = notes.get_mut(target) else {
                continue;
            };
            note.serves = None;
            if let Some(version) = note.upgrading_to.take() {
                note.failed = Some(version);
            }
        }
    }

    /// Forgets targets and models that `is_planned` does not know.
    pub fn retain(&mut self, is_planned: impl Fn(&ids::ModelName, &ids::TargetName) -> bool) {
        for (model, notes) in &mut self.notes {
            notes.retain(|target, _| is_planned(model, target));
        }
        self.notes.retain(|_, notes| !notes.is_empty());
    }

    /// Says whether `target` takes work for `model`, in whatever version.
    pub fn is_serving(&self, model: &ids::ModelName, target: &ids::TargetName) -> bool {
        self.find(model, target)
            .is_some_and(|note| note.serves.is_some())
    }

    /// Says whether `target` serves `version` of `model`.
    pub fn has_upgraded(
        &self,
        model: &ids::ModelName,
        target: &ids::TargetName,
        version: &str,
    ) -> bool {
        self.find(model, target)
            .is_some_and(|note| note.serves.as_deref() == Some(version))
    }

    /// Says whether `target` failed to upgrade `model` to `version`.
    pub fn has_failed(
        &self,
        model: &ids::ModelName,
        target: &ids::TargetName,
        version: &str,
    ) -> bool {
        self.find(model, target)
            .is_some_and(|note| note.failed.as_deref() == Some(version))
    }

    /// Says whether `target` is upgrading `model`.
    pub fn is_upgrading(&self, model: &ids::ModelName, target: &ids::TargetName) -> bool {
        self.find(model, target)
            .is_some_and(|note| note.upgrading_to.is_some())
    }

    /// Says whether the agent of `target` is known to be gone.
    pub fn is_gone(&self, target: &ids::TargetName) -> bool {
        self.gone.contains(target)
    }

    fn find(&self, model: &ids::ModelName, target: &ids::TargetName) -> Option<&UpgradeNote> {
        self.notes.get(model)?.get(target)
    }
}
