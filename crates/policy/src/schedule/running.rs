//! Work that the target has.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::length::LengthSlot;

/// One piece of work that the target has.
#[derive(Debug, Clone)]
pub struct RunningWork {
    /// Where its length is learnt; `None` for a service call.
    pub slot: Option<LengthSlot>,
    /// Priority of its class.
    pub priority: measures::Priority,
    /// Whether it is suspected of crashing targets.
    pub suspect: bool,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens generated so far.
    pub generated: u64,
    /// When its last token came.
    pub last_token: Option<time::Timestamp>,
    /// When it goes before all new work again, while it is paused.
    pub resume_due: Option<time::Timestamp>,
    /// How often it was paused.
    pub pauses: u32,
}

impl RunningWork {
    /// Returns the tokens that it holds in memory while it is not paused.
    pub fn memory(&self) -> u64 {
        self.prompt + self.generated
    }
}

/// All work that the target has, with sums that are kept up to date.
#[derive(Debug, Default)]
pub struct RunningTable {
    works: BTreeMap<ids::AttemptId, RunningWork>,
    memory: u64,
    paused_memory: u64,
    active: usize,
    paused: usize,
    untested_suspects: usize,
    prefilling: u64,
    prefilling_count: usize,
}

impl RunningTable {
    /// Adds work that was admitted.
    pub fn insert(&mut self, attempt: ids::AttemptId, work: RunningWork) {
        if work.slot.is_some() {
            self.active += 1;
            self.memory += work.memory();
            self.prefilling += work.prompt;
            self.prefilling_count += 1;
            self.untested_suspects += usize::from(work.suspect);
        }
        self.works.insert(attempt, work);
    }

    /// Removes work.
    pub fn remove(&mut self, attempt: ids::AttemptId) -> Option<RunningWork> {
        let work = self.works.remove(&attempt)?;
        if work.slot.is_none() {
            return Some(work);
        }
        if work.generated == 0 {
            self.prefilling -= work.prompt;
            self.prefilling_count -= 1;
            self.untested_suspects -= usize::from(work.suspect);
        }
        match work.resume_due {
            Some(_) => {
                self.paused -= 1;
                self.paused_memory -= work.memory();
            }
            None => {
                self.active -= 1;
                self.memory -= work.memory();
            }
        }
        Some(work)
    }

    /// Notes tokens of a stream, and returns it.
    pub fn record_tokens(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        count: u64,
    ) -> Option<&RunningWork> {
        let work = self.works.get_mut(&attempt)?;
        if work.generated == 0 {
            self.prefilling -= work.prompt;
            self.prefilling_count -= 1;
            self.untested_suspects -= usize::from(work.suspect);
        }
        work.generated += count;
        work.last_token = Some(now);
        match work.resume_due {
            None => self.memory += count,
            Some(_) => self.paused_memory += count,
        }
        Some(work)
    }

    /// Marks a stream as paused, until `resume_due` or until there is nothing else to run.
    pub fn pause(&mut self, attempt: ids::AttemptId, resume_due: time::Timestamp) {
        if let Some(work) = self.works.get_mut(&attempt)
            && work.resume_due.is_none()
        {
            work.resume_due = Some(resume_due);
            work.pauses += 1;
            work.last_token = None;
            self.memory -= work.memory();
            self.paused_memory += work.memory();
            self.active -= 1;
            self.paused += 1;
        }
    }

    /// Marks a stream as running again.
    pub fn resume(&mut self, attempt: ids::AttemptId) {
        if let Some(work) = self.works.get_mut(&attempt)
            && work.resume_due.take().is_some()
        {
            self.memory += work.memory();
            self.paused_memory -= work.memory();
            self.active += 1;
            self.paused -= 1;
        }
    }

    /// Returns a piece of work.
    pub fn get(&self, attempt: ids::AttemptId) -> Option<&RunningWork> {
        self.works.get(&attempt)
    }

    /// Returns the streams that are not paused.
    pub fn active(&self) -> impl Iterator<Item = (ids::AttemptId, &RunningWork)> {
        self.works
            .iter()
            .filter(|(_, work)| work.resume_due.is_none() && work.slot.is_some())
            .map(|(attempt, work)| (*attempt, work))
    }

    /// Returns all streams, paused or not, with the place of their length.
    pub fn streams(&self) -> impl Iterator<Item = (&RunningWork, LengthSlot)> {
        self.works
            .values()
            .filter_map(|work| work.slot.map(|slot| (work, slot)))
    }

    /// Returns the paused stream that is due first.
    pub fn first_paused(&self) -> Option<(ids::AttemptId, &RunningWork)> {
        if self.paused == 0 {
            return None;
        }
        self.works
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
        self.active
    }

    /// Returns the number of paused streams.
    pub fn paused_count(&self) -> usize {
        self.paused
    }

    /// Returns the prompt tokens of streams that have no token yet.
    pub fn prefilling(&self) -> u64 {
        self.prefilling
    }

    /// Says whether a suspect runs that has no token yet.
    pub fn has_untested_suspect(&self) -> bool {
        self.untested_suspects > 0
    }

    /// Returns the number of streams that have no token yet.
    pub fn prefilling_count(&self) -> usize {
        self.prefilling_count
    }
}
