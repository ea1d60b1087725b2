//! Length curves by model, class and organisation, in bounded memory.

use std::collections::BTreeMap;

use kingcupfall_core::ids;

use super::SurvivalCurve;
use super::buckets::LengthBuckets;
use super::curve::bucket_of;

/// Most entries; the one unused for longest makes room.
const ENTRY_LIMIT: usize = 4_096;

/// Generations that a model's common curve stands for in the curve of one class.
const PARENT_WEIGHT: f32 = 1.5;

/// Ends and passages after which a curve is computed again.
const REFRESH_CHANGES: u32 = 8;

/// What lengths are kept apart by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LengthKey {
    /// Model that generates.
    pub model: ids::ModelName,
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Class of the request.
    pub class: ids::ClassName,
}

/// Place of one key's entry in a [`LengthBook`].
///
/// When the entry has made room for another key's, the place stands for that one: a worse
/// estimate, but no error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LengthSlot(usize);

#[derive(Debug)]
struct LengthEntry {
    key: Option<LengthKey>,
    buckets: LengthBuckets,
    curve: SurvivalCurve,
    mean: f32,
    changes: u32,
    used: u64,
}

/// Learns lengths by [`LengthKey`], with what is common to all as the expectation for a new one.
#[derive(Debug)]
pub struct LengthBook {
    slots: BTreeMap<LengthKey, usize>,
    entries: Vec<LengthEntry>,
    common: LengthEntry,
    prior: SurvivalCurve,
    uses: u64,
}

impl LengthBook {
    /// Makes a book that knows only the prior.
    pub fn new() -> Self {
        let prior = SurvivalCurve::prior();
        Self {
            slots: BTreeMap::new(),
            entries: Vec::new(),
            common: LengthEntry::new(None, &prior),
            prior,
            uses: 0,
        }
    }

    /// Returns the place of a key, and makes an entry for a new one.
    pub fn slot(&mut self, key: &LengthKey) -> LengthSlot {
        self.uses += 1;
        let index = match self.slots.get(key) {
            Some(index) => *index,
            None => self.add(key),
        };
        self.entries[index].used = self.uses;
        LengthSlot(index)
    }

    /// Returns the curve at a place.
    pub fn curve(&self, slot: LengthSlot) -> &SurvivalCurve {
        &self.entries[slot.0].curve
    }

    /// Returns the mean length at a place, in tokens.
    pub fn mean_tokens(&self, slot: LengthSlot) -> f32 {
        self.entries[slot.0].mean
    }

    /// Notes that a running generation has reached `tokens` tokens.
    pub fn record_progress(&mut self, slot: LengthSlot, tokens: u64) {
        let passed = bucket_of(tokens.saturating_sub(1));
        if tokens < 2 || passed == bucket_of(tokens) {
            return;
        }
        self.change(slot, |buckets| buckets.record_passage(passed));
    }

    /// Notes that a generation ended by itself with `tokens` tokens.
    pub fn record_end(&mut self, slot: LengthSlot, tokens: u64) {
        self.change(slot, |buckets| buckets.record_end(tokens));
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn change(&mut self, slot: LengthSlot, change: impl Fn(&mut LengthBuckets)) {
        change(&mut self.common.buckets);
        self.common.refresh(&self.prior);

        let entry = &mut self.entries[slot.0];
        change(&mut entry.buckets);
        entry.refresh(&self.common.curve);
    }

    fn add(&mut self, key: &LengthKey) -> usize {
        let entry = LengthEntry::new(Some(key.clone()), &self.common.curve);
        let index = match self.entries.len() < ENTRY_LIMIT {
            true => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
            false => self.replace_oldest(entry),
        };
        self.slots.insert(key.clone(), index);
        index
    }

    fn replace_oldest(&mut self, entry: LengthEntry) -> usize {
        let index = (0..self.entries.len())
            .min_by_key(|index| self.entries[*index].used)
            .unwrap_or(0);
        let former = std::mem::replace(&mut self.entries[index], entry);
        if let Some(key) = former.key {
            self.slots.remove(&key);
        }
        index
    }
}

impl Default for LengthBook {
    fn default() -> Self {
        Self::new()
    }
}

impl LengthEntry {
    fn new(key: Option<LengthKey>, parent: &SurvivalCurve) -> Self {
        Self {
            key,
            buckets: LengthBuckets::default(),
            mean: parent.mean_remaining(0.0),
            curve: parent.clone(),
            changes: 0,
            used: 0,
        }
    }

    fn refresh(&mut self, parent: &SurvivalCurve) {
        self.changes += 1;
        if self.changes < REFRESH_CHANGES {
            return;
        }
        self.changes = 0;
        self.curve = self.buckets.curve(parent, PARENT_WEIGHT);
        self.mean = self.curve.mean_remaining(0.0);
    }
}
