//! Finds the prompt parts that repeated crashes have in common.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::LostPrompt;
use super::PartChange;
use super::PartQuarantine;
use super::PartStanding;
use super::PromptCrash;
use super::PromptPartPolicy;
use super::PromptRecord;
use super::sound_parts;
use super::verdict;

/// Time for which a crash counts, and with it the quarantine of the parts that it is due to.
const CRASH_DURATION: Duration = Duration::from_secs(1_800);

/// Maximum number of crashes. In a full table a new one replaces the oldest, if possible one that
/// is no reason for a quarantine.
const MAX_CRASHES: usize = 128;

/// Maximum number of prompts of a crash, more than run at a target; the first ones in their order
/// are kept.
const MAX_PROMPTS: usize = 32;

/// Maximum number of parts of a prompt; further ones are left out.
const MAX_PARTS: usize = 16;

/// Added to times on the local clock, so that times before its start can be represented: records of
/// other processes may be that old.
const CLOCK_OFFSET: Duration = CRASH_DURATION.saturating_mul(2);

/// When a request was sent and lost, with [`CLOCK_OFFSET`].
#[derive(Debug, Clone, Copy)]
struct PromptLoss {
    sent_at: time::Timestamp,
    lost_at: time::Timestamp,
}

/// What is known of one crash.
#[derive(Debug, Clone)]
struct CrashEntry {
    prompts: BTreeMap<Box<[work::PromptPartId]>, PromptLoss>,
    sound_parts: BTreeSet<work::PromptPartId>,
    is_disproved: bool,
    /// When this process learnt of it, with [`CLOCK_OFFSET`].
    known_at: time::Timestamp,
    /// Number of changes of the table up to the last one of this entry.
    changed_at: u64,
}

impl CrashEntry {
    const fn new(known_at: time::Timestamp) -> Self {
        Self {
            prompts: BTreeMap::new(),
            sound_parts: BTreeSet::new(),
            is_disproved: false,
            known_at,
            changed_at: 0,
        }
    }

    /// Returns the time of the last loss, or that at which the crash became known if none is known
    /// yet.
    fn ended_at(&self) -> time::Timestamp {
        let losses = self.prompts.values().map(|loss| loss.lost_at);
        losses.max().unwrap_or(self.known_at)
    }

    fn add_prompt(&mut self, parts: &[work::PromptPartId], loss: PromptLoss) -> bool {
        let parts = &parts[..parts.len().min(MAX_PARTS)];
        if parts.is_empty() || self.prompts.contains_key(parts) {
            return false;
        }
        self.prompts.insert(parts.into(), loss);
        while self.prompts.len() > MAX_PROMPTS {
            self.prompts.pop_last();
        }
        self.prompts.contains_key(parts)
    }

    /// Returns the parts that the crash may be due to, each with the latest request that had it.
    fn involvements(&self) -> Vec<verdict::Involvement<'_>> {
        let mut latest: BTreeMap<work::PromptPartId, verdict::Involvement<'_>> = BTreeMap::new();
        for (parts, loss) in &self.prompts {
            for part in parts.iter().copied() {
                let involvement = verdict::Involvement {
                    part,
                    prompt: parts,
                    sent_at: loss.sent_at,
                    lost_at: loss.lost_at,
                };
                let known = latest.entry(part).or_insert(involvement);
                if known.sent_at < loss.sent_at {
                    *known = involvement;
                }
            }
        }
        latest.retain(|part, _| !self.is_disproved && !self.sound_parts.contains(part));
        latest.into_values().collect()
    }

    /// Returns when the last request with a part was lost.
    fn last_loss(&self, part: work::PromptPartId) -> Option<time::Timestamp> {
        let prompts = self.prompts.iter();
        let losses = prompts.filter(|(parts, _)| parts.contains(&part));
        losses.map(|(_, loss)| loss.lost_at).max()
    }

    /// Clears those parts of which streams have been sound since; returns them.
    fn clear_sound_parts(
        &mut self,
        sound: &sound_parts::SoundParts,
        parts: &[work::PromptPartId],
    ) -> Vec<work::PromptPartId> {
        let is_cleared = |part: &work::PromptPartId| {
            !self.sound_parts.contains(part)
                && self
                    .last_loss(*part)
                    .is_some_and(|lost_at| sound.is_sound_after(*part, lost_at))
        };
        let cleared: Vec<_> = parts.iter().copied().filter(is_cleared).collect();
        self.sound_parts.extend(&cleared);
        cleared
    }

    fn record(&self, now: time::Timestamp, crash: ids::CrashId) -> PromptCrash {
        let prompts = self.prompts.iter().map(|(parts, loss)| PromptRecord {
            parts: parts.clone(),
            age_ms: whole_millis(now.since(loss.lost_at)),
            duration_ms: whole_millis(loss.lost_at.since(loss.sent_at)),
        });
        PromptCrash {
            crash,
            prompts: prompts.collect(),
            sound_parts: self.sound_parts.iter().copied().collect(),
            is_disproved: self.is_disproved,
        }
    }
}

