//! Survival curves of output lengths by model, organisation and class, in bounded memory.

use std::collections::BTreeMap;

use kingcupfall_core::ids;

use super::SurvivalCurve;
use super::buckets::LengthBuckets;
use super::curve::bucket_of;

/// Maximum number of entries; in a full table a new key replaces the least recently used one.
const MAX_ENTRIES: usize = 4_096;

/// Weight of the common curve in the curve of one key, in generations.
const PARENT_WEIGHT: f32 = 1.5;

/// Recorded ends and bucket passages after which a curve is computed again.
const REFRESH_UPDATES: u32 = 8;

/// Key by which lengths are learnt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LengthKey {
    /// Model that generates.
    pub model: ids::ModelName,
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Class of the request.
    pub class: ids::ClassName,
}

/// Index of one key's entry in a [`LengthStatistics`].
///
/// The slot stays valid when another key replaces the entry. It then refers to the other key's
/// entry, which only makes the estimate worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LengthSlot(usize);

#[derive(Debug)]
struct LengthEntry {
    key: Option<LengthKey>,
    buckets: LengthBuckets,
    curve: SurvivalCurve,
    mean_tokens: f32,
    updates_since_refresh: u32,
    last_use: u64,
}

/// Learns output lengths by [`LengthKey`].
///
/// A new key starts with the common curve of all keys, which itself starts with the prior.
#[derive(Debug)]
pub struct LengthStatistics {
    slots: BTreeMap<LengthKey, usize>,
    entries: Vec<LengthEntry>,
    common: LengthEntry,
    prior: SurvivalCurve,
    /// Number of lookups, which serves as the clock of the least recently used order.
    use_count: u64,
}

impl LengthStatistics {
    /// Creates statistics without entries, whose common curve is the prior.
    pub fn new() -> Self {
        let prior = SurvivalCurve::prior();
        Self {
            slots: BTreeMap::new(),
            entries: Vec::new(),
            common: LengthEntry::new(None, &prior),
            prior,
            use_count: 0,
        }
    }

    /// Returns the slot of a key, and adds an entry for a new key.
    pub fn slot(&mut self, key: &LengthKey) -> LengthSlot {
        self.use_count += 1;
        let index = match self.slots.get(key) {
            Some(index) => *index,
            None => self.add(key),
        };
        self.entries[index].last_use = self.use_count;
        LengthSlot(index)
    }

    /// Returns the survival curve of a slot.
    pub fn curve(&self, slot: LengthSlot) -> &SurvivalCurve {
        &self.entries[slot.0].curve
    }

    /// Returns the mean length of a slot, in tokens.
    pub fn mean_tokens(&self, slot: LengthSlot) -> f32 {
        self.entries[slot.0].mean_tokens
    }

    /// Records that a running generation has reached `tokens` tokens.
    ///
    /// It has an effect only when that token is the first in its bucket.
    pub fn record_progress(&mut self, slot: LengthSlot, tokens: u64) {
        let passed_bucket = bucket_of(tokens.saturating_sub(1));
        if tokens < 2 || passed_bucket == bucket_of(tokens) {
            return;
        }
        self.update(slot, |buckets| buckets.record_passage(passed_bucket));
    }

    /// Records that a generation finished with `tokens` tokens.
    pub fn record_end(&mut self, slot: LengthSlot, tokens: u64) {
        self.update(slot, |buckets| buckets.record_end(tokens));
    }

    /// Returns the number of keys that have an entry.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no key has an entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn update(&mut self, slot: LengthSlot, update: impl Fn(&mut LengthBuckets)) {
        update(&mut self.common.buckets);
        self.common.refresh(&self.prior);

        let entry = &mut self.entries[slot.0];
        update(&mut entry.buckets);
        entry.refresh(&self.common.curve);
    }

    fn add(&mut self, key: &LengthKey) -> usize {
        let entry = LengthEntry::new(Some(key.clone()), &self.common.curve);
        let index = match self.entries.len() < MAX_ENTRIES {
            true => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
            false => self.replace_least_recently_used(entry),
        };
        self.slots.insert(key.clone(), index);
        index
    }

    fn replace_least_recently_used(&mut self, entry: LengthEntry) -> usize {
        let index = (0..self.entries.len())
            .min_by_key(|index| self.entries[*index].last_use)
            .unwrap_or(0);
        let previous = std::mem::replace(&mut self.entries[index], entry);
        if let Some(key) = previous.key {
            self.slots.remove(&key);
        }
        index
    }
}

impl Default for LengthStatistics {
    fn default() -> Self {
        Self::new()
    }
}

impl LengthEntry {
    fn new(key: Option<LengthKey>, parent: &SurvivalCurve) -> Self {
        Self {
            key,
            buckets: LengthBuckets::default(),
            mean_tokens: parent.mean_remaining(0.0),
            curve: parent.clone(),
            updates_since_refresh: 0,
            last_use: 0,
        }
    }

    fn refresh(&mut self, parent: &SurvivalCurve) {
        self.updates_since_refresh += 1;
        if self.updates_since_refresh < REFRESH_UPDATES {
            return;
        }
        self.updates_since_refresh = 0;
        self.curve = self.buckets.curve(parent, PARENT_WEIGHT);
        self.mean_tokens = self.curve.mean_remaining(0.0);
    }
}
