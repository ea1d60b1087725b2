//! Parts of streams that did not crash their targets.

use std::collections::BTreeMap;

use kingcupfall_core::time;
use kingcupfall_core::work;

/// Maximum number of remembered parts. Beyond it, the half that was seen longest ago is forgotten.
const MAX_SOUND_PARTS: usize = 8_192;

/// Parts that were found sound, with the latest time at which the output of such a stream began.
#[derive(Debug, Default, Clone)]
pub(super) struct SoundParts {
    began_at: BTreeMap<work::PromptPartId, time::Timestamp>,
}

impl SoundParts {
    pub(super) fn insert(&mut self, part: work::PromptPartId, began_at: time::Timestamp) {
        if self.began_at.len() >= MAX_SOUND_PARTS && !self.began_at.contains_key(&part) {
            self.forget_oldest();
        }
        let known = self.began_at.entry(part).or_insert(began_at);
        *known = began_at.max(*known);
    }

    pub(super) fn contains(&self, part: work::PromptPartId) -> bool {
        self.began_at.contains_key(&part)
    }

    /// Returns whether the output of a sound stream with a part began after `at`.
    pub(super) fn is_sound_after(&self, part: work::PromptPartId, at: time::Timestamp) -> bool {
        let began_at = self.began_at.get(&part);
        began_at.is_some_and(|began_at| *began_at > at)
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<_> = self.began_at.values().copied().collect();
        times.sort();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        let mut excess = times.len() / 2;
        self.began_at.retain(|_, began_at| {
            let is_forgotten = *began_at <= median && excess > 0;
            excess -= usize::from(is_forgotten);
            !is_forgotten
        });
    }
}