/// Policy that quarantines the parts that explain repeated crashes best. All processes that know
/// the same crashes quarantine the same parts.
#[derive(Debug, Default, Clone)]
pub struct CrashCorrelation {
    entries: BTreeMap<ids::CrashId, CrashEntry>,
    sound: sound_parts::SoundParts,
    /// Parts that are suspected or quarantined since the last review.
    cases: BTreeMap<work::PromptPartId, verdict::PartCase>,
    /// Number of changes so far.
    change_count: u64,
    /// Number of changes up to the last review.
    reviewed_count: u64,
    /// When the next review is due without a change, with [`CLOCK_OFFSET`].
    review_at: Option<time::Timestamp>,
}

impl CrashCorrelation {
    /// Returns the number of known crashes, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no crash is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies a change to the entry of a crash; `change` returns whether there was one.
    fn update(
        &mut self,
        now: time::Timestamp,
        crash: ids::CrashId,
        change: impl FnOnce(&mut CrashEntry) -> bool,
    ) -> bool {
        if !self.entries.contains_key(&crash) {
            self.evict_if_full();
        }
        let entry = self.entries.entry(crash);
        let entry = entry.or_insert_with(|| CrashEntry::new(now));
        let has_changed = change(entry);
        if has_changed {
            self.change_count += 1;
            entry.changed_at = self.change_count;
        }
        has_changed
    }

    fn evict_if_full(&mut self) {
        if self.entries.len() < MAX_CRASHES {
            return;
        }
        let is_reason = |entry: &CrashEntry| {
            let mut involvements = entry.involvements().into_iter();
            involvements.any(|involvement| self.quarantine(involvement.part).is_some())
        };
        let evicted = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (is_reason(entry), entry.ended_at()))
            .map(|(crash, _)| *crash);
        if let Some(crash) = evicted {
            self.entries.remove(&crash);
        }
    }

    fn quarantine(&self, part: work::PromptPartId) -> Option<PartQuarantine> {
        let until = self.cases.get(&part)?.decisive_loss_at? + CRASH_DURATION;
        Some(PartQuarantine {
            part,
            until: local(until),
        })
    }

    fn part_record(&self, part: work::PromptPartId) -> verdict::PartRecord {
        if self.quarantine(part).is_some() {
            verdict::PartRecord::Quarantined
        } else if self.sound.contains(part) {
            verdict::PartRecord::Sound
        } else {
            verdict::PartRecord::New
        }
    }

    fn remove_expired(&mut self, now: time::Timestamp) {
        self.entries
            .retain(|_, entry| now.since(entry.ended_at()) < CRASH_DURATION);
    }

    /// Returns when the next entry expires.
    fn next_expiry(&self) -> Option<time::Timestamp> {
        let ends = self.entries.values().map(CrashEntry::ended_at);
        ends.min().map(|ended_at| ended_at + CRASH_DURATION)
    }
}

