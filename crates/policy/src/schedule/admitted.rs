//! Table of the work that was admitted to the target and has not ended.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::length::LengthSlot;

/// One admitted piece of work, running or paused.
#[derive(Debug, Clone)]
pub struct AdmittedWork {
    /// Slot of its length statistics; `None` for a service call.
    pub slot: Option<LengthSlot>,
    /// Priority of its class.
    pub priority: measures::Priority,
    /// Whether it is suspected of crashing targets.
    pub suspect: bool,
    /// Estimated prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens generated so far.
    pub generated_tokens: u64,
    /// Time of its last token; `None` before the first token and after a pause.
    pub last_token_at: Option<time::Timestamp>,
    /// Time from which it is resumed before new work is admitted; `None` while it runs.
    pub resume_due: Option<time::Timestamp>,
    /// Number of pauses so far.
    pub pause_count: u32,
}

impl AdmittedWork {
    /// Returns the tokens that it holds in memory, or will hold once it is resumed.
    pub fn memory(&self) -> u64 {
        self.prompt_tokens + self.generated_tokens
    }
}

/// All admitted work, with totals over its streams.
#[derive(Debug, Default)]
pub struct AdmittedTable {
    attempts: BTreeMap<ids::AttemptId, AdmittedWork>,
    memory: u64,
    paused_memory: u64,
    active_streams: usize,
    paused: usize,
    suspects_in_prefill: usize,
    prefill_tokens: u64,
    prefill_count: usize,
}

impl AdmittedTable {
    /// Adds newly admitted work.
    pub fn insert(&mut self, attempt: ids::AttemptId, work: AdmittedWork) {
        if work.slot.is_some() {
            self.active_streams += 1;
            self.memory += work.memory();
            self.prefill_tokens += work.prompt_tokens;
            self.prefill_count += 1;
            self.suspects_in_prefill += usize::from(work.suspect);
        }
        self.attempts.insert(attempt, work);
    }

    /// Removes and returns work; `None` if it is unknown.
    pub fn remove(&mut self, attempt: ids::AttemptId) -> Option<AdmittedWork> {
        let work = self.attempts.remove(&attempt)?;
        if work.slot.is_none() {
            return Some(work);
        }
        if work.generated_tokens == 0 {
            self.prefill_tokens -= work.prompt_tokens;
            self.prefill_count -= 1;
            self.suspects_in_prefill -= usize::from(work.suspect);
        }
        match work.resume_due {
            Some(_) => {
                self.paused -= 1;
                self.paused_memory -= work.memory();
            }
            None => {
                self.active_streams -= 1;
                self.memory -= work.memory();
            }
        }
        Some(work)
    }

    /// Records that `count` tokens of a stream were generated, and returns the stream.
    pub fn record_tokens(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        count: u64,
    ) -> Option<&AdmittedWork> {
        let work = self.attempts.get_mut(&attempt)?;
        if work.generated_tokens == 0 {
            self.prefill_tokens -= work.prompt_tokens;
            self.prefill_count -= 1;
            self.suspects_in_prefill -= usize::from(work.suspect);
        }
        work.generated_tokens += count;
        work.last_token_at = Some(now);
        match work.resume_due {
            None => self.memory += count,
            Some(_) => self.paused_memory += count,
        }
        Some(work)
    }

    /// Marks a stream as paused; from `resume_due` on it is resumed before new work is admitted.
    pub fn pause(&mut self, attempt: ids::AttemptId, resume_due: time::Timestamp) {
        if let Some(work) = self.attempts.get_mut(&attempt)
            && work.resume_due.is_none()
        {
            work.resume_due = Some(resume_due);
            work.pause_count += 1;
            work.last_token_at = None;
            self.memory -= work.memory();
            self.paused_memory += work.memory();
            self.active_streams -= 1;
            self.paused += 1;
        }
    }

    /// Marks a stream as running again.
    pub fn resume(&mut self, attempt: ids::AttemptId) {
        if let Some(work) = self.attempts.get_mut(&attempt)
            && work.resume_due.take().is_some()
        {
            self.memory += work.memory();
            self.paused_memory -= work.memory();
            self.active_streams += 1;
            self.paused -= 1;
        }
    }

    /// Returns work that was admitted; `None` if it is unknown.
    pub fn get(&self, attempt: ids::AttemptId) -> Option<&AdmittedWork> {
        self.attempts.get(&attempt)
    }

    /// Returns the streams that are not paused, with their attempts.
    pub fn active_streams(&self) -> impl Iterator<Item = (ids::AttemptId, &AdmittedWork)> {
        self.attempts
            .iter()
            .filter(|(_, work)| work.resume_due.is_none() && work.slot.is_some())
            .map(|(attempt, work)| (*attempt, work))
    }

    /// Returns all streams, paused or not, with the slots of their length statistics.
    pub fn streams(&self) -> impl Iterator<Item = (&AdmittedWork, LengthSlot)> {
        self.attempts
            .values()
            .filter_map(|work| work.slot.map(|slot| (work, slot)))
    }

    /// Returns the paused stream that is due first; `None` if none is paused.
    pub fn first_paused(&self) -> Option<(ids::AttemptId, &AdmittedWork)> {
        if self.paused == 0 {
            return None;
        }
        self.attempts
            .iter()
            .filter(|(_, work)| work.resume_due.is_some())
            .min_by_key(|(attempt, work)| (work.resume_due, **attempt))
            .map(|(attempt, work)| (*attempt, work))
    }

    /// Returns the tokens in memory of all streams that are not paused.
    pub fn memory(&self) -> u64 {
        self.memory
    }

    /// Returns the tokens that paused streams will hold when they are resumed.
    pub fn paused_memory(&self) -> u64 {
        self.paused_memory
    }

    /// Returns the number of streams that are not paused.
    pub fn active_count(&self) -> usize {
        self.active_streams
    }

    /// Returns the number of paused streams.
    pub fn paused_count(&self) -> usize {
        self.paused
    }

    /// Returns the prompt tokens of all streams without a first token.
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    /// Returns true if a suspect stream has been admitted and has no first token yet.
    pub fn has_suspect_in_prefill(&self) -> bool {
        self.suspects_in_prefill > 0
    }

    /// Returns the number of streams without a first token.
    pub fn prefill_count(&self) -> usize {
        self.prefill_count
    }
}