impl PromptPartPolicy for CrashCorrelation {
    fn quarantined_part(&self, parts: &[work::PromptPartId]) -> Option<PartQuarantine> {
        parts.iter().find_map(|part| {
            let companions = &self.cases.get(part)?.companions;
            let has_companions = companions.iter().all(|part| parts.contains(part));
            has_companions.then(|| self.quarantine(*part)).flatten()
        })
    }

    fn quarantined_parts(&self) -> Vec<PartQuarantine> {
        let parts = self.cases.keys();
        parts.filter_map(|part| self.quarantine(*part)).collect()
    }

    fn are_sound(&self, parts: &[work::PromptPartId]) -> bool {
        parts.iter().all(|part| self.sound.contains(*part))
    }

    fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record_crash(
        &mut self,
        now: time::Timestamp,
        crash: ids::CrashId,
        prompts: &[LostPrompt],
    ) -> Option<PromptCrash> {
        if prompts.iter().all(|prompt| prompt.parts.is_empty()) {
            return None;
        }
        let now = now + CLOCK_OFFSET;
        let sound = std::mem::take(&mut self.sound);
        let mut changes = CrashEntry::new(now);
        let mut prompts: Vec<_> = prompts.iter().collect();
        // Of prompts with the same parts, the one that was sent last counts.
        prompts.sort_by_key(|prompt| std::cmp::Reverse(prompt.sent_at));
        let has_changed = self.update(now, crash, |entry| {
            for prompt in prompts {
                let loss = PromptLoss {
                    sent_at: prompt.sent_at + CLOCK_OFFSET,
                    lost_at: prompt.lost_at + CLOCK_OFFSET,
                };
                if entry.add_prompt(&prompt.parts, loss) {
                    changes.add_prompt(&prompt.parts, loss);
                    let cleared = entry.clear_sound_parts(&sound, &prompt.parts);
                    changes.sound_parts.extend(cleared);
                }
            }
            !changes.prompts.is_empty()
        });
        self.sound = sound;
        has_changed.then(|| changes.record(now, crash))
    }

    fn record_sound_stream(
        &mut self,
        now: time::Timestamp,
        parts: &[work::PromptPartId],
        began_at: time::Timestamp,
    ) -> Vec<PromptCrash> {
        let now = now + CLOCK_OFFSET;
        for part in parts {
            self.sound.insert(*part, began_at + CLOCK_OFFSET);
        }
        let sound = std::mem::take(&mut self.sound);
        let crashes: Vec<_> = self.entries.keys().copied().collect();
        let mut records = Vec::new();
        for crash in crashes {
            let mut cleared = Vec::new();
            self.update(now, crash, |entry| {
                cleared = entry.clear_sound_parts(&sound, parts);
                !cleared.is_empty()
            });
            if !cleared.is_empty() {
                records.push(PromptCrash::of_sound_parts(crash, cleared));
            }
        }
        self.sound = sound;
        records
    }

    fn record_response(
        &mut self,
        now: time::Timestamp,
        crash: ids::CrashId,
        sent_at: time::Timestamp,
    ) -> Option<PromptCrash> {
        let entry = self.entries.get(&crash)?;
        if entry.is_disproved || sent_at + CLOCK_OFFSET <= entry.ended_at() {
            return None;
        }
        self.update(now + CLOCK_OFFSET, crash, |entry| {
            entry.is_disproved = true;
            true
        });
        Some(PromptCrash {
            crash,
            prompts: Vec::new(),
            sound_parts: Vec::new(),
            is_disproved: true,
        })
    }

    fn merge(&mut self, now: time::Timestamp, record: &PromptCrash) -> Option<PromptCrash> {
        let now = now + CLOCK_OFFSET;
        let is_current =
            |prompt: &&PromptRecord| Duration::from_millis(prompt.age_ms) < CRASH_DURATION;
        let prompts: Vec<_> = record.prompts.iter().filter(is_current).collect();
        if prompts.is_empty() && !record.prompts.is_empty() {
            return None;
        }
        let sound = std::mem::take(&mut self.sound);
        let mut cleared = Vec::new();
        self.update(now, record.crash, |entry| {
            let mut has_changed = record.is_disproved && !entry.is_disproved;
            entry.is_disproved |= record.is_disproved;
            for part in record.sound_parts.iter().take(MAX_PROMPTS * MAX_PARTS) {
                has_changed |= entry.sound_parts.insert(*part);
            }
            for prompt in prompts.into_iter().take(MAX_PROMPTS) {
                let lost_at = earlier(now, prompt.age_ms);
                let loss = PromptLoss {
                    sent_at: earlier(lost_at, prompt.duration_ms),
                    lost_at,
                };
                if entry.add_prompt(&prompt.parts, loss) {
                    has_changed = true;
                    cleared.extend(entry.clear_sound_parts(&sound, &prompt.parts));
                }
            }
            has_changed
        });
        self.sound = sound;
        (!cleared.is_empty()).then(|| PromptCrash::of_sound_parts(record.crash, cleared))
    }

    fn review(&mut self, now: time::Timestamp) -> Vec<PartChange> {
        let now = now + CLOCK_OFFSET;
        let is_due = self.review_at.is_some_and(|review_at| now >= review_at);
        if !is_due && self.change_count == self.reviewed_count {
            return Vec::new();
        }
        self.remove_expired(now);
        let crashes = self.entries.values().map(|entry| verdict::CrashEvidence {
            known_at: entry.known_at,
            involvements: entry.involvements(),
        });
        let decided = verdict::decide(now, crashes.collect(), |part| self.part_record(part));
        self.reviewed_count = self.change_count;
        let review_times = decided.review_at.into_iter().chain(self.next_expiry());
        self.review_at = review_times.min();
        let previous = std::mem::replace(&mut self.cases, decided.cases);
        part_changes(&previous, &self.cases)
    }

    fn records_after(&self, now: time::Timestamp, change_count: u64) -> (Vec<PromptCrash>, u64) {
        let now = now + CLOCK_OFFSET;
        let entries = self.entries.iter().filter(|(_, entry)| {
            entry.changed_at > change_count
                && !entry.prompts.is_empty()
                && now.since(entry.ended_at()) < CRASH_DURATION
        });
        let records = entries.map(|(crash, entry)| entry.record(now, *crash));
        (records.collect(), self.change_count)
    }

    fn boxed_clone(&self) -> Box<dyn PromptPartPolicy> {
        Box::new(self.clone())
    }
}

/// Returns how the standings of parts changed.
fn part_changes(
    previous: &BTreeMap<work::PromptPartId, verdict::PartCase>,
    present: &BTreeMap<work::PromptPartId, verdict::PartCase>,
) -> Vec<PartChange> {
    let standing = |case: &verdict::PartCase| match case.decisive_loss_at {
        Some(_) => PartStanding::Quarantined,
        None => PartStanding::Suspected,
    };
    let cleared = previous
        .iter()
        .filter(|(part, _)| !present.contains_key(part))
        .map(|(part, case)| (part, PartStanding::Cleared, case));
    let changed = present
        .iter()
        .map(|(part, case)| (part, standing(case), case))
        .filter(|(part, present, _)| previous.get(part).map(standing) != Some(*present));
    cleared
        .chain(changed)
        .map(|(part, standing, case)| PartChange {
            part: *part,
            standing,
            crash_count: case.crash_count,
        })
        .collect()
}

/// Removes [`CLOCK_OFFSET`] from a time that is not before the start of the local clock.
fn local(at: time::Timestamp) -> time::Timestamp {
    time::Timestamp::ZERO + (at.since(time::Timestamp::ZERO + CLOCK_OFFSET))
}

fn earlier(at: time::Timestamp, millis: u64) -> time::Timestamp {
    let micros = millis.saturating_mul(1_000);
    time::Timestamp::from_micros(at.as_micros().saturating_sub(micros))
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
